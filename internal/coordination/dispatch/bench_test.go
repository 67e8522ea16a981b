package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// fullFleet returns a leader of workers that serve and fill, with a backlog of filling jobs.
func fullFleet(workers, backlog int) *emulator {
	e := newEmulator(1)
	w := e.world
	for i := range workers {
		s := w.addWorker(model.WorkerID(fmt.Sprintf("w%d%02d%d", i/1000, i/10%100, i%10)))
		s.capacity = model.Resources{CPUMillis: 16_000, MemoryBytes: 64 << 30}
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	w.list()
	w.settle(w.leader)
	w.run(500 * time.Millisecond)
	for n := range workers {
		w.submit(servingJob(n, ""))
	}
	w.run(2 * time.Second)
	for n := range workers / 2 {
		w.submit(fillingJob(n, n%emulatedFilling, ""))
	}
	w.run(2 * time.Second)
	for n := range backlog {
		w.submit(fillingJob(1000+n, n%emulatedFilling, ""))
	}
	return e
}

// BenchmarkPassWithBacklog measures a pass over a backlog that finds few workers.
func BenchmarkPassWithBacklog(b *testing.B) {
	for _, workers := range []int{50, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			e := fullFleet(workers, 100)
			w := e.world
			for b.Loop() {
				w.now = w.now.Add(20 * time.Millisecond)
				w.leader.place(w.now)
				w.leader.Actions()
			}
		})
	}
}

// BenchmarkInventory measures what a worker's report costs the leader.
func BenchmarkInventory(b *testing.B) {
	e := fullFleet(50, 0)
	w := e.world
	for b.Loop() {
		for _, s := range w.leader.fleet {
			w.leader.learn(w.now, s)
			w.leader.noteTargets(w.now, s)
			w.leader.adjustPace(w.now, s)
		}
		w.leader.Actions()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(w.leader.fleet)), "us/worker")
}

// Guards against a pass that rates all workers again for each step of a backlog of one image.
func TestBacklogIsRatedOncePerKind(t *testing.T) {
	e := fullFleet(20, 40)
	w := e.world
	d := w.leader
	w.now = w.now.Add(time.Second)
	for _, j := range d.order {
		j.value, j.late = 1, false
	}
	p := d.newPass(w.now)
	p.jobs(false)
	assert.Assert(t, p.failed > 0, "no backlog")
	assert.Assert(t, len(p.refused) > 0 && len(p.refused) <= emulatedFilling, "%d kinds refused", len(p.refused))
	// A kind that was refused is not rated again, while it can wait.
	again := d.newPass(w.now)
	again.refused = p.refused
	for _, j := range d.order {
		for _, t := range j.occurrences[0].steps[0].tasks {
			if t.step.Fills && j.working() && len(t.runs) == 0 && p.refused[fillingKind{"s", t.step.Image, j.value}] {
				again.choose(t, d.routes[j.Queue])
			}
		}
	}
	assert.Equal(t, len(again.outlooks), 0)
}
