package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// relayFleet is a leader of workers in two data centres, without a simulation of the workers.
type relayFleet struct {
	d   *Dispatcher
	now time.Time
}

func newRelayFleet(workers, maxDirect int) *relayFleet {
	f := &relayFleet{
		d:   New(Settings{MaxLease: testMaxLease, StatusRetention: time.Minute, MaxDirectWorkers: maxDirect}, 1),
		now: time.UnixMilli(1_800_000_000_000),
	}
	f.d.Recover(f.now, RecoveryState{})
	var list []job.Worker
	for i := range workers {
		list = append(list, job.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%03d", i)), Address: fmt.Sprint("a", i), Service: "s", Boot: 1,
			DataCentre: model.DataCentre(fmt.Sprint("dc", i%2)),
		})
	}
	f.d.UpdateWorkers(f.now, list)
	return f
}

// holds lets time pass and returns the holds by relay.
func (f *relayFleet) holds(after time.Duration) map[model.EntryID][]Hold {
	f.now = f.now.Add(after)
	f.d.Advance(f.now)
	byRelay := make(map[model.EntryID][]Hold)
	for _, a := range f.d.Actions() {
		if h, ok := a.(Hold); ok {
			byRelay[h.Relay] = append(byRelay[h.Relay], h)
		}
	}
	return byRelay
}

// Guards against a small fleet that pays for relays that it does not need.
func TestSmallFleetHasNoRelays(t *testing.T) {
	f := newRelayFleet(10, 10)
	f.d.OfferRelay(Relay{Entry: "e", DataCentre: "dc0", MaxWorkers: 100})
	assert.Equal(t, len(f.holds(0)[""]), 10)
	assert.Assert(t, !f.d.NeedsRelays())
}

// Guards against a worker of a large fleet that is reached from another data centre although an entry of its own has
// capacity, against an entry that gets more workers than it can carry, and against a leader that sends everything
// itself before the first entry has offered itself.
func TestWorkersAreReachedFromTheirDataCentre(t *testing.T) {
	f := newRelayFleet(40, 10)
	assert.Equal(t, len(f.holds(0)), 0, "holds before relays could offer themselves")
	f.d.OfferRelay(Relay{Entry: "small", DataCentre: "dc0", MaxWorkers: 5})
	f.d.OfferRelay(Relay{Entry: "large", DataCentre: "dc0", MaxWorkers: 15})
	f.d.OfferRelay(Relay{Entry: "other", DataCentre: "dc1", MaxWorkers: 12})
	byRelay := f.holds(relaySettleTime)
	assert.Equal(t, len(byRelay["large"]), 15)
	assert.Equal(t, len(byRelay["small"]), 5)
	assert.Equal(t, len(byRelay["other"]), 12)
	assert.Equal(t, len(byRelay[""]), 8, "the leader itself reaches the rest")
	for _, h := range byRelay["large"] {
		assert.Equal(t, f.d.workers[h.Worker].DataCentre, model.DataCentre("dc0"))
	}
}

// Guards against workers that stay without an answer after the entry that carried their orders is lost, or that does
// not reach them.
func TestLostRelayIsReplaced(t *testing.T) {
	f := newRelayFleet(20, 5)
	f.d.OfferRelay(Relay{Entry: "a", DataCentre: "dc0"})
	f.d.OfferRelay(Relay{Entry: "b", DataCentre: "dc1"})
	first := f.holds(relaySettleTime)
	assert.Equal(t, len(first["a"]), 10)
	for _, h := range first["a"] {
		f.d.HandleHold(f.now, f.now, h.Target, job.Inventory{}, job.OrderResponse{Err: verdict.MayHaveRunError("lost", nil)})
	}
	f.d.LoseRelay(f.now, "a")
	assert.Equal(t, len(f.holds(10 * time.Millisecond)["b"]), 10, "holds at once through the other relay")

	f.d.OfferRelay(Relay{Entry: "c", DataCentre: "dc1"})
	unreachable := first["b"][0].Worker
	f.d.HandleHold(f.now, f.now, first["b"][0].Target, job.Inventory{}, job.OrderResponse{
		Err: verdict.MayHaveRunError("no answer", nil), FromRelay: true,
	})
	moved := f.holds(10 * time.Millisecond)
	assert.Equal(t, len(moved["c"]), 1)
	assert.Equal(t, moved["c"][0].Worker, unreachable)
}
