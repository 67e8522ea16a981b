package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// Claims grants at-most-once claims on keyed requests.
type Claims interface {
	// Claim is called after the request was admitted and before anything is sent to an upstream. If it does not grant
	// the claim, it writes the response to w and returns false.
	Claim(ctx context.Context, w http.ResponseWriter, r KeyedRequest) (Claim, bool)
}

// KeyedRequest is a request with an idempotency key.
type KeyedRequest struct {
	Request *http.Request
	Route   *model.Route
	Key     string
	// Body is the complete body. Its fingerprint shows whether the key was used for a different request before.
	Body []byte
}

// Claim is a granted claim.
type Claim interface {
	// Writer returns the writer for the response, which lets the claim keep a copy of it.
	Writer() http.ResponseWriter
	// Settle ends the claim: NotRun releases it, Ran marks the response as complete, and MayHaveRun leaves the claim in
	// place. It is called exactly once.
	Settle(v verdict.Verdict)
}

// claim claims a keyed request and reports whether the request may be sent; if not, it has responded. It does nothing
// for a request without a key or one that another entry forwarded. Requests are claimed nowhere else.
func (p *Proxy) claim(c *call) bool {
	if c.key == "" || c.forwarded {
		// The claim of a forwarded request is held by the entry that received it from the caller.
		return true
	}
	if p.options.Claims == nil {
		p.refuse(c, refusalNoClaims)
		return false
	}
	body, refused := p.keyedBody(c)
	if refused != nil {
		p.refuse(c, *refused)
		return false
	}
	keyed := KeyedRequest{Request: c.request, Route: c.route, Key: c.key, Body: body}
	granted, ok := p.options.Claims.Claim(c.request.Context(), c.writer, keyed)
	if !ok {
		return false
	}
	c.grantedClaim = granted
	c.writer = granted.Writer()
	c.detach()
	return true
}

// detach keeps a claimed request running after its caller disconnects, so that a retry with the same key gets the
// response. The deadline still applies.
func (c *call) detach() {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(c.request.Context()))
	c.deadlineTimer.Stop()
	c.cancel = cancel
	c.deadlineTimer = time.AfterFunc(time.Until(c.deadline()), func() { cancel(upstream.ErrDeadline) })
	c.request = c.request.WithContext(ctx)
}

// keyedBody reads the body of a keyed request, up to MaxKeyedBodyBytes, and replaces it by the copy in memory. It runs
// after admission, so that the number of slots bounds the memory for such bodies.
func (p *Proxy) keyedBody(c *call) ([]byte, *refusal) {
	if c.body == nil {
		return nil, nil
	}
	limit := p.options.MaxKeyedBodyBytes
	body, err := io.ReadAll(io.LimitReader(c.body.ReadCloser, limit+1))
	if err != nil {
		return nil, refusalBadBody(err)
	}
	if int64(len(body)) > limit {
		return nil, &refusalBodyTooLarge
	}
	c.body = &attemptBody{ReadCloser: io.NopCloser(bytes.NewReader(body))}
	return body, nil
}

// settle ends the claim of the request, if it has one. Claims are settled nowhere else.
func (c *call) settle(v verdict.Verdict) {
	if c.grantedClaim != nil {
		c.grantedClaim.Settle(v)
		c.grantedClaim = nil
	}
}
