package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const gigabyte = 1_000_000_000

func size(cores float64, gigabytes int64) model.Resources {
	return model.Resources{CPUMillis: int64(1000 * cores), MemoryBytes: gigabytes * gigabyte}
}

// Guards against reservations that are based on too few reports, fall below half of the declared size, or exceed the
// declared size.
func TestSizeStaysWithinItsBounds(t *testing.T) {
	declared := size(4, 16)
	for _, test := range []struct {
		name    string
		reports int
		used    model.Resources
		want    model.Resources
	}{
		{"no reports", 0, model.Resources{}, declared},
		{"too few reports", 4, size(1, 1), declared},
		{"usage plus margin", 5, size(3, 10), model.Resources{CPUMillis: 3450, MemoryBytes: 11_500_000_000}},
		{"at least half", 50, size(0.1, 1), size(2, 8)},
		{"memory at most declared", 50, size(3, 40), model.Resources{CPUMillis: 3450, MemoryBytes: 16 * gigabyte}},
		{"CPU at most declared", 50, size(40, 8), model.Resources{CPUMillis: 4000, MemoryBytes: 9_200_000_000}},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := NewEstimates()
			for range test.reports {
				e.ObserveUsage("k", test.used)
			}
			assert.Equal(t, e.Size("k", declared).Reserve, test.want)
		})
	}
}

// Guards against a model that attributes a slowdown to the wrong neighbour, stays at its priors, or does not follow a
// change.
func TestSlowdownLearnsThePairAndFollowsAShift(t *testing.T) {
	m := NewSlowdown()
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	observe := func(noisy float64, windows int) {
		for range windows {
			now = now.Add(10 * time.Second)
			var mix Mix
			mix = mix.Add("svc", 1).Add("noisy", float64(random.IntN(3))).Add("quiet", float64(random.IntN(4)))
			ratio := 0.4 * math.Pow(noisy, mix.Weight("noisy")) * math.Exp(0.05*random.NormFloat64())
			m.Observe(now, "svc", BandMiddle, mix, ratio)
		}
	}
	observe(1.3, 200)
	assert.Assert(t, math.Abs(m.Contribution(now, "svc", BandMiddle, "noisy")-math.Log(1.3)) < 0.05)
	assert.Assert(t, m.Contribution(now, "svc", BandMiddle, "quiet") < 0.03)
	mix := Mix{}.Add("svc", 1).Add("noisy", 2)
	p := m.Predict(now, "svc", BandMiddle, mix)
	assert.Assert(t, p.Upper > p.Mean && math.Abs(p.Mean-0.4*1.69) < 0.06, "%+v", p)
	observe(1.05, 200)
	assert.Assert(t, math.Abs(m.Contribution(now, "svc", BandMiddle, "noisy")-math.Log(1.05)) < 0.05)
}

// Guards against attributing a window to the tasks that run when its report arrives instead of those that ran during
// the window.
func TestHistoryGivesTheMixOfThePast(t *testing.T) {
	h := NewMixHistory()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h.Record(at(0), "w", Mix{}.Add("a", 1))
	h.Record(at(20), "w", Mix{}.Add("b", 2))
	mix, ok := h.Average("w", at(5), at(15))
	assert.Assert(t, ok)
	assert.DeepEqual(t, mix, Mix{{"a", 1}})
	mix, _ = h.Average("w", at(15), at(25))
	assert.DeepEqual(t, mix, Mix{{"a", 0.5}, {"b", 1}})
	_, ok = h.Average("w", at(-5), at(5))
	assert.Assert(t, !ok)
}

// Guards against assignments beyond the free capacity in any resource (guarantee P1, see package invariant), and
// against finding no worker although one has the capacity.
func TestChooseNeverExceedsFreeCapacity(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		var workers []Worker
		for i := range 1 + random.IntN(40) {
			capacity := model.Resources{CPUMillis: 32_000, MemoryBytes: 125 * gigabyte, Accelerators: int64(random.IntN(3))}
			workers = append(workers, Worker{
				ID: model.WorkerID(fmt.Sprint("w", i)), Rack: fmt.Sprint(i / 8), Capacity: capacity, Free: capacity,
			})
		}
		f := NewFleet(start, model.Weights{}, NewSlowdown(), workers)
		for range 400 {
			need := size(float64(1+random.IntN(12)), int64(1+random.IntN(60)))
			need.Accelerators = int64(random.IntN(2))
			r := Request{Kind: "k", Need: need}
			c, found := f.Choose(start, r, random)
			fits := false
			for _, w := range workers {
				fits = fits || need.FitsIn(w.Free)
			}
			assert.Equal(t, found, fits)
			if found {
				f.Reserve(start, c.Worker, r)
			}
		}
		for _, w := range workers {
			assert.Assert(t, !w.Free.IsNegative(), "%+v", w)
		}
	}
}

// Guards against placing batch work on a worker where a service's predicted latency would come too close to its target,
// and against placing instances of a service in the same rack while another rack has capacity.
func TestChooseKeepsMarginAndSpreads(t *testing.T) {
	m := NewSlowdown()
	for i := range 50 {
		m.Observe(start, "svc", BandMiddle, Mix{{"svc", 1}, {"noisy", float64(i % 2)}}, 0.6*math.Pow(1.6, float64(i%2)))
	}
	instances := []ServiceInstance{{Kind: "svc", Service: "s", Band: BandMiddle}}
	workers := []Worker{
		{ID: "a", Rack: "1", Capacity: size(32, 100), Free: size(16, 50), Services: instances, Mix: Mix{{"svc", 1}}},
		{ID: "b", Rack: "2", Capacity: size(32, 100), Free: size(32, 100)},
	}
	f := NewFleet(start, model.Weights{Latency: 0, Throughput: 1}, m, workers)
	random := rand.New(rand.NewPCG(1, 1))
	c, ok := f.Choose(start, Request{Kind: "noisy", Need: size(1, 1)}, random)
	assert.Assert(t, ok && c.Worker == "b")
	_, ok = f.Choose(start, Request{Kind: "noisy", Need: size(17, 1)}, random)
	assert.Assert(t, ok)
	c, ok = f.Choose(start, Request{Kind: "svc", Class: model.ClassService, Service: "s", Need: size(1, 1)}, random)
	assert.Assert(t, ok && c.Worker == "b")
}

// Guards against portions of a quota that add up to more or less than the quota over all shards.
func TestQuotaPortionsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		var parts []model.Resources
		var all model.Resources
		for range 1 + random.IntN(64) {
			parts = append(parts, size(float64(random.IntN(500)), 0))
			all = all.Add(parts[len(parts)-1])
		}
		count, sum := int64(random.IntN(10_000)), int64(0)
		var before model.Resources
		for _, own := range parts {
			sum += CapacityShare{Before: before, Own: own, All: all}.Portion(count)
			before = before.Add(own)
		}
		if all.CPUMillis > 0 {
			assert.Equal(t, sum, count)
		}
	}
}

// Guards against an order that ignores urgency, deadlines, weights or quotas, and against a group without a suitable
// worker that blocks other groups.
func TestQueueOrder(t *testing.T) {
	job := func(id string, team model.TeamName) *model.Job { return &model.Job{ID: model.JobID(id), Team: team} }
	group := func(j *model.Job, count int) *Group {
		g := &Group{Job: j, Need: size(1, 1), Remaining: time.Minute}
		for i := range count {
			g.Tasks = append(g.Tasks, model.Task{ID: model.TaskID{Job: j.ID, Index: uint32(i)}})
		}
		return g
	}
	late, early, urgent := job("late", "a"), job("early", "a"), job("urgent", "b")
	late.FinishBy, early.FinishBy, urgent.Urgent = start.Add(90*time.Second), start.Add(80*time.Second), true
	teams := []Team{
		{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "capped", Weight: 1, Quota: size(1, 0)},
	}
	q := NewQueue(start, size(100, 100), teams, []*Group{
		group(job("stuck", "a"), 5), group(job("fair-a", "a"), 3), group(late, 1), group(early, 1),
		group(job("fair-b", "b"), 9), group(job("limited", "capped"), 5), group(urgent, 1),
	})
	var order []string
	counts := make(map[string]int)
	for g, _, ok := q.Next(); ok; g, _, ok = q.Next() {
		id := string(g.Job.ID)
		if id == "stuck" {
			q.SkipGroup()
			continue
		}
		order = append(order, id)
		counts[id]++
		q.MarkPlaced()
	}
	assert.DeepEqual(t, order[:3], []string{"urgent", "early", "late"})
	assert.DeepEqual(t, counts, map[string]int{"urgent": 1, "early": 1, "late": 1, "fair-a": 3, "fair-b": 9, "limited": 1})
	assert.DeepEqual(t, q.QuotaLimitedTeams(), []model.TeamName{"capped"})
	// Team b has 3 times the weight of team a and starts with half as much in use: b reaches 6 when a is at 2.
	assert.DeepEqual(t, order[3:9], []string{"limited", "fair-b", "fair-b", "fair-b", "fair-b", "fair-b"})
}

// Guards against evictions that lose more work or stop more tasks than needed.
func TestCheapestEviction(t *testing.T) {
	task := func(id string, cores float64, unsaved time.Duration) EvictableTask {
		return EvictableTask{Task: model.TaskID{Job: model.JobID(id)}, Reserved: size(cores, 1), Unsaved: unsaved}
	}
	workers := []EvictionCandidate{
		{Worker: "old", Capacity: size(8, 8), Tasks: []EvictableTask{task("x", 8, time.Hour)}},
		{Worker: "new", Capacity: size(8, 8), Free: size(1, 8), Tasks: []EvictableTask{
			task("small", 1, time.Second), task("large", 4, 10*time.Second), task("aged", 3, time.Hour),
		}},
	}
	id, victims, ok := CheapestEviction(size(5, 1), workers)
	assert.Assert(t, ok && id == "new")
	assert.DeepEqual(t, victims, []EvictableTask{task("large", 4, 10*time.Second)})
	_, _, ok = CheapestEviction(size(10, 1), workers)
	assert.Assert(t, !ok)
}

// Guards against jobs that wait forever without a reason being shown, and against refusing jobs that can run.
func TestUnrunnableReason(t *testing.T) {
	capacities := []model.Resources{size(32, 8), size(4, 125)}
	for _, test := range []struct {
		name  string
		need  model.Resources
		quota model.Resources
		never bool
	}{
		{"fits", size(4, 100), model.Resources{}, false},
		{"larger than all", size(33, 1), model.Resources{}, true},
		{"no worker has both", size(32, 100), model.Resources{}, true},
		{"above the quota", size(4, 4), size(3, 0), true},
		{"within the quota", size(3, 4), size(3, 0), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			reason, never := UnrunnableReason(model.Job{Declared: test.need}, model.Team{Quota: test.quota}, capacities)
			assert.Equal(t, never, test.never)
			assert.Equal(t, reason != "", test.never)
		})
	}
}
