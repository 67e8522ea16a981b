package routing

import "time"

const (
	// SpilloverInterval is the time between two adjustments of the share of requests sent to the other data centre.
	SpilloverInterval = 250 * time.Millisecond
	// spilloverStep is the change of the share in one step. Small steps keep the entries from overloading the other data
	// centre together before its longer queue shows in the measurements.
	spilloverStep = 0.1
	// spilloverMinAdvantage is the smallest advantage that counts, as a fraction of the local delay.
	spilloverMinAdvantage = 0.2
	// spilloverGain is the weight of a new sample in the smoothed delays.
	spilloverGain = 0.3
)

// Spillover decides which share of a service's requests is sent to the other data centre. The share grows only while
// the other data centre is better by both the newest and the smoothed delays, and shrinks only while it is better by
// neither, which prevents oscillation on short changes of load. The two-metric hysteresis is that of "A delay-based
// routing metric" (Jonglez, Boutier, Chroboczek); docs/routing-metric.md has the comparison.
type Spillover struct {
	share   float64
	local   float64
	remote  float64
	updated time.Time
}

// Share returns the share of requests to send to the other data centre, from 0 to 1.
func (s *Spillover) Share() float64 { return s.share }

// IsDue reports whether the next step is due.
func (s *Spillover) IsDue(now time.Time) bool { return now.Sub(s.updated) >= SpilloverInterval }

// Update adjusts the share, given the estimated delays, including queueing, of a request served in this data centre and
// of one sent to the other.
func (s *Spillover) Update(now time.Time, local, remote time.Duration) {
	l, r := float64(local), float64(remote)
	if s.updated.IsZero() {
		s.local, s.remote = l, r
	}
	s.updated = now
	s.local += spilloverGain * (l - s.local)
	s.remote += spilloverGain * (r - s.remote)
	switch {
	case isBetter(r, l) && isBetter(s.remote, s.local):
		s.share = min(1, s.share+spilloverStep)
	case !isBetter(r, l) && !isBetter(s.remote, s.local):
		s.share = max(0, s.share-spilloverStep)
	}
}

func isBetter(candidate, current float64) bool { return candidate < current*(1-spilloverMinAdvantage) }
