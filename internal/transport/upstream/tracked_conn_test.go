package upstream

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// writingConn is a connection whose writes reach the other side before they return.
type writingConn struct {
	net.Conn
	arrived, returned, halfClosed chan struct{}
}

func (c *writingConn) Write(p []byte) (int, error) {
	close(c.arrived)
	<-c.returned
	return len(p), nil
}

func (c *writingConn) CloseWrite() error {
	close(c.halfClosed)
	return nil
}

// Guards against more requests at an instance than it has slots: a request that was given up while its first write was
// still going on counted as never sent, so that its slot was free while the instance worked on it.
func TestExchangeGivenUpDuringItsFirstWriteIsWaitedFor(t *testing.T) {
	near, far := net.Pipe()
	inner := &writingConn{near, make(chan struct{}), make(chan struct{}), make(chan struct{})}
	c := &trackedConn{Conn: inner}
	c.inExchange.Store(true)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("POST / HTTP/1.1"))
		written <- err
	}()
	<-inner.arrived
	assert.NilError(t, c.Close())
	ended := c.ended()
	assert.Assert(t, ended != nil, "the slot is free while the upstream may have the request")
	<-inner.halfClosed
	select {
	case <-ended:
		t.Fatal("the exchange counts as ended before the upstream has ended it")
	default:
	}
	close(inner.returned)
	assert.NilError(t, <-written)
	assert.NilError(t, far.Close())
	<-ended
}

// closingConn is a connection whose end takes time, and which can still be written to meanwhile.
type closingConn struct {
	net.Conn
	closing, closed chan struct{}
}

func (c *closingConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *closingConn) CloseWrite() error { return nil }

func (c *closingConn) Close() error {
	close(c.closing)
	<-c.closed
	return c.Conn.Close()
}

// Guards against the same fault: a request that was given up before its first write was still written while the
// connection was being closed.
func TestExchangeGivenUpBeforeItsFirstWriteIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer func() { assert.NilError(t, far.Close()) }()
	inner := &closingConn{near, make(chan struct{}), make(chan struct{})}
	c := &trackedConn{Conn: inner}
	c.inExchange.Store(true)
	result := make(chan error, 1)
	go func() { result <- c.Close() }()
	<-inner.closing
	_, err := c.Write([]byte("POST / HTTP/1.1"))
	close(inner.closed)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.NilError(t, <-result)
}
