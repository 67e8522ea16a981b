package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/retry"
	"github.com/jujubearch/jujubearch/internal/transport/upstream"
)

// hedgeRace is the state of a request that may be hedged.
type hedgeRace struct {
	// won is set by the attempt that has a response first.
	won atomic.Bool
	// results receives the hedge's result, or nil if no hedge was sent.
	results chan *attemptResult
	// cancelMain cancels the context of the first attempt.
	cancelMain context.CancelCauseFunc
	// cancelHedge cancels the context of the hedge; it is nil until the hedge starts.
	cancelHedge atomic.Pointer[context.CancelCauseFunc]
}

// sendHedged sends the request. If it may be hedged and the response takes longer than the service's 95th percentile,
// it sends a second attempt, the hedge, to another local instance. The first response is used and the other attempt is
// cancelled.
func (p *Proxy) sendHedged(c *call, t *target) *attemptResult {
	hedgeDelay := c.service.latency.P95()
	if hedgeDelay == 0 || t.link != nil || !retry.MayHedge(c.idempotent, c.key != "", c.body != nil) {
		return p.sendOnce(c.request.Context(), c, t, true)
	}
	r := &hedgeRace{results: make(chan *attemptResult, 1)}
	var main context.Context
	main, r.cancelMain = context.WithCancelCause(c.request.Context())
	timer := time.AfterFunc(hedgeDelay, func() { p.hedge(c, t, r) })
	first := p.sendOnce(main, c, t, true)
	stopped := timer.Stop()
	if first.response != nil && r.won.CompareAndSwap(false, true) {
		if !stopped {
			r.stopHedge()
			go discardHedge(r)
		}
		return first
	}
	if stopped {
		return first
	}
	return p.chooseResult(first, <-r.results)
}

// stopHedge cancels the hedge. A hedge that has not stored its cancel function yet will see that won is set.
func (r *hedgeRace) stopHedge() {
	if cancel := r.cancelHedge.Load(); cancel != nil {
		(*cancel)(upstream.ErrHedgeLost)
	}
}

// discardHedge waits for a cancelled hedge to end and releases its slot.
func discardHedge(r *hedgeRace) {
	if hedge := <-r.results; hedge != nil {
		hedge.close()
	}
}

// chooseResult chooses between the results of both attempts when the first one has no response or was not the first to
// respond; second may be nil. It closes the result that it does not return.
func (p *Proxy) chooseResult(first, second *attemptResult) *attemptResult {
	switch {
	case second == nil:
		return first
	case second.response != nil:
		first.close()
		return second
	}
	// Both failed. The result that proves less is returned: if either attempt may have run, so may the request.
	if first.kind.Outcome().Verdict > second.kind.Outcome().Verdict {
		first, second = second, first
	}
	second.close()
	return first
}

// hedge makes the second attempt and delivers its result, or nil if it was not sent.
func (p *Proxy) hedge(c *call, first *target, r *hedgeRace) {
	var t *target
	ctx, cancel := context.WithCancelCause(c.request.Context())
	r.cancelHedge.Store(&cancel)
	if !r.won.Load() && ctx.Err() == nil {
		t = p.extraTarget(c, first)
	}
	if t == nil {
		r.results <- nil
		return
	}
	c.service.metrics.hedges.Inc()
	second := p.sendOnce(ctx, c, t, false)
	if second.response != nil && r.won.CompareAndSwap(false, true) {
		r.cancelMain(upstream.ErrHedgeLost)
	}
	r.results <- second
}
