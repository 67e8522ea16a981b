package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against a worker that runs a delayed copy of a start after it has refused that attempt or got a stop for it.
// The owner of the shard takes either as proof that the attempt never runs and may start the task elsewhere. The
// variants REFUSAL_NOT_SEEN and STOP_NOT_SEEN of spec/tasks.pml show how the task then runs in two places.
func TestRefusedStartAndStopCountAsSeen(t *testing.T) {
	size := model.Resources{CPUMillis: 1000}
	start := func(job model.JobID) model.Order {
		return model.Order{
			Kind: model.OrderStart, Task: model.TaskID{Job: job}, Attempt: 1, Resources: size, Lease: time.Hour,
		}
	}
	stop := func(job model.JobID) model.Order {
		return model.Order{Kind: model.OrderStop, Task: model.TaskID{Job: job}, Attempt: 1}
	}
	w := NewWorker("w", size, 0)
	assert.Equal(t, w.applyOrder(0, 1, start("other")), model.RefusalReason(""))
	assert.Equal(t, w.applyOrder(0, 1, start("refused")), model.RefusedCapacity)
	assert.Equal(t, w.applyOrder(0, 1, stop("other")), model.RefusalReason(""))
	assert.Equal(t, w.applyOrder(0, 1, start("refused")), model.RefusedAttempt)
	assert.Equal(t, w.applyOrder(0, 1, stop("stopped")), model.RefusedUnknown)
	assert.Equal(t, w.applyOrder(0, 1, start("stopped")), model.RefusedAttempt)
}
