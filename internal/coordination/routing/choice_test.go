package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func makeInstances(n int, slots int32) []snapshot.Instance {
	instances := make([]snapshot.Instance, n)
	for i := range instances {
		instances[i] = snapshot.Instance{ID: model.InstanceID(fmt.Sprint(i)), Limiter: snapshot.NewInstanceLimiter(slots)}
	}
	return instances
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// Guards against requests to instances that are leaving, closed, full or to be avoided, and against free slots that are
// not found.
func TestAcquireTakesOnlyUsableSlots(t *testing.T) {
	random := newRandom(1)
	instances := makeInstances(50, 2)
	instances[0].Leaving = true
	instances[1].Limiter.Close()
	for range 47 * 2 {
		i, ok := Acquire(instances, epoch, random, 2)
		assert.Assert(t, ok && i > 2, i)
	}
	_, ok := Acquire(instances, epoch, random, 2)
	assert.Assert(t, !ok)
	i, ok := Acquire(instances, epoch, random, -1)
	assert.Assert(t, ok && i == 2)
	_, ok = Acquire(nil, epoch, random, -1)
	assert.Assert(t, !ok)
}

// Guards against an ejected instance that gets more than one probe at a time, and against one that stays ejected after
// a successful probe.
func TestEjectionAndProbe(t *testing.T) {
	random := newRandom(2)
	instances := makeInstances(1, 8)
	health := &instances[0].Limiter.Health
	for n := range 3 {
		assert.Equal(t, RecordFailure(health, epoch), n == 2)
	}
	_, ok := Acquire(instances, at(minProbeDelay-1), random, -1)
	assert.Assert(t, !ok)
	_, ok = Acquire(instances, at(minProbeDelay), random, -1)
	assert.Assert(t, ok, "the probe")
	_, ok = Acquire(instances, at(minProbeDelay), random, -1)
	assert.Assert(t, !ok, "a second probe at the same time")
	assert.Assert(t, !RecordFailure(health, at(minProbeDelay)))
	_, ok = Acquire(instances, at(2*minProbeDelay), random, -1)
	assert.Assert(t, !ok, "the delay doubles after a failed probe")
	_, ok = Acquire(instances, at(3*minProbeDelay), random, -1)
	assert.Assert(t, ok, "the second probe")
	health.RecordSuccess()
	_, ok = Acquire(instances, at(3*minProbeDelay), random, -1)
	assert.Assert(t, ok)
	for range 40 {
		RecordFailure(health, epoch)
	}
	assert.Assert(t, !health.NextProbe().After(at(maxProbeDelay)))
}

// Guards against traffic between regions above the configured rate, over any period.
func TestByteBudgetHoldsItsRate(t *testing.T) {
	random := newRandom(3)
	const rate, burst, maxChunk = 1e6, 1e5, 4000
	b := NewByteBudget(rate, burst)
	now, sent := time.Duration(0), 0
	for now < 20*time.Second {
		if wait := b.Delay(at(now)); wait > 0 {
			now += wait
			continue
		}
		n := 1 + random.IntN(maxChunk)
		b.Consume(at(now), n)
		sent += n
		assert.Assert(t, float64(sent) <= burst+rate*now.Seconds()+maxChunk)
	}
	assert.Assert(t, float64(sent) >= rate*20)
}

// Guards against traffic that oscillates between data centres on short load peaks, and against traffic that never moves
// although the other data centre stays better.
func TestSpilloverNeedsLastingAdvantage(t *testing.T) {
	var s Spillover
	now := epoch
	step := func(n int, local, remote time.Duration) {
		for range n {
			now = now.Add(SpilloverInterval)
			assert.Assert(t, s.IsDue(now))
			s.Update(now, local, remote)
		}
	}
	step(20, 10*time.Millisecond, 14*time.Millisecond)
	assert.Equal(t, s.Share(), 0.0)
	step(1, 200*time.Millisecond, 14*time.Millisecond)
	step(1, 10*time.Millisecond, 14*time.Millisecond)
	assert.Assert(t, s.Share() <= spilloverStep, "one short peak moves at most one step")
	step(20, 200*time.Millisecond, 14*time.Millisecond)
	assert.Equal(t, s.Share(), 1.0)
	step(1, 10*time.Millisecond, 14*time.Millisecond)
	assert.Assert(t, s.Share() >= 1-spilloverStep)
	step(40, 10*time.Millisecond, 14*time.Millisecond)
	assert.Equal(t, s.Share(), 0.0)
}

// BenchmarkAcquire measures the cost of a choice for several numbers of instances.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			random := newRandom(4)
			instances := makeInstances(n, 8)
			b.ReportAllocs()
			for b.Loop() {
				i, _ := Acquire(instances, epoch, random, -1)
				instances[i].Limiter.Release()
			}
		})
	}
}

// countingRandom counts the random numbers that choices draw.
type countingRandom struct {
	*rand.Rand

	draws int
}

func (r *countingRandom) IntN(n int) int {
	r.draws++
	return r.Rand.IntN(n)
}

// Guards against a choice whose cost grows with the number of instances when three quarters of the slots are taken.
func TestCostOfAChoiceDoesNotGrow(t *testing.T) {
	var draws [3]float64
	for k, n := range []int{50, 500, 5000} {
		random := &countingRandom{Rand: newRandom(6)}
		instances := makeInstances(n, 1)
		for i := range instances {
			if i%4 != 0 {
				instances[i].Limiter.TryAcquire()
			}
		}
		const choices = 2000
		for range choices {
			i, ok := Acquire(instances, epoch, random, -1)
			assert.Assert(t, ok)
			instances[i].Limiter.Release()
		}
		draws[k] = float64(random.draws) / choices
		t.Logf("%d instances: %.2f draws", n, draws[k])
	}
	assert.Assert(t, draws[2] <= 1.1*draws[0])
}
