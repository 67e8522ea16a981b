package dispatch

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const testID job.ID = "00000000000000aa"

// advisedWorld has 6 workers that demand permits, of which the policy allows w02 and w04.
func advisedWorld() *world {
	w := newWorld(1, 6)
	w.routes[0].Advice = &job.Advice{Decide: 50 * time.Millisecond, PerWorker: time.Millisecond, Valid: 2 * time.Second}
	w.leader.Configured(w.routes)
	for _, s := range w.sorted() {
		s.permit = job.Permit("permit-" + s.id)
	}
	w.advise = func(q Advise) (map[model.WorkerID]job.Permit, error) {
		granted := make(map[model.WorkerID]job.Permit)
		for _, id := range q.Workers {
			if id == "w02" || id == "w04" {
				granted[id] = w.workers[id].permit
			}
		}
		return granted, nil
	}
	w.run(time.Second)
	return w
}

// Guards against starts without a permit, and against a question for each task.
func TestTasksStartWherePolicyAllows(t *testing.T) {
	w := advisedWorld()
	w.submit(plainJob(testID, 4))
	w.run(3 * time.Second)
	assert.Equal(t, w.phase(testID), job.Completed)
	assert.Equal(t, len(w.questions), 1, "one question serves all tasks of a step")
	for _, r := range w.reports {
		for _, a := range r.Attrs {
			if a.Key == "worker" && r.Code == 7201 {
				assert.Assert(t, a.Value == model.WorkerID("w02") || a.Value == model.WorkerID("w04"), "placed on %v", a.Value)
			}
		}
	}
}

// Guards against a step that waits for ever after a question without an answer.
func TestLostAdviceIsAskedForAgain(t *testing.T) {
	w := advisedWorld()
	answer := w.advise
	w.advise = func(Advise) (map[model.WorkerID]job.Permit, error) {
		w.advise = answer
		return nil, errors.New("no answer")
	}
	w.submit(plainJob(testID, 4))
	w.run(3 * time.Second)
	assert.Equal(t, w.phase(testID), job.Completed)
	assert.Equal(t, len(w.questions), 2)
}

// Guards against a permit of an earlier life of a worker that fails the job, or that is tried again and again.
func TestRefusedPermitIsAskedForAgain(t *testing.T) {
	w := advisedWorld()
	w.submit(plainJob(testID, 4))
	w.run(100 * time.Millisecond)
	for _, id := range []model.WorkerID{"w02", "w04"} {
		w.workers[id].permit = "newer-" + w.workers[id].permit
	}
	w.run(5 * time.Second)
	assert.Equal(t, w.phase(testID), job.Completed)
	assert.Equal(t, len(w.questions), 2)
}
