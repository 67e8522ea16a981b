package dispatch

import "time"

const (
	// overCost is what a serving task over its target costs, as the share of a worker's processors whose filling work is
	// worth as much: time over a target counts four times when filling tasks are the cause.
	overCost = 0.2
	// paceCost is that in paces. It is less, because a task that is held back keeps its memory and its whole job waiting.
	paceCost = 0.1
	// paceDoubt and placeDoubt are the errors, in headroom, of what is expected of a serving task within the next reports,
	// and over the seconds that a filling task takes.
	paceDoubt  = 0.4
	placeDoubt = 0.6
	// harmDoubt is the number of standard errors by which the harm of a pair is taken to be greater than its estimate.
	harmDoubt = 0.5
	// lateValue is what filling work counts for once its job is late.
	lateValue = 0.15
	// tightSlack is the time to spare below which a job counts as in need of all its time, maxValue bounds what the work
	// of such a job counts for.
	tightSlack = 2 * time.Second
	maxValue   = 6.0
	// surePart is the part of an estimate that a task takes at least: estimates are rough, and tasks may be nearly done.
	surePart = 0.5
)

// neighbour is a serving task beside which filling tasks work.
type neighbour struct {
	image string
	// margin is the headroom above its target that is expected of it.
	margin float64
	// protected means that it has been over its target for so long that nothing may work beside it.
	protected bool
}

// marginAt returns the headroom above its target of a serving task whose load leaves it some headroom.
func (r *run) marginAt(headroom float64) float64 { return headroom + min(r.offset, 0) - 1 }

// overRisk returns how likely a task with a margin is over its target.
func overRisk(margin, doubt float64) float64 {
	return min(max(0.5-margin/(2*doubt), 0), 1)
}

// outlook is what is expected of a worker within one pass of placing.
type outlook struct {
	// spare are the cores that its tasks leave unused.
	spare      float64
	neighbours []neighbour
}

// outlookOf works out the outlook of a worker.
func (d *Dispatcher) outlookOf(now time.Time, w *worker) *outlook {
	o := &outlook{spare: w.spareCores()}
	var filling usage
	for _, r := range w.list {
		if r.task != nil && r.task.step.Fills && r.phase != stopping {
			filling.add(r.task.step.Image, share(r.task.step.Size, w))
		}
	}
	for _, r := range w.list {
		if r.task == nil || r.task.step.TailTarget <= 0 || r.phase == stopping {
			continue
		}
		n := neighbour{image: r.task.step.Image, margin: r.marginAt(r.task.step.load.lasting(now))}
		for _, u := range filling {
			n.margin -= d.harmOf(n.image, u.image) * u.share
		}
		o.neighbours = append(o.neighbours, n)
	}
	return o
}

// harmOf returns the slope of a pair with a reserve for what is not known yet.
func (d *Dispatcher) harmOf(serving, filling string) float64 {
	slope, deviation := d.interference.of(serving, filling)
	return slope + harmDoubt*deviation
}

// fillingGain returns what a further filling task gains on a worker, as a share of its work at full pace: what it gets
// of the processors less what it costs its neighbours. loss is the headroom that it takes from all of them.
func (d *Dispatcher) fillingGain(o *outlook, w *worker, filling *step, value float64) (gain, loss float64) {
	x := share(filling.Size, w)
	if x <= 0 {
		return value, 0
	}
	speed := min(max(o.spare, 0)/(float64(filling.Size.CPUMillis)/millis), 1)
	cost := 0.0
	for _, n := range o.neighbours {
		taken := d.harmOf(n.image, filling.Image) * x
		loss += taken
		cost += overCost * (overRisk(n.margin-taken, placeDoubt) - overRisk(n.margin, placeDoubt))
	}
	return value*speed - cost/x, loss
}

// appraise works out what the work of a job counts for: little once the job can't be completed by its due time any more;
// while it needs all the time that it has, the more the less of it is left, because the whole job is late with its last
// task.
func (j *jobState) appraise(now time.Time) {
	if j.Lasting() {
		j.value = 1
		return
	}
	left, needed := j.due.Sub(now), j.remaining()
	j.late = left < time.Duration(surePart*float64(needed))
	switch {
	case j.late:
		j.value = lateValue
	case left < needed+tightSlack:
		j.value = min(1/j.unfinished(), maxValue)
	default:
		j.value = 1
	}
}

// unfinished returns the part of a job's work that is not done.
func (j *jobState) unfinished() float64 {
	all, left := 0.0, 0.0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			work := s.Estimate.Seconds() * float64(s.Size.CPUMillis)
			all += work * float64(s.Tasks)
			left += work * float64(s.left)
		}
	}
	if all == 0 {
		return 1
	}
	return left / all
}

// remaining returns how long the longest chain of unfinished steps takes by their estimates.
func (j *jobState) remaining() time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		ends := make([]time.Duration, len(o.steps))
		for i, s := range o.steps {
			if s.left == 0 {
				continue
			}
			for _, before := range s.After {
				ends[i] = max(ends[i], ends[before])
			}
			ends[i] += s.Estimate
			longest = max(longest, ends[i])
		}
	}
	return longest
}
