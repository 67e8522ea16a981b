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
	// incomplete are the workers whose next inventory must be complete.
	incomplete []string
	// wake gets an element when an order is queued or the session ends.
	wake   chan struct{}
	closed bool
	// inProgress counts the unfinished orders that were handed to the relay, since activeSince.
	inProgress  int
	activeSince time.Time
	// reportedAt is when the last report arrived.
	reportedAt time.Time
}

func newSession(id uint64, entry model.EntryID, incarnation model.Incarnation, epoch model.Epoch) *session {
	return &session{
		id: id, entry: entry, incarnation: incarnation, epoch: epoch, unfinished: make(map[uint64]*order),
		decoders: make(map[model.WorkerID]*inventory.Decoder), wake: make(chan struct{}, 1), reportedAt: time.Now(),
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

// isSilent reports whether the relay has sent no report for too long.
func (s *session) isSilent(now time.Time) bool {
	if s.inProgress == 0 {
		return now.Sub(s.reportedAt) > maxIdleSilence
	}
	return now.Sub(s.reportedAt) > maxSilence && now.Sub(s.activeSince) > maxSilence
}

// take hands the next orders to the relay.
func (s *session) take(now time.Time) *jobspb.FollowResponse {
	batch := &jobspb.FollowResponse{Session: s.id, Epoch: uint64(s.epoch), Incomplete: s.incomplete}
	s.incomplete = nil
	s.writer.Begin()
	for len(s.queue) > 0 && len(batch.GetOrders()) < maxOrdersPerBatch {
		o := s.queue[0]
		s.queue = s.queue[1:]
		if s.unfinished[o.id] == nil {
			continue
		}
		if s.inProgress == 0 {
			s.activeSince = now
		}
		o.handed = true
		s.inProgress++
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

// remove removes an order that has got its result.
func (s *session) remove(o *order) {
	delete(s.unfinished, o.id)
	if o.handed {
		s.inProgress--
	}
}

// finish returns the event for a result. It returns nil if the order has one already.
func (s *session) finish(result *jobspb.Result) scheduler.Event {
	o := s.unfinished[result.GetId()]
	if o == nil {
		return nil
	}
	s.remove(o)
	response := relaybatch.ResultFromProto(result)
	if result.GetInventory() == nil || response.Err != nil {
		return resultEvent(o, response, job.Inventory{})
	}
	inv, err := s.decoderOf(o.target.Worker).Decode(result.GetInventory(), response.Clock)
	if err != nil {
		s.incomplete = append(s.incomplete, string(o.target.Worker))
		s.signal()
		return resultEvent(o, errNoResult, job.Inventory{})
	}
	return resultEvent(o, response, inv)
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
		s.remove(o)
		response := errNoResult
		if !o.handed {
			response = errNotHanded
		}
		events = append(events, resultEvent(o, response, job.Inventory{}))
	}
	return events
}
