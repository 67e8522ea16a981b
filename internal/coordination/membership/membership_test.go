package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// fixture is the table of entry "a" with one peer, "b", and a clock.
type fixture struct {
	table *Table
	now   time.Time
}

func newFixture() *fixture {
	return &fixture{table: NewTable("a", []Peer{{ID: "b"}}), now: time.Unix(1000, 0)}
}

func (f *fixture) status() Status { return f.table.Status(f.now, "b") }

// advance lets time pass. If heartbeat is set, the table receives it once in each HeartbeatInterval.
func (f *fixture) advance(d time.Duration, heartbeat *Heartbeat) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(HeartbeatInterval)
		if heartbeat != nil {
			f.table.RecordHeartbeat(f.now, *heartbeat)
		}
		f.table.Observe(f.now)
	}
}

func heartbeatFrom(incarnation model.Incarnation) *Heartbeat {
	return &Heartbeat{Entry: "b", Incarnation: incarnation, Heard: []model.EntryID{"a"}}
}

// Guards against a peer that counts as alive although it sends no heartbeats, is paused or is reachable in one
// direction only.
func TestStatusFollowsSilenceAndOneWayLoss(t *testing.T) {
	f := newFixture()
	assert.Equal(t, f.status(), StatusUnknown)
	f.advance(time.Second, heartbeatFrom(1))
	assert.Equal(t, f.status(), StatusAlive)
	f.advance(time.Second, &Heartbeat{Entry: "b", Incarnation: 1})
	assert.Equal(t, f.status(), StatusSuspect, "the peer does not hear this entry")
	f.advance(time.Second, heartbeatFrom(1))
	f.advance(2*time.Second, nil)
	assert.Equal(t, f.status(), StatusSuspect)
	f.advance(DeadAfter, nil)
	assert.Equal(t, f.status(), StatusDead)
	f.advance(time.Second, heartbeatFrom(1))
	assert.Equal(t, f.status(), StatusAlive, "a paused process resumed")
}

// Guards against a delayed heartbeat of a replaced process that overwrites the state of the process that replaced it.
func TestOldIncarnationIsIgnored(t *testing.T) {
	f := newFixture()
	assert.Assert(t, !f.table.RecordHeartbeat(f.now, *heartbeatFrom(1)))
	assert.Assert(t, f.table.RecordHeartbeat(f.now, Heartbeat{Entry: "b", Incarnation: 2}))
	f.table.RecordHeartbeat(f.now, Heartbeat{Entry: "b", Incarnation: 1, Shards: []model.ShardID{7}})
	assert.Equal(t, len(f.table.Peers()[0].Last.Shards), 0, "the shards listed by the old process must be ignored")
}

// Guards against shards that move with each status change of a flapping peer.
func TestFlappingPeerIsNotPreferredUntilItIsHealthy(t *testing.T) {
	f := newFixture()
	for range 2 {
		f.advance(2*time.Second, heartbeatFrom(1))
		assert.Assert(t, f.table.IsPreferable(f.now, "b"))
		f.advance(3*time.Second, nil)
	}
	f.advance(2*time.Second, heartbeatFrom(1))
	assert.Equal(t, f.status(), StatusAlive)
	assert.Assert(t, !f.table.IsPreferable(f.now, "b"))
	f.advance(flapRecovery, heartbeatFrom(1))
	assert.Assert(t, f.table.IsPreferable(f.now, "b"))
}

// Guards against a peer that counts as gone because a delayed VM list does not contain it yet.
func TestPeerIsGoneOnlyAfterItWasListed(t *testing.T) {
	f := newFixture()
	f.advance(time.Second, heartbeatFrom(1))
	f.table.SetListed("b", false)
	f.advance(10*time.Second, nil)
	assert.Equal(t, f.status(), StatusDead)
	f.table.SetListed("b", true)
	f.table.SetListed("b", false)
	assert.Equal(t, f.status(), StatusGone)
	f.advance(time.Second, heartbeatFrom(2))
	assert.Equal(t, f.status(), StatusAlive)
}
