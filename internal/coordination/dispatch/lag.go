package dispatch

import "time"

const (
	// tickInterval is the time between two Ticks of a leader that keeps up.
	tickInterval = 100 * time.Millisecond
	// lagDecay is the factor by which the remembered lag shrinks with each Tick: it halves within 0.7 s.
	lagDecay = 0.9
)

// lagMeter measures how far this process is behind: because it was paused, has too little CPU time or a full queue.
// Answers of workers are then late for reasons of its own.
type lagMeter struct {
	lastTick time.Time
	lag      time.Duration
}

// tick records a Tick.
func (m *lagMeter) tick(now time.Time) {
	m.lag = time.Duration(lagDecay * float64(m.lag))
	if !m.lastTick.IsZero() {
		m.observe(now.Sub(m.lastTick) - tickInterval)
	}
	m.lastTick = now
}

func (m *lagMeter) observe(lag time.Duration) { m.lag = max(m.lag, lag) }

// ObserveLag records for how long an event was queued.
func (d *Dispatcher) ObserveLag(lag time.Duration) { d.lagMeter.observe(lag) }

// answeredRecently reports whether the last answer of a worker is at most maxAnswerAge old, not counting the time by
// which this process is behind.
func (d *Dispatcher) answeredRecently(now time.Time, w *worker) bool {
	return now.Sub(w.answeredAt) <= maxAnswerAge+d.lagMeter.lag
}
