package snapshot

import (
	"sync/atomic"
	"time"
)

// Health holds the latency and failures that traffic goroutines have measured for one upstream instance or peer.
// Package routing bases its decisions on it. All methods are safe for concurrent use.
type Health struct {
	latencyNanos atomic.Int64
	// measuredNanos is the time of the newest sample, in nanoseconds since the Unix epoch (1970).
	measuredNanos atomic.Int64
	failures      atomic.Int32
	// nextProbeNanos is the time of the next probe while the target is ejected, in nanoseconds since the Unix epoch
	// (1970).
	nextProbeNanos atomic.Int64
}

// Latency returns the smoothed latency; 0 means that there is no sample yet.
func (h *Health) Latency() time.Duration { return time.Duration(h.latencyNanos.Load()) }

// MeasuredAt returns the time of the newest sample.
func (h *Health) MeasuredAt() time.Time { return time.Unix(0, h.measuredNanos.Load()) }

// UpdateLatency replaces the smoothed latency with the result of f. A concurrent update may be lost; one missing sample
// matters little in an average.
func (h *Health) UpdateLatency(now time.Time, f func(old time.Duration) time.Duration) {
	h.measuredNanos.Store(now.UnixNano())
	h.latencyNanos.Store(int64(f(h.Latency())))
}

// Failures returns the number of consecutive failures.
func (h *Health) Failures() int32 { return h.failures.Load() }

// RecordSuccess resets the number of consecutive failures.
func (h *Health) RecordSuccess() {
	if h.failures.Load() != 0 {
		h.failures.Store(0)
	}
}

// RecordFailure counts a failure, sets the time of the next probe and returns the number of consecutive failures.
func (h *Health) RecordFailure(nextProbe func(failures int32) time.Time) int32 {
	n := h.failures.Add(1)
	h.nextProbeNanos.Store(nextProbe(n).UnixNano())
	return n
}

// NextProbe returns the earliest time at which one probe may be sent.
func (h *Health) NextProbe() time.Time { return time.Unix(0, h.nextProbeNanos.Load()) }

// ClaimProbe changes the time of the next probe from one value to another and reports whether this call did so. Of
// several goroutines that try, only one succeeds, and that one sends the probe.
func (h *Health) ClaimProbe(from, to time.Time) bool {
	return h.nextProbeNanos.CompareAndSwap(from.UnixNano(), to.UnixNano())
}
