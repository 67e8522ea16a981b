package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// loadedEmulator returns an emulator whose workers run serving and best-effort tasks, with a backlog of best-effort
// jobs.
func loadedEmulator(workers, backlog int) *emulator {
	e := newEmulator(1)
	sim := e.sim
	for i := range workers {
		s := sim.addWorker(model.WorkerID(fmt.Sprintf("w%d%02d%d", i/1000, i/10%100, i%10)))
		s.capacity = model.Resources{CPUMillis: 16_000, MemoryBytes: 64 << 30}
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	sim.listWorkers()
	sim.advance(sim.leader)
	sim.advanceTime(500 * time.Millisecond)
	for n := range workers {
		sim.submit(servingJob(n, ""))
	}
	sim.advanceTime(2 * time.Second)
	for n := range workers / 2 {
		sim.submit(bestEffortJob(n, n%bestEffortImages, ""))
	}
	sim.advanceTime(2 * time.Second)
	for n := range backlog {
		sim.submit(bestEffortJob(1000+n, n%bestEffortImages, ""))
	}
	return e
}

// BenchmarkPassWithBacklog measures a pass over a backlog for which few workers are found.
func BenchmarkPassWithBacklog(b *testing.B) {
	for _, workers := range []int{50, 350, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			e := loadedEmulator(workers, 100)
			sim := e.sim
			for b.Loop() {
				sim.now = sim.now.Add(20 * time.Millisecond)
				sim.leader.place(sim.now)
				sim.leader.Actions()
			}
		})
	}
}

// BenchmarkInventory measures how long the leader takes to process the report of a worker.
func BenchmarkInventory(b *testing.B) {
	e := loadedEmulator(50, 0)
	sim := e.sim
	for b.Loop() {
		for _, w := range sim.leader.sortedWorkers {
			sim.leader.learnFromReports(sim.now, w)
			sim.leader.trackTargets(sim.now, w)
			sim.leader.adjustPaces(sim.now, w)
		}
		sim.leader.Actions()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(sim.leader.sortedWorkers)), "us/worker")
}

// Guards against a pass that scores all workers again for each step of a backlog of one image.
func TestBacklogIsScoredOncePerKind(t *testing.T) {
	e := loadedEmulator(20, 40)
	sim := e.sim
	d := sim.leader
	sim.now = sim.now.Add(time.Second)
	for _, j := range d.openJobs {
		j.workValue, j.late = 1, false
	}
	p := d.newPass(sim.now)
	p.placeSteps(p.readySteps())
	assert.Assert(t, p.unplacedSteps > 0, "no backlog")
	assert.Assert(t, len(p.rejectedKinds) > 0 && len(p.rejectedKinds) <= bestEffortImages, "%d kinds rejected",
		len(p.rejectedKinds))
	// A rejected kind is not scored again while its tasks can wait.
	again := d.newPass(sim.now)
	for _, w := range d.sortedWorkers {
		w.forecast = nil
	}
	again.rejectedKinds = p.rejectedKinds
	for _, j := range d.openJobs {
		for t := range j.occurrences[0].steps[0].waitingTasks() {
			if t.step.BestEffort && j.hasRuns() && len(t.runs) == 0 &&
				j.workValue <= p.rejectedKinds[bestEffortKind{"s", t.step.Image}] {
				again.chooseWorker(t, d.routes.of(j.Queue))
			}
		}
	}
	for _, w := range d.sortedWorkers {
		assert.Assert(t, w.forecast == nil, "%s was scored again", w.ID)
	}
}
