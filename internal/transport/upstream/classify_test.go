package upstream

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// listen serves each connection with f and returns the address.
func listen(t testing.TB, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// respondWith reads one request and writes the text.
func respondWith(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, text)
	}
}

// resetAfter runs f and then ends the connection with a TCP reset.
func resetAfter(f func(c *net.TCPConn)) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		f(c)
		_ = c.SetLinger(0)
	}
}

func readUntilClosed(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }

// frame encodes an HTTP/2 frame.
func frame(kind byte, stream uint32, payload ...uint32) []byte {
	b := []byte{0, 0, byte(4 * len(payload)), kind, 0}
	b = binary.BigEndian.AppendUint32(b, stream)
	for _, word := range payload {
		b = binary.BigEndian.AppendUint32(b, word)
	}
	return b
}

const (
	frameHeaders  = 1
	frameReset    = 3
	frameSettings = 4
	frameGoAway   = 7
)

// respondWithFrames reads HTTP/2 frames up to the first HEADERS frame and then writes the given frames.
func respondWithFrames(frames ...[]byte) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = c.Write(frame(frameSettings, 0))
		in := bufio.NewReader(c)
		_, _ = in.Discard(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
		for {
			head := make([]byte, 9)
			if _, err := io.ReadFull(in, head); err != nil {
				return
			}
			size := int(head[0])<<16 | int(head[1])<<8 | int(head[2])
			_, _ = in.Discard(size)
			if head[3] == frameHeaders {
				break
			}
		}
		for _, f := range frames {
			_, _ = c.Write(f)
		}
		if len(frames) > 0 && frames[len(frames)-1][3] != frameGoAway {
			_, _ = io.Copy(io.Discard, in)
		}
		// Gives the client time to read the frames before the connection is closed.
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = io.Copy(io.Discard, in)
	}
}

// unansweredAddress returns a listening address whose accept queue is full, so that dialling it times out.
func unansweredAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

func closedAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, errors.New("the caller's connection ended") }

// endlessBody is a request body that never ends.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

type socketCase struct {
	address func(t testing.TB) string
	http2   bool
	body    io.Reader
	cause   error
	want    retry.Kind
}

func socketCases() map[string]socketCase {
	listening := func(f func(c *net.TCPConn)) func(t testing.TB) string {
		return func(t testing.TB) string { return listen(t, f) }
	}
	readAndClose := respondWith("")
	const noError, internalError, refusedStream = 0, 2, errCodeRefusedStream
	return map[string]socketCase{
		"closed port":       {address: closedAddress, want: retry.KindDialRefused},
		"no answer to dial": {address: unansweredAddress, want: retry.KindDialTimeout},
		"bad address": {
			address: func(testing.TB) string { return "127.0.0.1:99999" },
			want:    retry.KindDialFailed,
		},
		"cancelled dial": {address: unansweredAddress, cause: context.Canceled, want: retry.KindNotWritten},
		"closed":         {address: listening(readAndClose), want: retry.KindConnectionClosed},
		"reset":          {address: listening(resetAfter(readAndClose)), want: retry.KindReset},
		"closed in headers": {
			address: listening(respondWith("HTTP/1.1 200 OK\r\nA: b")),
			want:    retry.KindConnectionClosed,
		},
		"not HTTP": {address: listening(respondWith("SSH-2.0\r\n\r\n")), want: retry.KindMalformed},
		"two lengths": {
			address: listening(respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")),
			want:    retry.KindMalformed,
		},
		"long headers": {
			address: listening(respondWith("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 128<<10) + "\r\n\r\n")),
			want:    retry.KindMalformed,
		},
		"deadline":       {address: listening(readUntilClosed), cause: ErrDeadline, want: retry.KindDeadline},
		"caller gone":    {address: listening(readUntilClosed), cause: context.Canceled, want: retry.KindCallerCancelled},
		"hedge lost":     {address: listening(readUntilClosed), cause: ErrHedgeLost, want: retry.KindHedgeLost},
		"body failed":    {address: listening(readUntilClosed), body: failingBody{}, want: retry.KindBodyFailed},
		"reset in body":  {address: listening(resetAfter(readAndClose)), body: endlessBody{}, want: retry.KindReset},
		"h2 closed port": {address: closedAddress, http2: true, want: retry.KindDialRefused},
		"h2 refused stream": {
			address: listening(respondWithFrames(frame(frameReset, 1, refusedStream))), http2: true,
			want: retry.KindStreamRefused,
		},
		"h2 reset stream": {
			address: listening(respondWithFrames(frame(frameReset, 1, internalError))), http2: true,
			want: retry.KindStreamReset,
		},
		"h2 goaway beyond": {
			address: listening(respondWithFrames(frame(frameGoAway, 0, 0, noError))), http2: true,
			want: retry.KindGoAwayUnprocessed,
		},
		"h2 goaway error": {
			address: listening(respondWithFrames(frame(frameGoAway, 0, 0, internalError))), http2: true,
			want: retry.KindGoAwayUnprocessed,
		},
		"h2 goaway": {
			address: listening(respondWithFrames(frame(frameGoAway, 0, 1, internalError))), http2: true,
			want: retry.KindGoAway,
		},
		"h2 closed": {address: listening(respondWithFrames()), http2: true, want: retry.KindConnectionClosed},
		"h2 deadline": {
			address: listening(respondWithFrames(frame(frameSettings, 0))), http2: true, cause: ErrDeadline,
			want: retry.KindDeadline,
		},
		"h2 body failed": {
			address: listening(respondWithFrames(frame(frameSettings, 0))), http2: true, body: failingBody{},
			want: retry.KindBodyFailed,
		},
	}
}

// Guards against a wrong verdict for a failed exchange. Each kind of failure is produced on a real socket.
func TestFailureKinds(t *testing.T) {
	for name, c := range socketCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool := NewPool(Options{MaxPerAddress: 4, HTTP2: c.http2})
			defer pool.Close()
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if c.cause != nil {
				time.AfterFunc(100*time.Millisecond, func() { cancel(c.cause) })
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address(t)+"/", c.body)
			assert.NilError(t, err)
			_, err = pool.RoundTrip(request)
			var failure *Failure
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Kind, c.want, "%v", failure)
			assert.Equal(t, verdict.Of(err), c.want.Outcome().Verdict)
		})
	}
}

// Guards against more open connections to an address than MaxPerAddress allows.
func TestMaxPerAddress(t *testing.T) {
	pool := NewPool(Options{MaxPerAddress: 1})
	defer pool.Close()
	address := listen(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	assert.NilError(t, err)
	response, err := pool.RoundTrip(request)
	assert.NilError(t, err)
	_, err = pool.RoundTrip(request.Clone(t.Context()))
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind, retry.KindNoConnection)
	assert.NilError(t, response.Body.Close())
}

// Guards against a request that is reported as not-run although net/http's writer goroutine still sends it. To provoke
// this, the contexts are cancelled at about the time of the write.
func TestNotWrittenMeansNeverReceived(t *testing.T) {
	var received atomic.Int64
	address := listen(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			received.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := NewPool(Options{MaxPerAddress: 4})
	defer pool.Close()
	var mayHaveBeenSent int64
	for i := range 400 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Duration(i%20) * 5 * time.Microsecond)
			cancel()
		}()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
		assert.NilError(t, err)
		response, err := pool.RoundTrip(request)
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
		if verdict.Of(err) != verdict.NotRun {
			mayHaveBeenSent++
		}
		cancel()
	}
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, received.Load() <= mayHaveBeenSent, "received %d of at most %d", received.Load(), mayHaveBeenSent)
}

// Guards against responses that count as proof that a request did not run although they prove nothing.
func TestResponseKinds(t *testing.T) {
	for name, c := range map[string]struct {
		status   int
		verdict  string
		fromPeer bool
		want     retry.Kind
	}{
		"ok":                        {200, "", false, retry.KindResponse},
		"error":                     {500, "", false, retry.KindResponse},
		"busy":                      {503, "", false, retry.KindResponse},
		"instance refuses":          {503, "not-run", false, retry.KindResponseNotRun},
		"instance, not-run with ok": {200, "not-run", false, retry.KindResponse},
		"instance, other value":     {503, "maybe", false, retry.KindResponse},
		"peer refuses":              {503, "not-run", true, retry.KindResponseNotRun},
		"peer refuses the request":  {400, "not-run", true, retry.KindResponseNotRun},
		"peer does not know":        {502, "may-have-run", true, retry.KindResponseUnproved},
	} {
		response := &http.Response{StatusCode: c.status, Header: http.Header{}}
		if c.verdict != "" {
			response.Header.Set("Jujubearch-Verdict", c.verdict)
		}
		assert.Equal(t, ClassifyResponse(response, c.fromPeer), c.want, name)
	}
}
