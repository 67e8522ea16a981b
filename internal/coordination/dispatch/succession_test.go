package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// renewElsewhere lets time pass in which a successor, whom the leader can't know of, renews the leases on workers that
// only it reaches.
func (sim *simulation) renewElsewhere(d time.Duration, workers ...*simWorker) {
	const interval = 500 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += interval {
		for _, s := range workers {
			s.extendLease(sim.now, s.clock(sim.now)+testMaxLease)
		}
		sim.advanceTime(interval)
	}
}

// Guards against two runs of one task: a leader that is cut off from the store and from some workers took the leases there
// as expired and started the tasks elsewhere, although its successor had renewed them.
func TestLeaderWithoutTheStoreKeepsUnreachableRuns(t *testing.T) {
	for _, listed := range []bool{true, false} {
		sim := newSimulation(1, 4)
		for _, s := range sim.workers {
			s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
		}
		sim.advanceTime(time.Second)
		sim.submit(plainJob("a", 8))
		sim.advanceTime(2 * time.Second)
		var far []*simWorker
		for _, s := range sim.sortedWorkers() {
			if len(s.runs) > 0 {
				far = append(far, s)
			}
		}
		assert.Assert(t, len(far) > 0 && len(far) < 4)
		sim.store.unavailable = true
		for _, s := range far {
			s.unreachable, s.unlisted = true, !listed
		}
		sim.renewElsewhere(9*time.Second, far...)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
		assert.Equal(t, runningTasks(sim), 8)

		// Once the store confirms that there is no successor, the tasks of workers that have failed start elsewhere.
		sim.advanceTime(testMaxLease)
		sim.store.unavailable = false
		sim.advanceTime(time.Second)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
		assert.Equal(t, runningTasks(sim), 8)
	}
}

// Guards against the same fault in a leader that is cut off while it still waits for a worker that an earlier leader
// knew: it took the worker as accounted for.
func TestLeaderWithoutTheStoreKeepsWaitingForInheritedWorkers(t *testing.T) {
	for _, listed := range []bool{true, false} {
		sim := newSimulation(1, 3)
		for _, s := range sim.workers {
			s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
		}
		sim.advanceTime(time.Second)
		sim.submit(plainJob("a", 6))
		sim.advanceTime(time.Second)
		far := sim.workers["w00"]
		far.unreachable, far.unlisted = true, !listed
		sim.electLeader(0)
		sim.renewElsewhere(5*time.Second, far)
		sim.store.unavailable = true
		sim.renewElsewhere(5*time.Second, far)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
		assert.Equal(t, runningTasks(sim), 6)
		sim.advanceTime(testMaxLease)
		sim.store.unavailable = false
		sim.advanceTime(time.Second)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
		assert.Equal(t, runningTasks(sim), 6)
	}
}
