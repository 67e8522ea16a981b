// Package routing chooses the instance and the data centre for a request. Choices depend only on the measurements and
// the random source that the transport passes in. While slots are free, the cost of a choice does not grow with the
// number of instances.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

const (
	// samplePairs is the number of random pairs that are tried before the choice falls back to a scan of all instances.
	samplePairs = 4
	// ejectAfter is the number of consecutive failures after which an instance is ejected: it gets only probe requests.
	ejectAfter = 3
	// minProbeDelay is the time until the first probe of an ejected instance; it doubles up to maxProbeDelay.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
	// defaultLatency is the lower bound of the latency used in a choice. It also applies to an instance without
	// measurements, so that new instances are measured soon.
	defaultLatency  = time.Millisecond
	latencyHalfLife = 2 * time.Second
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 0.1
)

// Random is the source of random choices. A source shared by goroutines must be safe for concurrent use.
type Random interface{ IntN(n int) int }

var _ Random = (*rand.Rand)(nil)

// Smooth returns the smoothed latency after a sample. The first sample is taken as it is.
func Smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyGain*float64(sample-old))
}

// Cost returns the cost of one more request on an instance: (slots in use + 1) × smoothed latency.
func Cost(limiter *snapshot.InstanceLimiter, now time.Time) float64 {
	return float64(limiter.InUse()+1) * float64(Latency(&limiter.Health, now))
}

// Latency returns the smoothed latency to use in a choice. It halves with each latencyHalfLife since the last
// measurement, so that an instance that was slow is tried again.
func Latency(health *snapshot.Health, now time.Time) time.Duration {
	latency := health.Latency()
	if latency <= defaultLatency {
		return defaultLatency
	}
	halvings := min(now.Sub(health.MeasuredAt())/latencyHalfLife, 30)
	return max(latency>>max(halvings, 0), defaultLatency)
}

// Usable reports whether an instance may get a new request now: it is not leaving, its limiter is open, a slot is free,
// and it is not ejected or its next probe is due.
func Usable(i *snapshot.Instance, now time.Time) bool {
	limiter := i.Limiter
	if i.Leaving || limiter.IsClosed() || limiter.InUse() >= limiter.Limit() {
		return false
	}
	return limiter.Health.Failures() < ejectAfter || !now.Before(limiter.Health.NextProbe())
}

// Acquire takes a slot of the cheaper of two random usable instances and returns the index of the instance. It never
// chooses the instance with the index avoid, if there is one.
func Acquire(instances []snapshot.Instance, now time.Time, random Random, avoid int) (int, bool) {
	n := len(instances)
	if n == 0 {
		return 0, false
	}
	for range samplePairs {
		a := random.IntN(n)
		b := a
		if n > 1 {
			b = (a + 1 + random.IntN(n-1)) % n
		}
		best := cheaper(instances, a, b, now, avoid)
		if best >= 0 && AcquireFrom(&instances[best], now) {
			return best, true
		}
	}
	start := random.IntN(n)
	for k := range n {
		i := (start + k) % n
		if i != avoid && Usable(&instances[i], now) && AcquireFrom(&instances[i], now) {
			return i, true
		}
	}
	return 0, false
}

// cheaper returns the index of the cheaper usable instance of two, or -1 if neither is usable.
func cheaper(instances []snapshot.Instance, a, b int, now time.Time, avoid int) int {
	okA := a != avoid && Usable(&instances[a], now)
	okB := b != a && b != avoid && Usable(&instances[b], now)
	switch {
	case okA && okB && Cost(instances[b].Limiter, now) < Cost(instances[a].Limiter, now):
		return b
	case okA:
		return a
	case okB:
		return b
	}
	return -1
}

// AcquireBorrowed takes a borrowed slot for a request that ends by the deadline and returns the index of its instance.
func AcquireBorrowed(instances []snapshot.Instance, now, deadline time.Time, random Random, avoid int) (int, bool) {
	n := len(instances)
	if n == 0 {
		return 0, false
	}
	start := random.IntN(n)
	for k := range n {
		i := (start + k) % n
		limiter := instances[i].Limiter
		if i == avoid || limiter.BorrowedInUse() >= limiter.BorrowedLimit() || !Usable(&instances[i], now) {
			continue
		}
		if limiter.TryAcquireBorrowed(deadline) {
			return i, true
		}
	}
	return 0, false
}

// AcquireFrom takes an own slot of a usable instance. On an ejected instance it takes a slot only for the one probe
// that is due.
func AcquireFrom(i *snapshot.Instance, now time.Time) bool {
	if !Usable(i, now) {
		return false
	}
	health := &i.Limiter.Health
	if failures := health.Failures(); failures >= ejectAfter {
		if !health.ClaimProbe(health.NextProbe(), now.Add(probeDelay(failures))) {
			return false
		}
	}
	return i.Limiter.TryAcquire()
}

// RecordFailure counts a connection failure of an instance and reports whether this failure ejects it.
func RecordFailure(health *snapshot.Health, now time.Time) bool {
	n := health.RecordFailure(func(failures int32) time.Time { return now.Add(probeDelay(failures)) })
	return n == ejectAfter
}

// IsEjected reports whether an instance is ejected because of consecutive failures.
func IsEjected(health *snapshot.Health) bool { return health.Failures() >= ejectAfter }

func probeDelay(failures int32) time.Duration {
	if failures <= ejectAfter {
		return minProbeDelay
	}
	return min(minProbeDelay<<min(failures-ejectAfter, 8), maxProbeDelay)
}
