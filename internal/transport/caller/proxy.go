// Package caller is the reverse proxy for callers: it admits a request, routes it to an instance or to a peer (another
// entry, that is, another jujubearch process) and streams the response back.
//
// Guarantees: each response comes from a single upstream exchange; if the upstream breaks off a response, the caller's
// connection or stream ends with an error; a response that jujubearch itself generates carries a verdict; a request is
// sent again only if it is idempotent or proved not to have run.
package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/admission"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// Options configure a Proxy.
type Options struct {
	// Snapshot returns the newest snapshot of the control state. It is called for each request.
	Snapshot func() *snapshot.Snapshot
	// Upstreams holds the connections to instances and Peers those to other entries. If Peers is nil, no request is
	// forwarded.
	Upstreams *upstream.Pool
	Peers     *upstream.Pool
	// RequestTimeout applies to routes without a configured timeout.
	RequestTimeout time.Duration
	// QueuePerSlot bounds the queue of a service, in waiting requests per slot.
	QueuePerSlot int
	// Claims grants claims on keyed requests. If it is nil, keyed requests are refused.
	Claims Claims
	// MaxKeyedBodyBytes bounds the body of a keyed request.
	MaxKeyedBodyBytes int64
}

// defaultQueuePerSlot applies if Options.QueuePerSlot is not set.
const defaultQueuePerSlot = 100

// Proxy handles the requests of callers and those that peers forward. It is safe for concurrent use.
type Proxy struct {
	options Options
	links   *links

	mu       sync.RWMutex
	services map[model.ServiceName]*service
}

// NewProxy returns a proxy.
func NewProxy(o Options) *Proxy {
	if o.QueuePerSlot <= 0 {
		o.QueuePerSlot = defaultQueuePerSlot
	}
	return &Proxy{options: o, links: newLinks(), services: make(map[model.ServiceName]*service)}
}

// call is the state of one request.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	view    *snapshot.Snapshot
	route   *model.Route
	service *service
	started time.Time
	timeout time.Duration
	key     string
	// grantedClaim is the unsettled claim of the request; nil if there is none.
	grantedClaim Claim
	// forwarded is true if the request came from another entry; it is then not forwarded again.
	forwarded  bool
	idempotent bool
	// mayHaveRun is true once an attempt may have run, even if later attempts are proved not to have run.
	mayHaveRun bool
	// onBorrowedSlot is true if the attempt whose response is used holds a borrowed slot.
	onBorrowedSlot bool
	body           *attemptBody
	// cancel ends the request's context, as deadlineTimer does at the deadline; detach replaces both.
	cancel        context.CancelCauseFunc
	deadlineTimer *time.Timer
}

func (c *call) deadline() time.Time { return c.started.Add(c.timeout) }

// ServeHTTP implements http.Handler for the requests of callers.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if header.IsUpgrade(r) || r.Method == http.MethodConnect {
		writeRefusal(w, refusalUpgrade)
		return
	}
	p.serve(&call{writer: w, request: r, started: time.Now()})
}

func (p *Proxy) serve(c *call) {
	if refused := p.prepare(c); refused != nil {
		writeRefusal(c.writer, *refused)
		return
	}
	ctx, cancel := context.WithCancelCause(c.request.Context())
	c.cancel = cancel
	c.deadlineTimer = time.AfterFunc(c.timeout, func() { cancel(upstream.ErrDeadline) })
	defer func() {
		c.deadlineTimer.Stop()
		cancel(nil)
		c.cancel(nil)
		c.settle(verdict.MayHaveRun)
	}()
	c.request = c.request.WithContext(ctx)
	p.admitAndSend(c)
}

// prepare finds the route, checks the headers and sets the fields of the call. It returns nil unless the request must
// be refused.
func (p *Proxy) prepare(c *call) *refusal {
	r := c.request
	c.view = p.options.Snapshot()
	route, ok := findRoute(c.view.Config.Routes, r)
	if !ok {
		return &refusalNoRoute
	}
	c.route = route
	timeout, err := header.ParseTimeout(r.Header, p.timeoutFor(route))
	if err != nil {
		return refusalBadHeader(err)
	}
	c.timeout = timeout
	if c.key, err = header.ParseKey(r.Header); err != nil {
		return refusalBadHeader(err)
	}
	if c.key == "" && route.RequireKey {
		return &refusalKeyRequired
	}
	c.idempotent = isIdempotent(route, r.Method)
	c.service = p.serviceFor(route.Service)
	if r.ContentLength != 0 && r.Body != nil && r.Body != http.NoBody {
		c.body = &attemptBody{ReadCloser: r.Body}
	}
	return nil
}

func (p *Proxy) timeoutFor(route *model.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return p.options.RequestTimeout
}

func (p *Proxy) serviceFor(name model.ServiceName) *service {
	p.mu.RLock()
	s := p.services[name]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services[name] == nil {
		p.services[name] = newService(name, p.options.Snapshot, p.options.QueuePerSlot)
	}
	return p.services[name]
}

// admitAndSend admits the request, claims it if it has a key, sends it and responds.
func (p *Proxy) admitAndSend(c *call) {
	t, result := p.admit(c)
	if result != admission.Admitted {
		p.refuse(c, p.overloadRefusal(c, result))
		return
	}
	if !p.claim(c) {
		t.release()
		return
	}
	c.service.retryBudget.CountRequest()
	c.service.destinationBudget(t.id()).CountRequest()
	p.respond(c, p.sendWithRetries(c, t))
}

// admit chooses the target of the request and acquires a slot there, if necessary after waiting in the queue.
func (p *Proxy) admit(c *call) (*target, admission.Result) {
	if t := p.remoteTarget(c); t != nil {
		return t, admission.Admitted
	}
	instance, result := c.service.acquire(c.request.Context(), c.route.Urgent, c.deadline())
	if result == admission.Admitted {
		return &target{service: c.service, instance: instance, started: time.Now()}, result
	}
	if t := p.fallbackTarget(c); t != nil {
		return t, admission.Admitted
	}
	return nil, result
}
