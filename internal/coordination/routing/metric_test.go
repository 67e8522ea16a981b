package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// completion is the end of a request in virtual time.
type completion struct {
	end, arrived, started time.Duration
	instance              int
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].end < c[j].end }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *completions) Push(x any) { *c = append(*c, x.(completion)) }

// Pop implements heap.Interface.
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

type chooser func(instances []snapshot.Instance, now time.Time, random *rand.Rand) (int, bool)

func chooseByCost(instances []snapshot.Instance, now time.Time, random *rand.Rand) (int, bool) {
	return Acquire(instances, now, random, -1)
}

// firstFree takes a slot of the first instance with a free one, in index order from start and wrapping round.
func firstFree(instances []snapshot.Instance, start int) (int, bool) {
	for k := range instances {
		i := (start + k) % len(instances)
		if instances[i].Limiter.TryAcquire() {
			return i, true
		}
	}
	return 0, false
}

func chooseRandom(instances []snapshot.Instance, _ time.Time, random *rand.Rand) (int, bool) {
	return firstFree(instances, random.IntN(len(instances)))
}

func roundRobin() chooser {
	next := 0
	return func(instances []snapshot.Instance, _ time.Time, _ *rand.Rand) (int, bool) {
		next++
		return firstFree(instances, next%len(instances))
	}
}

// scenarios maps names to functions that return the factor by which an instance is slowed down at a time; 0 means that
// it refuses connections.
var scenarios = map[string]func(i int, now time.Duration) float64{
	"even": func(int, time.Duration) float64 { return 1 },
	"one slow": func(i int, _ time.Duration) float64 {
		if i == 0 {
			return 5
		}
		return 1
	},
	// In each period of 2 s, another quarter of the instances is slow.
	"noisy wave": func(i int, now time.Duration) float64 {
		if i%4 == int(now/(2*time.Second))%4 {
			return 4
		}
		return 1
	},
	"a third lost": func(i int, now time.Duration) float64 {
		if i%3 == 0 && now > 5*time.Second {
			return 0
		}
		return 1
	},
}

// simulateInstances runs 24 instances with 4 slots each at half load for 30 s in virtual time. It returns the 99th
// percentile of the latency and the number of failures.
func simulateInstances(choose chooser, factor func(int, time.Duration) float64) (p99 time.Duration, failed int) {
	const n, slots, work, load = 24, 4, 10 * time.Millisecond, 0.5
	random := newRandom(11)
	instances := makeInstances(n, slots)
	var running completions
	var queue, latencies []time.Duration
	var now time.Duration
	start := func(arrived time.Duration) bool {
		i, ok := choose(instances, at(now), random)
		if !ok {
			return false
		}
		f := factor(i, now)
		if f == 0 {
			instances[i].Limiter.Release()
			RecordFailure(&instances[i].Limiter.Health, at(now))
			failed++
			return true
		}
		heap.Push(&running, completion{now + time.Duration(f*random.ExpFloat64()*float64(work)), arrived, now, i})
		return true
	}
	for next := time.Duration(0); now < 30*time.Second; {
		if len(running) > 0 && running[0].end <= next {
			c := heap.Pop(&running).(completion)
			now = c.end
			health := &instances[c.instance].Limiter.Health
			health.RecordSuccess()
			health.UpdateLatency(at(now), func(old time.Duration) time.Duration { return Smooth(old, c.end-c.started) })
			instances[c.instance].Limiter.Release()
			latencies = append(latencies, c.end-c.arrived)
			for len(queue) > 0 && start(queue[0]) {
				queue = queue[1:]
			}
			continue
		}
		now = next
		next += time.Duration(random.ExpFloat64() * float64(work) / (n * slots * load))
		if !start(now) {
			queue = append(queue, now)
		}
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100], failed
}

// Guards against a choice of instances that is worse than a random or round-robin one when instances are slow, vary in
// speed or fail.
func TestTailLatencyOfTheChoice(t *testing.T) {
	for name, factor := range scenarios {
		p99ByCost, failedByCost := simulateInstances(chooseByCost, factor)
		for other, choose := range map[string]chooser{"random": chooseRandom, "round robin": roundRobin()} {
			p99, failed := simulateInstances(choose, factor)
			t.Logf("%-12s p99 %6.1f ms, %s %6.1f ms; failures %d, %s %d",
				name, ms(p99ByCost), other, ms(p99), failedByCost, other, failed)
			assert.Check(t, float64(p99ByCost) <= 1.05*float64(p99), "%s against %s", name, other)
			assert.Check(t, failedByCost <= failed)
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// techniques says which techniques a choice of the data centre uses: smoothed delays, delays limited to a range, and a
// comparison by both the newest and the smoothed delays.
type techniques struct{ smooth, saturate, twoMetrics bool }

// simulateDataCentres simulates two data centres whose delay grows with their load, with noisy measurements. It returns
// the mean delay of a request, the share of requests sent to the other data centre needlessly and the number of times
// that the share changed direction.
func simulateDataCentres(
	seed uint64, step func(s *Spillover, now time.Time, local, remote time.Duration),
) (mean time.Duration, needless, reversals float64) {
	random := rand.New(rand.NewPCG(seed, 7))
	var s Spillover
	const steps, linkDelay = 2400, 4 * time.Millisecond
	delay := func(load float64) time.Duration {
		return min(time.Duration(float64(10*time.Millisecond)/max(1-load, 0.002)), 5*time.Second)
	}
	noisy := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * math.Exp(0.5*random.NormFloat64()))
	}
	var sum, needlesslySent float64
	direction, last := 0.0, 0.0
	for k := range steps {
		demand := 0.5 + 0.1*random.NormFloat64()
		if k/200%3 == 2 {
			demand += 0.6 // a load peak that lasts 50 s
		}
		demand = max(demand, 0)
		share := s.Share()
		local, remote := delay(demand*(1-share)), delay(0.3+demand*share)+linkDelay
		sum += (1-share)*float64(local) + share*float64(remote)
		if demand < 0.8 {
			needlesslySent += share
		}
		step(&s, at(time.Duration(k)*SpilloverInterval), noisy(local), noisy(remote))
		if change := s.Share() - last; change != 0 {
			if change*direction < 0 {
				reversals++
			}
			direction = change
		}
		last = s.Share()
	}
	return time.Duration(sum / steps), needlesslySent / steps, reversals
}

// saturate limits a delay to the range in which differences count.
func saturate(delay time.Duration) time.Duration {
	return min(max(delay, 2*time.Millisecond), 2*time.Second)
}

// spilloverVariant returns a variant of Spillover.Update that uses only the given techniques.
func spilloverVariant(use techniques) func(s *Spillover, now time.Time, local, remote time.Duration) {
	return func(s *Spillover, now time.Time, local, remote time.Duration) {
		l, r := float64(local), float64(remote)
		if use.saturate {
			l, r = float64(saturate(local)), float64(saturate(remote))
		}
		if s.updated.IsZero() {
			s.local, s.remote = l, r
		}
		s.updated = now
		gain := 1.0
		if use.smooth {
			gain = spilloverGain
		}
		s.local += gain * (l - s.local)
		s.remote += gain * (r - s.remote)
		better := isBetter(s.remote, s.local)
		worse := !better
		if use.twoMetrics {
			better, worse = better && isBetter(r, l), worse && !isBetter(r, l)
		}
		switch {
		case better:
			s.share = min(1, s.share+spilloverStep)
		case worse:
			s.share = max(0, s.share-spilloverStep)
		}
	}
}

// Guards against a choice of the data centre that is worse than a plain comparison of the newest measurements, or than
// all three techniques together.
func TestChoiceOfDataCentreAgainstPlainComparison(t *testing.T) {
	run := func(
		name string, step func(s *Spillover, now time.Time, local, remote time.Duration),
	) (mean time.Duration, needless, reversals float64) {
		const seeds = 10
		for seed := range uint64(seeds) {
			m, n, r := simulateDataCentres(seed, step)
			mean, needless, reversals = mean+m/seeds, needless+n/seeds, reversals+r/seeds
		}
		t.Logf("%-22s mean %6.1f ms, sent away needlessly %.3f, reversals %6.1f", name, ms(mean), needless, reversals)
		return mean, needless, reversals
	}
	plain, _, plainReversals := run("plain", spilloverVariant(techniques{}))
	run("smoothing", spilloverVariant(techniques{smooth: true}))
	run("saturating", spilloverVariant(techniques{saturate: true}))
	run("smoothing, saturating", spilloverVariant(techniques{smooth: true, saturate: true}))
	all, _, _ := run("all three", spilloverVariant(techniques{smooth: true, saturate: true, twoMetrics: true}))
	current, _, currentReversals := run("current", (*Spillover).Update)
	assert.Assert(t, current <= plain && current <= all)
	assert.Assert(t, currentReversals <= plainReversals)
}

// Guards against a busy peer whose round-trip time seems long. The peer is 3 ms away and delays its responses by 10 ms
// on average; another peer is 12 ms away. The asynchronous measurement subtracts the time spent in the peer.
func TestAsynchronousRoundTrip(t *testing.T) {
	const nearRTT, farRTT, meanServiceTime, samples = 3 * time.Millisecond, 12 * time.Millisecond,
		10 * time.Millisecond, 5000
	random := newRandom(8)
	jitter := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(time.Millisecond)) }
	var plain, asynchronous time.Duration
	wrongPlain, wrongAsynchronous := 0, 0
	for range samples {
		serviceTime := time.Duration(random.ExpFloat64() * float64(meanServiceTime))
		total := nearRTT + jitter() + serviceTime
		other := farRTT + jitter()
		plain, asynchronous = Smooth(plain, total), Smooth(asynchronous, total-serviceTime.Truncate(time.Microsecond))
		if plain > other {
			wrongPlain++
		}
		if asynchronous > other {
			wrongAsynchronous++
		}
	}
	t.Logf("wrong choices of %d: plain %d, asynchronous %d", samples, wrongPlain, wrongAsynchronous)
	assert.Assert(t, wrongAsynchronous < wrongPlain)
}
