package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb/jobspbconnect"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// minCompressBytes is the size from which responses are compressed: most are small, and compressing them costs more CPU
// time than it saves.
const minCompressBytes = 16 << 10

// Handler returns the path and the handler of the RPC service.
func (h *Hub) Handler() (string, http.Handler) {
	return jobspbconnect.NewRelayServiceHandler(h, connect.WithCompressMinBytes(minCompressBytes))
}

// Poll implements jobspbconnect.RelayServiceHandler.
func (h *Hub) Poll(ctx context.Context, r *jobspb.PollRequest) (*jobspb.PollResponse, error) {
	view := h.control().Snapshot()
	if !view.Leading || view.Epoch == 0 {
		return &jobspb.PollResponse{}, nil
	}
	if r.GetLeaving() {
		h.deliver(h.releaseRelay(r)...)
		return &jobspb.PollResponse{}, nil
	}
	s, events := h.sessionFor(view, r)
	h.deliver(events...)
	return h.waitForOrders(ctx, s), nil
}

// releaseRelay ends the session of an entry that is stopping.
func (h *Hub) releaseRelay(r *jobspb.PollRequest) []scheduler.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sessions[model.EntryID(r.GetEntry())]
	if s == nil || s.incarnation != model.Incarnation(r.GetIncarnation()) {
		return nil
	}
	return h.removeSession(s)
}

// waitForOrders waits for orders of a session, at most for pollWait.
func (h *Hub) waitForOrders(ctx context.Context, s *session) *jobspb.PollResponse {
	h.mu.Lock()
	s.polls++
	poll, earliest := s.polls, s.respondedAt.Add(batchInterval)
	s.polling = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if poll == s.polls {
			s.polling, s.respondedAt = false, time.Now()
		}
		// A wake-up that this poll did not use is for the next one.
		s.signal()
	}()
	deadline := time.NewTimer(pollWait)
	defer deadline.Stop()
	sleep(ctx, time.Until(earliest))
	for {
		h.mu.Lock()
		batch, replaced := s.take(poll), poll != s.polls
		h.mu.Unlock()
		if len(batch.GetOrders()) > 0 || !batch.GetLeading() || replaced {
			return batch
		}
		select {
		case <-s.wake:
		case <-deadline.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Report implements jobspbconnect.RelayServiceHandler.
func (h *Hub) Report(_ context.Context, r *jobspb.ReportRequest) (*jobspb.ReportResponse, error) {
	events, response := h.finishOrders(r)
	h.deliver(events...)
	return response, nil
}

func (h *Hub) finishOrders(r *jobspb.ReportRequest) ([]scheduler.Event, *jobspb.ReportResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sessions[model.EntryID(r.GetEntry())]
	if s == nil || s.id != r.GetSession() {
		return nil, &jobspb.ReportResponse{}
	}
	response := &jobspb.ReportResponse{Known: true}
	var events []scheduler.Event
	for _, result := range r.GetResults() {
		o := s.unfinished[result.GetId()]
		ev, incomplete := s.finish(result)
		if incomplete {
			response.Incomplete = append(response.Incomplete, string(o.target.Worker))
		}
		if ev != nil {
			events = append(events, ev)
		}
	}
	return events, response
}
