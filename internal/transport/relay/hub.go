// Package relay lets other entries carry the leader's orders to workers. A Hub at the leader queues orders for relays,
// the entries that follow it, and turns their reports into events of the scheduler core. An Agent at each other entry
// follows the leader, carries orders out and reports the results.
//
// Guarantees: each order given to a Hub leads to exactly one event, at the latest when its time is up; an order that was
// never handed to a relay is reported as not run. A relay that was paused sends no order that has grown old, and
// acknowledges no end whose report has. A Hub keeps nothing that outlives the leadership.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/jobs"
)

const (
	// keepAliveInterval is the time after which an empty message is sent to a relay.
	keepAliveInterval = time.Second
	// maxSilence is the time for which a relay with orders in progress may send no report, and maxIdleSilence that for
	// one without.
	maxSilence     = 700 * time.Millisecond
	maxIdleSilence = 6 * time.Second
	// writeTimeout bounds the sending of one batch.
	writeTimeout = 3 * time.Second
	// maxOrdersPerBatch bounds one batch.
	maxOrdersPerBatch = 500
	// resultGrace is added to the time that an order takes at the relay, for both ways between leader and relay.
	resultGrace = 300 * time.Millisecond
	// sweepInterval is the period of the search for overdue orders and silent relays.
	sweepInterval = 100 * time.Millisecond
)

// Core is the control actor that gets the events.
type Core interface {
	Snapshot() *scheduler.View
	Send(ctx context.Context, ev scheduler.Event) error
}

const (
	// batchInterval is the minimum time between two batches of orders or results on one way between leader and relay,
	// since each batch has a cost, however small it is.
	batchInterval = 10 * time.Millisecond
)

// Hub is the leader's side. It is safe for concurrent use.
type Hub struct {
	mu       sync.Mutex
	core     Core
	epoch    model.Epoch
	sessions map[model.EntryID]*session
	lastID   uint64
	sweeping bool
}

// NewHub returns a hub without relays. Attach must be called before its handler is served.
func NewHub() *Hub { return &Hub{sessions: make(map[model.EntryID]*session)} }

// Attach sets the control actor, which needs the hub itself to be created.
func (h *Hub) Attach(core Core) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core = core
}

func (h *Hub) control() Core {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core
}

// order is an order that has no result yet.
type order struct {
	id      uint64
	action  dispatch.Action
	target  dispatch.Target
	queued  time.Time
	expires time.Time
	handed  bool
}

// Enqueue queues an order for the relay that its target names. It does not block.
func (h *Hub) Enqueue(action dispatch.Action) {
	target, ok := dispatch.TargetOf(action)
	if !ok {
		return
	}
	now := time.Now()
	h.mu.Lock()
	s := h.sessions[target.Relay]
	if s == nil || s.epoch != target.Epoch {
		h.mu.Unlock()
		// The core may not know yet that the relay is gone. The actor must not wait for itself.
		go h.deliver(resultEvent(&order{action: action, target: target, queued: now}, errNotHanded, job.Inventory{}))
		return
	}
	h.lastID++
	s.enqueue(&order{
		id: h.lastID, action: action, target: target, queued: now,
		expires: now.Add(jobs.OrderTimeout(action) + resultGrace),
	})
	h.mu.Unlock()
}

var (
	errNotHanded = job.OrderResponse{Err: verdict.NotRunError("no relay took the order", nil)}
	errNoResult  = job.OrderResponse{Err: verdict.MayHaveRunError("the relay returned no result", nil)}
)

// resultEvent returns the event with the result of an order.
func resultEvent(o *order, response job.OrderResponse, inventory job.Inventory) scheduler.Event {
	if _, ok := o.action.(dispatch.Hold); ok {
		return scheduler.HoldDone{Target: o.target, Sent: o.queued, Inventory: inventory, Response: response}
	}
	return scheduler.OrderDone{Order: o.action, Response: response}
}

// deliver passes events to the core. It fails only if the actor is stopped, when nobody waits for them.
func (h *Hub) deliver(events ...scheduler.Event) {
	if len(events) > 0 {
		_ = h.control().Send(context.Background(), scheduler.Batch(events))
	}
}

// sessionFor returns a new session for an entry, and the events that its creation causes.
func (h *Hub) sessionFor(view *scheduler.View, r *jobspb.FollowRequest) (*session, []scheduler.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch != view.Epoch {
		for _, s := range h.sessions {
			s.close()
		}
		h.epoch, h.sessions = view.Epoch, make(map[model.EntryID]*session)
	}
	entry, incarnation := model.EntryID(r.GetEntry()), model.Incarnation(r.GetIncarnation())
	var events []scheduler.Event
	if former := h.sessions[entry]; former != nil {
		events = h.removeSession(former)
	}
	h.lastID++
	s := newSession(h.lastID, entry, incarnation, view.Epoch)
	h.sessions[entry] = s
	if !h.sweeping {
		h.sweeping = true
		go h.sweep()
	}
	return s, append(events, scheduler.RelayOffered{Epoch: view.Epoch, Relay: dispatch.Relay{
		Entry: entry, DataCentre: model.DataCentre(r.GetDataCentre()), MaxWorkers: int(r.GetMaxWorkers()),
	}})
}

// removeSession ends a session and returns the results of its orders and the loss of the relay. The caller holds the
// mutex.
func (h *Hub) removeSession(s *session) []scheduler.Event {
	delete(h.sessions, s.entry)
	events := s.failAll()
	s.close()
	return append(events, scheduler.RelayLost{Epoch: s.epoch, Entry: s.entry})
}

// sweep fails overdue orders and ends the sessions of silent relays, until there is no session.
func (h *Hub) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		events, more := h.sweepOnce(now)
		h.deliver(events...)
		if !more {
			return
		}
	}
}

func (h *Hub) sweepOnce(now time.Time) (events []scheduler.Event, more bool) {
	leading := h.control().Snapshot().Epoch
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.sessions {
		switch {
		case s.epoch != leading:
			delete(h.sessions, s.entry)
			s.close()
		case s.isSilent(now):
			events = append(events, h.removeSession(s)...)
		default:
			events = append(events, s.failOverdue(now)...)
		}
	}
	h.sweeping = len(h.sessions) > 0
	return events, h.sweeping
}
