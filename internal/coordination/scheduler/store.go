package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// storeUnavailableAfter is how long calls must have gone without a response before a failed call marks the store as
// unavailable. A few lost responses are not enough, as other calls still succeed meanwhile.
const storeUnavailableAfter = 600 * time.Millisecond

// storeHealth is the availability of the store, derived from the outcomes of calls.
type storeHealth struct {
	// lastReachable is when the most recent call that got a response was sent.
	lastReachable time.Time
	unavailable   bool
}

func (ev StoreCallDone) apply(c *Core, now time.Time) {
	h := &c.storeHealth
	wasUnavailable := h.unavailable
	c.revisions.observe(now, ev.Revision)
	if ev.Responded {
		if ev.Sent.After(h.lastReachable) {
			h.lastReachable = ev.Sent
		}
		h.unavailable = false
	} else if now.Sub(h.lastReachable) > storeUnavailableAfter {
		h.unavailable = true
	}
	if h.unavailable == wasUnavailable {
		return
	}
	code := notice.DependencyRecovered
	if h.unavailable {
		code = notice.DependencyLost
	}
	c.notify(code, dispatch.Attr{Key: "dependency", Value: "store"},
		dispatch.Attr{Key: "answered_age", Value: now.Sub(h.lastReachable)})
}
