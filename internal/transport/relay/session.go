package relay

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/inventory"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/relaybatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// session is the state that the leader shares with one relay; the Hub's mutex guards it.
type session struct {
	id          uint64
	entry       model.EntryID
	incarnation model.Incarnation
	epoch       model.Epoch
	queue       []*order
	// unfinished are the orders without a result, those in the queue included.
	unfinished map[uint64]*order
	decoders   map[model.WorkerID]*inventory.Decoder
	writer     relaybatch.Writer
	// wake gets an element when an order is queued or the session ends.
	wake   chan struct{}
	closed bool
	// polls counts the polls; only the newest one gets orders. polling is true while it waits.
	polls   uint64
	polling bool
	// respondedAt is when the last poll was answered.
	respondedAt time.Time
}

func newSession(id uint64, entry model.EntryID, incarnation model.Incarnation, epoch model.Epoch) *session {
	return &session{
		id: id, entry: entry, incarnation: incarnation, epoch: epoch, unfinished: make(map[uint64]*order),
		decoders: make(map[model.WorkerID]*inventory.Decoder), wake: make(chan struct{}, 1), respondedAt: time.Now(),
	}
}

func (s *session) enqueue(o *order) {
	s.queue = append(s.queue, o)
	s.unfinished[o.id] = o
	s.signal()
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) close() {
	s.closed = true
	s.signal()
}

// isSilent reports whether the relay has not polled again within maxPollGap after a response.
func (s *session) isSilent(now time.Time) bool {
	return !s.polling && now.Sub(s.respondedAt) > maxPollGap
}

// take hands the next orders to the poll with the given number: none if a newer poll waits.
func (s *session) take(poll uint64) *jobspb.PollResponse {
	batch := &jobspb.PollResponse{Leading: !s.closed, Session: s.id, Epoch: uint64(s.epoch)}
	if poll != s.polls || s.closed {
		return batch
	}
	s.writer.Begin()
	for len(s.queue) > 0 && len(batch.GetOrders()) < maxOrdersPerPoll {
		o := s.queue[0]
		s.queue = s.queue[1:]
		if s.unfinished[o.id] == nil {
			continue
		}
		o.handed = true
		s.writer.Add(batch, o.id, o.action, s.decoderOf(o.target.Worker).Number())
	}
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}

func (s *session) decoderOf(w model.WorkerID) *inventory.Decoder {
	d := s.decoders[w]
	if d == nil {
		d = &inventory.Decoder{}
		s.decoders[w] = d
	}
	return d
}

// finish returns the event for a result. It returns nil if the order has one already. incomplete is set if the
// inventory refers to one that is missing here.
func (s *session) finish(result *jobspb.Result) (ev scheduler.Event, incomplete bool) {
	o := s.unfinished[result.GetId()]
	if o == nil {
		return nil, false
	}
	delete(s.unfinished, result.GetId())
	response := relaybatch.ResultFromProto(result)
	if result.GetInventory() == nil || response.Err != nil {
		return resultEvent(o, response, job.Inventory{}), false
	}
	inv, err := s.decoderOf(o.target.Worker).Decode(result.GetInventory(), response.Clock)
	if err != nil {
		return resultEvent(o, errNoResult, job.Inventory{}), true
	}
	return resultEvent(o, response, inv), false
}

// failOverdue returns the events for orders whose time is up.
func (s *session) failOverdue(now time.Time) []scheduler.Event {
	return s.fail(func(o *order) bool { return now.After(o.expires) })
}

func (s *session) failAll() []scheduler.Event {
	return s.fail(func(*order) bool { return true })
}

func (s *session) fail(match func(*order) bool) []scheduler.Event {
	var failed []*order
	for _, o := range s.unfinished {
		if match(o) {
			failed = append(failed, o)
		}
	}
	slices.SortFunc(failed, func(a, b *order) int { return int(a.id) - int(b.id) })
	events := make([]scheduler.Event, 0, len(failed))
	for _, o := range failed {
		delete(s.unfinished, o.id)
		response := errNoResult
		if !o.handed {
			response = errNotHanded
		}
		events = append(events, resultEvent(o, response, job.Inventory{}))
	}
	return events
}
