package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/protocol/relaybatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// recordingWorkers records what reaches the workers.
type recordingWorkers struct {
	acknowledged []int64
	starts       int
}

func (w *recordingWorkers) Hold(_ context.Context, h dispatch.Hold) (job.Inventory, job.OrderResponse) {
	w.acknowledged = append(w.acknowledged, h.Acknowledged)
	return job.Inventory{Boot: 1}, job.OrderResponse{}
}

func (w *recordingWorkers) Start(context.Context, dispatch.Start) job.OrderResponse {
	w.starts++
	return job.OrderResponse{}
}

func (w *recordingWorkers) Stop(context.Context, dispatch.Stop) job.OrderResponse {
	return job.OrderResponse{}
}

func (w *recordingWorkers) Pace(context.Context, dispatch.Pace) job.OrderResponse {
	return job.OrderResponse{}
}

func testCarrier(workers *recordingWorkers) *carrier {
	return &carrier{
		options: AgentOptions{Workers: workers}, ctx: context.Background(),
		workers: make(map[model.WorkerID]*reporter), wake: make(chan struct{}, 1),
	}
}

// Guards against a relay that was paused, or whose answer of the worker the leader has not seen, and acknowledges ends:
// the worker may have restarted, and its numbers then mean other ends.
func TestRelayAcknowledgesOnlyItsFreshLastInventory(t *testing.T) {
	workers := &recordingWorkers{}
	c := testCarrier(workers)
	hold := func(inventory uint64) {
		order := dispatch.Hold{Target: dispatch.Target{Worker: "w", Address: "a", Epoch: 1}, Acknowledged: 5}
		c.carry(relaybatch.Order{ID: 1, Action: order, LastInventory: inventory}, time.Now())
	}
	hold(0)
	hold(1)
	hold(1)
	c.workers["w"].reportedAt = time.Now().Add(-time.Second)
	hold(3)
	hold(4)
	assert.DeepEqual(t, workers.acknowledged, []int64{0, 5, 0, 0, 5})
}

// Guards against a relay that was paused and starts a task that its leader has given up meanwhile.
func TestPausedRelaySendsNoOldStart(t *testing.T) {
	workers := &recordingWorkers{}
	c := testCarrier(workers)
	start := dispatch.Start{Target: dispatch.Target{Worker: "w", Address: "a", Epoch: 1}}
	c.carry(relaybatch.Order{ID: 1, Action: start}, time.Now())
	c.carry(relaybatch.Order{ID: 2, Action: start}, time.Now().Add(-time.Second))
	assert.Equal(t, workers.starts, 1)
	assert.Equal(t, c.results[1].GetVerdict(), jobspb.Verdict_VERDICT_NOT_RUN)
}
