package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// Causes with which the user of a Pool cancels the context of a request.
const (
	// ErrDeadline means that the request's deadline has passed.
	ErrDeadline = errors.ConstError("the deadline of the request has passed")
	// ErrHedgeLost means that another attempt at the same request responded first.
	ErrHedgeLost = errors.ConstError("another attempt responded first")
)

// dialError marks an error of opening a connection, before the request was assigned to one.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// classifyDial maps an error from before the request had a connection to a kind. All these kinds prove that the request
// did not run.
func classifyDial(ctx context.Context, err error) retry.Kind {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrNoConnection):
		return retry.KindNoConnection
	case ctx.Err() != nil:
		return retry.KindNotWritten
	case errors.Is(err, syscall.ECONNREFUSED):
		return retry.KindDialRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return retry.KindDialTimeout
	}
	return retry.KindDialFailed
}

// failedExchange holds everything that classify considers.
type failedExchange struct {
	context context.Context
	err     error
	// notWritten is true if it is proved that no byte of the request was written and none will be.
	notWritten bool
	// readErr is the first error from reading the connection.
	readErr error
	// bodyErr is the first error from reading the caller's body.
	bodyErr error
}

// classify maps a failed exchange to a kind. The order of the checks matters: a proof that nothing was written holds
// regardless of other errors, and the end of the context comes next because it causes other errors.
func classify(e failedExchange) retry.Kind {
	switch {
	case e.notWritten:
		return retry.KindNotWritten
	case e.context.Err() != nil:
		return classifyContext(e.context)
	case e.bodyErr != nil:
		return retry.KindBodyFailed
	}
	if kind, ok := classifyHTTP2(e.err); ok {
		return kind
	}
	return classifyConnection(e)
}

func classifyContext(ctx context.Context) retry.Kind {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrDeadline), errors.Is(cause, context.DeadlineExceeded):
		return retry.KindDeadline
	case errors.Is(cause, ErrHedgeLost):
		return retry.KindHedgeLost
	}
	return retry.KindCallerCancelled
}

func classifyConnection(e failedExchange) retry.Kind {
	var op *net.OpError
	switch {
	case strings.Contains(e.err.Error(), "malformed"), strings.Contains(e.err.Error(), "exceeded"):
		return retry.KindMalformed
	case errors.Is(e.err, syscall.ECONNRESET), errors.Is(e.readErr, syscall.ECONNRESET):
		return retry.KindReset
	case errors.As(e.err, &op) && op.Op == "write":
		return retry.KindWriteFailed
	case errors.Is(e.err, io.EOF), errors.Is(e.err, io.ErrUnexpectedEOF), errors.Is(e.readErr, io.EOF):
		return retry.KindConnectionClosed
	case errors.As(e.err, &op) && op.Op == "read":
		return retry.KindReadFailed
	case strings.Contains(e.err.Error(), "transport connection broken: http:"):
		return retry.KindMalformed
	}
	return retry.KindUnknown
}

// errCodeRefusedStream is the HTTP/2 error code REFUSED_STREAM (RFC 9113, section 7).
const errCodeRefusedStream = 0x7

// streamError has the same fields as net/http's unexported HTTP/2 stream error, whose As method converts to such a
// type.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (e streamError) Error() string {
	return fmt.Sprintf("stream %d reset with code %#x", e.StreamID, e.Code)
}

// Texts of HTTP/2 errors that net/http does not export. The tests of this package produce these errors on real sockets,
// so that they detect a change in net/http. An unknown text counts as may-have-run.
const (
	errTextGoAwayGraceful    = "http2: Transport received Server's graceful shutdown GOAWAY"
	errTextGoAwayFirstStream = "http2: Transport received GOAWAY from server ErrCode:"
	errTextNotUsable         = "http2: client conn not usable"
	errTextGoAwayClosed      = "http2: server sent GOAWAY and closed the connection"
)

func classifyHTTP2(err error) (retry.Kind, bool) {
	var stream streamError
	if errors.As(err, &stream) {
		if stream.Code == errCodeRefusedStream {
			return retry.KindStreamRefused, true
		}
		return retry.KindStreamReset, true
	}
	text := err.Error()
	switch {
	case text == errTextNotUsable:
		return retry.KindNotWritten, true
	// Both mean that the stream's identifier is above the last one in GOAWAY, so that the server has not processed the
	// stream (RFC 9113, section 6.8).
	case text == errTextGoAwayGraceful, strings.HasPrefix(text, errTextGoAwayFirstStream):
		return retry.KindGoAwayUnprocessed, true
	case strings.HasPrefix(text, errTextGoAwayClosed):
		return retry.KindGoAway, true
	}
	return 0, false
}

// ClassifyResponse maps a response to a kind. A response means that the request ran, unless its verdict header says
// otherwise. The header counts with any status if a peer sent it, since a peer reports for its instances, and only with
// status 503 if an instance did.
func ClassifyResponse(response *http.Response, fromPeer bool) retry.Kind {
	value := response.Header.Get(header.Verdict)
	if value == "" || (!fromPeer && response.StatusCode != http.StatusServiceUnavailable) {
		return retry.KindResponse
	}
	switch value {
	case verdict.NotRun.String():
		return retry.KindResponseNotRun
	case verdict.MayHaveRun.String():
		return retry.KindResponseUnproved
	}
	return retry.KindResponse
}

// AnnouncesShutdown reports whether a response announces that its instance is shutting down.
func AnnouncesShutdown(response *http.Response) bool {
	if response.Header.Get(header.Leaving) == "true" {
		return true
	}
	return response.StatusCode == http.StatusServiceUnavailable && response.Close
}
