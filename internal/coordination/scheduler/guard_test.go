package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// panicking is an event that can't be processed.
type panicking struct{}

func (panicking) apply(*Core, time.Time) { panic("broken event") }

// Guards against one event that can't be processed and takes the process down, or leaves a leader with inconsistent
// state that goes on giving orders; the events around it still count.
func TestEventThatPanicsCostsOnlyTheLeadership(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	c := New(Settings{Entry: "e", Incarnation: 1, LeaderTTL: 2 * time.Second, MaxUnconfirmed: 6 * time.Second},
		rand.New(rand.NewPCG(1, 1)))
	c.leadership.stage, c.leadership.epoch, c.leadership.lease = leading, 5, 7
	c.leadership.dispatcher = dispatch.New(dispatch.Settings{MaxLease: 6 * time.Second}, 5)
	actions := c.Step(now, Batch{
		ConfigRead{Config: job.Configuration{Version: 1}, Revision: 1, Changed: true}, panicking{},
		ConfigRead{Config: job.Configuration{Version: 2}, Revision: 2, Changed: true},
	})
	assert.Equal(t, uint64(c.Snapshot().Configuration.Version), uint64(2))
	assert.Assert(t, !c.Snapshot().Leading)
	logged, revoked := false, false
	for _, a := range actions {
		switch a := a.(type) {
		case LogEvent:
			logged = logged || a.Code == notice.StepPanicked
		case RevokeLease:
			revoked = a.Lease == 7
		case Dispatch:
			t.Fatalf("%T after the panic", a.Action)
		}
	}
	assert.Assert(t, logged && revoked)
}
