package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// fullFleet returns a fleet that is loaded like the target installation, with 7,400 service tasks and 17,000 batch
// tasks on 1,100 workers, and proportionally fewer tasks on fewer workers.
func fullFleet(slowdown *placement.Slowdown, workers int, random *rand.Rand) *placement.Fleet {
	capacity := model.Resources{CPUMillis: 32_000, MemoryBytes: 125 * gigabyte}
	fleet := make([]placement.Worker, workers)
	for i := range fleet {
		w := &fleet[i]
		*w = placement.Worker{ID: model.WorkerID(fmt.Sprint("w", i)), Rack: fmt.Sprint(i / 8), Capacity: capacity}
		w.Free = model.Resources{CPUMillis: random.Int64N(6000), MemoryBytes: random.Int64N(20 * gigabyte)}
	}
	for i := range workers * 7400 / 1100 {
		w := &fleet[i%workers]
		name := fmt.Sprint("svc", i%40)
		w.Services = append(w.Services, placement.ServiceInstance{Kind: name, Service: model.ServiceName(name)})
		w.Mix = w.Mix.Add(name, 1)
	}
	for i := range workers * 17_000 / 1100 {
		w := &fleet[i%workers]
		w.Mix = w.Mix.Add(fmt.Sprint("batch", random.IntN(60)), 0.25)
	}
	return placement.NewFleet(epoch, model.Weights{}, slowdown, fleet)
}

// mildModel returns a model that has learned that no kind slows a service down much, so that most workers accept batch
// work.
func mildModel() *placement.Slowdown {
	m := placement.NewSlowdown()
	var mix placement.Mix
	for i := range 60 {
		mix = mix.Add(fmt.Sprint("batch", i), 0.25)
	}
	for i := range 40 {
		mix = mix.Add(fmt.Sprint("svc", i), 0.5)
	}
	for i := range 40 {
		for range 15 {
			m.Observe(epoch, fmt.Sprint("svc", i), placement.BandLow, mix, 0.4)
		}
	}
	return m
}

// decide chooses a worker for a random request and releases it again, so that the load of the fleet stays constant.
func decide(f *placement.Fleet, random *rand.Rand) bool {
	r := placement.Request{
		Kind: fmt.Sprint("batch", random.IntN(60)),
		Need: model.Resources{CPUMillis: 1000 + random.Int64N(4000), MemoryBytes: (1 + random.Int64N(12)) * gigabyte},
	}
	choice, ok := f.Choose(epoch, r, random)
	if ok {
		f.Reserve(epoch, choice.Worker, r)
		f.Release(epoch, choice.Worker, r)
	}
	return ok
}

// Guards against decisions whose time or allocations grow linearly with the number of workers.
func TestDecisionCostGrowsMoreSlowlyThanTheFleet(t *testing.T) {
	const decisions = 200
	sizes := []int{50, 300, 1100}
	slowdown := mildModel()
	times, allocations := make([]float64, len(sizes)), make([]float64, len(sizes))
	for i, size := range sizes {
		random := rand.New(rand.NewPCG(5, 5))
		f := fullFleet(slowdown, size, random)
		placed := 0
		for range decisions {
			if decide(f, random) {
				placed++
			}
		}
		assert.Assert(t, placed > decisions/2, "%d of %d decisions found a worker", placed, decisions)
		for try := range 5 {
			start := time.Now()
			for range decisions {
				decide(f, random)
			}
			if taken := time.Since(start).Seconds(); try == 0 || taken < times[i] {
				times[i] = taken
			}
		}
		allocations[i] = testing.AllocsPerRun(decisions, func() { decide(f, random) })
		t.Logf("%d workers: time %.2f, allocations %.2f of those of %d workers", size, times[i]/times[0],
			allocations[i]/allocations[0], sizes[0])
	}
	for i, size := range sizes {
		growth := float64(size) / float64(sizes[0])
		assert.Check(t, i == 0 || times[i]/times[0] < growth)
		assert.Check(t, i == 0 || allocations[i]/allocations[0] < growth)
	}
}
