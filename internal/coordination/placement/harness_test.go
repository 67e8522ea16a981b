package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/guard"
	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// The harness simulates policies in virtual time, with a simple model of the usage of workers, of the interference
// between tasks and of measurement noise. All random values are drawn from one seed; every policy gets the same work.
// The results compare policies and don't predict those of a real fleet.

const (
	tick            = 2 * time.Second
	assignEvery     = 4 * time.Second
	fleetWorkers    = 24
	racks           = 3
	instances       = 24
	checkpointEvery = time.Minute
	// deadlineRunTimes is the time from submission to deadline, in multiples of the run time.
	deadlineRunTimes = 3
	// backlogBatches is the number of submissions at the start, so that no policy runs out of work.
	backlogBatches = 10
	gigabyte       = 1_000_000_000
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// kind is the true and the declared behaviour of a task kind.
type kind struct {
	cores, memory     float64
	declaredCores     float64
	declaredMemory    float64
	runTime           time.Duration
	slowdown          float64 // factor on the latency of each service on the worker
	declarationFactor float64 // factor on the declared size in scenarios with wrong declarations
	noisy             bool    // in noisy periods its slowdown is cubed
	share             float64 // share of the jobs
}

var kinds = map[string]*kind{
	"scan": {
		cores: 3, memory: 6, declaredCores: 6, declaredMemory: 12,
		runTime: 300 * time.Second, slowdown: 1.16, declarationFactor: 0.4, noisy: true, share: 0.2,
	},
	"sort": {
		cores: 2, memory: 8, declaredCores: 4, declaredMemory: 16,
		runTime: 200 * time.Second, slowdown: 1.06, declarationFactor: 2, share: 0.3,
	},
	"score": {
		cores: 1, memory: 2, declaredCores: 2, declaredMemory: 4,
		runTime: 120 * time.Second, slowdown: 1.01, declarationFactor: 0.5, share: 0.3,
	},
	"train": {
		cores: 4, memory: 10, declaredCores: 6, declaredMemory: 16,
		runTime: 500 * time.Second, slowdown: 1.09, declarationFactor: 1.5, noisy: true, share: 0.2,
	},
}

var kindNames = []string{"scan", "score", "sort", "train"}

const serviceKind = "matcher"

var serviceDeclared = model.Resources{CPUMillis: 8000, MemoryBytes: 16 * gigabyte}

// scenario is a set of conditions that the fleet runs under.
type scenario struct {
	name              string
	lag               time.Duration
	noisyPeriods      bool
	wrongDeclarations bool
	rackLoss          bool
	coldStart         bool // results count from the start, without a warm-up
	storeOutage       bool
}

func (s scenario) isBetween(at, from, to time.Duration) bool { return at >= from && at < to }

// warmUp is the time before results count. During it, sizes and slowdowns are still unknown and the first tasks reserve
// their declared sizes. A scenario without a warm-up shows this phase separately.
const warmUp = 15 * time.Minute

// rackDown reports whether the worker's rack has failed.
func (s scenario) rackDown(at time.Duration, worker int) bool {
	return s.rackLoss && worker%racks == 0 && s.isBetween(at, warmUp+10*time.Minute, warmUp+18*time.Minute)
}

func (s scenario) storeDown(at time.Duration) bool {
	return s.storeOutage && s.isBetween(at, warmUp+10*time.Minute, warmUp+16*time.Minute)
}

// noisyPeriodFactor returns the factor on the logarithm of the slowdown by a noisy kind at a time.
func (s scenario) noisyPeriodFactor(at time.Duration) float64 {
	if s.noisyPeriods && at%(10*time.Minute) > 7*time.Minute {
		return 3
	}
	return 1
}

// load is the load of the services at a time, a slow wave between 30% and 60% of the declared CPU.
func (s scenario) load(at time.Duration) float64 {
	return 0.45 + 0.15*math.Sin(2*math.Pi*at.Minutes()/20)
}

// policy is a way to place work.
type policy struct {
	name           string
	learns         bool // uses learned sizes and slowdowns
	fixed          bool // the slowdown model keeps its priors
	serviceWorkers int  // number of workers reserved for services; 0 means that all are shared
	firstFit       bool
}

// simulatedTask is a task of the harness with its simulated progress.
type simulatedTask struct {
	task           model.Task
	job            *model.Job
	worker         int // -1 while the task is not placed
	startedAt      time.Duration
	checkpointed   time.Duration // work in the newest checkpoint
	checkpointedAt time.Duration
	workDone       time.Duration
	throttle       float64
	stopAt         time.Duration // time of a pending eviction; 0 means none
	// The fields below are the measurement window of a service instance and its newest report.
	windowSum    float64
	windowTicks  int
	latencyRatio float64
	band         placement.LoadBand
	measuredAt   time.Duration
}

// report is a measurement that arrives after the scenario's lag.
type report struct {
	deliverAt, measuredAt time.Duration
	simulated             *simulatedTask
	attempt               model.Attempt
	used                  model.Resources
	ratio                 float64
	band                  placement.LoadBand
}

// result is the outcome of a run since the end of its warm-up, if it has one, or since its start.
type result struct {
	serviceWindows, windowsWithin int
	work                          float64 // core-seconds of finished tasks
	deadlines, deadlinesMet       int
	evictions                     int
	redoneWork                    float64 // core-seconds
}

func (r result) String() string {
	return fmt.Sprintf(
		"windows within target %.2f%%, batch work %.0f core-s, on time %d/%d, evictions %d, redone %.0f core-s",
		100*r.shareWithin(), r.work, r.deadlinesMet, r.deadlines, r.evictions, r.redoneWork)
}

func (r result) shareWithin() float64 {
	return float64(r.windowsWithin) / float64(max(r.serviceWindows, 1))
}

// harness is the state of one simulated run.
type harness struct {
	policy    policy
	scenario  scenario
	random    *rand.Rand
	elapsed   time.Duration
	duration  time.Duration
	tasks     []*simulatedTask
	reports   []report
	estimates *placement.Estimates
	slowdown  *placement.Slowdown
	history   *placement.MixHistory
	budget    *guard.Budget
	guard     *guard.Guard
	result    result
	submitted int
	// nextEvictionAt is the earliest time of the next eviction for a service instance.
	nextEvictionAt time.Duration
}

// run simulates a policy in a scenario. The work and its arrival depend on the seed only.
func run(p policy, s scenario, seed uint64, duration time.Duration) result {
	h := &harness{
		policy: p, scenario: s, duration: duration, random: rand.New(rand.NewPCG(seed, 1)),
		estimates: placement.NewEstimates(), slowdown: placement.NewSlowdown(), history: placement.NewMixHistory(),
		budget: &guard.Budget{},
	}
	if p.fixed {
		h.slowdown = placement.NewFixedSlowdown()
	}
	h.guard = guard.New(h.slowdown, h.budget)
	h.submit(&model.Job{
		ID: "service", Kind: serviceKind, Class: model.ClassService, Service: serviceKind, Tasks: instances,
		Declared: serviceDeclared,
	})
	work := rand.New(rand.NewPCG(seed, 2))
	for range backlogBatches {
		h.submitBatch(work)
	}
	for ; h.elapsed < duration; h.elapsed += tick {
		if h.elapsed == warmUp && !s.coldStart {
			h.result = result{}
		}
		if h.elapsed%(30*time.Second) == 0 {
			h.submitBatch(work)
		}
		h.advanceWorkers()
		h.deliverReports()
		h.runGuards()
		if !s.storeDown(h.elapsed) && h.elapsed%assignEvery == 0 {
			h.assign()
		}
	}
	return h.result
}

func (h *harness) submit(job *model.Job) {
	for i := range job.Tasks {
		h.tasks = append(h.tasks, &simulatedTask{
			task: model.Task{ID: model.TaskID{Job: job.ID, Index: i}}, job: job, worker: -1, throttle: 1,
		})
	}
}

// submitBatch submits six batch jobs. Called every 30 s, it submits more work than any policy can finish.
func (h *harness) submitBatch(work *rand.Rand) {
	for range 6 {
		h.submitted++
		name := kindNames[pickKind(work)]
		k := kinds[name]
		factor := 1.0
		if h.scenario.wrongDeclarations {
			factor = k.declarationFactor
		}
		job := &model.Job{
			ID: model.JobID(fmt.Sprint(name, h.submitted)), Kind: name, Team: model.TeamName(fmt.Sprint("team", work.IntN(5))),
			Tasks: uint32(2 + work.IntN(10)),
			Declared: model.Resources{
				CPUMillis: int64(1000 * factor * k.declaredCores), MemoryBytes: int64(factor * k.declaredMemory * gigabyte),
			},
			RunTime: k.runTime,
		}
		if work.IntN(5) == 0 {
			job.FinishBy = epoch.Add(h.elapsed + deadlineRunTimes*k.runTime)
			if h.deadlineCounts(job) {
				h.result.deadlines += int(job.Tasks)
			}
		}
		h.submit(job)
	}
}

// deadlineCounts reports whether the job has a deadline and both its submission and its deadline are in the time in
// which results count.
func (h *harness) deadlineCounts(job *model.Job) bool {
	submitted := job.FinishBy.Add(-deadlineRunTimes * kinds[job.Kind].runTime)
	from := epoch.Add(warmUp)
	if h.scenario.coldStart {
		from = epoch
	}
	return !job.FinishBy.IsZero() && !submitted.Before(from) && !job.FinishBy.After(epoch.Add(h.duration))
}

func pickKind(work *rand.Rand) int {
	x := work.Float64()
	for i, name := range kindNames {
		if x -= kinds[name].share; x < 0 {
			return i
		}
	}
	return 0
}

func (h *harness) now() time.Time { return epoch.Add(h.elapsed) }

func (h *harness) tasksByWorker() [fleetWorkers][]*simulatedTask {
	var byWorker [fleetWorkers][]*simulatedTask
	for _, sim := range h.tasks {
		if sim.worker >= 0 {
			byWorker[sim.worker] = append(byWorker[sim.worker], sim)
		}
	}
	return byWorker
}

// advanceWorkers simulates one tick on all workers.
func (h *harness) advanceWorkers() {
	for w, tasks := range h.tasksByWorker() {
		cores, logSlowdown := 0.0, 0.0
		load := h.scenario.load(h.elapsed)
		services := 0.0
		for _, sim := range tasks {
			if sim.job.Class == model.ClassService {
				cores += load * float64(serviceDeclared.CPUMillis) / 1000
				services++
				continue
			}
			k := kinds[sim.job.Kind]
			cores += k.cores * sim.throttle
			factor := math.Log(k.slowdown)
			if k.noisy {
				factor *= h.scenario.noisyPeriodFactor(h.elapsed)
			}
			logSlowdown += factor * sim.throttle
		}
		contention := max(1, cores/32)
		for _, sim := range tasks {
			if sim.job.Class == model.ClassService {
				alone := 0.30 + 0.40*load
				beside := logSlowdown + 0.03*(services-1)
				h.advanceService(sim, load, alone*math.Exp(beside+0.04*h.random.NormFloat64())*contention*contention*contention)
				continue
			}
			h.advanceBatch(sim, contention)
		}
		if h.scenario.rackDown(h.elapsed, w) {
			for _, sim := range tasks {
				if sim.worker >= 0 {
					h.endAttempt(sim)
				}
			}
		}
	}
	h.tasks = withoutFinished(h.tasks)
	h.countMissing()
}

// withoutFinished removes the finished tasks in place and returns the others.
func withoutFinished(tasks []*simulatedTask) []*simulatedTask {
	kept := tasks[:0]
	for _, sim := range tasks {
		if sim.task.Phase != model.PhaseFinished {
			kept = append(kept, sim)
		}
	}
	return kept
}

// countMissing counts the windows of instances that are not running as missed, except in the first minute.
func (h *harness) countMissing() {
	if h.elapsed < time.Minute || h.elapsed%guard.MeasurementWindow != 0 {
		return
	}
	for _, sim := range h.tasks {
		if sim.job.Class == model.ClassService && sim.worker < 0 {
			h.result.serviceWindows++
		}
	}
}

// advanceService adds a tick to the measurement window of a service instance and reports the window at its end.
func (h *harness) advanceService(sim *simulatedTask, load, ratio float64) {
	sim.windowSum += ratio
	sim.windowTicks++
	if sim.windowTicks < int(guard.MeasurementWindow/tick) {
		return
	}
	mean := sim.windowSum / float64(sim.windowTicks)
	sim.windowSum, sim.windowTicks = 0, 0
	h.result.serviceWindows++
	if mean <= 1 {
		h.result.windowsWithin++
	}
	h.reports = append(h.reports, report{
		deliverAt: h.elapsed + h.scenario.lag, measuredAt: h.elapsed, simulated: sim, attempt: sim.task.Attempt,
		ratio: mean, band: placement.LoadBandOf(load),
		used: model.Resources{CPUMillis: int64(load * float64(serviceDeclared.CPUMillis)), MemoryBytes: 10 * gigabyte},
	})
}

// advanceBatch simulates one tick of a batch task. Contention is the factor by which its worker is overloaded.
func (h *harness) advanceBatch(sim *simulatedTask, contention float64) {
	k := kinds[sim.job.Kind]
	sim.workDone += time.Duration(float64(tick) * sim.throttle / contention)
	switch {
	case sim.workDone >= k.runTime:
		h.result.work += k.cores * k.runTime.Seconds()
		if h.deadlineCounts(sim.job) && !h.now().After(sim.job.FinishBy) {
			h.result.deadlinesMet++
		}
		h.estimates.ObserveRunTime(sim.job.Kind, h.elapsed-sim.startedAt)
		sim.task.Phase, sim.worker = model.PhaseFinished, -1
	case sim.stopAt > 0 && h.elapsed >= sim.stopAt:
		// An evicted task takes a checkpoint before it stops.
		sim.checkpointed, sim.checkpointedAt = sim.workDone, h.elapsed
		h.endAttempt(sim)
	case h.elapsed-sim.checkpointedAt >= checkpointEvery:
		sim.checkpointed, sim.checkpointedAt = sim.workDone, h.elapsed
	}
	if h.elapsed%(10*time.Second) == 0 && sim.worker >= 0 {
		used := k.cores * (0.9 + 0.2*h.random.Float64())
		h.reports = append(h.reports, report{
			deliverAt: h.elapsed + h.scenario.lag, measuredAt: h.elapsed, simulated: sim, attempt: sim.task.Attempt,
			used: model.Resources{CPUMillis: int64(1000 * used), MemoryBytes: int64(k.memory * gigabyte)},
		})
	}
}

// endAttempt stops a task and makes it pending again; work since the newest checkpoint has to be redone.
func (h *harness) endAttempt(sim *simulatedTask) {
	if sim.job.Class == model.ClassBatch {
		h.result.redoneWork += (sim.workDone - sim.checkpointed).Seconds() * kinds[sim.job.Kind].cores
	}
	sim.workDone, sim.worker, sim.stopAt, sim.throttle = sim.checkpointed, -1, 0, 1
	sim.task.Phase, sim.task.Reserved = model.PhasePending, model.Resources{}
	sim.windowSum, sim.windowTicks, sim.measuredAt = 0, 0, 0
}

// deliverReports processes the reports that are due.
func (h *harness) deliverReports() {
	kept := h.reports[:0]
	for _, r := range h.reports {
		if r.deliverAt > h.elapsed {
			kept = append(kept, r)
			continue
		}
		if r.simulated.task.Attempt != r.attempt || r.simulated.worker < 0 {
			continue
		}
		h.estimates.ObserveUsage(r.simulated.job.Kind, r.used)
		if r.ratio == 0 {
			continue
		}
		r.simulated.latencyRatio, r.simulated.band, r.simulated.measuredAt = r.ratio, r.band, r.measuredAt
		end := epoch.Add(r.measuredAt)
		if mix, ok := h.history.Average(workerID(r.simulated.worker), end.Add(-guard.MeasurementWindow), end); ok {
			h.slowdown.Observe(h.now(), serviceKind, r.band, mix, r.ratio)
		}
	}
	h.reports = kept
}

var workerIDs = func() []model.WorkerID {
	ids := make([]model.WorkerID, fleetWorkers)
	for w := range ids {
		ids[w] = model.WorkerID(fmt.Sprintf("w%02d", w))
	}
	return ids
}()

func workerID(w int) model.WorkerID { return workerIDs[w] }

func workerNumber(id model.WorkerID) int { return slices.Index(workerIDs, id) }

func mixOf(tasks []*simulatedTask) placement.Mix {
	var mix placement.Mix
	for _, sim := range tasks {
		mix = mix.Add(sim.job.Kind, sim.throttle)
	}
	return mix
}

// runGuards runs the guard on every worker, in the same way for all policies.
func (h *harness) runGuards() {
	running := 0
	byWorker := h.tasksByWorker()
	for w, tasks := range byWorker {
		h.history.Record(h.now(), workerID(w), mixOf(tasks))
		for _, sim := range tasks {
			if sim.job.Class == model.ClassBatch {
				running++
			}
		}
	}
	h.budget.SetRunning(running)
	for w, tasks := range byWorker {
		if action, ok := h.guard.Step(h.now(), h.guardView(w, tasks)); ok {
			h.applyAction(tasks, action)
		}
	}
}

func (h *harness) guardView(w int, tasks []*simulatedTask) guard.WorkerView {
	view := guard.WorkerView{Worker: workerID(w), Mix: mixOf(tasks)}
	for _, sim := range tasks {
		switch {
		case sim.job.Class == model.ClassService && sim.measuredAt > 0:
			view.Instances = append(view.Instances, guard.Instance{
				Kind: serviceKind, Band: sim.band, Ratio: sim.latencyRatio, MeasuredAt: epoch.Add(sim.measuredAt),
			})
		case sim.job.Class == model.ClassBatch && sim.stopAt == 0:
			view.Neighbours = append(view.Neighbours, guard.Neighbour{
				Task: sim.task.ID, Kind: sim.job.Kind, CPUPercent: uint32(100 * sim.throttle),
				Unsaved: h.elapsed - sim.checkpointedAt,
			})
		}
	}
	return view
}

func (h *harness) applyAction(tasks []*simulatedTask, action guard.Action) {
	for _, sim := range tasks {
		if sim.task.ID != action.Task {
			continue
		}
		if action.Kind == guard.Evict {
			h.result.evictions++
			sim.stopAt = h.elapsed + tick
			return
		}
		sim.throttle = float64(action.CPUPercent) / 100
	}
}
