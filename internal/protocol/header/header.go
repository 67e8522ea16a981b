// Package header names, parses and rewrites the HTTP headers that jujubearch uses, and checks the framing of HTTP/1.1
// requests. Ambiguous input is rejected: a header of jujubearch that is sent twice, or a body length that two parsers
// may read differently.
package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Names of headers in canonical form.
const (
	IdempotencyKey = "Idempotency-Key"
	RequestTimeout = "Request-Timeout"
	// Verdict says whether the request may have run; see package verdict.
	Verdict = "Jujubearch-Verdict"
	// Replayed marks a response that was stored for an earlier request with the same idempotency key.
	Replayed = "Jujubearch-Replayed"
	// Leaving is set to "true" in a response of an upstream instance that is about to stop.
	Leaving = "Jujubearch-Leaving"
	// Hops is the number of entries that have forwarded a request. Only entries set it.
	Hops       = "Jujubearch-Hops"
	RetryAfter = "Retry-After"
)

const (
	// MaxKeyBytes is the greatest length of an idempotency key.
	MaxKeyBytes = 256
	// MaxTimeout is the longest Request-Timeout that a caller may ask for.
	MaxTimeout = 10 * time.Minute
)

// ParseTimeout returns the value of the Request-Timeout header, which is in seconds with an optional fraction. It
// returns fallback if the header is absent.
func ParseTimeout(h http.Header, fallback time.Duration) (time.Duration, error) {
	values := h.Values(RequestTimeout)
	if len(values) == 0 {
		return fallback, nil
	}
	if len(values) > 1 {
		return 0, errors.Errorf("%s: sent %d times", RequestTimeout, len(values))
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || !(seconds > 0) || seconds > MaxTimeout.Seconds() {
		return 0, errors.Errorf("%s: %q is not a number of seconds above 0 and up to %v",
			RequestTimeout, values[0], MaxTimeout.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// ParseKey returns the value of the Idempotency-Key header. This is a quoted string (RFC 8941), as the IETF draft
// requires, or a bare token. It returns an empty key if the header is absent.
func ParseKey(h http.Header) (string, error) {
	values := h.Values(IdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", errors.Errorf("%s: sent %d times", IdempotencyKey, len(values))
	}
	key := strings.TrimSpace(values[0])
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > MaxKeyBytes {
		return "", errors.Errorf("%s: must have 1 to %d characters", IdempotencyKey, MaxKeyBytes)
	}
	for _, r := range key {
		if r < 0x20 || r > 0x7e || r == '"' || r == '\\' {
			return "", errors.Errorf("%s: character %q is not allowed", IdempotencyKey, r)
		}
	}
	return key, nil
}

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Transfer-Encoding",
	"Upgrade",
}

// RemoveHopByHop removes the headers that must not be forwarded, including those that the Connection header names.
func RemoveHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
