package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against a successor that delays all work because of one unreachable worker that an earlier leader had
// closed, and against starting tasks that may still be running there.
func TestClosedWorkersHoldBackOnlyTheirTasks(t *testing.T) {
	sim := newSimulation(1, 3)
	for _, s := range sim.workers {
		s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
			if run.Task.Job == "a" {
				return job.EndDone, 5 * time.Second
			}
			return job.EndDone, time.Second
		}
	}
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 6))
	sim.advanceTime(500 * time.Millisecond)
	sim.workers["w00"].unreachable = true
	sim.advanceTime(3 * time.Second)
	sim.submit(plainJob("b", 4))
	sim.electLeader(6 * time.Second)
	elected := sim.now
	sim.advanceTime(2500 * time.Millisecond)
	assert.Equal(t, sim.phase("b"), job.Completed)
	// The tasks on the unreachable worker run again once the last leases have certainly ended.
	const runAndCommit = 5*time.Second + 300*time.Millisecond
	sim.advanceTime(sim.leader.recovery.earlier.expiredAt().Add(runAndCommit).Sub(sim.now))
	assert.Equal(t, sim.phase("a"), job.Completed)
	lastLeases := 6*time.Second + time.Duration(float64(testMaxLease)*(1+clockSkew)) + leaseExpiryMargin
	assert.Equal(t, sim.leader.recovery.earlier.expiredAt().Sub(elected), lastLeases)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against a successor that starts tasks of older jobs while a worker that may be running them is unreachable.
func TestSuccessorWaitsForUnreachableWorkers(t *testing.T) {
	sim := newSimulation(1, 2)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 4 * time.Second }
	}
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 4))
	sim.advanceTime(100 * time.Millisecond)
	sim.workers["w00"].unreachable = true
	sim.electLeader(0)
	sim.advanceTime(5 * time.Second)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	sim.advanceTime(8 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against a second run of a task whose start reached a worker after its restart, and against losing a task
// that ran before the restart.
func TestStartsAroundARestartOfTheWorkerRunOnce(t *testing.T) {
	for delay := range 12 {
		sim := newSimulation(1, 2)
		for _, s := range sim.workers {
			s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 2 * time.Second }
		}
		sim.advanceTime(1500 * time.Millisecond)
		sim.submit(plainJob("a", 4))
		sim.advanceTime(time.Duration(delay) * 10 * time.Millisecond)
		for _, s := range sim.workers {
			sim.restart(s)
		}
		sim.advanceTime(6 * time.Second)
		assert.Equal(t, sim.phase("a"), job.Completed, "restart after %d ms", delay*10)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	}
}

// Guards against two runs of one task: a new leader that was paused, or short of CPU time, after the first answer of a
// worker took the leases there as expired at once, although the former leader had renewed them, and placed the tasks
// again. The fleet is large, orders are carried out late, and the lead changes twice.
func TestSuccessorCountsLeasesOfItsPredecessor(t *testing.T) {
	const workers, jobs, tasks = 1100, 40, 50
	sim := newSimulation(3, workers)
	for _, s := range sim.workers {
		s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
			if run.Task.Job == "short" {
				return job.EndDone, 200 * time.Millisecond
			}
			return job.EndDone, time.Minute
		}
	}
	sim.advanceTime(time.Second)
	for i := range jobs {
		j := plainJob(job.ID(fmt.Sprintf("j%d", i)), tasks)
		j.Steps[0].LongRunning = true
		sim.submit(j)
	}
	sim.advanceTime(2 * time.Second)
	sim.faults.late = 0.05
	for range 2 {
		// Ends that are not committed delay the second hold of the new leader.
		sim.store.unavailable = true
		sim.submit(plainJob("short", 2*workers))
		sim.advanceTime(time.Second)
		sim.electLeader(6 * time.Second)
		sim.advanceTime(200 * time.Millisecond)
		sim.now = sim.now.Add(2 * time.Second)
		sim.setUnreachable(func(i int) bool { return i%2 == 0 })
		sim.advanceTime(time.Second)
		sim.setUnreachable(func(int) bool { return false })
		sim.advanceTime(time.Second)
		sim.store.unavailable = false
		sim.advanceTime(time.Second)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	}
	sim.advanceTime(testMaxLease)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	assert.Equal(t, runningTasks(sim), jobs*tasks)
}

// setUnreachable sets which workers, by their place in the order of ids, don't answer.
func (sim *simulation) setUnreachable(unreachable func(i int) bool) {
	for i, s := range sim.sortedWorkers() {
		s.unreachable = unreachable(i)
	}
}

// runningTasks returns the number of tasks with a run on a worker.
func runningTasks(sim *simulation) int {
	tasks := make(map[job.Task]bool)
	for _, s := range sim.workers {
		for run := range s.runs {
			tasks[run.Task] = true
		}
	}
	return len(tasks)
}

// Guards against two runs of one task: a job that an earlier leader may have started counted as new, since the new leader read
// it only after the earlier ones had stopped.
func TestJobStoredBeforeEarlierLeadersStoppedIsNotNew(t *testing.T) {
	sim := newSimulation(1, 2)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
	}
	sim.advanceTime(time.Second)
	far := sim.workers["w00"]
	far.unreachable = true
	const grace = 2 * time.Second
	sim.electLeader(grace)
	sim.advanceTime(grace - 100*time.Millisecond)

	// An earlier leader reads the job and starts it on the worker that only it reaches.
	j := plainJob("a", 4)
	j.Queue, j.Accepted = "q", sim.now
	sim.store.revision++
	stored := sim.store.revision
	sim.store.jobs = append(sim.store.jobs, j)
	sim.jobsByID[j.ID] = &j
	for i := range 4 {
		run := job.Run{Task: job.Task{Job: "a", Index: i}, Number: 1}
		response := sim.start(far, Start{
			Target: Target{Worker: far.id, Epoch: far.epoch, Fence: far.epoch}, Run: run, LeaseEnd: far.clock(sim.now) + testMaxLease,
		})
		assert.Equal(t, response.Refusal, job.RefusedNone)
	}

	sim.advanceTime(time.Second)
	sim.leader.AddJob(sim.now, j, nil, stored)
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)

	// A job that is stored now does not wait for that worker.
	sim.submit(plainJob("b", 2))
	sim.advanceTime(time.Second)
	assert.Equal(t, len(sim.workers["w01"].runs), 2)
	sim.advanceTime(10 * time.Second)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	assert.Equal(t, runningTasks(sim), 6)
}

// Guards against work that waits for 12 s more because of a worker that restarted under its id and then left: a new leader
// waited for orders that the new boot might carry out late, though the worker is no longer listed.
func TestRestartedWorkerThatHasLeftHoldsNothingBackAfterItsLeases(t *testing.T) {
	for _, known := range []bool{true, false} {
		sim := newSimulation(1, 3)
		sim.boundsLeases = true
		left := busyWorker(t, sim, 12)
		if !known {
			// The leader that hears of the restart is a new one.
			sim.electLeader(testMaxLease)
		}
		sim.restart(left)
		left.unreachable = true
		sim.listWorkers()
		sim.advanceTime(100 * time.Millisecond)
		if known {
			sim.electLeader(testMaxLease)
		}
		left.unlisted = true
		// The bound of the users is 9 s after the last run.
		sim.advanceTime(8 * time.Second)
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
		assert.Equal(t, runningTasks(sim), 12, "known %v", known)
	}
}
