package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// learnedModel returns a model that has learned that kind "noisy" slows "svc" down and "quiet" does not.
func learnedModel() *placement.Slowdown {
	m := placement.NewSlowdown()
	for i := range 120 {
		mix := placement.Mix{
			{Kind: "noisy", Weight: float64(i % 2)}, {Kind: "quiet", Weight: float64(i / 2 % 2)}, {Kind: "svc", Weight: 1},
		}
		ratio := 0.6
		if i%2 == 1 {
			ratio = 0.95
		}
		m.Observe(start, "svc", placement.BandMiddle, mix, ratio)
	}
	return m
}

func view(measured time.Time, ratio float64, noisyPercent uint32) WorkerView {
	return WorkerView{
		Worker: "w",
		Instances: []Instance{
			{Kind: "svc", Band: placement.BandMiddle, Ratio: ratio, MeasuredAt: measured},
		},
		Neighbours: []Neighbour{
			{Task: model.TaskID{Job: "noisy"}, Kind: "noisy", CPUPercent: noisyPercent},
			{Task: model.TaskID{Job: "quiet"}, Kind: "quiet", CPUPercent: 100},
		},
		Mix: placement.Mix{
			{Kind: "noisy", Weight: float64(noisyPercent) / 100}, {Kind: "quiet", Weight: 1}, {Kind: "svc", Weight: 1},
		},
	}
}

// Checks that the guard acts on the right neighbour only, waits for a report that shows the effect of its last action,
// and evicts only if throttling did not help; and that it keeps a throttle whose release would raise latency again.
func TestGuardThrottlesThenEvictsOrReleases(t *testing.T) {
	budget := &Budget{}
	budget.SetRunning(100)
	g := New(learnedModel(), budget)
	act := func(now, measured int, ratio float64, percent uint32) ActionKind {
		a, _ := g.Step(at(now), view(at(measured), ratio, percent))
		if a.Kind != 0 {
			assert.Equal(t, a.Task.Job, model.JobID("noisy"))
		}
		return a.Kind
	}
	assert.Equal(t, act(20, 15, 0.85, 100), ActionKind(0), "within the target")
	assert.Equal(t, act(30, 25, 0.95, 100), Throttle)
	assert.Equal(t, act(34, 29, 0.99, 25), ActionKind(0), "the window began before the throttle")
	assert.Equal(t, act(45, 40, 0.95, 25), Evict, "a full window without improvement")

	g = New(learnedModel(), budget)
	assert.Equal(t, act(130, 125, 0.95, 100), Throttle)
	assert.Equal(t, act(145, 141, 0.80, 25), ActionKind(0), "between the two thresholds")
	assert.Equal(t, act(160, 156, 0.60, 25), ActionKind(0), "the model expects 0.95 after a release")
}

// Guards against throttles that are never lifted after their cause is gone.
func TestGuardReleasesWhenTheModelExpectsNoHarm(t *testing.T) {
	g := New(placement.NewSlowdown(), &Budget{})
	a, ok := g.Step(at(30), view(at(25), 0.5, 25))
	assert.Assert(t, ok)
	assert.Equal(t, a.Kind, Unthrottle)
	assert.Equal(t, a.CPUPercent, uint32(100))
}

// Guards against mass evictions when many services exceed their targets at once.
func TestEvictionsStayWithinTheBudget(t *testing.T) {
	budget := &Budget{}
	budget.SetRunning(250)
	g := New(learnedModel(), budget)
	evictions := 0
	for second := range 3600 {
		for worker := range 50 {
			v := view(at(second-3), 0.99, 25)
			v.Worker = model.WorkerID(rune('A' + worker))
			if a, ok := g.Step(at(second), v); ok && a.Kind == Evict {
				evictions++
			}
		}
	}
	assert.Assert(t, evictions > 0 && evictions <= 6*5, "%d evictions in an hour, 2%% of 250 per 10 min allowed",
		evictions)
}

// Guards against quarantining a healthy worker because one job fails on all workers, and against assigning further
// tasks to a worker on which all jobs fail.
func TestQuarantineDistinguishesWorkersFromJobs(t *testing.T) {
	q := NewQuarantine()
	for i := range 20 {
		q.RecordFailure(at(i), "good", "broken")
		q.RecordFailure(at(i), "other", "broken")
	}
	assert.Equal(t, len(q.Update(at(20))), 0)
	for i, job := range []model.JobID{"a", "b", "c", "a"} {
		q.RecordFailure(at(30+i), "bad", job)
	}
	assert.Equal(t, len(q.Update(at(34))), 0, "no success elsewhere yet")
	for _, job := range []model.JobID{"a", "b", "c"} {
		q.RecordSuccess(at(35), "good", job)
	}
	assert.DeepEqual(t, q.Update(at(40)), []QuarantineChange{{Worker: "bad", Quarantined: true}})
	assert.Assert(t, !q.ProbeDue(at(99), "bad") && q.ProbeDue(at(100), "bad"))
	q.RecordProbe(at(100), "bad")
	assert.Assert(t, !q.ProbeDue(at(110), "bad"))
	q.RecordFailure(at(110), "bad", "a")
	assert.Assert(t, !q.ProbeDue(at(229), "bad") && q.ProbeDue(at(230), "bad"), "the time between probes doubles")
	q.RecordProbe(at(230), "bad")
	assert.Assert(t, q.RecordSuccess(at(250), "bad", "a"))
	assert.Assert(t, !q.IsQuarantined("bad"))
}
