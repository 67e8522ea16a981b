package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against a job that callers see although it was cancelled before it was stored, and against tombstones that stay in
// the store for ever, or are removed while a write of the job may still be on its way.
func TestTombstoneIsHiddenAndRemoved(t *testing.T) {
	for _, retention := range []time.Duration{time.Second, time.Minute} {
		sim := newSimulation(1, 2)
		sim.advanceTime(time.Second)
		sim.leader.settings.StatusRetention = retention
		id := job.ID("0123456789abcdef")
		stored := sim.now
		sim.leader.AddTombstone(sim.now, id)
		_, known := sim.leader.Inspect(id)
		assert.Assert(t, !known && !sim.leader.Cancel(id))
		assert.Equal(t, sim.leader.Pending(""), 0)
		n := 0
		for removed := false; !removed; n++ {
			assert.Assert(t, sim.now.Sub(stored) < time.Minute+20*time.Second, "the tombstone stays")
			sim.submit(plainJob(job.ID(fmt.Sprintf("job-%02d", n)), 1))
			sim.advanceTime(time.Second)
			_, held := sim.leader.jobs[id]
			removed = !held
			assert.Assert(t, !removed || sim.now.Sub(stored) > max(retention, maxOrderDelay), "removed after %v", sim.now.Sub(stored))
		}
	}
}
