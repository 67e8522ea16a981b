package daemon

import (
	"context"
	"net"
	"sync"
)

// testNetwork injects network partitions between nodes, in one direction or both. Data written while a direction is
// blocked is delivered once it is unblocked, as by TCP's retransmission; a new connection waits until both directions
// are open.
type testNetwork struct {
	mu            sync.Mutex
	nodeByAddress map[string]string
	blocked       map[[2]string]bool
	unblocked     chan struct{}
	conns         map[*testConn]bool
}

func newTestNetwork() *testNetwork {
	return &testNetwork{
		nodeByAddress: make(map[string]string), blocked: make(map[[2]string]bool), unblocked: make(chan struct{}),
		conns: make(map[*testConn]bool),
	}
}

// register names the node that listens on an address.
func (n *testNetwork) register(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodeByAddress[address] = node
}

// setBlocked blocks or unblocks the direction from one node to another.
func (n *testNetwork) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	n.blocked[[2]string{from, to}] = blocked
	var toFlush []*testConn
	if !blocked {
		close(n.unblocked)
		n.unblocked = make(chan struct{})
		for c := range n.conns {
			toFlush = append(toFlush, c)
		}
	}
	n.mu.Unlock()
	for _, c := range toFlush {
		c.flush()
	}
}

// linkState reports whether a direction is blocked, and returns a channel that is closed when any direction is
// unblocked.
func (n *testNetwork) linkState(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{from, to}], n.unblocked
}

// dialer returns the dial function for the connections that a node opens.
func (n *testNetwork) dialer(node string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		target := n.nodeByAddress[address]
		n.mu.Unlock()
		if err := n.waitUntilUnblocked(ctx, node, target); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &testConn{Conn: conn, network: n, from: node, to: target, closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}

// waitUntilUnblocked waits until both directions between two nodes are unblocked or ctx ends.
func (n *testNetwork) waitUntilUnblocked(ctx context.Context, a, b string) error {
	for {
		forwardBlocked, unblocked := n.linkState(a, b)
		reverseBlocked, _ := n.linkState(b, a)
		if !forwardBlocked && !reverseBlocked {
			return nil
		}
		select {
		case <-unblocked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// testConn is a connection whose directions a testNetwork can block.
type testConn struct {
	net.Conn
	network  *testNetwork
	from, to string
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	buffered []byte
}

// Write implements net.Conn.
func (c *testConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if blocked, _ := c.network.linkState(c.from, c.to); blocked || len(c.buffered) > 0 {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *testConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if blocked, _ := c.network.linkState(c.from, c.to); blocked || len(c.buffered) == 0 {
		return
	}
	_, _ = c.Conn.Write(c.buffered)
	c.buffered = nil
}

// Read implements net.Conn.
func (c *testConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	for {
		blocked, unblocked := c.network.linkState(c.to, c.from)
		if !blocked {
			return count, err
		}
		select {
		case <-unblocked:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close implements net.Conn.
func (c *testConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
