// Package problem writes the error responses that jujubearch itself produces, as opposed to those of upstreams. Each is
// a problem document (RFC 9457) with a verdict, which says whether the request was or may have been executed.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Problem is a problem document.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Verdict string `json:"verdict"`
	// RetryAfterSeconds is also sent as the Retry-After header; 0 sends none.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// New returns a problem document. The kind becomes the last part of its type URI.
func New(status int, kind, detail string, v verdict.Verdict) Problem {
	return Problem{
		Type: "urn:jujubearch:problem:" + kind, Title: http.StatusText(status), Status: status, Detail: detail,
		Verdict: v.String(),
	}
}

// WithRetryAfter returns a copy that asks the client to wait for a number of seconds.
func (p Problem) WithRetryAfter(seconds int) Problem {
	p.RetryAfterSeconds = seconds
	return p
}

// Write sends the problem document as the response.
func (p Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		// Unreachable: a struct of strings and integers can always be encoded.
		panic(err)
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(header.Verdict, p.Verdict)
	if p.RetryAfterSeconds > 0 {
		h.Set(header.RetryAfter, strconv.Itoa(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
