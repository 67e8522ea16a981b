package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// manyJobsInProgress returns a simulation in which more jobs make progress between two commits than one commit holds.
func manyJobsInProgress(t *testing.T) *simulation {
	t.Helper()
	const workers, jobs = 80, 12 * maxCommitJobs
	sim := newSimulation(1, 0)
	for i := range workers {
		s := sim.addWorker(model.WorkerID(fmt.Sprintf("w%02d", i)))
		s.outcome = func(r job.Run) (job.EndKind, time.Duration) {
			return job.EndDone, time.Duration(300+r.Number%20*10) * time.Millisecond
		}
	}
	sim.listWorkers()
	sim.advance(sim.leader)
	sim.advanceTime(500 * time.Millisecond)
	for i := range jobs {
		j := plainJob(job.ID(fmt.Sprint("batch-", i)), 2)
		j.Steps[0].Size.CPUMillis = 900
		for n := range 40 {
			step := j.Steps[0]
			step.After = []int{n}
			j.Steps = append(j.Steps, step)
		}
		sim.accept(j)
	}
	sim.advanceTime(2 * time.Second)
	return sim
}

// Guards against ends that are acknowledged only once no job is left to commit: while many jobs make progress that time
// never came, and workers listed all ends again and again.
func TestEndsAreAcknowledgedWhileManyJobsProgress(t *testing.T) {
	sim := manyJobsInProgress(t)
	// The platform expects an end to be acknowledged within 5 s, see docs/platform.md.
	const maxListed = 5 * time.Second
	listedSince := make(map[job.Run]time.Time)
	for range 550 {
		sim.advanceTime(10 * time.Millisecond)
		listed := make(map[job.Run]time.Time)
		for _, s := range sim.sortedWorkers() {
			for _, e := range s.endedRuns {
				since, known := listedSince[e.Run]
				if !known {
					since = sim.now
				}
				listed[e.Run] = since
				assert.Assert(t, sim.now.Sub(since) < maxListed, "an end on %s is not acknowledged", s.id)
			}
		}
		listedSince = listed
	}
	// An unacknowledged end would be lost if the leader took it for committed too early.
	sim.electLeader(0)
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against a completed job that is shown as such only after the progress of all other jobs is committed.
func TestCompletedJobIsCommittedBeforeProgressOfOthers(t *testing.T) {
	sim := manyJobsInProgress(t)
	// The next commit follows after commitInterval at most, and another one may be in flight. The rest allows for two
	// calls to the store and two answers of a worker.
	const maxDelay = 2*commitInterval + 100*time.Millisecond
	for i := range 10 {
		id := job.ID(fmt.Sprint("quick-", i))
		sim.submit(shortJob(id, 1, 100))
		var ended time.Time
		for range 200 {
			sim.advanceTime(10 * time.Millisecond)
			if sim.phase(id) == job.Completed {
				break
			}
			for _, s := range sim.sortedWorkers() {
				for _, e := range s.endedRuns {
					if e.Task.Job == id && ended.IsZero() {
						ended = sim.now
					}
				}
			}
		}
		assert.Equal(t, sim.phase(id), job.Completed)
		assert.Assert(t, !ended.IsZero() && sim.now.Sub(ended) <= maxDelay, "shown as completed %v after its end",
			sim.now.Sub(ended))
	}
}
