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

// endUnseen lets time pass in which no worker is reached.
func (sim *simulation) endUnseen(d time.Duration) {
	for _, s := range sim.workers {
		s.unreachable = true
	}
	sim.advanceTime(d)
	for _, s := range sim.workers {
		s.unreachable = false
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
	sim.endUnseen(500 * time.Millisecond)
	sim.store.jobs[0].First = sim.now.Add(500 * time.Millisecond)
	sim.electLeader(0)
	sim.advanceTime(4 * time.Second)
	assert.Equal(t, starts, 12)
	assert.Equal(t, sim.phase("a"), job.Completed)
}

// Guards against the same fault with a job that the leader has not read yet: an end is not acknowledged before the jobs have
// been read again, and counts for a job that is read then.
func TestEndsThatAreListedBeforeTheirJobIsRead(t *testing.T) {
	for _, readByFirst := range []bool{false, true} {
		sim := newSimulation(1, 3)
		starts := 0
		for _, s := range sim.workers {
			s.outcome = func(job.Run) (job.EndKind, time.Duration) {
				starts++
				return job.EndDone, 300 * time.Millisecond
			}
		}
		sim.advanceTime(time.Second)
		sim.submit(plainJob("a", 6))
		sim.advanceTime(100 * time.Millisecond)
		sim.endUnseen(500 * time.Millisecond)
		late := sim.store.jobs[0]
		sim.store.jobs = nil
		sim.electLeader(0)
		sim.advanceTime(time.Second)
		if readByFirst {
			sim.leader.AddJob(sim.now, late, nil, 0)
			sim.leader.JobsRead(sim.now)
			sim.advance(sim.leader)
			sim.advanceTime(time.Second)
			assert.Equal(t, len(sim.leader.unknownEnds), 0)
			for _, s := range sim.workers {
				assert.Equal(t, len(s.endedRuns), 0, "the ends are not acknowledged")
			}
		}
		sim.store.jobs = []job.Job{late}
		sim.electLeader(0)
		sim.advanceTime(2 * time.Second)
		assert.Equal(t, starts, 6)
		assert.Equal(t, sim.phase("a"), job.Completed)
	}
}

// Guards against a worker that lists the ends of a removed job for ever.
func TestEndsOfRemovedJobsAreAcknowledged(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 2))
	sim.advanceTime(100 * time.Millisecond)
	sim.endUnseen(time.Second)
	sim.store.jobs = nil
	sim.electLeader(0)
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, len(sim.workers["w00"].endedRuns), 2)
	sim.leader.JobsRead(sim.now)
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, len(sim.workers["w00"].endedRuns), 0)
	assert.Equal(t, len(sim.leader.unknownEnds), 0)
}

// Guards against a worker that lists an occurrence which the job does not have: all remaining ones were opened at once.
func TestListedOccurrenceBeyondTheLastOpensNone(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	j := plainJob("a", 1)
	j.Schedule = job.Schedule{Times: 50, First: sim.now.Add(time.Hour), Interval: time.Hour}
	sim.submit(j)
	s := sim.workers["w00"]
	s.sequence++
	listed := job.Run{Task: job.Task{Job: "a", Occurrence: 50}, Number: 1}
	s.endedRuns = append(s.endedRuns, job.EndedTask{Run: listed, Sequence: s.sequence, Kind: job.EndDone})
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, sim.leader.jobs["a"].opened, 0)
}
