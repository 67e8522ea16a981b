package controllertest

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// Store is an in-memory fake of the store. It keeps values without copying, so that a controller must not modify a
// value after writing it.
type Store struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseResponses is the number of upcoming writes that take effect but whose response is lost.
	LoseResponses int
	// LoseResponsesFor restricts LoseResponses to keys that contain this text.
	LoseResponsesFor string
	// Unusable holds the keys whose reads return a record that can't be decoded.
	Unusable map[string]bool
	// Calls counts the calls by operation.
	Calls map[controller.StoreOp]int
	// Writes counts the compare-and-swap calls by second.
	Writes map[int64]int
	// Observe is called for each call of an entry, if it is set.
	Observe func(entry model.EntryID, call controller.StoreCall)
	// ObserveWrite is called for each write, for measurements, if it is set.
	ObserveWrite func(key string, value any)

	records    map[string]controller.StoredRecord
	leaseOfKey map[string]model.LeaseID
	leases     map[model.LeaseID]*storeLease
	revision   model.Revision
	watches    []*pendingWatch
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

type pendingWatch struct {
	entry *Entry
	call  controller.StoreCall
	done  bool
}

func newStore() *Store {
	return &Store{
		Unusable: make(map[string]bool), Calls: make(map[controller.StoreOp]int), Writes: make(map[int64]int),
		records: make(map[string]controller.StoredRecord), leaseOfKey: make(map[string]model.LeaseID),
		leases: make(map[model.LeaseID]*storeLease),
	}
}

// Get returns the current record of a key.
func (s *Store) Get(key string) controller.StoredRecord {
	r, found := s.records[key]
	if !found {
		return controller.StoredRecord{Key: key}
	}
	if s.Unusable[key] {
		r.Value, r.Err = nil, verdict.NotRunError("record can't be decoded", nil)
	}
	return r
}

// Put writes a record as an operator would, without checking the revision.
func (w *Simulation) Put(key string, value any) {
	w.Store.write(key, value, 0)
	w.notifyWatches()
}

func (s *Store) write(key string, value any, lease model.LeaseID) {
	s.revision++
	delete(s.leaseOfKey, key)
	if value == nil {
		delete(s.records, key)
		return
	}
	s.records[key] = controller.StoredRecord{Key: key, Revision: s.revision, Value: value}
	if lease != 0 {
		s.leaseOfKey[key] = lease
	}
}

func (w *Simulation) handleStoreCall(e *Entry, call controller.StoreCall) {
	w.schedule(Latency, func() {
		w.Store.Calls[call.Op]++
		if w.Store.Observe != nil {
			w.Store.Observe(e.ID(), call)
		}
		if w.Store.Down || e.CutStore {
			w.schedule(Latency, func() { e.Step(controller.StoreDone{Token: call.Token, Err: lostResponse()}) })
			return
		}
		w.Store.deleteExpired(w.Now)
		if call.Op == controller.OpWatch {
			w.startWatch(e, call)
			return
		}
		done := w.Store.execute(w.Now, call)
		done.Token = call.Token
		loseResponse := call.Op == controller.OpSwap && w.Store.LoseResponses > 0 &&
			strings.Contains(call.Key, w.Store.LoseResponsesFor)
		if call.Op == controller.OpSwap && done.Swapped {
			w.notifyWatches()
		}
		if loseResponse {
			w.Store.LoseResponses--
			w.schedule(CallTimeout, func() { e.Step(controller.StoreDone{Token: call.Token, Err: lostResponse()}) })
			return
		}
		w.schedule(Latency, func() { e.Step(done) })
	})
}

func (s *Store) execute(now time.Time, call controller.StoreCall) controller.StoreDone {
	done := controller.StoreDone{}
	switch call.Op {
	case controller.OpGet:
		done.Records = []controller.StoredRecord{s.Get(call.Key)}
	case controller.OpList:
		done.Revision = s.revision
		for key := range s.records {
			if strings.HasPrefix(key, call.Key) {
				done.Records = append(done.Records, s.Get(key))
			}
		}
		slices.SortFunc(done.Records, func(a, b controller.StoredRecord) int { return strings.Compare(a.Key, b.Key) })
	case controller.OpSwap:
		s.swap(now, call, &done)
	case controller.OpGrantLease:
		done.Lease = model.LeaseID(len(s.leases) + 1)
		s.leases[done.Lease] = &storeLease{ttl: call.TTL, expires: now.Add(call.TTL)}
	case controller.OpKeepAlive:
		if l := s.leases[call.Lease]; l != nil && !now.After(l.expires) {
			l.expires = now.Add(l.ttl)
			done.Alive = true
		}
	case controller.OpRevokeLease:
		if l := s.leases[call.Lease]; l != nil {
			l.expires = time.Time{}
		}
	case controller.OpWatch:
	}
	return done
}

func (s *Store) swap(now time.Time, call controller.StoreCall, done *controller.StoreDone) {
	s.Writes[now.Unix()]++
	current := s.Get(call.Key)
	if current.Revision != call.Expect {
		done.Records = []controller.StoredRecord{current}
		return
	}
	if s.ObserveWrite != nil {
		s.ObserveWrite(call.Key, call.Value)
	}
	s.write(call.Key, call.Value, call.Lease)
	done.Swapped, done.Revision = true, s.revision
}

// deleteExpired deletes the keys attached to expired leases.
func (s *Store) deleteExpired(now time.Time) {
	for key, id := range s.leaseOfKey {
		if l := s.leases[id]; l == nil || now.After(l.expires) {
			s.write(key, nil, 0)
		}
	}
}

func (w *Simulation) startWatch(e *Entry, call controller.StoreCall) {
	pending := &pendingWatch{entry: e, call: call}
	w.Store.watches = append(w.Store.watches, pending)
	w.schedule(call.TTL, func() { w.completeWatch(pending, nil) })
	w.notifyWatches()
}

func (w *Simulation) notifyWatches() {
	for _, pending := range w.Store.watches {
		if r := w.Store.Get(pending.call.Key); r.Revision > pending.call.After {
			w.completeWatch(pending, []controller.StoredRecord{r})
		}
	}
	w.Store.watches = slices.DeleteFunc(w.Store.watches, func(pending *pendingWatch) bool { return pending.done })
}

func (w *Simulation) completeWatch(pending *pendingWatch, records []controller.StoredRecord) {
	if pending.done {
		return
	}
	pending.done = true
	done := controller.StoreDone{Token: pending.call.Token, Records: records, Revision: w.Store.revision}
	if w.Store.Down || pending.entry.CutStore {
		done = controller.StoreDone{Token: pending.call.Token, Err: lostResponse()}
	}
	w.schedule(Latency, func() { pending.entry.Step(done) })
}
