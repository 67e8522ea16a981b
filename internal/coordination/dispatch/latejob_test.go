package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against two runs of one task: a replaced leader started tasks of a job, or of an occurrence, that its successor
// learned of only after the workers had listed the runs. The successor stopped these runs, and started the tasks again
// before they had ended.
func TestRunsThatAreListedBeforeTheirJobIsKnown(t *testing.T) {
	for _, recurring := range []bool{false, true} {
		sim := newSimulation(1, 3)
		for _, s := range sim.workers {
			s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
		}
		sim.advanceTime(time.Second)
		j := plainJob("a", 6)
		if recurring {
			j.Schedule = job.Schedule{Times: 1, First: sim.now}
		}
		sim.submit(j)
		sim.advanceTime(time.Second)
		assert.Equal(t, runningTasks(sim), 6)

		late := sim.store.jobs[0]
		if recurring {
			// The clock of the successor is behind.
			sim.store.jobs[0].First = sim.now.Add(80 * time.Millisecond)
		} else {
			sim.store.jobs = nil
		}
		sim.electLeader(0)
		sim.advanceTime(80 * time.Millisecond)
		if !recurring {
			sim.leader.AddJob(sim.now, late, nil, 0)
		}
		sim.advance(sim.leader)
		sim.advanceTime(2 * time.Second)
		assert.Equal(t, len(sim.violations), 0, "recurring %v: %v", recurring, sim.violations)
		assert.Equal(t, runningTasks(sim), 6)
		assert.Equal(t, len(sim.leader.unassignedRuns), 0)
	}
}

// Guards against ends that are acknowledged and lost: the clock of the leader was behind that of its predecessor, so that
// the occurrence to which they belong was not due yet. Its tasks ran again.
func TestEndsThatAreListedBeforeTheirOccurrenceIsDue(t *testing.T) {
	sim := newSimulation(1, 3)
	starts := 0
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) {
			starts++
			return job.EndDone, 300 * time.Millisecond
		}
	}
	sim.advanceTime(time.Second)
	j := plainJob("a", 6)
	j.Schedule = job.Schedule{Times: 2, First: sim.now.Add(-time.Second), Interval: time.Second}
	sim.submit(j)
	sim.advanceTime(100 * time.Millisecond)
	assert.Equal(t, starts, 12)
	for _, s := range sim.workers {
		s.unreachable = true
	}
	sim.advanceTime(500 * time.Millisecond)
	for _, s := range sim.workers {
		s.unreachable = false
	}
	sim.store.jobs[0].First = sim.now.Add(500 * time.Millisecond)
	sim.electLeader(0)
	sim.advanceTime(4 * time.Second)
	assert.Equal(t, starts, 12)
	assert.Equal(t, sim.phase("a"), job.Completed)
}
