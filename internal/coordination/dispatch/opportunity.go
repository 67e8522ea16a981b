package dispatch

import "time"

const (
	// opportunityInterval is the time between two updates of the opportunity costs.
	opportunityInterval = 500 * time.Millisecond
	// opportunityWeight converts an advantage, weighted by its share of the demand, into a loss of headroom, so that the
	// score of a worker can include both.
	opportunityWeight = 2.0
)

// opportunityCosts holds what is needed to tell for which best-effort images a worker is better than the average one.
// An image that does little harm on any worker should not take up the few workers where other images do little harm.
type opportunityCosts struct {
	updatedAt time.Time
	// demand is each image's share of the unfinished best-effort tasks.
	demand imageShares
	// meanSlopes is, for each image, the mean over all workers of the slope to the serving tasks of a worker.
	meanSlopes map[string]float64
}

// opportunityCost returns what the other images in demand lose if a worker takes a task of an image.
func (d *Dispatcher) opportunityCost(w *worker, image string) float64 {
	imageAdvantage := d.opportunityCosts.demand.shareOf(image) *
		advantage(w.slopes[image], d.opportunityCosts.meanSlopes[image])
	return opportunityWeight * max(w.totalAdvantage-imageAdvantage, 0)
}

// updateOpportunityCosts computes the opportunity costs anew, if that is due.
func (d *Dispatcher) updateOpportunityCosts(now time.Time) {
	if now.Sub(d.opportunityCosts.updatedAt) < opportunityInterval {
		return
	}
	d.opportunityCosts = opportunityCosts{updatedAt: now, demand: d.bestEffortDemand()}
	meanSlopes := make(map[string]float64, len(d.opportunityCosts.demand))
	for _, w := range d.sortedWorkers {
		w.slopes = d.slopesOn(w)
		for image, slope := range w.slopes {
			meanSlopes[image] += slope / float64(len(d.sortedWorkers))
		}
	}
	for _, w := range d.sortedWorkers {
		w.totalAdvantage = 0
		for _, part := range d.opportunityCosts.demand {
			w.totalAdvantage += part.share * advantage(w.slopes[part.image], meanSlopes[part.image])
		}
	}
	d.opportunityCosts.meanSlopes = meanSlopes
}

// advantage is 1 if an image does no harm on a worker, and 0 if it does at least as much as on the average worker.
func advantage(slope, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return max(0, 1-slope/mean)
}

// bestEffortDemand returns each image's share of the unfinished best-effort tasks.
func (d *Dispatcher) bestEffortDemand() imageShares {
	var demand imageShares
	total := 0.0
	for _, j := range d.openJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.BestEffort && s.pendingDependencies == 0 && s.tasksLeft > 0 {
					demand.add(s.Image, float64(s.tasksLeft))
					total += float64(s.tasksLeft)
				}
			}
		}
	}
	for i := range demand {
		demand[i].share /= total
	}
	return demand
}

// slopesOn returns, for each image in demand, the sum of its slopes to the serving tasks on a worker.
func (d *Dispatcher) slopesOn(w *worker) map[string]float64 {
	slopes := make(map[string]float64, len(d.opportunityCosts.demand))
	for _, r := range w.orderedRuns {
		if r.task == nil || r.task.step.TailLatencyTarget <= 0 {
			continue
		}
		for _, part := range d.opportunityCosts.demand {
			slope, _ := d.interference.slopeOf(r.task.step.Image, part.image)
			slopes[part.image] += slope
		}
	}
	return slopes
}
