package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// recurringJob returns a job with short, small tasks that recurs every millisecond from now on.
func (sim *simulation) recurringJob(id job.ID, tasks, times int) job.Job {
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 20 * time.Millisecond }
	}
	j := plainJob(id, tasks)
	j.Steps[0].Size.CPUMillis, j.Steps[0].Size.MemoryBytes = 50, 1<<20
	j.Schedule = job.Schedule{Times: times, First: sim.now, Interval: time.Millisecond}
	return j
}

// Guards against progress of a recurring job that grows with every occurrence until it can't be stored any more, and against
// occurrences that run twice or never under a new leader.
func TestProgressOfRecurringJobDoesNotGrow(t *testing.T) {
	const times = 6000
	sim := newSimulation(1, 4)
	sim.advanceTime(time.Second)
	sim.submit(sim.recurringJob("a", 1, times))
	for range 4 {
		sim.advanceTime(1200 * time.Millisecond)
		p := sim.store.progress["a"]
		assert.Assert(t, p.Opened > 0)
		assert.Assert(t, len(p.Tasks)+len(p.Unfinished) < times/10, "%d tasks, %d occurrences", len(p.Tasks), len(p.Unfinished))
		assert.Assert(t, len(sim.leader.jobs["a"].occurrences) < times/10)
		sim.electLeader(0)
	}
	sim.advanceTime(8 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, startedMoreThanOnce(sim), 0)
	ended := int64(0)
	for _, s := range sim.workers {
		ended += s.sequence
	}
	assert.Equal(t, ended, int64(times))
}

// Guards against a job whose overdue occurrences exhaust the memory of the leader, and against occurrences that are left
// out because others are unfinished.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.advanceTime(time.Second)
	j := sim.recurringJob("a", 8, 1500)
	j.First = sim.now.Add(-time.Hour)
	sim.submit(j)
	for range 100 {
		sim.advanceTime(200 * time.Millisecond)
		state := sim.leader.jobs["a"]
		assert.Assert(t, len(state.occurrences)*8 <= maxOpenTasks)
	}
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, startedMoreThanOnce(sim), 0)
}

// Guards against running occurrences again that an earlier release recorded as done: it listed each of their tasks.
func TestRecurringJobOfAnEarlierReleaseIsContinued(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	j := sim.recurringJob("a", 2, 10)
	sim.accept(j)
	done := map[job.TaskKey]job.TaskProgress{}
	for _, key := range []job.TaskKey{{Occurrence: 0}, {Occurrence: 0, Index: 1}, {Occurrence: 1}, {Occurrence: 3}, {Occurrence: 3, Index: 1}} {
		done[key] = job.TaskProgress{Done: true}
	}
	// A task that no occurrence has.
	done[job.TaskKey{Occurrence: 1 << 40}] = job.TaskProgress{Done: true}
	sim.store.progress["a"] = &job.Progress{Job: "a", Tasks: done}
	sim.electLeader(0)
	sim.logEvents = nil
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, sim.workers["w00"].sequence+sim.workers["w01"].sequence, int64(2*10-5))
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}
