package dispatch

import "time"

const (
	// placementViolationCost is the cost of a serving task above its latency target, as the share of a worker's CPU
	// whose best-effort work is worth as much. Placement uses it. The value takes into account that time above a target
	// weighs four times as much if best-effort tasks cause it.
	placementViolationCost = 0.2
	// paceViolationCost is the corresponding cost for setting paces. It is lower because a best-effort task that is
	// slowed down still holds its memory and delays its whole job.
	paceViolationCost = 0.1
	// paceMarginError and placementMarginError are the errors, in headroom, of the expected margin of a serving task:
	// over the next few reports, and over the seconds that a best-effort task runs.
	paceMarginError      = 0.4
	placementMarginError = 0.6
	// slopeErrorFactor is the number of standard errors that is added to the estimated slope of a pair of images.
	slopeErrorFactor = 0.5
	// lateJobValue is the value of best-effort work of a late job.
	lateJobValue = 0.15
	// A job whose slack is below tightSlack counts as urgent, and maxJobValue limits the value of its work.
	tightSlack  = 2 * time.Second
	maxJobValue = 6.0
	// minEstimateFraction is the fraction of the estimated remaining time that a job is assumed to need at least.
	// Estimates are rough, and running tasks may be nearly done.
	minEstimateFraction = 0.5
)

// neighbour is a serving task on the same worker as best-effort tasks.
type neighbour struct {
	// slopes are those of its image; nil if nothing is known of it.
	slopes *slopeFit
	// margin is the expected headroom less 1, the headroom at the latency target.
	margin float64
	// protected means that it has been above its target for so long that no best-effort task may run beside it.
	protected bool
}

// marginAt returns the margin of a serving task if its load leaves it the given headroom. A positive headroomOffset is
// ignored.
func (r *run) marginAt(headroom float64) float64 { return headroom + min(r.headroomOffset, 0) - 1 }

// violationRisk returns the probability that a task with the given margin is above its target. The error of the margin
// is taken as uniformly distributed within plus or minus marginError.
func violationRisk(margin, marginError float64) float64 {
	return min(max(0.5-margin/(2*marginError), 0), 1)
}

// updateValue updates whether a job is late and what its work is worth. The value is low once the job is late. For an
// urgent job it rises as less work is left, because the whole job is late if its last task is.
func (j *jobState) updateValue(now time.Time) {
	if j.LongRunning() {
		j.workValue = 1
		return
	}
	left, needed := j.due.Sub(now), j.remainingTime()
	j.late = left < time.Duration(minEstimateFraction*float64(needed))
	switch {
	case j.late:
		j.workValue = lateJobValue
	case left < needed+tightSlack:
		j.workValue = min(1/j.unfinishedWork(), maxJobValue)
	default:
		j.workValue = 1
	}
}

// unfinishedWork returns the fraction of a job's work that is not done.
func (j *jobState) unfinishedWork() float64 {
	all, left := 0.0, 0.0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			work := s.Estimate.Seconds() * float64(s.Size.CPUMillis)
			all += work * float64(s.Tasks)
			left += work * float64(s.tasksLeft)
		}
	}
	if all == 0 {
		return 1
	}
	return left / all
}

// remainingTime returns the estimated duration of the longest chain of dependent unfinished steps.
func (j *jobState) remainingTime() time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		ends := make([]time.Duration, len(o.steps))
		for i, s := range o.steps {
			if s.tasksLeft == 0 {
				continue
			}
			for _, dependency := range s.After {
				ends[i] = max(ends[i], ends[dependency])
			}
			ends[i] += s.Estimate
			longest = max(longest, ends[i])
		}
	}
	return longest
}
