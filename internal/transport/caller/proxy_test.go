package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against request smuggling and against refusals without a verdict, including those that net/http itself writes.
func TestMalformedRequestsAreRefusedWithVerdict(t *testing.T) {
	var reached atomic.Int32
	r := newTestProxy(t, 4, serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reached.Add(1)
	}), false))
	for name, c := range map[string]struct {
		text   string
		status string
	}{
		"conflicting lengths": {
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400",
		},
		"repeated lengths": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", "400"},
		"length and chunked": {
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400",
		},
		"unknown encoding": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "400"},
		"signed length":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na", "400"},
		"space in name":    {"GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n", "400"},
		"folded header":    {"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", "400"},
		"two hosts":        {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
		"no host":          {"GET / HTTP/1.1\r\n\r\n", "400"},
		"no version":       {"GET /longer-than-the-http2-preface\r\n\r\n", "400"},
		"bad timeout":      {"GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout: x\r\n\r\n", "400"},
		"upgrade": {
			"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "501",
		},
		"connect":           {"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", "501"},
		"long headers":      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431"},
		"keyed, no claims":  {"POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n", "503"},
		"control character": {"GET /\x7f HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			answer := sendRaw(t, r.address, c.text)
			assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 "+c.status), answer)
			assert.Assert(t, strings.Contains(answer, "\r\nJujubearch-Verdict: not-run\r\n"), answer)
			assert.Assert(t, strings.Contains(answer, "application/problem+json"), answer)
		})
	}
	assert.Equal(t, reached.Load(), int32(0))
}

// Guards against buffering: each part of a response must reach the caller before the upstream writes the next.
func TestResponseStreams(t *testing.T) {
	next := make(chan struct{})
	r := newTestProxy(t, 4, serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "part %d\n", i)
			w.(http.Flusher).Flush()
			<-next
		}
	}), false))
	for name, client := range clients(t) {
		t.Run(name, func(t *testing.T) {
			response, err := client.Get("http://" + r.address + "/")
			assert.NilError(t, err)
			lines := bufio.NewReader(response.Body)
			for i := range 3 {
				line, err := lines.ReadString('\n')
				assert.NilError(t, err)
				assert.Equal(t, line, fmt.Sprintf("part %d\n", i))
				next <- struct{}{}
			}
			_, err = lines.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against trailers, bodies and interim responses that are lost in either direction.
func TestTrailersInterimResponsesAndHeadAreForwarded(t *testing.T) {
	r := newTestProxy(t, 4, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "42")
			return
		}
		w.Header().Set("Link", "</style>")
		w.WriteHeader(http.StatusEarlyHints)
		body, _ := io.ReadAll(r.Body)
		w.Header().Del("Link")
		w.Header().Set("Trailer", "Announced")
		_, _ = fmt.Fprintf(w, "%s %s %s", body, r.Trailer.Get("Sum"), r.Header.Get("Te"))
		w.Header().Set("Announced", "a")
		w.Header().Set(http.TrailerPrefix+"Late", "l")
	}), false))
	for name, client := range clients(t) {
		t.Run(name, func(t *testing.T) {
			hints := 0
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
				Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
					if code == http.StatusEarlyHints && h.Get("Link") == "</style>" {
						hints++
					}
					return nil
				},
			})
			body := io.MultiReader(strings.NewReader("bo"), strings.NewReader("dy"))
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/", body)
			assert.NilError(t, err)
			request.Header.Set("Te", "trailers")
			request.Trailer = http.Header{"Sum": {"s"}}
			response, err := client.Do(request)
			assert.NilError(t, err)
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), "body s trailers")
			assert.Equal(t, response.Trailer.Get("Announced"), "a")
			assert.Equal(t, response.Trailer.Get("Late"), "l")
			assert.Equal(t, hints, 1)
			assert.Equal(t, response.Header.Get("Link"), "")
			head, err := client.Head("http://" + r.address + "/")
			assert.NilError(t, err)
			assert.Equal(t, head.ContentLength, int64(42))
		})
	}
}

// Guards against a "100 Continue" that the upstream has not sent, and against losing one that it has sent.
func TestExpectContinueFollowsTheUpstream(t *testing.T) {
	r := newTestProxy(t, 4, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/no" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}), false))
	head := " HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
	yes := sendRaw(t, r.address, "POST /yes"+head)
	assert.Assert(t, strings.HasPrefix(yes, "HTTP/1.1 100 Continue\r\n\r\n"), yes)
	assert.Assert(t, !strings.Contains(yes, "200"), yes)
	no := sendRaw(t, r.address, "POST /no"+head)
	assert.Assert(t, strings.HasPrefix(no, "HTTP/1.1 403"), no)
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\npart",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4\r\npart\r\n0\r\n",
	} {
		r := newTestProxy(t, 4, serveRaw(t, func(c net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, text)
		}))
		for proto, client := range clients(t) {
			t.Run(name+"/"+proto, func(t *testing.T) {
				response, err := client.Get("http://" + r.address + "/")
				if err != nil {
					return
				}
				_, err = io.ReadAll(response.Body)
				assert.Assert(t, err != nil, "the truncated response looks complete")
			})
		}
		answer := sendRaw(t, r.address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.Assert(t, !strings.HasSuffix(answer, "0\r\n\r\n"), answer)
	}
}

// Guards against a response that ends with the connection and reaches the caller in chunks, which would mark it as
// complete, and against losing such a response.
func TestCloseDelimitedResponseStaysCloseDelimited(t *testing.T) {
	r := newTestProxy(t, 4, serveRaw(t, func(c net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall")
	}))
	answer := sendRaw(t, r.address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.Assert(t, strings.HasSuffix(answer, "\r\n\r\nall"), answer)
	assert.Assert(t, strings.Contains(answer, "Connection: close"), answer)
}

// Guards against an upstream that keeps working after the caller has disconnected.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	r := newTestProxy(t, 4, serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}), false))
	for name, client := range clients(t) {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+"/", nil)
			assert.NilError(t, err)
			go func() {
				<-started
				cancel()
			}()
			_, err = client.Do(request)
			assert.ErrorIs(t, err, context.Canceled)
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Fatal("the upstream still works for a caller that has disconnected")
			}
			limiter := r.view.Load().Instances["s"][0].Limiter
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if limiter.InUse() == 0 {
					return poll.Success()
				}
				return poll.Continue("slot in use")
			}, poll.WithDelay(5*time.Millisecond))
		})
	}
}

// Guards against forwarding hop-by-hop headers, and against accepting from a caller what only entries may set.
func TestForwardedHeaders(t *testing.T) {
	r := newTestProxy(t, 4, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{"Secret", "Keep-Alive", "Jujubearch-Hops", "Proxy-Authorization", "User-Agent"} {
			assert.Check(t, r.Header.Get(name) == "", name)
		}
		assert.Check(t, r.Host == "a.example")
		assert.Check(t, r.Header.Get("X-Forwarded-For") == "192.0.2.1, 127.0.0.1", r.Header.Get("X-Forwarded-For"))
		assert.Check(t, r.Header.Get("Via") == "1.1 jujubearch")
		assert.Check(t, r.Header.Get("Request-Timeout") != "")
		assert.Check(t, r.RequestURI == "/a%2Fb//c?x=1;y", r.RequestURI)
		w.Header().Set("Connection", "Private")
		w.Header().Set("Private", "1")
		w.Header().Set("Jujubearch-Verdict", "not-run")
	}), false))
	answer := sendRaw(t, r.address, "GET /a%2Fb//c?x=1;y HTTP/1.1\r\nHost: a.example\r\nConnection: Secret\r\nSecret: 1\r\n"+
		"Keep-Alive: 1\r\nProxy-Authorization: x\r\nJujubearch-Hops: 1\r\nX-Forwarded-For: 192.0.2.1\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), answer)
	for _, name := range []string{"Private", "Jujubearch-Verdict"} {
		assert.Assert(t, !strings.Contains(answer, name), answer)
	}
}

// Guards against requests that net/http sends again: when a reused connection closes, its Transport repeats idempotent
// requests and those with an (X-)Idempotency-Key and no body. The pool must send each request at most once.
func TestNetHTTPDoesNotResend(t *testing.T) {
	var received atomic.Int32
	r := newTestProxy(t, 4, serveRaw(t, func(c net.Conn, in *bufio.Reader) {
		for n := 0; ; n++ {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			received.Add(1)
			if n == 1 {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	for _, method := range []string{http.MethodGet, http.MethodPost, "QUERY"} {
		received.Store(0)
		first := sendRaw(t, r.address, method+" / HTTP/1.1\r\nHost: a\r\nX-Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		assert.Assert(t, strings.HasPrefix(first, "HTTP/1.1 200"), first)
		second := sendRaw(t, r.address, method+" / HTTP/1.1\r\nHost: a\r\nX-Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		assert.Assert(t, strings.HasPrefix(second, "HTTP/1.1 502"), second)
		assert.Assert(t, strings.Contains(second, "Jujubearch-Verdict: may-have-run"), second)
		assert.Equal(t, received.Load(), int32(2), method)
	}
}
