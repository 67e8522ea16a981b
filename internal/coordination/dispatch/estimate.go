package dispatch

import "time"

const (
	// forecastMaxAge is how long a forecast is used while nothing starts or ends on its worker. The load of serving
	// tasks changes little within that time.
	forecastMaxAge = 100 * time.Millisecond
	// kindSizeMillis is the granularity of sizes, in thousandths of a core, within which best-effort steps of one image
	// share their estimates.
	kindSizeMillis = 500
)

// stepKind groups best-effort steps that gain and cost nearly the same on a worker.
type stepKind struct {
	image string
	size  int64
}

// workerForecast is what is expected of a worker within placementHorizon.
type workerForecast struct {
	madeAt time.Time
	// unusedCores are the cores that its tasks leave unused.
	unusedCores float64
	neighbours  []neighbour
	// halting is set while a serving task has been above its target for haltAfter: best-effort tasks that start on the
	// worker would be halted at once.
	halting bool
	// estimates holds the estimates that were made from this forecast, by kind of step.
	estimates []placementEstimate
}

// placementEstimate is what a further best-effort task of one kind gains and costs on a worker.
type placementEstimate struct {
	known bool
	// speed is the share of its full speed that the task gets.
	speed float64
	// cost is the cost to its neighbours, in units of its work at full speed; loss is the headroom that it takes from
	// all of them.
	cost, loss float64
	// opportunityCost is what other best-effort images lose if the worker takes the task.
	opportunityCost float64
}

// kindOf returns the index of the estimates of a step.
func (d *Dispatcher) kindOf(s *step) int {
	if s.kind == 0 {
		key := stepKind{s.Image, s.Size.CPUMillis / kindSizeMillis}
		index, known := d.stepKinds[key]
		if !known {
			index = len(d.stepKinds)
			d.stepKinds[key] = index
		}
		s.kind = index + 1
	}
	return s.kind - 1
}

// forecastOf returns the forecast of a worker, which is made again after a change there or after forecastMaxAge.
func (d *Dispatcher) forecastOf(now time.Time, w *worker) *workerForecast {
	if w.forecast == nil || now.Sub(w.forecast.madeAt) > forecastMaxAge {
		w.forecast = d.makeForecast(now, w)
	}
	return w.forecast
}

func (d *Dispatcher) makeForecast(now time.Time, w *worker) *workerForecast {
	forecast := &workerForecast{madeAt: now, unusedCores: w.unusedCores()}
	var bestEffort []numberedShare
	for _, r := range w.orderedRuns {
		if r.task != nil && r.task.step.BestEffort && r.phase != stopping {
			bestEffort = append(bestEffort, numberedShare{d.imageNumber(r.task.step), cpuShare(r.task.step.Size, w)})
		}
	}
	for _, r := range w.orderedRuns {
		if r.task == nil || r.task.step.TailLatencyTarget <= 0 || r.phase == stopping {
			continue
		}
		n := neighbour{
			slopes: d.interference.fits[r.task.step.Image],
			margin: r.marginAt(r.task.step.load.sustained(now)),
		}
		forecast.halting = forecast.halting || r.above.overdue(now)
		for _, s := range bestEffort {
			n.margin -= n.slopes.pair(s.image).cautious() * s.share
		}
		forecast.neighbours = append(forecast.neighbours, n)
	}
	return forecast
}

// numberedShare is the share of a worker's CPU that a best-effort image uses, by the image's number.
type numberedShare struct {
	image int
	share float64
}

// imageNumber returns the number of the image of a best-effort step.
func (d *Dispatcher) imageNumber(s *step) int {
	if s.imageNumber == 0 {
		s.imageNumber = d.interference.images.of(s.Image) + 1
	}
	return s.imageNumber - 1
}

// estimateFor returns the estimate for placing a further task of a best-effort step on a worker.
func (d *Dispatcher) estimateFor(now time.Time, w *worker, s *step) *placementEstimate {
	forecast, kind := d.forecastOf(now, w), d.kindOf(s)
	if kind >= len(forecast.estimates) {
		forecast.estimates = append(forecast.estimates, make([]placementEstimate, len(d.stepKinds)-len(forecast.estimates))...)
	}
	e := &forecast.estimates[kind]
	if !e.known {
		*e = d.estimate(forecast, w, s)
	}
	return e
}

func (d *Dispatcher) estimate(forecast *workerForecast, w *worker, s *step) placementEstimate {
	e := placementEstimate{known: true, speed: 1, opportunityCost: d.opportunityCost(w, s.Image)}
	share := cpuShare(s.Size, w)
	if share <= 0 {
		return e
	}
	e.speed = min(max(forecast.unusedCores, 0)/(float64(s.Size.CPUMillis)/millisPerCore), 1)
	image := d.imageNumber(s)
	for _, n := range forecast.neighbours {
		headroomLoss := n.slopes.pair(image).cautious() * share
		e.loss += headroomLoss
		e.cost += placementViolationCost / share *
			(violationRisk(n.margin-headroomLoss, placementMarginError) - violationRisk(n.margin, placementMarginError))
	}
	return e
}
