package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	fullPace = 100
	// unknownPace marks a run whose pace this leader has not set yet.
	unknownPace = -1
	// leastPace is the grain of paces, in percent: slower work would hold its memory for little.
	leastPace = 20
	// overHalt is how long a serving task may be over its target before every filling task beside it is halted, whatever
	// is known of the pair.
	overHalt = 2200 * time.Millisecond
)

// noteTargets keeps since when each serving task has been over its target.
func (d *Dispatcher) noteTargets(now time.Time, w *worker) {
	for _, r := range w.list {
		if !r.serving() {
			continue
		}
		if headroom, ok := r.reportedHeadroom(); !ok || headroom > 1 {
			r.overSince = time.Time{}
		} else if r.overSince.IsZero() {
			r.overSince = now
		}
	}
}

// candidate is a filling task whose pace is decided.
type candidate struct {
	run *run
	// share is what it takes of the worker's processors at full pace, value what that counts for.
	share, value float64
	// losses are what it takes from the headroom of each neighbour at full pace.
	losses []float64
	// cost ranks candidates: the headroom that it takes for what it gains.
	cost float64
}

// adjustPace gives the filling tasks of a worker the paces at which their work is worth more than what it costs the
// serving tasks beside them, first those that harm least for their work.
func (d *Dispatcher) adjustPace(now time.Time, w *worker) {
	neighbours := d.neighbours(now, w)
	var fills []candidate
	for _, r := range w.list {
		if r.task != nil && r.task.step.Fills && r.phase == running {
			fills = append(fills, d.candidate(r, neighbours))
		}
	}
	slices.SortStableFunc(fills, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	for _, c := range fills {
		d.setPace(now, c.run, c.choose(neighbours))
	}
}

// neighbours returns the serving tasks at work on a worker, with the margins expected when a pace takes effect.
func (d *Dispatcher) neighbours(now time.Time, w *worker) []neighbour {
	var found []neighbour
	for _, r := range w.list {
		if !r.serving() {
			continue
		}
		n := neighbour{image: r.task.step.Image, margin: r.marginAt(r.task.step.load.ahead(now, paceLead))}
		if !r.overSince.IsZero() && now.Sub(r.overSince) > overHalt {
			n.protected = true
		}
		// A task that is over its target without them may be so by what is not known of them.
		n.margin = max(n.margin, 0)
		found = append(found, n)
	}
	return found
}

func (d *Dispatcher) candidate(r *run, neighbours []neighbour) candidate {
	c := candidate{run: r, share: share(r.task.step.Size, r.worker), value: r.task.owner.value, losses: make([]float64, len(neighbours))}
	for i, n := range neighbours {
		slope, _ := d.interference.of(n.image, r.task.step.Image)
		c.losses[i] = slope * c.share
		c.cost += slope / c.value
	}
	return c
}

// choose returns the pace with the greatest gain and takes its losses from the neighbours.
func (c *candidate) choose(neighbours []neighbour) int {
	best, bestGain := 0, 0.0
	for percent := leastPace; percent <= fullPace; percent += leastPace {
		part := float64(percent) / fullPace
		gain := c.value * c.share * part
		for i := range neighbours {
			gain -= neighbours[i].cost(c.losses[i] * part)
		}
		if gain > bestGain {
			best, bestGain = percent, gain
		}
	}
	for i := range neighbours {
		neighbours[i].margin -= c.losses[i] * float64(best) / fullPace
	}
	return best
}

// cost returns what a loss of headroom costs a neighbour.
func (n *neighbour) cost(loss float64) float64 {
	if n.protected {
		return math.Inf(1)
	}
	return paceCost * (overRisk(n.margin-loss, paceDoubt) - overRisk(n.margin, paceDoubt))
}

// setPace tells a worker the pace of a filling task if it differs from what it was told.
func (d *Dispatcher) setPace(now time.Time, r *run, percent int) {
	if percent == r.paced {
		return
	}
	d.report(notice.PaceChanged, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number},
		Attr{Key: "worker", Value: r.worker.ID}, Attr{Key: "percent", Value: percent}, Attr{Key: "before", Value: r.paced},
		Attr{Key: "inventory_age", Value: now.Sub(r.worker.answered)})
	r.paced = percent
	if percent == 0 {
		r.halted = now
	}
	d.emit(Pace{Target: d.target(r.worker), Run: r.Run, Percent: percent})
}

// Paced takes in the outcome of a pace order; one that failed is repeated after the next inventory.
func (d *Dispatcher) Paced(target Target, r Pace, done bool) {
	if _, known := d.lookup(target.Worker, r.Run); known != nil && !done {
		known.paced = unknownPace
	}
}
