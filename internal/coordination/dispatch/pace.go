package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// fullPercent is 100 percent: of a pace, or of the progress that a run reports.
	fullPercent = 100
	// unknownPace marks a run whose pace this leader has not set yet.
	unknownPace = -1
	// paceStep is the increment of paces and the lowest one above 0, in percent. A slower task would hold its memory
	// for little work.
	paceStep = 20
)

// paceCandidate is a best-effort task whose pace is being decided.
type paceCandidate struct {
	run *run
	// share is the share of the worker's CPU that it uses at full pace, workValue the value of its job's work.
	share, workValue float64
	// losses holds the headroom that it takes from each neighbour at full pace.
	losses []float64
	// lossPerValue ranks the candidates: it is the sum of the slopes to all neighbours, divided by workValue.
	lossPerValue float64
}

// adjustPaces sets the paces of the best-effort tasks of a worker so that their work is worth more than what it costs
// the serving tasks beside them. Tasks that do the least harm for their value are considered first.
func (d *Dispatcher) adjustPaces(now time.Time, w *worker) {
	neighbours := d.neighbours(now, w)
	var candidates []paceCandidate
	for _, r := range w.orderedRuns {
		if r.task != nil && r.task.step.BestEffort && r.phase == running {
			candidates = append(candidates, d.newPaceCandidate(r, neighbours))
		}
	}
	slices.SortStableFunc(candidates, func(a, b paceCandidate) int {
		return cmp.Compare(a.lossPerValue, b.lossPerValue)
	})
	for _, c := range candidates {
		d.setPace(now, c.run, c.choosePace(neighbours))
	}
}

// neighbours returns the serving tasks on a worker, with the margins expected when a new pace takes effect.
func (d *Dispatcher) neighbours(now time.Time, w *worker) []neighbour {
	var found []neighbour
	for _, r := range w.orderedRuns {
		if !r.serving() {
			continue
		}
		n := neighbour{
			slopes:    d.interference.fits[r.task.step.Image],
			margin:    r.marginAt(r.task.step.load.predict(now, paceHorizon)),
			protected: r.above.overdue(now),
		}
		// If a task is expected above its target even without best-effort tasks, their effect may have been
		// underestimated. Its margin counts as 0, so that a further loss still has a cost.
		n.margin = max(n.margin, 0)
		found = append(found, n)
	}
	return found
}

func (d *Dispatcher) newPaceCandidate(r *run, neighbours []neighbour) paceCandidate {
	c := paceCandidate{
		run: r, share: cpuShare(r.task.step.Size, r.worker), workValue: r.task.owner.workValue,
		losses: make([]float64, len(neighbours)),
	}
	image := d.imageNumber(r.task.step)
	for i, n := range neighbours {
		slope := n.slopes.pair(image).slope
		c.losses[i] = slope * c.share
		c.lossPerValue += slope / c.workValue
	}
	return c
}

// choosePace returns the pace with the greatest gain and subtracts the losses at that pace from the neighbours'
// margins.
func (c *paceCandidate) choosePace(neighbours []neighbour) int {
	best, bestGain := 0, 0.0
	for percent := paceStep; percent <= fullPercent; percent += paceStep {
		fraction := float64(percent) / fullPercent
		gain := c.workValue * c.share * fraction
		for i := range neighbours {
			gain -= neighbours[i].violationCost(c.losses[i] * fraction)
		}
		if gain > bestGain {
			best, bestGain = percent, gain
		}
	}
	for i := range neighbours {
		neighbours[i].margin -= c.losses[i] * float64(best) / fullPercent
	}
	return best
}

// violationCost returns what a loss of headroom costs a neighbour.
func (n *neighbour) violationCost(loss float64) float64 {
	if n.protected {
		return math.Inf(1)
	}
	return paceViolationCost *
		(violationRisk(n.margin-loss, paceMarginError) - violationRisk(n.margin, paceMarginError))
}

// setPace sends the pace of a best-effort task to its worker if it has changed.
func (d *Dispatcher) setPace(now time.Time, r *run, percent int) {
	if percent == r.pace {
		return
	}
	d.logEvent(notice.PaceChanged, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number},
		Attr{Key: "worker", Value: r.worker.ID}, Attr{Key: "percent", Value: percent},
		Attr{Key: "before", Value: r.pace}, Attr{Key: "inventory_age", Value: now.Sub(r.worker.answeredAt)})
	r.pace = percent
	if percent == 0 {
		r.haltedAt = now
	}
	d.emit(Pace{Target: d.targetOf(r.worker), Run: r.Run, Percent: percent})
}

// HandlePace handles the response to a pace order. If the order failed, the pace is set again after the next inventory.
func (d *Dispatcher) HandlePace(now time.Time, target Target, order Pace, response job.OrderResponse) {
	w, r := d.findRun(target.Worker, order.Run)
	w.hear(now, response)
	if r != nil && (response.Err != nil || response.Refusal != job.RefusedNone) {
		r.pace = unknownPace
	}
}
