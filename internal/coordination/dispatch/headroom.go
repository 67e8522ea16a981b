package dispatch

import (
	"math"
	"time"
)

// The headroom of a serving task is its target over its tail: 1 is a tail at its target. The tail of a queue is its tail
// at rest divided by the unused share of its capacity, so the headroom falls in a straight line with the load of the
// task and with the processors that filling tasks beside it use.
const (
	// initialHeadroom is the headroom of a serving task before its first report: a tail at 40% of its target.
	initialHeadroom = 2.5
	// initialHeadroomSD and initialTrendSD (per second) are how far a first estimate may be off.
	initialHeadroomSD = 1.0
	initialTrendSD    = 0.7
	// leastHeadroom is the headroom below which a report only says that the queue is saturated.
	leastHeadroom = 0.15
	// tailNoise is the relative error of a reported tail: it is rough and in whole milliseconds.
	tailNoise = 0.12
	// loadAcceleration, per second to the power of 1.5, is how fast the trend of a load changes.
	loadAcceleration = 0.4
	// maxTrend, per second, is the fastest change that is taken for one of the load: half of the load within some seconds.
	maxTrend = 1
	// outlier is the number of standard errors beyond which a report counts less: a new neighbour changes the tail of one
	// task at once, the load that of all tasks slowly.
	outlier = 1.5
	// figureSpan is the time that a report describes; half of it is its age on average.
	figureSpan = 500 * time.Millisecond
	// paceLead is how far ahead paces are set: the age of a report and the time until the next one takes effect.
	paceLead = 500 * time.Millisecond
	// placeLead is how far ahead work is placed: filling tasks take seconds.
	placeLead = 1000 * time.Millisecond
	// maxTrendSpan bounds how long a trend is followed without reports.
	maxTrendSpan = 2 * time.Second
	// lowRecovery, per second, is how fast a low of the headroom is forgotten.
	lowRecovery = 0.04
)

// loadTrack follows the headroom that the tasks of a serving step would have with nothing beside them. Their load is
// spread evenly, so that the reports of all of them tell of one load. It is a Kalman filter with a level and a trend.
type loadTrack struct {
	at time.Time
	// level is the headroom, trend its change per second.
	level, trend float64
	// levelVar, cross and trendVar are the covariances of both.
	levelVar, cross, trendVar float64
	// low is the lowest level of late.
	low float64
}

func (l *loadTrack) known() bool { return !l.at.IsZero() }

// observe takes in a headroom with the variance of its error.
func (l *loadTrack) observe(now time.Time, headroom, variance float64) {
	if !l.known() {
		l.at, l.level, l.low = now, headroom, headroom
		l.levelVar, l.cross, l.trendVar = variance+initialHeadroomSD*initialHeadroomSD, 0, initialTrendSD*initialTrendSD
		return
	}
	l.advance(now)
	off := headroom - l.level
	if far := math.Abs(off) / (outlier * math.Sqrt(l.levelVar+variance)); far > 1 {
		variance *= far * far
	}
	gain := 1 / (l.levelVar + variance)
	k0, k1 := l.levelVar*gain, l.cross*gain
	l.level += k0 * off
	l.trend = min(max(l.trend+k1*off, -maxTrend), maxTrend)
	l.trendVar -= k1 * l.cross
	l.cross *= 1 - k0
	l.levelVar *= 1 - k0
	l.low = min(l.low, l.level)
}

// advance moves the state on to a time.
func (l *loadTrack) advance(now time.Time) {
	dt := now.Sub(l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.at = now
	l.level += l.trend * min(dt, maxTrendSpan.Seconds())
	q := loadAcceleration * loadAcceleration
	l.levelVar += 2*dt*l.cross + dt*dt*l.trendVar + q*dt*dt*dt/3
	l.cross += dt*l.trendVar + q*dt*dt/2
	l.trendVar += q * dt
	l.low = min(l.low+lowRecovery*dt, l.level)
}

// ahead returns the headroom expected at a time after now. A trend is not followed below the lowest level of late: loads
// swing, and a trend turns later than its load.
func (l *loadTrack) ahead(now time.Time, lead time.Duration) float64 {
	if !l.known() {
		return initialHeadroom
	}
	span := min(now.Add(lead).Sub(l.at), maxTrendSpan).Seconds()
	return max(l.level+l.trend*span, l.low)
}

// lasting returns the headroom to count on for work that takes seconds: between what is expected soon and the lowest of
// late.
func (l *loadTrack) lasting(now time.Time) float64 {
	if !l.known() {
		return initialHeadroom
	}
	return (l.ahead(now, placeLead) + l.low) / 2
}

// serving reports whether a run is a serving task at work.
func (r *run) serving() bool {
	return r.task != nil && r.phase == running && r.task.step.TailTarget > 0 && r.percent >= fullPace
}

// reportedHeadroom returns the headroom of the newest report, and false when there is none.
func (r *run) reportedHeadroom() (float64, bool) {
	if r.figure <= 0 {
		return 0, false
	}
	target := float64(r.task.step.TailTarget) / float64(time.Millisecond)
	return target / r.figure, true
}
