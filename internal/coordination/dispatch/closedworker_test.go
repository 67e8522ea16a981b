package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// closeAllWorkers ends an outage of the store in which the entries of the workers have expired. They are back in the list a
// little later than the store, once the registry has been written.
func (sim *simulation) closeAllWorkers() {
	for _, s := range sim.workers {
		s.unlisted = true
	}
	sim.listWorkers()
	sim.store.unavailable = false
	for writes := sim.registryWrites; sim.registryWrites == writes; {
		sim.advanceTime(10 * time.Millisecond)
	}
	for _, s := range sim.workers {
		s.unlisted = false
	}
}

// Guards against tasks that run again under a new leader although they are done: their ends were known to the former leader
// but not committed when it closed their workers, and the registry listed only what still ran there.
func TestSuccessorLearnsOfUncommittedEndsOnClosedWorkers(t *testing.T) {
	const jobs = 3 * maxCommitJobs
	sim := newSimulation(1, 12)
	sim.advanceTime(time.Second)
	for i := range jobs {
		sim.submit(plainJob(job.ID(fmt.Sprint("j", i)), 1))
	}
	sim.advanceTime(100 * time.Millisecond)
	sim.store.unavailable = true
	sim.advanceTime(2 * time.Second)
	sim.closeAllWorkers()
	// Some workers answer the new leader later than others.
	sim.setUnreachable(func(i int) bool { return i%2 == 0 })
	sim.electLeader(0)
	sim.advanceTime(500 * time.Millisecond)
	sim.setUnreachable(func(int) bool { return false })
	sim.advanceTime(5 * time.Second)
	assert.Equal(t, startedMoreThanOnce(sim), 0)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	for i := range jobs {
		assert.Equal(t, sim.phase(job.ID(fmt.Sprint("j", i))), job.Completed)
	}
}

// Guards against a third run of a task that has failed on one closed worker and runs on another: once the first one has
// answered a new leader, the task counted as accounted for.
func TestTaskIsHeldBackByEachClosedWorker(t *testing.T) {
	const otherJobs = 3 * maxCommitJobs
	sim := newSimulation(1, 14)
	runs := 0
	for _, s := range sim.workers {
		s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
			if run.Task.Job != "a" {
				return job.EndDone, 100 * time.Millisecond
			}
			if runs++; runs == 1 {
				return job.EndFailed, 300 * time.Millisecond
			}
			return job.EndDone, 10 * time.Second
		}
	}
	sim.advanceTime(time.Second)
	for i := range otherJobs {
		sim.submit(plainJob(job.ID(fmt.Sprint("j", i)), 1))
	}
	sim.submit(plainJob("a", 1))
	sim.advanceTime(50 * time.Millisecond)
	sim.store.unavailable = true
	sim.advanceTime(time.Second)
	assert.Equal(t, runs, 2)
	sim.closeAllWorkers()
	for _, s := range sim.workers {
		s.unreachable = len(s.runs) > 0
	}
	sim.electLeader(0)
	sim.advanceTime(time.Second)
	for _, s := range sim.workers {
		s.unreachable = false
	}
	sim.advanceTime(time.Second)
	assert.Equal(t, runs, 2)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}
