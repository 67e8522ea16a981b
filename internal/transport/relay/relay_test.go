package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
)

func waitForJobs(t *testing.T, l *leaderUnderTest, ids []job.ID) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := l.completed(t, ids); n < len(ids) {
			return poll.Continue("%d of %d jobs completed", n, len(ids))
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(40*time.Second))
}

// Guards against tasks that are lost, or run twice, when their orders and results go through entries of which one stops
// in an orderly way, one vanishes and one comes late, and against relays that are not used.
func TestJobsCompleteWhileRelaysComeAndGo(t *testing.T) {
	f := newFleet(30, 2)
	l := startLeader(t, f, 1)
	relayed := &countingWorkers{fleet: f}
	first := l.startAgent(t, "a", "dc-0", relayed)
	vanishing := &silentWorkers{countingWorkers: relayed, silent: make(chan struct{})}
	l.startAgent(t, "b", "dc-1", vanishing)
	var ids []job.ID
	for n := range 12 {
		j := testJob(fmt.Sprintf("%016x", n), 20, false)
		ids = append(ids, j.ID)
		l.submit(t, j)
		time.Sleep(150 * time.Millisecond)
		switch n {
		case 3:
			l.startAgent(t, "c", "dc-0", relayed)
			first.Stop()
		case 6:
			close(vanishing.silent)
			l.startAgent(t, "d", "dc-1", relayed)
		}
	}
	waitForJobs(t, l, ids)
	assert.Equal(t, f.doubled.Load(), int64(0), "tasks ran twice at the same time")
	assert.Assert(t, relayed.relayed.Load() > int64(len(ids)*20/2), "only %d starts by relays", relayed.relayed.Load())
}

// countingWorkers counts the starts that go through a relay.
type countingWorkers struct {
	*fleet
	relayed atomic.Int64
}

func (w *countingWorkers) Start(ctx context.Context, s dispatch.Start) job.OrderResponse {
	w.relayed.Add(1)
	return w.fleet.Start(ctx, s)
}

// silentWorkers answers nothing any more once silent is closed, although orders may still be carried out.
type silentWorkers struct {
	*countingWorkers
	silent chan struct{}
}

func (w *silentWorkers) block(ctx context.Context) {
	select {
	case <-w.silent:
		<-ctx.Done()
	default:
	}
}

func (w *silentWorkers) Hold(ctx context.Context, h dispatch.Hold) (job.Inventory, job.OrderResponse) {
	inv, response := w.countingWorkers.Hold(ctx, h)
	w.block(ctx)
	if ctx.Err() != nil {
		return job.Inventory{}, job.OrderResponse{Err: ctx.Err()}
	}
	return inv, response
}

func (w *silentWorkers) Start(ctx context.Context, s dispatch.Start) job.OrderResponse {
	response := w.countingWorkers.Start(ctx, s)
	w.block(ctx)
	if ctx.Err() != nil {
		return job.OrderResponse{Err: ctx.Err()}
	}
	return response
}
