package caller

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/protocol/problem"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// NewListener returns a listener whose connections reject ambiguous HTTP/1.1 framing and replace the error responses
// that net/http itself writes before a handler runs by problem documents with a verdict.
func NewListener(l net.Listener) net.Listener { return &strictListener{l} }

type strictListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *strictListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &strictConn{Conn: c}, nil
}

// strictConn checks the framing of what the caller sends. It needs no lock, since net/http reads from one goroutine at
// a time.
type strictConn struct {
	net.Conn

	framing    header.FramingChecker
	framingErr error
}

// Read implements net.Conn. After a framing error all reads fail. If that happens within the headers, net/http responds
// with 400; within a body, reading the body fails.
func (c *strictConn) Read(p []byte) (int, error) {
	if c.framingErr != nil {
		return 0, c.framingErr
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.framingErr = c.framing.Check(p[:n]); c.framingErr != nil {
			return 0, c.framingErr
		}
	}
	return n, err
}

// maxNetHTTPErrorBytes is above the length of every error response that net/http itself writes.
const maxNetHTTPErrorBytes = 512

// netHTTPErrorHeaders is the end of the headers of every error response that net/http writes before a handler runs.
// Responses of handlers differ, since they have a Date header.
const netHTTPErrorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write implements net.Conn. It replaces an error response that net/http itself wrote.
func (c *strictConn) Write(p []byte) (int, error) {
	if len(p) <= maxNetHTTPErrorBytes {
		if status, ok := netHTTPErrorStatus(p); ok {
			if _, err := c.Conn.Write(problemBytes(status, c.framingErr)); err != nil {
				return 0, err
			}
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

// netHTTPErrorStatus returns the status of an error response that net/http itself wrote, and whether p is one.
func netHTTPErrorStatus(p []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(p, []byte("HTTP/1.1 "))
	if !ok || len(rest) < 3 || (rest[0] != '4' && rest[0] != '5') ||
		!bytes.Contains(rest, []byte(netHTTPErrorHeaders)) {
		return 0, false
	}
	status, err := strconv.Atoi(string(rest[:3]))
	return status, err == nil
}

// problemBytes encodes a problem document as a complete HTTP/1.1 response.
func problemBytes(status int, framingErr error) []byte {
	detail := "the request is malformed"
	if framingErr != nil {
		detail = framingErr.Error()
	}
	buffer := &bufferWriter{header: make(http.Header)}
	problem.New(status, "malformed-request", detail, verdict.NotRun).Write(buffer)
	buffer.header.Set("Connection", "close")
	var out strings.Builder
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = buffer.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(buffer.body.Bytes())
	return []byte(out.String())
}

// bufferWriter is an http.ResponseWriter that keeps the headers and the body in memory.
type bufferWriter struct {
	header http.Header
	body   bytes.Buffer
}

func (b *bufferWriter) Header() http.Header         { return b.header }
func (b *bufferWriter) Write(p []byte) (int, error) { return b.body.Write(p) }
func (b *bufferWriter) WriteHeader(int)             {}
