package caller

import (
	"context"
	"math"
	"net/http"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/admission"
	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// refusal is an error response that jujubearch itself generates.
type refusal struct {
	status  int
	kind    string
	detail  string
	verdict verdict.Verdict
	// retryAfter is the Retry-After value in seconds; 0 means that a retry would not help.
	retryAfter int
}

// Refusals whose content does not depend on the request.
var (
	refusalUpgrade = refusal{
		http.StatusNotImplemented, "upgrade", "upgrades and CONNECT are not supported", verdict.NotRun, 0,
	}
	refusalNoRoute = refusal{
		http.StatusNotFound, "no-route", "no route matches", verdict.NotRun, 0,
	}
	refusalKeyRequired = refusal{
		http.StatusBadRequest, "key-required", "the route requires an Idempotency-Key", verdict.NotRun, 0,
	}
	refusalNoClaims = refusal{
		http.StatusServiceUnavailable, "no-claims", "keyed requests can't be claimed now", verdict.NotRun, 1,
	}
	refusalTooManyHops = refusal{
		http.StatusLoopDetected, "too-many-hops", "the request was forwarded too often", verdict.NotRun, 0,
	}
)

var refusalBodyTooLarge = refusal{
	http.StatusRequestEntityTooLarge, "keyed-body-too-large", "the body of a keyed request is too large",
	verdict.NotRun, 0,
}

func refusalBadBody(err error) *refusal {
	return &refusal{http.StatusBadRequest, "bad-body", err.Error(), verdict.NotRun, 0}
}

func refusalBadHeader(err error) *refusal {
	return &refusal{http.StatusBadRequest, "bad-header", err.Error(), verdict.NotRun, 0}
}

// maxRetryAfterSeconds bounds the Retry-After value of a refusal under overload.
const maxRetryAfterSeconds = 30

// overloadRefusal returns the refusal of a request that was not admitted. Its Retry-After value is the estimated time
// needed to serve the present queue.
func (p *Proxy) overloadRefusal(c *call, cause admission.Result) refusal {
	c.service.metrics.recordRefusal(cause)
	detail := "the queue of the service is full"
	if cause == admission.TooLate {
		detail = "the request would not be answered before its deadline"
	}
	load := c.service.load()
	wait := float64(c.service.waiting.Load()) * load.ServiceTime.Seconds() / float64(max(load.Slots, 1))
	seconds := int(math.Ceil(min(max(wait, 1), maxRetryAfterSeconds)))
	return refusal{http.StatusServiceUnavailable, cause.String(), detail, verdict.NotRun, seconds}
}

// failureRefusal maps the failure of the last attempt to a response. The response's verdict is NotRun only if every
// attempt is proved not to have run.
func failureRefusal(c *call, failure *upstream.Failure) refusal {
	outcome := failure.Kind.Outcome()
	v := outcome.Verdict
	if c.mayHaveRun {
		v = verdict.MayHaveRun
	}
	r := refusal{http.StatusBadGateway, failure.Kind.String(), outcome.Reason, v, 0}
	if errors.Is(context.Cause(c.request.Context()), upstream.ErrDeadline) {
		r.status = http.StatusGatewayTimeout
	}
	if failure.Kind == retry.KindBodyFailed {
		r.status = http.StatusBadRequest
		return r
	}
	if v == verdict.NotRun {
		r.status = http.StatusServiceUnavailable
		r.retryAfter = 1
	} else if c.idempotent && c.key == "" {
		r.retryAfter = 1
	}
	return r
}

// refuse sends a refusal, counts the request and settles its claim.
func (p *Proxy) refuse(c *call, r refusal) {
	c.service.metrics.recordEnd(r.verdict, c.started)
	c.settle(r.verdict)
	writeRefusal(c.writer, r)
}

func writeRefusal(w http.ResponseWriter, r refusal) {
	problem.New(r.status, r.kind, r.detail, r.verdict).WithRetryAfter(r.retryAfter).Write(w)
}
