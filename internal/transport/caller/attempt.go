package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// maxAttempts bounds the attempts of one request, also when the retry budget would allow more.
const maxAttempts = 3

// States of an attemptBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyAbandoned
)

// attemptBody gives one attempt access to the caller's body. Once anything was read, the body can't be sent again. An
// unread body is abandoned before the next attempt gets a new attemptBody, since net/http may still try to read it for
// the failed attempt.
type attemptBody struct {
	io.ReadCloser

	state atomic.Int32
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	if b.state.Load() != bodyRead && !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyAbandoned {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.ReadCloser.Read(p)
}

// abandon makes further reads fail if nothing was read yet, and reports whether that is so.
func (b *attemptBody) abandon() bool { return b.state.CompareAndSwap(bodyUnread, bodyAbandoned) }

// Close leaves the caller's body open, since net/http closes the body of a failed attempt and a later attempt may still
// send it. The server closes the body when the handler returns.
func (b *attemptBody) Close() error { return nil }

// attemptResult is the result of an attempt: a response, or a failure.
type attemptResult struct {
	target   *target
	response *http.Response
	kind     retry.Kind
	failure  *upstream.Failure
	// interim forwards 1xx responses during the attempt; it may be nil.
	interim *interimForwarder
}

// close discards the result of an attempt and releases its target.
func (r *attemptResult) close() {
	if r.response != nil {
		_ = r.response.Body.Close()
	}
	r.releaseTarget()
}

// releaseTarget releases the slot of the attempt, whose response must have been closed.
func (r *attemptResult) releaseTarget() {
	if r.response != nil {
		r.target.ended = upstream.Ended(r.response.Body)
	}
	r.target.release()
}

// sendWithRetries sends the request until an attempt has a final response or may not be repeated. It returns the last
// result, whose target the caller must release.
func (p *Proxy) sendWithRetries(c *call, t *target) *attemptResult {
	for n := 1; ; n++ {
		last := p.sendHedged(c, t)
		next := p.retryTarget(c, last, n)
		if next == nil {
			return last
		}
		last.close()
		t = next
	}
}

// retryTarget returns the target for a retry, or nil if the request must not be retried or no target is available.
func (p *Proxy) retryTarget(c *call, last *attemptResult, attempts int) *target {
	outcome := last.kind.Outcome()
	if outcome.Verdict == verdict.Ran {
		return nil
	}
	mayRepeat := retry.MayRepeat(retry.Attempt{
		Kind: last.kind, Idempotent: c.idempotent, Keyed: c.key != "",
		BodyRead: !c.replaceBody(),
	})
	var next *target
	if mayRepeat && attempts < maxAttempts && c.request.Context().Err() == nil {
		next = p.extraTarget(c, last.target)
	}
	if outcome.Verdict == verdict.MayHaveRun {
		c.mayHaveRun = true
	}
	if next != nil {
		c.service.metrics.retries.Inc()
	}
	return next
}

// replaceBody withdraws the body from the last attempt and reports whether it can be sent again.
func (c *call) replaceBody() bool {
	if c.body == nil {
		return true
	}
	if !c.body.abandon() {
		return false
	}
	c.body = &attemptBody{ReadCloser: c.body.ReadCloser}
	return true
}

// extraTarget acquires a slot for a retry or hedge, on another instance than that of avoid, and charges the retry
// budgets of the service and the instance. It never waits and never chooses a peer.
func (p *Proxy) extraTarget(c *call, avoid *target) *target {
	instance, ok := c.service.tryAcquire(c.service.instanceIndex(avoid), c.deadline())
	if !ok {
		return nil
	}
	t := &target{service: c.service, instance: instance, started: time.Now()}
	if !retry.TryAcquireBoth(&c.service.retryBudget, c.service.destinationBudget(t.id())) {
		t.release()
		return nil
	}
	return t
}

// instanceIndex returns the index of a target's instance in the newest snapshot, or -1.
func (s *service) instanceIndex(t *target) int {
	if t.link != nil {
		return -1
	}
	for i, instance := range s.instances() {
		if instance.ID == t.instance.ID {
			return i
		}
	}
	return -1
}

// sendOnce makes one attempt.
func (p *Proxy) sendOnce(ctx context.Context, c *call, t *target, forwardInterim bool) *attemptResult {
	res := &attemptResult{target: t}
	if forwardInterim {
		ctx, res.interim = withInterim(ctx, c.writer)
	}
	pool := p.options.Upstreams
	if t.link != nil {
		pool = p.options.Peers
	}
	t.started = time.Now()
	response, err := pool.RoundTrip(p.upstreamRequest(ctx, c, t, pool.Scheme())) //nolint:bodyclose // closed by close or respond
	if res.interim != nil {
		res.interim.stop()
	}
	if err != nil {
		res.recordFailure(err)
		return res
	}
	res.response = response
	res.kind = upstream.ClassifyResponse(response, t.link != nil)
	t.recordResponse(response.StatusCode)
	if t.link == nil && upstream.AnnouncesShutdown(response) {
		t.instance.Limiter.Close()
	}
	return res
}

func (r *attemptResult) recordFailure(err error) {
	failure, ok := err.(*upstream.Failure) //nolint:errorlint // RoundTrip always returns this type
	if !ok {
		failure = &upstream.Failure{Kind: retry.KindUnknown, Cause: err}
	}
	r.failure = failure
	r.kind = failure.Kind
	r.target.ended = failure.Ended
	r.target.recordFailure(failure.Kind)
}

// upstreamRequest returns the request to send to a target. It has no GetBody and is sent over an http.ClientConn, so
// that net/http can't send it twice.
func (p *Proxy) upstreamRequest(ctx context.Context, c *call, t *target, scheme string) *http.Request {
	r := c.request
	h := header.ForwardedHeader(r)
	h[header.RequestTimeout] = []string{header.FormatTimeout(time.Until(c.deadline()))}
	targetURL := &url.URL{
		Scheme: scheme, Host: t.address(), Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	if t.link != nil {
		h[header.Hops] = []string{"1"}
		targetURL.Path = forwardPrefix + targetURL.Path
		if targetURL.RawPath != "" {
			targetURL.RawPath = forwardPrefix + targetURL.RawPath
		}
	}
	out := (&http.Request{
		Method: r.Method, URL: targetURL, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Host: r.Host,
	}).WithContext(ctx)
	if c.body == nil {
		h.Del("Expect")
		return out
	}
	out.Body, out.ContentLength = c.body, r.ContentLength
	if len(r.Trailer) > 0 {
		// The server fills the Trailer map at the end of the body, and only a chunked body can have trailers.
		out.Trailer, out.ContentLength = r.Trailer, -1
		h.Del("Content-Length")
	}
	if t.link != nil {
		out.Body = t.link.pace(ctx, c.body, t.link.links.sentBudget)
	}
	return out
}
