package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// The mixed load of a large fleet: serving tasks that reserve four fifths of it, best-effort batches beside them, and
// quick jobs. The first character of a job's id is its kind, the next two are its image.
const (
	mixedWorkers     = 1100
	mixedDataCentres = 6
	mixedServingJobs = 210
	mixedServing     = 'f'
	mixedQuick       = 'a'
	mixedBatch       = 'b'
	quickPerSecond   = 24.1
	batchPerSecond   = 24.7
	quickRunTime     = 640 * time.Millisecond
	batchRunTime     = 2200 * time.Millisecond
	servingImages    = 16
	batchImages      = 30
	servingTarget    = 150 * time.Millisecond
	// idleTail is the tail latency of a serving task without load, loadSwing the period in which loads swing.
	idleTail   = 25 * time.Millisecond
	loadPeriod = 20.0
	batchCPU   = 3500
)

func mixedJob(kind rune, image, n, steps int, step job.Step) *job.Job {
	j := &job.Job{ID: job.ID(fmt.Sprintf("%c%02x%013x", kind, image, n)), Payload: strings.Repeat("p", 300)}
	step.Image = fmt.Sprintf("%c%d", kind, image)
	for i := range steps {
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

func mixedServingJob(n int) *job.Job {
	return mixedJob(mixedServing, n%servingImages, n, 1, job.Step{
		Tasks: 24, Size: model.Resources{CPUMillis: 6400, MemoryBytes: 13 << 30}, Estimate: time.Second, LongRunning: true,
		TailLatencyTarget: servingTarget,
	})
}

func mixedQuickJob(n int) *job.Job {
	return mixedJob(mixedQuick, 0, n, 1+n%5%2, job.Step{
		Tasks: 13, Size: model.Resources{CPUMillis: 6400, MemoryBytes: 13 << 30}, Estimate: quickRunTime,
	})
}

func mixedBatchJob(n int) *job.Job {
	return mixedJob(mixedBatch, n%batchImages, n, 2, job.Step{
		Tasks: 40, Size: model.Resources{CPUMillis: batchCPU, MemoryBytes: 6 << 30}, Estimate: batchRunTime,
		BestEffort: true, Checkpoints: n%7 > 0,
	})
}

func kindOf(id job.ID) rune { return rune(id[0]) }

func imageOf(id job.ID) int {
	n, _ := strconv.ParseInt(string(id[1:3]), 16, 32)
	return int(n)
}

func mixedRunTime(run job.Run) time.Duration {
	spread := math.Exp(0.4 * rand.New(rand.NewPCG(uint64(run.Number), 1)).NormFloat64())
	switch kindOf(run.Task.Job) {
	case mixedServing:
		return time.Hour
	case mixedQuick:
		return time.Duration(spread * float64(quickRunTime))
	default:
		return time.Duration(spread * float64(batchRunTime))
	}
}

// mixedSlope is the headroom that a best-effort image takes from a serving one if it uses all CPU of a worker.
func mixedSlope(serving, batch int) float64 {
	random := rand.New(rand.NewPCG(uint64(serving), uint64(batch)))
	if random.Float64() < 0.25 {
		return 3 + 3*random.Float64()
	}
	return random.Float64()
}

// mixedReport reports the progress of short tasks, the CPU use of batches and the tail latency of serving tasks, which
// grows with their load and with the batches beside them.
func mixedReport(f *fleet) func(*fleetWorker, *job.RunningTask, time.Time) {
	return func(w *fleetWorker, row *job.RunningTask, began time.Time) {
		row.Percent = int(100 * time.Since(began) / f.runTime(row.Run))
		row.Measurement = batchCPU
		if kindOf(row.Task.Job) != mixedServing {
			return
		}
		image := imageOf(row.Task.Job)
		phase := time.Since(f.started).Seconds()/loadPeriod + float64(image)/servingImages
		headroom := float64(servingTarget) / float64(idleTail) * (1 - 0.48*(1+0.5*math.Sin(2*math.Pi*phase)))
		for other := range w.runs {
			if kindOf(other.Task.Job) == mixedBatch {
				headroom -= mixedSlope(image, imageOf(other.Task.Job)) * batchCPU / 37_000
			}
		}
		row.Percent = 100
		row.Measurement = float64(servingTarget.Milliseconds()) / max(headroom, 0.1) * (1 + 0.1*rand.NormFloat64())
	}
}

// firstStarts collects how long jobs wait until their first task starts.
type firstStarts struct {
	mu        sync.Mutex
	submitted map[job.ID]time.Time
	waits     map[rune][]time.Duration
}

func (s *firstStarts) submit(j *job.Job, submit func(*job.Job)) {
	s.mu.Lock()
	s.submitted[j.ID] = time.Now()
	s.mu.Unlock()
	submit(j)
}

func (s *firstStarts) started(run job.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, waiting := s.submitted[run.Task.Job]; waiting {
		delete(s.submitted, run.Task.Job)
		kind := kindOf(run.Task.Job)
		s.waits[kind] = append(s.waits[kind], time.Since(at))
	}
}

// quantile returns how long the given fraction of the jobs of a kind waited at most.
func (s *firstStarts) quantile(kind rune, fraction float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits := s.waits[kind]
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(fraction*float64(len(waits))))]
}

// BenchmarkLeaderMixedLoad drives a leader with six relays under the mixed load, a second for each iteration. Quick jobs
// must not wait longer than batches.
func BenchmarkLeaderMixedLoad(b *testing.B) {
	f := newFleet(mixedWorkers, mixedDataCentres)
	for i := range f.list {
		f.list[i].Capacity.CPUMillis = []int64{32_000, 32_000, 48_000}[i%3]
	}
	starts := &firstStarts{submitted: make(map[job.ID]time.Time), waits: make(map[rune][]time.Duration)}
	f.runTime, f.report, f.onStart = mixedRunTime, mixedReport(f), starts.started
	l := startLeader(b, f, 1)
	for i := range mixedDataCentres {
		l.startAgent(b, fmt.Sprint("relay-", i), fmt.Sprint("dc-", i), f)
	}
	time.Sleep(relaySettle)
	for n := range mixedServingJobs {
		l.submit(b, mixedServingJob(n))
	}
	time.Sleep(4 * relaySettle)
	done := make(chan struct{})
	var feeds sync.WaitGroup
	feed := func(perSecond float64, makeJob func(int) *job.Job) {
		feeds.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ticker.C:
					starts.submit(makeJob(n), func(j *job.Job) { l.submit(b, j) })
				case <-done:
					return
				}
			}
		})
	}
	feed(quickPerSecond, mixedQuickJob)
	feed(batchPerSecond, mixedBatchJob)
	before := f.starts.Load()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	close(done)
	feeds.Wait()
	quick, batch := starts.quantile(mixedQuick, 0.5), starts.quantile(mixedBatch, 0.5)
	b.ReportMetric(float64(quick.Milliseconds()), "quick-p50-ms")
	b.ReportMetric(float64(starts.quantile(mixedQuick, 0.95).Milliseconds()), "quick-p95-ms")
	b.ReportMetric(float64(batch.Milliseconds()), "batch-p50-ms")
	b.ReportMetric(float64(f.starts.Load()-before)/b.Elapsed().Seconds(), "starts/s")
	assert.Equal(b, f.doubled.Load(), int64(0))
	if b.N > 5 {
		// The clock of the stand-ins is that of the host: some milliseconds are no difference.
		assert.Check(b, quick <= batch+5*time.Millisecond, "quick jobs wait %v, batches %v", quick, batch)
	}
}
