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
	// meanSlopes is, for each image in demand, the mean over all workers of the slope to the serving tasks of a worker.
	meanSlopes []float64
}

// opportunityCost returns what the other images in demand lose if a worker takes a task of an image.
func (d *Dispatcher) opportunityCost(w *worker, image string) float64 {
	own := 0.0
	costs := &d.opportunityCosts
	if at, wanted := costs.demand.find(image); wanted && at < len(w.slopes) {
		own = costs.demand[at].share * advantage(w.slopes[at], costs.meanSlopes[at])
	}
	return opportunityWeight * max(w.totalAdvantage-own, 0)
}

// updateOpportunityCosts computes the opportunity costs anew, if that is due.
func (d *Dispatcher) updateOpportunityCosts(now time.Time) {
	costs := &d.opportunityCosts
	if now.Sub(costs.updatedAt) < opportunityInterval {
		return
	}
	*costs = opportunityCosts{updatedAt: now, demand: d.bestEffortDemand()}
	costs.meanSlopes = make([]float64, len(costs.demand))
	slopesOf := make(map[string][]float64)
	for _, w := range d.sortedWorkers {
		w.slopes = make([]float64, len(costs.demand))
		for _, r := range w.orderedRuns {
			if r.task == nil || r.task.step.TailLatencyTarget <= 0 {
				continue
			}
			image := r.task.step.Image
			if slopesOf[image] == nil {
				slopesOf[image] = d.slopesInDemand(image)
			}
			for i, slope := range slopesOf[image] {
				w.slopes[i] += slope
			}
		}
		for i, slope := range w.slopes {
			costs.meanSlopes[i] += slope / float64(len(d.sortedWorkers))
		}
	}
	for _, w := range d.sortedWorkers {
		w.totalAdvantage = 0
		for i, part := range costs.demand {
			w.totalAdvantage += part.share * advantage(w.slopes[i], costs.meanSlopes[i])
		}
	}
}

// slopesInDemand returns the slopes of the images in demand to a serving image.
func (d *Dispatcher) slopesInDemand(serving string) []float64 {
	slopes := make([]float64, len(d.opportunityCosts.demand))
	for i, part := range d.opportunityCosts.demand {
		slopes[i], _ = d.interference.slopeOf(serving, part.image)
	}
	return slopes
}

// advantage is 1 if an image does no harm on a worker, and 0 if it does at least as much as on the average worker.
func advantage(slope, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return max(0, 1-slope/mean)
}

// bestEffortDemand returns each image's share of the unfinished best-effort tasks that the fleet can run.
func (d *Dispatcher) bestEffortDemand() imageShares {
	var demand imageShares
	total := 0.0
	for _, j := range d.openJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.BestEffort && s.pendingDependencies == 0 && s.tasksLeft > 0 &&
					d.unmetRequirement(s, d.routes.of(j.Queue).Service) == fleetFits {
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
