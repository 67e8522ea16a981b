package claim

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/caller"
)

const (
	// maxKeptResponseBytes bounds the body of a response that is kept for replay.
	maxKeptResponseBytes = 64 << 10
	// claimTimeout bounds the wait for a claim, during which the request holds a slot.
	claimTimeout = 3 * time.Second
	// retryAfterSeconds is the Retry-After value while the first request runs or the claim can't be recorded.
	retryAfterSeconds = 1
)

// Adapter implements caller.Claims with a Service.
type Adapter struct{ service *Service }

// NewAdapter returns an adapter that lets the callers' proxy use the service.
func NewAdapter(service *Service) *Adapter { return &Adapter{service: service} }

// Claim implements caller.Claims.
func (a *Adapter) Claim(ctx context.Context, w http.ResponseWriter, r caller.KeyedRequest) (caller.Claim, bool) {
	request := claim.Request{Key: keyHash(r), Fingerprint: requestFingerprint(r), RequestID: uuid.NewString()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decision, err := a.service.Claim(ctx, request)
	if err != nil {
		problem.New(http.StatusServiceUnavailable, "no-claims", err.Error(), verdict.NotRun).
			WithRetryAfter(retryAfterSeconds).Write(w)
		return nil, false
	}
	if decision.Outcome == claim.Granted {
		return &grantedClaim{service: a.service, request: request, writer: &responseRecorder{ResponseWriter: w}}, true
	}
	respondNotGranted(w, decision)
	return nil, false
}

// respondNotGranted responds to a request whose key is already claimed: with the kept response of the first request if
// there is one, and otherwise with an error.
func respondNotGranted(w http.ResponseWriter, decision claim.Decision) {
	switch {
	case decision.Outcome == claim.Mismatch:
		problem.New(http.StatusUnprocessableEntity, "key-reused", "the key was used for another request",
			verdict.NotRun).Write(w)
	case decision.Outcome == claim.Running:
		problem.New(http.StatusConflict, "key-running", "the first request with this key has not ended",
			verdict.MayHaveRun).WithRetryAfter(retryAfterSeconds).Write(w)
	case decision.Response == nil:
		problem.New(http.StatusConflict, "key-done",
			"the first request with this key has ended; its answer is not kept", verdict.MayHaveRun).Write(w)
	default:
		replay(w, *decision.Response)
	}
}

func replay(w http.ResponseWriter, response claim.StoredResponse) {
	for _, h := range response.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(header.Replayed, "true")
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// keyHash identifies a key within its route. It leaves the credentials out, since a caller whose credentials were
// renewed between attempts must not run a request twice; callers that use the same key differ in the fingerprint
// instead.
func keyHash(r caller.KeyedRequest) model.KeyHash {
	return hashParts([]byte(r.Route.Name), []byte(r.Key))
}

func requestFingerprint(r caller.KeyedRequest) model.KeyHash {
	return hashParts([]byte(r.Request.Method), []byte(r.Request.URL.RequestURI()),
		[]byte(r.Request.Header.Get("Authorization")), r.Body)
}

// hashParts hashes each part with its length, so that different lists of parts never have the same encoding.
func hashParts(parts ...[]byte) model.KeyHash {
	hash := sha256.New()
	for _, part := range parts {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		_, _ = hash.Write(part)
	}
	var key model.KeyHash
	copy(key[:], hash.Sum(nil))
	return key
}

// grantedClaim implements caller.Claim for the request that holds the claim.
type grantedClaim struct {
	service *Service
	request claim.Request
	writer  *responseRecorder
}

// Writer implements caller.Claim.
func (g *grantedClaim) Writer() http.ResponseWriter { return g.writer }

// Settle implements caller.Claim.
func (g *grantedClaim) Settle(v verdict.Verdict) {
	var response *claim.StoredResponse
	if v == verdict.Ran {
		response = g.writer.storedResponse()
	}
	g.service.Settle(g.request, v == verdict.NotRun, response)
}

// responseRecorder copies a response of up to maxKeptResponseBytes while it is written to the caller.
type responseRecorder struct {
	http.ResponseWriter

	status   int
	body     bytes.Buffer
	overflow bool
	// callerGone is set after a write to the caller has failed. A short response is still recorded for the caller's
	// retry.
	callerGone bool
}

// WriteHeader implements http.ResponseWriter. It does not record interim (1xx) responses.
func (r *responseRecorder) WriteHeader(status int) {
	if status >= http.StatusOK && r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > maxKeptResponseBytes {
		r.overflow = true
	} else if !r.overflow {
		_, _ = r.body.Write(p)
	}
	if !r.callerGone {
		n, err := r.ResponseWriter.Write(p)
		if err == nil || r.overflow {
			return n, err
		}
		r.callerGone = true
	}
	if r.overflow {
		return 0, http.ErrAbortHandler
	}
	return len(p), nil
}

// Flush implements http.Flusher.
func (r *responseRecorder) Flush() {
	if flusher, ok := r.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap gives http.ResponseController access to the caller's writer.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// storedResponse returns the recorded response, or nil if it was too long or has no status.
func (r *responseRecorder) storedResponse() *claim.StoredResponse {
	if r.overflow || r.status == 0 {
		return nil
	}
	response := &claim.StoredResponse{Status: r.status, Body: bytes.Clone(r.body.Bytes())}
	for name, values := range r.Header() {
		for _, value := range values {
			response.Headers = append(response.Headers, claim.Header{Name: name, Value: value})
		}
	}
	return response
}
