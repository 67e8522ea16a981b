package caller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/coordination/routing"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// target is the destination of one attempt: a slot of a local instance, or a peer.
type target struct {
	service  *service
	instance snapshot.Instance
	// link is set when the attempt goes to a peer.
	link    *link
	started time.Time
	// ended is closed once the instance has ended the request; nil means that it has.
	ended <-chan struct{}
}

func (t *target) address() string {
	if t.link != nil {
		return t.link.peer.Address
	}
	return t.instance.Address
}

func (t *target) id() string {
	if t.link != nil {
		return string(t.link.peer.ID)
	}
	return string(t.instance.ID)
}

func (t *target) health() *snapshot.Health {
	if t.link != nil {
		return &t.link.state.health
	}
	return &t.instance.Limiter.Health
}

// release releases the slot, as soon as the instance has ended the request. It must be called exactly once per target.
func (t *target) release() {
	if t.link != nil {
		t.link.state.inFlight.Add(-1)
		return
	}
	if t.ended == nil {
		t.service.release(t.instance)
		return
	}
	go func() {
		<-t.ended
		t.service.release(t.instance)
	}()
}

// recordResponse records a response and the latency up to its headers. The latency of a 5xx response counts as at least
// the smoothed latency, since an instance that fails fast would otherwise attract requests.
func (t *target) recordResponse(status int) {
	h := t.health()
	h.RecordSuccess()
	t.recordLatency(status >= 500)
}

// recordLatency updates the smoothed latency with the time since the start of the attempt. If atLeastSmoothed is set, a
// sample below the smoothed latency counts as the smoothed latency.
func (t *target) recordLatency(atLeastSmoothed bool) {
	now := time.Now()
	sample := now.Sub(t.started)
	t.health().UpdateLatency(now, func(old time.Duration) time.Duration {
		if atLeastSmoothed {
			sample = max(sample, old)
		}
		return routing.Smooth(old, sample)
	})
}

// recordFailure records a failed attempt. Connection failures count towards the ejection of the instance or peer; an
// attempt ended by its deadline or by a faster attempt counts as a latency sample.
func (t *target) recordFailure(kind retry.Kind) {
	switch {
	case kind.Outcome().Connection:
		if routing.RecordFailure(t.health(), time.Now()) {
			t.service.metrics.ejections.Inc()
		}
	case kind == retry.KindDeadline:
		t.recordLatency(true)
	case kind == retry.KindHedgeLost:
		// The response would have come later than now, so the time that has passed is only a lower bound and is
		// doubled.
		t.started = t.started.Add(-time.Since(t.started))
		t.recordLatency(true)
	}
}
