package upstream

import (
	"net"
	"sync/atomic"
)

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
