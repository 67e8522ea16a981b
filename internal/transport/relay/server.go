package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb/jobspbconnect"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// minCompressBytes is the size from which messages are compressed: most are small, and compressing them costs more CPU
// time than it saves.
const minCompressBytes = 16 << 10

const (
	// ErrNotLeading means that the called entry does not lead.
	ErrNotLeading = errors.ConstError("this entry does not lead")
	// ErrNotNeeded means that the leader sends all orders itself.
	ErrNotNeeded = errors.ConstError("the leader needs no relays")
	// ErrUnknownSession means that the leader does not share a session with the relay any more.
	ErrUnknownSession = errors.ConstError("the session has ended")
)

// Handler returns the path and the handler of the RPC service.
func (h *Hub) Handler() (string, http.Handler) {
	path, handler := jobspbconnect.NewRelayServiceHandler(h, connect.WithCompressMinBytes(minCompressBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bounded := &boundedWriter{ResponseWriter: w, control: http.NewResponseController(w)}
		defer func() { _ = bounded.control.SetWriteDeadline(time.Time{}) }()
		handler.ServeHTTP(bounded, r)
	})
}

// boundedWriter bounds the time of each write, so that a stream to an entry that reads nothing ends.
type boundedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (int, error) {
	// A connection without deadlines is still bounded by TCP.
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *boundedWriter) Flush() { _ = w.control.Flush() }

// Unwrap gives http.ResponseController access to the connection.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Follow implements jobspbconnect.RelayServiceHandler.
func (h *Hub) Follow(
	ctx context.Context, r *jobspb.FollowRequest, stream *connect.ServerStream[jobspb.FollowResponse],
) error {
	view := h.control().Snapshot()
	if !view.Leading || view.Epoch == 0 {
		return connect.NewError(connect.CodeUnavailable, ErrNotLeading)
	}
	if !view.NeedsRelays {
		return connect.NewError(connect.CodeResourceExhausted, ErrNotNeeded)
	}
	s, events := h.sessionFor(view, r)
	h.deliver(events...)
	err := h.sendOrders(ctx, s, stream.Send)
	h.deliver(h.endSession(s)...)
	return err
}

// endSession ends a session if it has not ended yet.
func (h *Hub) endSession(s *session) []scheduler.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sessions[s.entry] != s {
		return nil
	}
	return h.removeSession(s)
}

// sendOrders sends the orders of a session until it ends. The first message, which may be empty, announces it.
func (h *Hub) sendOrders(ctx context.Context, s *session, send func(*jobspb.FollowResponse) error) error {
	mustSend := true
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	for {
		h.mu.Lock()
		batch, closed := s.take(time.Now()), s.closed
		h.mu.Unlock()
		if closed {
			return nil
		}
		if mustSend || len(batch.GetOrders()) > 0 || len(batch.GetIncomplete()) > 0 {
			mustSend = false
			if err := send(batch); err != nil {
				return err
			}
			timer.Reset(keepAliveInterval)
			sleep(ctx, batchInterval)
		}
		select {
		case <-s.wake:
		case <-timer.C:
			mustSend = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Leave implements jobspbconnect.RelayServiceHandler.
func (h *Hub) Leave(_ context.Context, r *jobspb.LeaveRequest) (*jobspb.LeaveResponse, error) {
	h.mu.Lock()
	s := h.sessions[model.EntryID(r.GetEntry())]
	h.mu.Unlock()
	if s != nil && s.incarnation == model.Incarnation(r.GetIncarnation()) {
		h.deliver(h.endSession(s)...)
	}
	return &jobspb.LeaveResponse{}, nil
}

// Report implements jobspbconnect.RelayServiceHandler.
func (h *Hub) Report(
	_ context.Context, stream *connect.ClientStream[jobspb.ReportRequest],
) (*jobspb.ReportResponse, error) {
	for stream.Receive() {
		events, known := h.finishOrders(stream.Msg())
		if !known {
			return nil, connect.NewError(connect.CodeFailedPrecondition, ErrUnknownSession)
		}
		h.deliver(events...)
	}
	return &jobspb.ReportResponse{}, stream.Err()
}

// finishOrders returns the events for the results of a report, and false if its session has ended.
func (h *Hub) finishOrders(r *jobspb.ReportRequest) ([]scheduler.Event, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sessions[model.EntryID(r.GetEntry())]
	if s == nil || s.id != r.GetSession() {
		return nil, false
	}
	s.reportedAt = time.Now()
	var events []scheduler.Event
	for _, result := range r.GetResults() {
		if ev := s.finish(result); ev != nil {
			events = append(events, ev)
		}
	}
	return events, true
}
