// Package upstream pools the connections to instances and peers, and maps each way in which an exchange can end to a
// kind of package retry. It guarantees that a request is written at most once per RoundTrip: net/http's Transport
// retries some requests by itself, so the pool uses http.ClientConn, which never does.
package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	// sweepInterval is the period of the search for idle connections to close; it bounds the time for which they stay
	// open to a leaving instance.
	sweepInterval = time.Second
	// continueTimeout bounds the wait for "100 Continue", after which the body is sent anyway.
	continueTimeout = time.Second
	// maxResponseHeaderBytes bounds the headers of an upstream's response.
	maxResponseHeaderBytes = 64 << 10
	// writeBufferBytes is large enough for the head of most requests, so that it is sent in one write.
	writeBufferBytes = 4 << 10
)

// ErrNoConnection means that all connections allowed to an address are in use.
const ErrNoConnection = errors.ConstError("all connections to the upstream are in use")

// Options configure a Pool.
type Options struct {
	// MaxPerAddress bounds the open connections to one address.
	MaxPerAddress int
	// HTTP2 multiplexes requests over HTTP/2 instead of HTTP/1.1.
	HTTP2 bool
	// TLS, if set, is used for all connections.
	TLS *tls.Config
	// IsClosed reports whether idle connections to an address must be closed; if nil, none are.
	IsClosed func(address string) bool
	// Dial opens connections; if nil, a net.Dialer does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NewMeter returns the meter for a new connection to an address, or nil not to count its bytes; if NewMeter is nil,
	// no bytes are counted.
	NewMeter func(address string) Meter
}

// Meter counts the bytes that a connection sends and receives.
type Meter interface {
	Sent(bytes int)
	Received(bytes int)
}

// Pool holds the connections to upstreams by address. It is safe for concurrent use.
type Pool struct {
	options   Options
	transport *http.Transport
	scheme    string
	done      chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex
	addresses map[string]*addressConns
}

// addressConns holds the connections to one address; the Pool's mutex guards it.
type addressConns struct {
	address string
	// idle holds the connections that may be reserved: unused ones and, with HTTP/2, also those in use.
	idle []*conn
	open int
}

type conn struct {
	client   *http.ClientConn
	netConn  *trackedConn
	conns    *addressConns
	lastUsed time.Time
	// inIdleList is true while the connection is in its address's idle list.
	inIdleList bool
	// uncounted is true once the connection no longer counts as open.
	uncounted bool
}

type trackedConnKey struct{}

// NewPool returns an empty pool and starts its sweeper, which Close stops.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, scheme: "http", done: make(chan struct{}), addresses: make(map[string]*addressConns)}
	protocols := new(http.Protocols)
	if o.TLS != nil {
		p.scheme = "https"
	}
	protocols.SetHTTP1(!o.HTTP2)
	protocols.SetHTTP2(o.HTTP2 && o.TLS != nil)
	protocols.SetUnencryptedHTTP2(o.HTTP2 && o.TLS == nil)
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			netConn := &trackedConn{Conn: c}
			if o.NewMeter != nil {
				netConn.meter = o.NewMeter(addr)
			}
			if created, ok := ctx.Value(trackedConnKey{}).(**trackedConn); ok {
				*created = netConn
			}
			return netConn, nil
		},
		Protocols: protocols, TLSClientConfig: o.TLS, DisableCompression: true, ExpectContinueTimeout: continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes, WriteBufferSize: writeBufferBytes,
		TLSHandshakeTimeout: dialTimeout,
	}
	go p.sweep()
	return p
}

// Scheme returns http or https.
func (p *Pool) Scheme() string { return p.scheme }

// Close closes all idle connections and stops the sweeper. An HTTP/1.1 connection in use is closed when its exchange
// ends; an HTTP/2 connection in use stays open.
func (p *Pool) Close() {
	p.closeOnce.Do(func() {
		close(p.done)
		p.closeIdle(func(*conn) bool { return true })
	})
}

func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool {
				return now.Sub(c.lastUsed) > idleTimeout || p.isClosed(c.conns.address)
			})
		case <-p.done:
			return
		}
	}
}

func (p *Pool) isClosed(address string) bool {
	return p.options.IsClosed != nil && p.options.IsClosed(address)
}

// closeIdle closes the idle connections for which match returns true.
func (p *Pool) closeIdle(match func(*conn) bool) {
	var toClose []*conn
	p.mu.Lock()
	for address, a := range p.addresses {
		kept := a.idle[:0]
		for _, c := range a.idle {
			if c.client.InFlight() == 0 && match(c) {
				c.inIdleList = false
				p.uncount(c)
				toClose = append(toClose, c)
				continue
			}
			kept = append(kept, c)
		}
		a.idle = kept
		if a.open == 0 {
			delete(p.addresses, address)
		}
	}
	p.mu.Unlock()
	for _, c := range toClose {
		_ = c.client.Close()
	}
}

// acquire returns a reserved connection: the most recently used idle one, or else a new one.
func (p *Pool) acquire(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	a := p.addresses[address]
	if a == nil {
		a = &addressConns{address: address}
		p.addresses[address] = a
	}
	if c := p.reserveIdle(a); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if a.open >= p.options.MaxPerAddress {
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	a.open++
	p.mu.Unlock()
	return p.dial(ctx, a)
}

// reserveIdle reserves a connection of the idle list, or returns nil; the caller holds the mutex. An HTTP/2 connection
// stays in the list, since several requests share it.
func (p *Pool) reserveIdle(a *addressConns) *conn {
	for i := len(a.idle) - 1; i >= 0; i-- {
		c := a.idle[i]
		if err := c.client.Reserve(); err != nil {
			// An HTTP/2 connection may be at its stream limit; an HTTP/1.1 connection that can't be reserved has ended.
			if !p.options.HTTP2 || c.client.Err() != nil {
				a.idle = append(a.idle[:i], a.idle[i+1:]...)
				c.inIdleList = false
				p.uncount(c)
			}
			continue
		}
		if !p.options.HTTP2 {
			a.idle = a.idle[:i]
			c.inIdleList = false
			c.netConn.reset()
		}
		return c
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, a *addressConns) (*conn, error) {
	var netConn *trackedConn
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &netConn), p.scheme, a.address)
	if err == nil {
		err = client.Reserve()
	}
	if err != nil {
		p.mu.Lock()
		a.open--
		p.mu.Unlock()
		return nil, &dialError{err}
	}
	// The TLS handshake has written bytes that are not part of a request.
	netConn.reset()
	c := &conn{client: client, netConn: netConn, conns: a}
	if p.options.HTTP2 {
		p.addIdle(c)
	}
	return c, nil
}

// release puts a connection back into the idle list, or closes it if the pool is closed, if it can't take another
// request or if it is an HTTP/1.1 connection to a closed address.
func (p *Pool) release(c *conn) {
	select {
	case <-p.done:
		p.discard(c)
		return
	default:
	}
	if c.client.Available() == 0 || c.netConn.ended() != nil || (!p.options.HTTP2 && p.isClosed(c.conns.address)) {
		p.discard(c)
		return
	}
	p.addIdle(c)
}

// addIdle adds a connection to the idle list.
func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = time.Now()
	if !p.options.HTTP2 {
		c.netConn.inExchange.Store(false)
	}
	if !c.inIdleList && !c.uncounted {
		c.inIdleList = true
		c.conns.idle = append(c.conns.idle, c)
	}
}

// discard removes a connection from the pool and closes it. An abandoned connection counts as open until the upstream
// has ended it.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	if c.inIdleList {
		c.conns.idle = removeConn(c.conns.idle, c)
		c.inIdleList = false
	}
	p.mu.Unlock()
	_ = c.client.Close()
	if ended := c.netConn.ended(); ended != nil {
		go func() {
			<-ended
			p.uncountLocked(c)
		}()
		return
	}
	p.uncountLocked(c)
}

func (p *Pool) uncountLocked(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uncount(c)
}

// uncount excludes a connection from the number of open ones; the caller holds the mutex.
func (p *Pool) uncount(c *conn) {
	if !c.uncounted {
		c.uncounted = true
		c.conns.open--
	}
}

func removeConn(list []*conn, c *conn) []*conn {
	for i, other := range list {
		if other == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
