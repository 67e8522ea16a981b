package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against tasks that wait on a stalled worker until it recovers.
func TestStalledRunsArePlacedElsewhere(t *testing.T) {
	sim := newSimulation(1, 2)
	stalling := sim.workers["w00"]
	stalling.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	stalling.reportedPercent = 40
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 4))
	sim.advanceTime(5 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against a long-running task that finds no worker because newer short jobs take all room that becomes free.
func TestLongRunningTasksAreNotStarved(t *testing.T) {
	sim := newSimulation(1, 1)
	s := sim.sortedWorkers()[0]
	longRunning := job.Job{ID: "00000000000000ff", Steps: []job.Step{{
		Tasks: 1, Size: model.Resources{CPUMillis: 4000, MemoryBytes: 1 << 30}, Estimate: time.Second, LongRunning: true,
	}}}
	failAt := sim.now.Add(3 * time.Second)
	s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
		if run.Task.Job != longRunning.ID {
			return job.EndDone, 600 * time.Millisecond
		}
		if sim.now.Before(failAt) {
			return job.EndFailed, failAt.Sub(sim.now)
		}
		return job.EndDone, time.Hour
	}
	sim.advanceTime(time.Second)
	sim.submit(longRunning)
	for n := range 100 {
		sim.submit(plainJob(job.ID(fmt.Sprintf("%016x", n+1)), 2))
		sim.advanceTime(100 * time.Millisecond)
	}
	running := false
	for run := range s.runs {
		running = running || run.Task.Job == longRunning.ID
	}
	assert.Assert(t, running, "the long-running task failed 8 s ago and is not running")
}

// Guards against halted tasks that hold their memory on a worker while another one would run them.
func TestHaltedTasksMove(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(500 * time.Millisecond)
	j := bestEffortJob(0, 0, "")
	j.Steps = j.Steps[:1]
	j.Steps[0].Tasks = 1
	sim.submit(j)
	sim.advanceTime(100 * time.Millisecond)
	var r *run
	for _, worker := range sim.leader.sortedWorkers {
		for _, here := range worker.orderedRuns {
			r = here
		}
	}
	assert.Assert(t, r != nil)
	r.pace, r.haltedAt = 0, sim.now
	r.worker.health.avoidUntil = sim.now.Add(time.Minute)
	sim.leader.relocate(sim.now.Add(minHaltedTime / 2))
	assert.Equal(t, r.phase, running, "moved at once")
	sim.leader.relocate(sim.now.Add(2 * minHaltedTime))
	assert.Equal(t, r.phase, stopping)
}

// Guards against placing a serving task on the emptier of two otherwise equal workers, which fragments the room for
// large tasks.
func TestServingTasksPackWorkers(t *testing.T) {
	sim := newSimulation(1, 2)
	for _, s := range sim.sortedWorkers() {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	sim.advanceTime(500 * time.Millisecond)
	first := servingJob(0, "")
	first.Steps[0].Tasks, first.Steps[0].MaxPerWorker, first.Steps[0].Size.CPUMillis = 2, 1, 1000
	sim.submit(first)
	sim.advanceTime(100 * time.Millisecond)
	sim.submit(plainJob("00000000000000ab", 1))
	sim.advanceTime(100 * time.Millisecond)
	second := servingJob(servingImages, "")
	second.Steps[0].Tasks, second.Steps[0].Size.CPUMillis = 1, 1000
	sim.submit(second)
	sim.advanceTime(100 * time.Millisecond)
	most := 0
	for _, s := range sim.sortedWorkers() {
		most = max(most, len(s.runs))
	}
	assert.Equal(t, most, 3, "the second serving task is not on the fuller worker")
}

// Guards against reserving a worker for a large long-running task that fits on no worker now, while a smaller one
// that would fit there waits.
func TestReservedWorkersTakeSmallerLongRunningTasks(t *testing.T) {
	sim := newSimulation(1, 1)
	s := sim.sortedWorkers()[0]
	s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	sim.advanceTime(500 * time.Millisecond)
	sim.submit(plainJob("0000000000000001", 4))
	sim.advanceTime(100 * time.Millisecond)
	for i, cores := range []int64{6, 5, 3} {
		sim.submit(job.Job{ID: job.ID(fmt.Sprintf("%016x", 16+i)), Steps: []job.Step{{
			Tasks: 1, Size: model.Resources{CPUMillis: cores * 1000, MemoryBytes: 1 << 30}, Estimate: time.Second,
			LongRunning: true,
		}}})
		// The smaller ones find no room until the tasks of job 2 end.
		if i == 1 {
			sim.submit(plainJob("0000000000000002", 4))
			sim.advanceTime(200 * time.Millisecond)
		}
	}
	sim.advanceTime(2 * longRunningMaxWait)
	sim.leader.Cancel("0000000000000002")
	sim.advanceTime(6 * time.Second)
	running := false
	for run := range s.runs {
		running = running || run.Task.Job == "0000000000000012"
	}
	assert.Assert(t, running, "the smallest long-running task is not running")
}
