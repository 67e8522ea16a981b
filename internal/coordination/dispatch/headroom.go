package dispatch

import (
	"math"
	"time"
)

// The headroom of a serving task is its latency target divided by its tail latency, so it is 1 if the latency is at
// the target. The task is modelled as a queue of requests, whose tail latency is the one without load divided by the
// unused fraction of the task's capacity. The headroom therefore falls linearly with the task's load and with the CPU
// that best-effort tasks beside it use.
const (
	// initialHeadroom is the assumed headroom of a serving task before its first report. It corresponds to a tail
	// latency at 40% of the target.
	initialHeadroom = 2.5
	// initialHeadroomSD and initialTrendSD (per second) are the standard deviations of the first estimates.
	initialHeadroomSD = 1.0
	initialTrendSD    = 0.7
	// saturatedHeadroom is the headroom below which a report shows only that the task is saturated.
	saturatedHeadroom = 0.15
	// tailNoise is the relative error of a reported tail latency, which is a rough value in whole milliseconds.
	tailNoise = 0.12
	// loadAcceleration, in headroom per second to the power of 1.5, is the process noise of the filter: how fast the
	// trend of a load changes.
	loadAcceleration = 0.4
	// maxTrend, per second, is the fastest change that is attributed to the load: half of the load within a few
	// seconds.
	maxTrend = 1
	// outlierThreshold is the number of standard errors beyond which a report gets less weight. A new best-effort task
	// changes the tail latency of the serving tasks beside it at once, whereas the load of a step changes slowly.
	outlierThreshold = 1.5
	// reportWindow is the period that a report describes. Its average age is half of that.
	reportWindow = 500 * time.Millisecond
	// paceHorizon is how far ahead paces are set: the age of a report plus the time until the next one takes effect.
	paceHorizon = 500 * time.Millisecond
	// placementHorizon is how far ahead placement looks, because best-effort tasks run for seconds.
	placementHorizon = 1000 * time.Millisecond
	// maxExtrapolation limits how long a trend is extrapolated without reports.
	maxExtrapolation = 2 * time.Second
	// recentMinRecovery, per second, is how fast recentMin rises again after a minimum.
	recentMinRecovery = 0.04
)

// loadFilter estimates the headroom that the tasks of a serving step would have without best-effort tasks beside
// them. The step's load is spread evenly over its tasks, so the reports of all of them describe the same load. It is
// a Kalman filter with a level and a trend.
type loadFilter struct {
	updatedAt time.Time
	// level is the headroom, trend its change per second.
	level, trend float64
	// levelVar, covariance and trendVar are the covariance matrix of level and trend.
	levelVar, covariance, trendVar float64
	// recentMin is the lowest recent level.
	recentMin float64
}

func (f *loadFilter) initialised() bool { return !f.updatedAt.IsZero() }

// observe updates the filter with a headroom and the variance of its error.
func (f *loadFilter) observe(now time.Time, headroom, variance float64) {
	if !f.initialised() {
		f.updatedAt, f.level, f.recentMin = now, headroom, headroom
		f.levelVar, f.covariance, f.trendVar = variance+initialHeadroomSD*initialHeadroomSD, 0,
			initialTrendSD*initialTrendSD
		return
	}
	f.advance(now)
	residual := headroom - f.level
	if excess := math.Abs(residual) / (outlierThreshold * math.Sqrt(f.levelVar+variance)); excess > 1 {
		variance *= excess * excess
	}
	gain := 1 / (f.levelVar + variance)
	k0, k1 := f.levelVar*gain, f.covariance*gain
	f.level += k0 * residual
	f.trend = min(max(f.trend+k1*residual, -maxTrend), maxTrend)
	f.trendVar -= k1 * f.covariance
	f.covariance *= 1 - k0
	f.levelVar *= 1 - k0
	f.recentMin = min(f.recentMin, f.level)
}

// advance predicts the state at a later time.
func (f *loadFilter) advance(now time.Time) {
	dt := now.Sub(f.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	f.updatedAt = now
	f.level += f.trend * min(dt, maxExtrapolation.Seconds())
	q := loadAcceleration * loadAcceleration
	f.levelVar += 2*dt*f.covariance + dt*dt*f.trendVar + q*dt*dt*dt/3
	f.covariance += dt*f.trendVar + q*dt*dt/2
	f.trendVar += q * dt
	f.recentMin = min(f.recentMin+recentMinRecovery*dt, f.level)
}

// predict returns the headroom expected at the given horizon after now. The prediction never goes below recentMin:
// loads oscillate, and the estimated trend turns later than the load.
func (f *loadFilter) predict(now time.Time, horizon time.Duration) float64 {
	if !f.initialised() {
		return initialHeadroom
	}
	span := min(now.Add(horizon).Sub(f.updatedAt), maxExtrapolation).Seconds()
	return max(f.level+f.trend*span, f.recentMin)
}

// sustained returns the headroom that work lasting for seconds can rely on: the mean of the prediction for
// placementHorizon and recentMin.
func (f *loadFilter) sustained(now time.Time) float64 {
	if !f.initialised() {
		return initialHeadroom
	}
	return (f.predict(now, placementHorizon) + f.recentMin) / 2
}

// serving reports whether a run is a serving task that has finished starting up, which it reports as progress.
func (r *run) serving() bool {
	return r.task != nil && r.phase == running && r.task.step.TailLatencyTarget > 0 && r.progressPercent >= fullPercent
}

// reportedHeadroom returns the headroom in the newest report, and false if there is none.
func (r *run) reportedHeadroom() (float64, bool) {
	if r.metric <= 0 {
		return 0, false
	}
	target := float64(r.task.step.TailLatencyTarget) / float64(time.Millisecond)
	return target / r.metric, true
}
