package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// relaySettleTime is how long a new leader of a large fleet waits for entries to offer themselves as relays before it
// sends the first holds. They learn of the leader within some tens of milliseconds.
const relaySettleTime = 300 * time.Millisecond

// relayAvoidTime is how long an entry that did not reach a worker is not used for it.
const relayAvoidTime = 5 * time.Second

// Relay is an entry that can carry the leader's orders to workers.
type Relay struct {
	Entry      model.EntryID
	DataCentre model.DataCentre
	// MaxWorkers is the number of workers that it can carry orders to; 0 means any number.
	MaxWorkers int
}

// relays decides through which entry each worker is reached. A fleet that the leader can serve itself has no relays.
// In larger ones each worker is reached through an entry of its own data centre, if there is one with capacity.
//
// A relay owns nothing: it can be replaced at any time, and orders that reach a worker through two relays have the
// effect of one, since workers refuse lower epochs and know the runs that they have seen.
type relays struct {
	offered map[model.EntryID]*relayState
	// settledAt is when the first assignment is made.
	settledAt time.Time
	// changed is set when the assignment has to be made again.
	changed bool
}

type relayState struct {
	Relay
	// workers is the number of workers that are assigned to it.
	workers int
}

func (s *relayState) hasCapacity() bool { return s.MaxWorkers == 0 || s.workers < s.MaxWorkers }

// OfferRelay adds an entry that can carry orders, or replaces what is known of it.
func (d *Dispatcher) OfferRelay(r Relay) {
	s := d.relays.offered[r.Entry]
	if s == nil {
		s = &relayState{}
		d.relays.offered[r.Entry] = s
	}
	s.Relay = r
	d.relays.changed = true
}

// LoseRelay removes an entry that no longer carries orders. Its workers are reached in another way at once.
func (d *Dispatcher) LoseRelay(now time.Time, entry model.EntryID) {
	s := d.relays.offered[entry]
	if s == nil {
		return
	}
	delete(d.relays.offered, entry)
	if s.workers > 0 {
		d.logEvent(notice.RelayLost, Attr{Key: "relay", Value: entry}, Attr{Key: "workers", Value: s.workers})
	}
	for _, w := range d.sortedWorkers {
		if w.relay == entry {
			w.relay, w.nextHold = "", now
		}
	}
	d.relays.changed = true
	d.recheckHolds()
}

// avoidRelay reaches a worker in another way after its relay got no response. The relay may be cut off from the worker
// while others reach it.
func (d *Dispatcher) avoidRelay(now time.Time, w *worker) {
	if w.relay == "" || !d.NeedsRelays() {
		return
	}
	w.avoidedRelay, w.avoidRelayUntil = w.relay, now.Add(relayAvoidTime)
	w.relay, w.nextHold = "", now
	d.relays.changed = true
	d.recheckHolds()
}

// NeedsRelays reports whether the fleet is larger than the leader can serve itself.
func (d *Dispatcher) NeedsRelays() bool {
	return d.settings.MaxDirectWorkers > 0 && len(d.sortedWorkers) > d.settings.MaxDirectWorkers
}

// relaysSettled reports whether orders may be sent: a new leader of a large fleet first waits for relays.
func (d *Dispatcher) relaysSettled(now time.Time) bool {
	return !d.NeedsRelays() || !now.Before(d.relays.settledAt)
}

// assignRelays assigns workers without a relay, if something has changed. Workers keep their relay while it is there.
func (d *Dispatcher) assignRelays(now time.Time) {
	if !d.relays.changed || !d.NeedsRelays() || !d.relaysSettled(now) {
		return
	}
	d.relays.changed = false
	for _, s := range d.relays.offered {
		s.workers = 0
	}
	var unassigned []*worker
	for _, w := range d.sortedWorkers {
		if s := d.relays.offered[w.relay]; s != nil {
			s.workers++
		} else {
			w.relay = ""
			unassigned = append(unassigned, w)
		}
	}
	byDataCentre := d.relays.byDataCentre()
	direct := 0
	for _, w := range unassigned {
		s := firstForWorker(now, byDataCentre[w.DataCentre], w)
		if s == nil {
			s = d.relays.mostCapacity(now, w)
		}
		if s == nil {
			direct++
			continue
		}
		s.workers++
		w.relay = s.Entry
	}
	if len(unassigned) > 0 {
		d.logEvent(notice.RelaysAssigned, Attr{Key: "workers", Value: len(d.sortedWorkers)},
			Attr{Key: "assigned", Value: len(unassigned) - direct}, Attr{Key: "direct", Value: direct},
			Attr{Key: "relays", Value: d.relays.inUse()})
	}
}

// byDataCentre returns the offered relays of each data centre, those with the highest capacity first, so that few of
// them are used.
func (r *relays) byDataCentre() map[model.DataCentre][]*relayState {
	lists := make(map[model.DataCentre][]*relayState)
	for _, s := range r.offered {
		lists[s.DataCentre] = append(lists[s.DataCentre], s)
	}
	for _, list := range lists {
		slices.SortFunc(list, compareRelays)
	}
	return lists
}

func compareRelays(a, b *relayState) int {
	return cmp.Or(cmp.Compare(b.MaxWorkers, a.MaxWorkers), cmp.Compare(a.Entry, b.Entry))
}

// suits reports whether a relay can be assigned to a worker.
func (s *relayState) suits(now time.Time, w *worker) bool {
	return s.hasCapacity() && (s.Entry != w.avoidedRelay || !now.Before(w.avoidRelayUntil))
}

func firstForWorker(now time.Time, list []*relayState, w *worker) *relayState {
	for _, s := range list {
		if s.suits(now, w) {
			return s
		}
	}
	return nil
}

// mostCapacity returns the relay of any data centre with the most capacity left for a worker, or nil.
func (r *relays) mostCapacity(now time.Time, w *worker) *relayState {
	var best *relayState
	for _, s := range r.offered {
		if !s.suits(now, w) {
			continue
		}
		if best == nil || s.MaxWorkers-s.workers > best.MaxWorkers-best.workers ||
			s.MaxWorkers-s.workers == best.MaxWorkers-best.workers && s.Entry < best.Entry {
			best = s
		}
	}
	return best
}

// inUse returns the number of relays that have workers.
func (r *relays) inUse() int {
	n := 0
	for _, s := range r.offered {
		if s.workers > 0 {
			n++
		}
	}
	return n
}
