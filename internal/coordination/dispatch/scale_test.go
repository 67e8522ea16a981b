package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// maxGrowth is how much more work a decision may be in a fleet of four times the size: the leader's time for quick jobs
// must not be used up by decisions whose cost grows with the fleet.
const maxGrowth = 2.0

// examined returns the number of workers that are examined while f runs.
func examined(d *Dispatcher, f func()) int {
	before := d.load.candidates
	f()
	return d.load.candidates - before
}

// Pattern: a backlog of batches in a large fleet. Guards against passes over best-effort work whose cost grows with the
// fleet, for which quick work has to wait: at 1,100 workers they took most of the leader's time.
func TestPassOverABacklogDoesNotGrowWithTheFleet(t *testing.T) {
	work := func(workers int) int {
		sim := fullFleet(t, workers)
		// Each step has an image of its own and a smaller size than the one placed before, so that none tells about the next.
		// It fits on an empty worker, but not beside the short task that each worker runs.
		const besideNothing = 63<<30 + 1
		for i := range 4 * maxFruitlessSearches {
			j := plainJob(job.ID(fmt.Sprint("batch-", i)), 1)
			j.Steps[0].BestEffort, j.Steps[0].Image = true, fmt.Sprint("image-", i)
			j.Steps[0].Size.MemoryBytes = besideNothing + int64(i)
			sim.accept(j)
		}
		return examined(sim.leader, func() { sim.leader.place(sim.now) })
	}
	small, large := work(400), work(1600)
	assert.Assert(t, small > 0 && float64(large) < maxGrowth*float64(small),
		"%d workers examined in a pass of 400, %d of 1600", small, large)
}

// fullFleet returns a simulation in which short tasks wait because all workers are full.
func fullFleet(t *testing.T, workers int) *simulation {
	t.Helper()
	sim := newSimulation(1, 0)
	for i := range workers {
		s := sim.addWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	sim.listWorkers()
	sim.advance(sim.leader)
	sim.advanceTime(500 * time.Millisecond)
	sim.submit(shortJob("full", workers, 8000))
	sim.advanceTime(500 * time.Millisecond)
	for i := range 10 {
		sim.submit(shortJob(job.ID(fmt.Sprint("waiting-", i)), 1, int64(8000-100*i)))
	}
	return sim
}

func shortJob(id job.ID, tasks int, cpuMillis int64) job.Job {
	j := plainJob(id, tasks)
	j.Steps[0].Size.CPUMillis = cpuMillis
	return j
}

// Pattern: quick work in a full fleet. Guards against examining all workers for each waiting task whenever anything
// happens: quick tasks waited for the leader although a worker had become free for them.
func TestWaitingShortTasksExamineOnlyWorkersWithRoom(t *testing.T) {
	work := func(workers int) float64 {
		sim := fullFleet(t, workers)
		d := sim.leader
		const steps = 20
		return float64(examined(d, func() {
			for range steps {
				d.passNeeded = true
				d.Advance(sim.now)
				d.Actions()
			}
		})) / steps
	}
	small, large := work(100), work(400)
	assert.Assert(t, large <= maxGrowth*small, "%.0f workers examined a step of 100, %.0f of 400", small, large)
}

// Guards against a full fleet whose room is overlooked once a task there has ended.
func TestWaitingShortTaskGetsTheWorkerThatBecomesFree(t *testing.T) {
	sim := fullFleet(t, 50)
	s := sim.workers["w017"]
	for _, r := range s.runs {
		r.finishAt = sim.now
	}
	sim.advanceTime(200 * time.Millisecond)
	assert.Equal(t, len(s.runs), 1)
	for run := range s.runs {
		assert.Equal(t, run.Task.Job, job.ID("waiting-9"), "the job that is due first")
	}
}
