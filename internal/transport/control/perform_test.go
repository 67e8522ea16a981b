package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// countingWorkers counts the batches of orders that were sent.
type countingWorkers struct{ sent int }

func (w *countingWorkers) Apply(
	context.Context, string, model.ShardID, model.Epoch, []model.Order,
) (model.WorkerReport, error) {
	w.sent++
	return model.WorkerReport{}, nil
}

// A process that was paused between deciding on orders and sending them must not send them any more. Leases count from
// their arrival at the worker, so such a lease would end after the renewal horizon, when a successor may already have
// started the task elsewhere.
func TestOldOrdersAreNotSent(t *testing.T) {
	workers := &countingWorkers{}
	executor := &Executor{Workers: workers}
	for _, test := range []struct {
		at   time.Time
		sent int
	}{{time.Now().Add(-time.Hour), 0}, {time.Now().Round(0).Add(-time.Hour), 0}, {time.Now(), 1}} {
		result, ok := executor.Perform(context.Background(), controller.SendOrders{At: test.at})
		assert.Assert(t, ok)
		report, ok := result.(controller.WorkerReported)
		assert.Assert(t, ok)
		assert.Equal(t, workers.sent, test.sent)
		if test.sent == 0 {
			assert.Equal(t, verdict.Of(report.Err), verdict.NotRun)
		}
	}
}
