package controller

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// entryDriver steps a controller and collects its store calls for the head, its notices and its fetches from peers.
// Other store calls get no answer.
type entryDriver struct {
	t       *testing.T
	c       *Controller
	now     time.Time
	reads   []StoreCall
	swaps   []StoreCall
	notices []Notify
	fetches []FetchHead
}

func newDriver(t *testing.T) *entryDriver {
	t.Helper()
	s := Settings{
		Entry: "a", Incarnation: 1, DataCentre: "dc", Seats: 1, DataCentres: []model.DataCentre{"dc"},
		Peers: []membership.Peer{{ID: "b", Address: "b:1", DataCentre: "dc"}},
	}
	d := &entryDriver{t: t, c: New(s, rand.New(rand.NewPCG(1, 2))), now: time.Unix(1000, 0)}
	d.step(Tick{})
	return d
}

func (d *entryDriver) step(ev Event) {
	for _, action := range d.c.Step(d.now, ev) {
		switch a := action.(type) {
		case StoreCall:
			if a.Key == model.KeyHead && a.Op == OpSwap {
				d.swaps = append(d.swaps, a)
			} else if a.Key == model.KeyHead {
				d.reads = append(d.reads, a)
			}
		case Notify:
			d.notices = append(d.notices, a)
		case FetchHead:
			d.fetches = append(d.fetches, a)
		}
	}
}

// completeRead delivers the result of the get or watch of the head in flight.
func (d *entryDriver) completeRead(done StoreDone) {
	d.t.Helper()
	assert.Equal(d.t, len(d.reads), 1, "want exactly one read of the head in flight")
	done.Token = d.reads[0].Token
	d.reads = nil
	d.step(done)
}

func (d *entryDriver) advance(by time.Duration) {
	for end := d.now.Add(by); d.now.Before(end); {
		d.now = d.now.Add(TickInterval)
		d.step(Tick{})
	}
}

func (d *entryDriver) version() model.Version { return d.c.Snapshot().Config.Version }

func (d *entryDriver) refusals() int {
	n := 0
	for _, x := range d.notices {
		if x.Code == notice.ConfigRefused {
			n++
		}
	}
	return n
}

func headReadResult(version model.Version, revision model.Revision) StoreDone {
	head := &model.Head{Config: model.Config{Version: version}}
	return StoreDone{Revision: revision, Records: []StoredRecord{{Key: model.KeyHead, Revision: revision, Value: head}}}
}

// Guards against a configuration version that goes back when a watch or a peer delivers an older head.
func TestOlderHeadIsNeverApplied(t *testing.T) {
	d := newDriver(t)
	d.completeRead(headReadResult(5, 50))
	d.completeRead(headReadResult(4, 40))
	assert.Equal(t, d.version(), model.Version(5))
	d.advance(2 * headRewatchDelay)
	d.step(HeadFetched{Peer: "b", Head: model.Head{Config: model.Config{Version: 3}}, Revision: 90})
	assert.Equal(t, d.version(), model.Version(5))
	d.completeRead(headReadResult(9, 90))
	assert.Equal(t, d.version(), model.Version(9), "a watch may skip versions")
}

// Guards against changes that are never applied because the store was restored from a backup and assigns lower
// revisions.
func TestChangeAfterRestoredBackupIsApplied(t *testing.T) {
	d := newDriver(t)
	d.completeRead(headReadResult(5, 50))
	d.completeRead(StoreDone{Revision: 10})
	d.advance(2 * headRewatchDelay)
	assert.Equal(t, d.reads[0].Op, OpGet, "the watch was continued from a revision that the restored store does not have")
	d.completeRead(headReadResult(4, 10))
	assert.Equal(t, d.version(), model.Version(5))
	assert.Equal(t, d.refusals(), 1)
	assert.Equal(t, d.reads[0].After, model.Revision(10))
	d.completeRead(headReadResult(6, 12))
	assert.Equal(t, d.version(), model.Version(6))
}

// Guards against losing the version in force because the record is undecodable or deleted, and against a log line per
// watch.
func TestUnusableHeadKeepsTheLastVersion(t *testing.T) {
	d := newDriver(t)
	d.completeRead(headReadResult(5, 50))
	bad := StoreDone{Revision: 51, Records: []StoredRecord{{Key: model.KeyHead, Revision: 51, Err: errors.New("bad")}}}
	d.completeRead(bad)
	d.completeRead(bad)
	assert.Equal(t, d.refusals(), 1)
	d.advance(2 * headRewatchDelay)
	d.completeRead(StoreDone{Revision: 52, Records: []StoredRecord{{Key: model.KeyHead, Revision: 52}}})
	assert.Equal(t, d.refusals(), 2)
	assert.Equal(t, d.version(), model.Version(5))
}

// Guards against a tight loop of store calls when watches return early without a change.
func TestWatchReturningEarlyIsDelayed(t *testing.T) {
	d := newDriver(t)
	d.completeRead(headReadResult(5, 50))
	calls := 0
	for range 600 {
		if len(d.reads) > 0 {
			calls++
			d.completeRead(headReadResult(5, 50))
		}
		d.advance(TickInterval)
	}
	assert.Assert(t, calls <= int(60*time.Second/headRewatchDelay)+1, "%d calls in 60 s", calls)
}

// Guards against missing a change after an outage in which the store lost its history of changes.
func TestGetFollowsFailedWatch(t *testing.T) {
	d := newDriver(t)
	d.completeRead(headReadResult(5, 50))
	assert.Equal(t, d.reads[0].Op, OpWatch)
	d.completeRead(StoreDone{Err: errors.New("down")})
	d.advance(StoreRetryMax)
	assert.Equal(t, d.reads[0].Op, OpGet)
}

// Guards against an entry that has no configuration during a store outage, and against a source that still says peer
// after the store has recovered.
func TestHeadComesFromPeerDuringOutage(t *testing.T) {
	d := newDriver(t)
	d.completeRead(StoreDone{Err: errors.New("down")})
	d.step(HeartbeatReceived{Heartbeat: membership.Heartbeat{
		Entry: "b", Incarnation: 1, ConfigVersion: 7, HeadRevision: 70,
	}})
	assert.Equal(t, len(d.fetches), 1)
	d.step(HeadFetched{Peer: "b", Head: model.Head{Config: model.Config{Version: 7}}, Revision: 70})
	assert.Equal(t, d.version(), model.Version(7))
	assert.Equal(t, d.c.Snapshot().Source, snapshot.SourcePeer)
	d.advance(StoreRetryMax)
	d.completeRead(headReadResult(7, 70))
	assert.Equal(t, d.c.Snapshot().Source, snapshot.SourceStore)
}

// Guards against exceeding the designed number of store calls for the configuration: 800 watches that return a change
// and 1,440 that time out per day.
func TestStoreCallsOfOneDay(t *testing.T) {
	const changes, timeouts = 800, 1440
	d := newDriver(t)
	calls := 1
	d.completeRead(headReadResult(1, 1))
	for i := range changes + timeouts {
		calls++
		if i < changes {
			d.now = d.now.Add(time.Second)
			d.completeRead(headReadResult(model.Version(i+2), model.Revision(i+2)))
			continue
		}
		d.now = d.now.Add(headWatchTimeout)
		d.completeRead(StoreDone{Revision: changes + 1})
	}
	assert.Equal(t, d.version(), model.Version(changes+1))
	assert.Assert(t, calls <= changes+timeouts+1, "%d calls", calls)
}
