package header

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against request smuggling: body lengths that two parsers may interpret differently must be rejected, however
// the bytes are split between packets.
func TestFramingRefusesAmbiguousLengths(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"plain":             {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", nil},
		"pipelined":         {"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.1\r\n\r\n", nil},
		"chunked":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\n\r\n", nil},
		"http2":             {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\xff:\n", nil},
		"late preface":      {"GET / HTTP/1.1\r\n\r\nPRI * HTTP/2.0\r\nno colon\r\n", ErrMalformedHeader},
		"conflict":          {"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", ErrLengthConflict},
		"duplicate":         {"POST / HTTP/1.1\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\n", ErrLengthConflict},
		"length and chunks": {"POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", ErrLengthConflict},
		"list":              {"POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\n", ErrInvalidContentLength},
		"sign":              {"POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\n", ErrInvalidContentLength},
		"overflow":          {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", ErrInvalidContentLength},
		"two encodings":     {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrInvalidTransferEncoding},
		"other encoding":    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrInvalidTransferEncoding},
		"space before :":    {"POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\n", ErrMalformedHeader},
		"folded":            {"POST / HTTP/1.1\r\nA: b\r\n Content-Length: 2\r\n\r\n", ErrMalformedHeader},
		"chunk sign":        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nhi\r\n", ErrMalformedChunk},
		"chunk end":         {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n", ErrMalformedChunk},
		"in second request": {"GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", ErrLengthConflict},
	} {
		t.Run(name, func(t *testing.T) {
			for step := 1; step <= len(c.text); step++ {
				var f FramingChecker
				var err error
				for at := 0; at < len(c.text) && err == nil; at += step {
					err = f.Check([]byte(c.text[at:min(at+step, len(c.text))]))
				}
				assert.Equal(t, err, c.want, "in steps of %d", step)
			}
		})
	}
}

// Guards against a panic, and against a result that depends on how the bytes are split.
func FuzzFraming(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.1\r\n\r\n", 3)
	f.Add("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 7)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		if cut < 0 || cut > len(text) {
			return
		}
		var whole, split FramingChecker
		want := whole.Check([]byte(text))
		got := split.Check([]byte(text[:cut]))
		if got == nil {
			got = split.Check([]byte(text[cut:]))
		}
		assert.Equal(t, got, want)
	})
}

// Guards against timeouts that overflow, are infinite, or change by more than the rounding to a millisecond when they
// are forwarded.
func FuzzTimeout(f *testing.F) {
	for _, seed := range []string{"1", "0.25", "1e-9", "NaN", "Inf", "-1", "600", "601", " 2 "} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, err := ParseTimeout(http.Header{RequestTimeout: {value}}, 0)
		if err != nil {
			return
		}
		assert.Assert(t, d >= 0 && d <= MaxTimeout)
		roundTripped, err := ParseTimeout(http.Header{RequestTimeout: {FormatTimeout(d)}}, 0)
		assert.NilError(t, err)
		assert.Assert(t, roundTripped >= d && roundTripped-d <= time.Millisecond)
	})
}

// Guards against keys that could inject text into a header or a store record.
func FuzzKey(f *testing.F) {
	for _, seed := range []string{`"abc"`, "abc", `""`, `a"b`, "\x00", `"\"`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, err := ParseKey(http.Header{IdempotencyKey: {value}})
		if err != nil {
			return
		}
		assert.Assert(t, len(key) >= 1 && len(key) <= MaxKeyBytes)
		roundTripped, err := ParseKey(http.Header{IdempotencyKey: {`"` + key + `"`}})
		assert.NilError(t, err)
		assert.Equal(t, roundTripped, key)
	})
}

// Guards against hop-by-hop headers that reach the upstream, including those that Connection names.
func FuzzHopByHop(f *testing.F) {
	f.Add("close, X-Secret", "X-Secret")
	f.Add("keep-alive,,", "Te")
	f.Fuzz(func(t *testing.T, connection, name string) {
		h := http.Header{"Connection": {connection}}
		h.Set(name, "1")
		RemoveHopByHop(h)
		assert.Equal(t, len(h["Connection"]), 0)
		for _, removed := range hopByHop {
			assert.Equal(t, len(h[removed]), 0)
		}
	})
}
