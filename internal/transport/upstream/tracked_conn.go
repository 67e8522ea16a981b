package upstream

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// maxAbandonTime bounds the wait for an upstream to end a request that was given up. An instance that ignores the end
// of its client's stream may take longer; its slot is then used again too early.
const maxAbandonTime = 2 * time.Second

// States of a trackedConn.
const (
	stateUnwritten int32 = iota
	stateWriting
	stateWritten
	stateSealed
)

// trackedConn records whether any byte has been passed to the operating system since the last reset. It can prove that
// a request was not written: after seal has returned true, no byte has been written and none will be.
type trackedConn struct {
	net.Conn

	// meter is nil if the connection's bytes are not counted.
	meter Meter
	state atomic.Int32
	// readErr holds the first read error, which tells how the other side ended the connection.
	readErr atomic.Pointer[error]
	// inExchange is set while an HTTP/1.1 connection is assigned to a request.
	inExchange atomic.Bool
	// abandoned is not nil once an exchange was given up. The channel is closed when the upstream has ended the
	// connection, or after maxAbandonTime.
	abandoned atomic.Pointer[chan struct{}]
}

// halfCloser is a connection whose sending direction can be closed alone.
type halfCloser interface{ CloseWrite() error }

// Close implements net.Conn. If it gives up an exchange whose request may have been written, it ends the stream to the upstream
// and closes the connection only when the upstream has ended it, which shows that the request has ended there.
func (c *trackedConn) Close() error {
	half, ok := c.Conn.(halfCloser)
	if !ok || !c.inExchange.Load() || c.seal() {
		return c.Conn.Close()
	}
	ended := make(chan struct{})
	if !c.abandoned.CompareAndSwap(nil, &ended) {
		return nil
	}
	go func() {
		defer close(ended)
		// Either error means that the connection is already gone, which the read below reports at once.
		_ = half.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(maxAbandonTime))
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}

// ended returns a channel that is closed once the upstream has ended an abandoned exchange, or nil if none was
// abandoned.
func (c *trackedConn) ended() <-chan struct{} {
	if ended := c.abandoned.Load(); ended != nil {
		return *ended
	}
	return nil
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.meter != nil {
		c.meter.Received(n)
	}
	if err != nil {
		c.readErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	for {
		switch state := c.state.Load(); state {
		case stateSealed:
			return 0, net.ErrClosed
		case stateUnwritten:
			if c.state.CompareAndSwap(stateUnwritten, stateWriting) {
				return c.firstWrite(p)
			}
		default:
			return c.write(p)
		}
	}
}

func (c *trackedConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.meter != nil {
		c.meter.Sent(n)
	}
	return n, err
}

// firstWrite leaves the state at stateUnwritten if the operating system accepted no byte.
func (c *trackedConn) firstWrite(p []byte) (int, error) {
	n, err := c.write(p)
	if n > 0 || err == nil {
		c.state.Store(stateWritten)
	} else {
		c.state.Store(stateUnwritten)
	}
	return n, err
}

// reset starts a new exchange on an idle connection.
func (c *trackedConn) reset() { c.state.Store(stateUnwritten) }

// seal blocks all further writes if no byte has been written since the last reset, and reports whether the connection
// is sealed.
func (c *trackedConn) seal() bool {
	return c.state.CompareAndSwap(stateUnwritten, stateSealed) || c.state.Load() == stateSealed
}
