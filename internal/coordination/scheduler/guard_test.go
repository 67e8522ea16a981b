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
		ConfigRead{Config: job.Configuration{Version: 1}, Revision: 1, Changed: true},
		panicking{},
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

// Guards against a leader that was paused for longer than its leadership is valid and acts on the first event after it
// wakes, before it notices.
func TestLeaderThatWakesLateGivesNoOrders(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for _, pause := range []time.Duration{time.Second, 5 * time.Second, 7 * time.Second, 30 * time.Second} {
		c := New(Settings{Entry: "e", Incarnation: 1, LeaderTTL: 2 * time.Second, MaxUnconfirmed: 6 * time.Second},
			rand.New(rand.NewPCG(1, 1)))
		c.leadership.stage, c.leadership.epoch, c.leadership.lease, c.leadership.confirmedAt = leading, 5, 7, now
		d := dispatch.New(dispatch.Settings{MaxLease: 6 * time.Second}, 5)
		d.Recover(now, dispatch.RecoveryState{})
		c.leadership.dispatcher = d
		c.Step(now, WorkersRead{Complete: true, Workers: []job.Worker{{ID: "w", Address: "a", Service: "s", Boot: 1}}})
		orders := 0
		for _, a := range c.Step(now.Add(pause), HoldDone{Target: dispatch.Target{Worker: "w", Epoch: 5, Fence: 5}}) {
			if _, ok := a.(Dispatch); ok {
				orders++
			}
		}
		assert.Equal(t, orders > 0, pause < 6*time.Second, "%d orders after %v", orders, pause)
	}
}
