package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a completed job that runs again: a read of all jobs that began before the job was removed from the store, and
// returned afterwards, brought it back without its progress.
func TestRemovedJobDoesNotComeBackWithALateRead(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 2))
	stored := sim.store.revision
	sim.advanceTime(sim.settings.StatusRetention + 5*time.Second)
	sim.submit(plainJob("b", 2))
	sim.advanceTime(5 * time.Second)
	_, known := sim.leader.Inspect("a")
	assert.Assert(t, !known, "the job was not removed")

	sim.leader.AddJob(sim.now, *sim.jobOf("a"), nil, stored)
	sim.advanceTime(time.Second)
	_, known = sim.leader.Inspect("a")
	assert.Assert(t, !known)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)

	// The caller may submit a job with the same id once the first one is forgotten.
	sim.leader.ForgetRemovals(sim.store.revision)
	sim.submit(plainJob("a", 2))
	_, known = sim.leader.Inspect("a")
	assert.Assert(t, known)
}
