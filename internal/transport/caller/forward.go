package caller

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/routing"
	"github.com/jujubearch/jujubearch/internal/protocol/header"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// forwardPrefix is put before the path of a request that one entry forwards to another.
const forwardPrefix = "/forward"

// unavailableDelay is the assumed delay of the region's other data centres while none of them can take a request. A
// higher value would affect the smoothed history for longer after one of them can serve again.
const unavailableDelay = 2 * time.Second

// spilloverState guards a routing.Spillover, which sets the share of requests that go to other data centres. The first
// request after the spillover's interval has passed updates it.
type spilloverState struct {
	mu        sync.Mutex
	spillover routing.Spillover
}

// share updates the spillover if an update is due, and returns the share of requests to forward.
func (s *spilloverState) share(now time.Time, estimate func() (local, remote time.Duration)) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spillover.IsDue(now) {
		local, remote := estimate()
		s.spillover.Update(now, local, remote)
	}
	return s.spillover.Share()
}

// PeerHandler serves the requests that other entries forward, and passes all others to next. It does not use an
// http.ServeMux, which would redirect paths with empty or dot segments.
func (p *Proxy) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, ok := strings.CutPrefix(r.URL.Path, forwardPrefix+"/")
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if hops, err := header.ParseHops(r.Header); err != nil || hops != header.MaxHops {
			writeRefusal(w, refusalTooManyHops)
			return
		}
		targetURL := *r.URL
		targetURL.Path = "/" + path
		targetURL.RawPath = strings.TrimPrefix(r.URL.RawPath, forwardPrefix)
		inner := r.WithContext(r.Context())
		inner.URL = &targetURL
		p.serve(&call{writer: w, request: inner, started: time.Now(), forwarded: true})
	})
}

// remoteTarget returns a peer if the request should leave the data centre without waiting for a local slot, because
// there is no local instance or the request belongs to the share that the spillover forwards. Otherwise it returns nil.
func (p *Proxy) remoteTarget(c *call) *target {
	if c.forwarded || p.options.Peers == nil || len(c.view.Peers) == 0 {
		return nil
	}
	now := time.Now()
	load := c.service.load()
	if load.Slots == 0 {
		return p.fallbackTarget(c)
	}
	regionPeer := p.fastestPeer(c, false)
	share := c.service.spillover.share(now, func() (local, remote time.Duration) {
		wait := time.Duration(c.service.waiting.Load()) * load.ServiceTime / time.Duration(load.Slots)
		if regionPeer == nil {
			return wait, unavailableDelay
		}
		return wait + load.ServiceTime, regionPeer.expectedDelay(load.ServiceTime)
	})
	if regionPeer == nil || share == 0 || rand.Float64() >= share {
		return nil
	}
	return p.peerTarget(c, regionPeer)
}

// fallbackTarget returns a peer for a request that can't be served in this data centre: one of this region if it has a
// free slot, and otherwise one of another region if the byte budget allows. It returns nil if there is none.
func (p *Proxy) fallbackTarget(c *call) *target {
	if c.forwarded || p.options.Peers == nil || c.request.Context().Err() != nil {
		return nil
	}
	if regionPeer := p.fastestPeer(c, false); regionPeer != nil {
		return p.peerTarget(c, regionPeer)
	}
	if !p.links.hasCrossRegionBudget(time.Now()) {
		return nil
	}
	if crossRegionPeer := p.fastestPeer(c, true); crossRegionPeer != nil {
		return p.peerTarget(c, crossRegionPeer)
	}
	return nil
}

func (p *Proxy) peerTarget(c *call, l *link) *target {
	l.state.inFlight.Add(1)
	c.service.metrics.forwarded.Inc()
	return &target{service: c.service, link: l, started: time.Now()}
}

// expectedDelay estimates the time until a peer's response: the smoothed latency of forwarded requests, or, until one
// was measured, the round-trip time plus the local service time.
func (l *link) expectedDelay(serviceTime time.Duration) time.Duration {
	if measured := l.state.health.Latency(); measured > 0 {
		return measured
	}
	return time.Duration(l.peer.RoundTripMicros)*time.Microsecond + serviceTime
}

// fastestPeer returns the peer with the lowest expected delay that has a free slot for the service, in this region or,
// if crossRegion is set, in the others. Ties are broken at random. It returns nil if no peer has a free slot or if the
// expected response would be after the deadline.
func (p *Proxy) fastestPeer(c *call, crossRegion bool) *link {
	var best *link
	var bestDelay time.Duration
	now := time.Now()
	serviceTime := c.service.serviceTime.Expected()
	for _, i := range rand.Perm(len(c.view.Peers)) {
		peer := &c.view.Peers[i]
		if !peer.Usable || peer.DataCentre == c.view.DataCentre || (peer.Region != c.view.Region) != crossRegion {
			continue
		}
		l := &link{links: p.links, peer: peer, state: p.links.state(peer.ID), crossRegion: crossRegion}
		if !l.hasFreeSlot(c, now) {
			continue
		}
		delay := l.expectedDelay(serviceTime)
		if best == nil || delay < bestDelay {
			best, bestDelay = l, delay
		}
	}
	if best == nil || now.Add(best.expectedDelay(serviceTime)).After(c.deadline()) {
		return nil
	}
	return best
}

// hasFreeSlot reports whether the peer's last heartbeat showed more free slots than this entry has requests in flight
// there. An ejected peer counts only if its next probe is due.
func (l *link) hasFreeSlot(c *call, now time.Time) bool {
	free := l.peer.FreeSlots[c.route.Service]
	if uint32(max(l.state.inFlight.Load(), 0)) >= free {
		return false
	}
	health := &l.state.health
	return !routing.IsEjected(health) || !now.Before(health.NextProbe())
}

// PeerMeter returns the meter for a connection to a peer's address, or nil if the peer is in this region: only bytes
// between regions are counted.
func (p *Proxy) PeerMeter(address string) upstream.Meter {
	view := p.options.Snapshot()
	for i := range view.Peers {
		if view.Peers[i].Address == address && view.Peers[i].Region != view.Region {
			return p.links
		}
	}
	return nil
}

// IsAddressClosed reports whether an address gets no new requests, because its instance is leaving or has a closed
// limiter, or because no instance has the address. It is meant for upstream.Options.IsClosed.
func IsAddressClosed(view *snapshot.Snapshot, address string) bool {
	for _, instances := range view.Instances {
		for i := range instances {
			if instances[i].Address == address {
				return instances[i].Leaving || instances[i].Limiter.IsClosed()
			}
		}
	}
	return true
}
