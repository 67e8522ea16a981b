package caller

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jujubearch/jujubearch/internal/coordination/routing"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

const (
	// crossRegionBytesPerSecond is 60% of the 30 Mbit/s link between regions, the part that requests may use.
	crossRegionBytesPerSecond = 0.6 * 30e6 / 8
	// crossRegionBurstBytes is the burst allowed after an idle period: the bytes of a quarter of a second.
	crossRegionBurstBytes = crossRegionBytesPerSecond / 4
)

// links holds the state of the links to all peers, and the byte budgets and counters of the traffic to other regions.
type links struct {
	sentBudget     *routing.ByteBudget
	receivedBudget *routing.ByteBudget

	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter

	mu     sync.Mutex
	states map[model.EntryID]*linkState
}

// linkState is what this entry has measured of one peer by the requests that it forwarded.
type linkState struct {
	health   snapshot.Health
	inFlight atomic.Int32
}

// link is the link to a peer that was chosen for a request.
type link struct {
	links *links
	peer  *snapshot.Peer
	state *linkState
	// crossRegion is true if the peer is in another region.
	crossRegion bool
}

func newLinks() *links {
	return &links{
		sentBudget:     routing.NewByteBudget(crossRegionBytesPerSecond, crossRegionBurstBytes),
		receivedBudget: routing.NewByteBudget(crossRegionBytesPerSecond, crossRegionBurstBytes),
		sentBytes:      metrics.GetOrCreateCounter(`jujubearch_region_link_bytes_total{direction="sent"}`),
		receivedBytes:  metrics.GetOrCreateCounter(`jujubearch_region_link_bytes_total{direction="received"}`),
		states:         make(map[model.EntryID]*linkState),
	}
}

func (l *links) state(id model.EntryID) *linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states[id] == nil {
		l.states[id] = &linkState{}
	}
	return l.states[id]
}

// hasCrossRegionBudget reports whether the byte budgets allow a new request to another region.
func (l *links) hasCrossRegionBudget(now time.Time) bool {
	return l.sentBudget.Delay(now) == 0 && l.receivedBudget.Delay(now) == 0
}

// Sent implements upstream.Meter. Only connections to another region use this meter.
func (l *links) Sent(bytes int) {
	l.sentBytes.Add(bytes)
	l.sentBudget.Consume(time.Now(), bytes)
}

// Received implements upstream.Meter.
func (l *links) Received(bytes int) {
	l.receivedBytes.Add(bytes)
	l.receivedBudget.Consume(time.Now(), bytes)
}

// pace limits the rate of a body to the budget if the peer is in another region.
func (l *link) pace(ctx context.Context, body io.ReadCloser, budget *routing.ByteBudget) io.ReadCloser {
	if !l.crossRegion {
		return body
	}
	return &pacedBody{ReadCloser: body, ctx: ctx, budget: budget}
}

// pacedBody waits before each read until the budget's balance is positive. It does not spend the budget itself: the
// meter of the connection counts the bytes.
type pacedBody struct {
	io.ReadCloser

	ctx    context.Context //nolint:containedctx // io.Reader has no context
	budget *routing.ByteBudget
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if delay := b.budget.Delay(time.Now()); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	return b.ReadCloser.Read(p)
}
