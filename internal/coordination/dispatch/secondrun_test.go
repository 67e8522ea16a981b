package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against a second run after an end that was listed before the new leader had read the job.
func TestEndsThatAreListedBeforeTheirJobIsKnown(t *testing.T) {
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
	assert.Equal(t, starts, 6)
	for _, s := range sim.workers {
		s.unreachable = true
	}
	sim.advanceTime(500 * time.Millisecond)
	for _, s := range sim.workers {
		s.unreachable = false
	}
	late := sim.store.jobs[0]
	sim.store.jobs = nil
	sim.electLeader(0)
	sim.advanceTime(200 * time.Millisecond)
	sim.leader.AddJob(sim.now, late, nil, 0)
	sim.advance(sim.leader)
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, starts, 6, "tasks started again after their ends were listed")
	assert.Equal(t, sim.phase("a"), job.Completed)
}

// Guards against a second run after the end of a run that was listed before the new leader had read the job.
func TestUnassignedRunsThatEndBeforeTheirJobIsKnown(t *testing.T) {
	sim := newSimulation(1, 3)
	starts := 0
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) {
			starts++
			return job.EndDone, 200 * time.Millisecond
		}
	}
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 6))
	sim.advanceTime(150 * time.Millisecond)
	assert.Equal(t, starts, 6)
	late := sim.store.jobs[0]
	sim.store.jobs = nil
	sim.electLeader(0)
	sim.advanceTime(10 * time.Millisecond)
	for _, s := range sim.workers {
		for _, r := range s.runs {
			r.finishAt = sim.now.Add(5 * time.Millisecond)
		}
	}
	sim.advanceTime(100 * time.Millisecond)
	sim.leader.AddJob(sim.now, late, nil, 0)
	sim.advance(sim.leader)
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, starts, 6, "tasks started again after their ends were listed")
}

// Guards against two runs: a leader that may be replaced repeats a start on a restarted worker, which knows no epoch.
func TestLeaderWithoutTheStoreRepeatsNoStartOnARestartedWorker(t *testing.T) {
	sim := newSimulation(1, 1)
	s := sim.sortedWorkers()[0]
	s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
	sim.advanceTime(1700 * time.Millisecond)
	sim.store.unavailable = true
	sim.faults.lost = 1
	sim.submit(plainJob("a", 3))
	sim.faults.lost = 0
	sim.restart(s)
	for range 40 {
		sim.advanceTime(10 * time.Millisecond)
		if sim.leader.workers[s.id].boot == s.boot {
			break
		}
	}
	assert.Equal(t, sim.leader.workers[s.id].boot, s.boot, "the leader knows of the restart")
	assert.Equal(t, len(s.runs), 0)
	sim.advanceTime(3 * time.Second)
	assert.Equal(t, len(s.runs), 0, "nothing shows that the leader was not replaced before the restart")
}
