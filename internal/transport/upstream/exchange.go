package upstream

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// Failure is the error of an exchange that ended without a usable response.
type Failure struct {
	Kind  retry.Kind
	Cause error
	// Ended is closed once the upstream has ended the request; nil means that it has, or never got it.
	Ended <-chan struct{}
}

// Error returns the reason, followed by the cause.
func (f *Failure) Error() string {
	reason := f.Kind.Outcome().Reason
	if f.Cause == nil {
		return reason
	}
	return reason + ": " + f.Cause.Error()
}

// Unwrap returns the cause and the verdict.
func (f *Failure) Unwrap() []error {
	outcome := f.Kind.Outcome()
	return []error{&verdict.Error{Verdict: outcome.Verdict, Reason: outcome.Reason}, f.Cause}
}

// RoundTrip sends the request at most once, to the address in its URL, which must also hold the scheme. An error is
// always a *Failure. The caller must close the response's body.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	c, err := p.acquire(r.Context(), r.URL.Host)
	if err != nil {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, &Failure{Kind: classifyDial(r.Context(), err), Cause: err}
	}
	if !p.options.HTTP2 {
		c.netConn.inExchange.Store(true)
	}
	body := trackBody(r)
	response, err := c.client.RoundTrip(r)
	if err != nil {
		return nil, p.failExchange(c, r, body, err)
	}
	response.Body = &responseBody{ReadCloser: response.Body, pool: p, conn: c}
	return response, nil
}

// failExchange cleans up after a failed exchange and classifies its error. An HTTP/1.1 connection is sealed first, so
// that the writer goroutine of net/http can't write the request afterwards.
func (p *Pool) failExchange(c *conn, r *http.Request, body *trackedBody, err error) *Failure {
	notWritten := false
	if !p.options.HTTP2 {
		notWritten = c.netConn.seal()
		p.discard(c)
	} else if c.client.Err() != nil {
		p.discard(c)
	}
	var readErr error
	if first := c.netConn.readErr.Load(); first != nil {
		readErr = *first
	}
	kind := classify(failedExchange{
		context: r.Context(), err: err, notWritten: notWritten, readErr: readErr, bodyErr: body.failure(),
	})
	return &Failure{Kind: kind, Cause: err, Ended: c.netConn.ended()}
}

// trackedBody records the first error from reading the caller's body, to tell it from an error of the upstream
// connection.
type trackedBody struct {
	io.ReadCloser

	err atomic.Pointer[error]
}

func trackBody(r *http.Request) *trackedBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	return body
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		b.err.CompareAndSwap(nil, &err)
	}
	return n, err
}

func (b *trackedBody) failure() error {
	if b == nil {
		return nil
	}
	if err := b.err.Load(); err != nil {
		return *err
	}
	return nil
}

// responseBody returns the connection to the pool when it is closed.
type responseBody struct {
	io.ReadCloser

	pool   *Pool
	conn   *conn
	closed atomic.Bool
}

// Close ends the exchange. net/http closes an HTTP/1.1 connection whose response was not read to its end.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	if b.closed.CompareAndSwap(false, true) {
		b.pool.recycle(b.conn)
	}
	return err
}

// Ended returns a channel that is closed once the upstream has ended the request whose response body was closed before
// its end. It returns nil if the response was read completely.
func Ended(body io.ReadCloser) <-chan struct{} {
	if b, ok := body.(*responseBody); ok {
		return b.conn.netConn.ended()
	}
	return nil
}

// recycle keeps a connection that can take further requests in the pool and closes any other.
func (p *Pool) recycle(c *conn) {
	if p.options.HTTP2 {
		if c.client.Err() != nil {
			p.discard(c)
		} else {
			p.addIdle(c)
		}
		return
	}
	p.release(c)
}
