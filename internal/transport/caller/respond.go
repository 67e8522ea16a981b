package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// copyBufferBytes is the size of the buffers for copying response bodies.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// respond sends the result of the last attempt to the caller, records its measurements and settles the claim.
func (p *Proxy) respond(c *call, res *attemptResult) {
	defer res.releaseTarget()
	if res.response == nil {
		p.refuse(c, failureRefusal(c, res.failure))
		return
	}
	defer func() { _ = res.response.Body.Close() }()
	if res.target.link == nil {
		c.service.latency.Observe(time.Since(res.target.started))
	}
	c.onBorrowedSlot = res.target.instance.Slot == snapshot.SlotBorrowed
	p.relay(c, res)
	v := res.kind.Outcome().Verdict
	if c.mayHaveRun && v == verdict.NotRun {
		v = verdict.MayHaveRun
	}
	if res.target.link == nil {
		c.service.serviceTime.Observe(time.Since(res.target.started))
	}
	c.service.metrics.recordEnd(v, c.started)
	c.settle(v)
}

// relay streams a response to the caller. If the response breaks off, it aborts the caller's connection or stream, so
// that the caller does not take a truncated response for a complete one.
func (p *Proxy) relay(c *call, res *attemptResult) {
	response := res.response
	writeHeaders(c, res)
	w := c.writer
	w.WriteHeader(response.StatusCode)
	body := response.Body
	if link := res.target.link; link != nil {
		body = link.pace(c.request.Context(), body, link.links.receivedBudget)
	}
	if err := c.copyBody(w, body, mustFlush(response)); err != nil {
		c.service.metrics.truncated.Inc()
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[trailerName(response, name)] = values
	}
}

// mustFlush reports whether each part of a body must be flushed to the caller, because it is not known when the next
// part will arrive.
func mustFlush(response *http.Response) bool {
	return response.ContentLength < 0 || strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// copyBody copies a response body to the caller. Each part that arrives restarts the timeout, so that it limits stalls
// and not the duration of a stream. A request on a borrowed slot keeps its deadline, because the loan may end then.
func (c *call) copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	if flush && flusher != nil {
		flusher.Flush()
	}
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return err
			}
			if flush && flusher != nil {
				flusher.Flush()
			}
			if !c.onBorrowedSlot {
				c.deadlineTimer.Reset(c.timeout)
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// trailerHeader is the header that announces the names of trailers.
const trailerHeader = "Trailer"

// trailerName returns the key under which net/http's server sends a trailer: its name if the response announced it, and
// otherwise the name with http.TrailerPrefix.
func trailerName(response *http.Response, name string) string {
	for _, value := range response.Header[trailerHeader] {
		if value == name {
			return name
		}
	}
	return http.TrailerPrefix + name
}

// writeHeaders copies the end-to-end headers of the response and announces its trailers.
func writeHeaders(c *call, res *attemptResult) {
	response := res.response
	h := response.Header
	header.RemoveHopByHop(h)
	h.Del(header.Leaving)
	h.Del(trailerHeader)
	for name := range response.Trailer {
		h.Add(trailerHeader, name)
	}
	switch {
	case res.kind == retry.KindResponse:
		h.Del(header.Verdict)
	case c.mayHaveRun:
		h.Set(header.Verdict, verdict.MayHaveRun.String())
	}
	header.AddVia(h, response.ProtoMajor, response.ProtoMinor)
	out := c.writer.Header()
	for name, values := range h {
		out[name] = values
	}
	if isCloseDelimited(response) && c.request.ProtoMajor == 1 {
		// A body that ends with the connection can't be proved to be complete. The caller gets it in the same form,
		// since chunked encoding would mark it as complete.
		out.Set("Transfer-Encoding", "identity")
	}
}

func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && response.Close && len(response.TransferEncoding) == 0 &&
		response.ProtoMajor == 1 && response.Request.Method != http.MethodHead
}

// interimForwarder forwards 1xx responses until the final response arrives. net/http calls forward on a
// goroutine of its own.
type interimForwarder struct {
	mu      sync.Mutex
	writer  http.ResponseWriter
	stopped bool
}

func withInterim(ctx context.Context, w http.ResponseWriter) (context.Context, *interimForwarder) {
	i := &interimForwarder{writer: w}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: i.forward}), i
}

func (i *interimForwarder) forward(code int, headers textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The server itself sends "100 Continue" when the body is first read, which is after the upstream has sent its own.
	if i.stopped || code == http.StatusContinue {
		return nil
	}
	h := i.writer.Header()
	for name, values := range headers {
		h[name] = values
	}
	i.writer.WriteHeader(code)
	clear(h)
	return nil
}

func (i *interimForwarder) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}
