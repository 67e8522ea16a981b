package admission

import (
	"sync/atomic"
	"time"
)

// Gains of the smoothed mean and mean deviation, as in TCP's retransmission timer (RFC 6298).
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
)

// ServiceTime is a smoothed estimate of the time from the start of a request to its response. It is safe for concurrent
// use; concurrent updates may lose a sample.
type ServiceTime struct {
	mean      atomic.Int64
	deviation atomic.Int64
}

// Observe adds a sample.
func (s *ServiceTime) Observe(sample time.Duration) {
	mean := s.mean.Load()
	if mean == 0 {
		s.mean.Store(int64(sample))
		return
	}
	difference := int64(sample) - mean
	s.mean.Store(mean + int64(meanGain*float64(difference)))
	deviation := s.deviation.Load()
	s.deviation.Store(deviation + int64(deviationGain*float64(max(difference, -difference)-deviation)))
}

// Mean returns the smoothed mean; 0 means that nothing was measured.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean.Load()) }

// marginDeviations is the margin of Expected in mean deviations. With a margin of one, requests started just before
// their deadline reduced the goodput of uniform work with mixed deadlines, offered at twice the capacity, to 0.895 of
// the capacity, below the target of 0.9 (see TestGoodputAtTwiceTheCapacity).
const marginDeviations = 2

// Expected returns the mean plus two mean deviations (marginDeviations), which few requests exceed.
func (s *ServiceTime) Expected() time.Duration {
	return time.Duration(s.mean.Load() + marginDeviations*s.deviation.Load())
}
