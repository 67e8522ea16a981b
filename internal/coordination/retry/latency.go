package retry

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// subBuckets is the number of buckets per power of two, which keeps the error of a percentile below 1/8.
	subBuckets  = 8
	bucketCount = 64 * subBuckets
	// windowSamples is the number of samples after which the percentile is computed and the weight of old samples
	// halves.
	windowSamples = 256
)

// Latency estimates the 95th percentile of a service's latency over about the last 500 requests. It is safe for
// concurrent use.
type Latency struct {
	mu     sync.Mutex
	counts [bucketCount]uint32
	total  uint32
	// newSamples is the number of samples since the percentile was last computed.
	newSamples int
	p95        atomic.Int64
}

// Observe adds a sample.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[bucketOf(d)]++
	l.total++
	l.newSamples++
	if l.newSamples < windowSamples {
		return
	}
	l.newSamples = 0
	l.p95.Store(int64(l.percentile()))
	l.decay()
}

// P95 returns the 95th percentile, rounded up to the bound of its bucket; 0 means that there are too few samples.
func (l *Latency) P95() time.Duration { return time.Duration(l.p95.Load()) }

func (l *Latency) percentile() time.Duration {
	rank := l.total - l.total/20
	var seen uint32
	for i, n := range l.counts {
		seen += n
		if seen >= rank {
			return upperBound(i)
		}
	}
	return 0
}

func (l *Latency) decay() {
	l.total = 0
	for i, n := range l.counts {
		l.counts[i] = n / 2
		l.total += n / 2
	}
}

// bucketOf returns the log-linear bucket of a duration.
func bucketOf(d time.Duration) int {
	v := uint64(max(d, 0))
	if v < subBuckets {
		return int(v)
	}
	shift := bits.Len64(v) - 4
	return (shift+1)*subBuckets + int(v>>shift) - subBuckets
}

func upperBound(bucket int) time.Duration {
	if bucket < subBuckets {
		return time.Duration(bucket)
	}
	shift := bucket/subBuckets - 1
	return time.Duration((uint64(bucket%subBuckets)+subBuckets+1)<<shift) - 1
}
