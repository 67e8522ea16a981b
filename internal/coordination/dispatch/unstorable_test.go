package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against one job that can't be stored and blocks the commits of all: no cancellation was confirmed any more, no end
// acknowledged and no job completed.
func TestUnstorableProgressHarmsOnlyItsJob(t *testing.T) {
	sim := newSimulation(1, 3)
	sim.advanceTime(time.Second)
	sim.unstorable = func(p job.Put) bool {
		progress, ok := p.Value.(*job.Progress)
		return ok && progress.Job == "large" && !progress.Phase.Final()
	}
	for _, s := range sim.workers {
		s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
			return job.EndDone, time.Duration(1+run.Task.Index) * 400 * time.Millisecond
		}
	}
	sim.submit(plainJob("large", 4))
	sim.submit(plainJob("other", 4))
	cancelled := plainJob("cancelled", 2)
	sim.submit(cancelled)
	sim.advanceTime(100 * time.Millisecond)
	sim.leader.Cancel("cancelled")
	sim.advanceTime(4 * time.Second)
	assert.Equal(t, sim.phase("other"), job.Completed)
	assert.Equal(t, sim.phase("large"), job.Failed)
	assert.Equal(t, sim.cancelCommitted["cancelled"], 1)
	for _, s := range sim.workers {
		assert.Equal(t, len(s.endedRuns), 0, "ends of %s are not acknowledged", s.id)
	}
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against giving up a job that could go on without its checkpoints.
func TestCheckpointsThatCannotBeStoredAreLeftOut(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	j := plainJob("a", 4)
	j.Steps[0].Checkpoints = true
	sim.submit(j)
	sim.advanceTime(200 * time.Millisecond)
	sim.unstorable = func(p job.Put) bool {
		progress, ok := p.Value.(*job.Progress)
		if !ok {
			return false
		}
		for _, t := range progress.Tasks {
			if t.Checkpoint != "" {
				return true
			}
		}
		return false
	}
	for stored := range sim.leader.jobs["a"].occurrences[0].steps[0].touchedTasks() {
		stored.checkpoint = "saved"
	}
	// The runs are lost with their leases, so that the checkpoints have to be stored.
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 500 * time.Millisecond }
		for _, r := range s.runs {
			r.finishAt = sim.now.Add(time.Minute)
		}
		s.unreachable = true
	}
	sim.advanceTime(9 * time.Second)
	for _, s := range sim.workers {
		s.unreachable = false
	}
	sim.advanceTime(4 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Assert(t, sim.leader.jobs["a"].omitCheckpoints)
}

// Guards against a registry or slopes that can't be stored and block all commits.
func TestOtherUnstorableRecordsBlockNothing(t *testing.T) {
	sim := newSimulation(1, 3)
	sim.advanceTime(time.Second)
	sim.unstorable = func(p job.Put) bool {
		switch v := p.Value.(type) {
		case *job.Interference:
			return true
		case *job.Registry:
			for _, w := range v.Workers {
				if w.NoMoreStarts {
					return true
				}
			}
		}
		return false
	}
	sim.leader.interference.unstored = true
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 3 * time.Second }
	}
	sim.submit(plainJob("a", 20))
	sim.advanceTime(time.Second)
	sim.workers["w00"].unreachable = true
	sim.advanceTime(14 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	writes := sim.registryWrites
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, sim.registryWrites, writes, "the registry is written again and again")
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}
