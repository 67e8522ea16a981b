// Package guard throttles and evicts batch tasks that raise the latency of services on the same worker, and quarantines
// workers on which all jobs fail.
//
// Guarantees: there is at most one action per worker within a report delay plus a measurement window, so that the
// effect of an action is measured before the next one; evictions by the guard stay within their budget; a task is
// evicted only after throttling it did not help. It does no I/O: time, reports and the slowdown model are arguments.
package guard

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// ThrottleAbove is the ratio of latency to target above which the guard throttles or evicts.
	ThrottleAbove = 0.90
	// ReleaseBelow is the ratio below which the guard lifts throttles. The distance to ThrottleAbove is a hysteresis that
	// keeps throttles from toggling with every small change of latency.
	ReleaseBelow = 0.70
	// MeasurementWindow is the length of a service's measurement window.
	MeasurementWindow = 10 * time.Second
	// ThrottlePercent is the share of CPU time left to a throttled task.
	ThrottlePercent = 25
	// minImprovement is the smallest relative drop of the ratio that counts as an effect of an action.
	minImprovement = 0.05
	// minContribution is the smallest contribution to the logarithm of the latency ratio for which the guard acts on a
	// neighbour. If all neighbours contribute less, the service's own load explains its latency, and acting on
	// neighbours would cost batch work without helping the service.
	minContribution = 0.03
)

// Instance is a service instance with its newest measurement window.
type Instance struct {
	Kind string
	Band placement.LoadBand
	// Ratio is the latency in the window divided by the target.
	Ratio float64
	// MeasuredAt is the end of the window; zero means that there is no measurement yet.
	MeasuredAt time.Time
}

// Neighbour is a batch task that runs on the same worker as a service instance.
type Neighbour struct {
	Task model.TaskID
	Kind string
	// CPUPercent is the share of CPU time that the task may use; 100 means that it is not throttled.
	CPUPercent uint32
	// Unsaved is the work that an eviction would lose: the time since the newest checkpoint.
	Unsaved time.Duration
	// Urgent neighbours are neither throttled nor evicted.
	Urgent bool
}

// WorkerView is the guard's input for one worker.
type WorkerView struct {
	Worker    model.WorkerID
	Instances []Instance
	// Neighbours holds the running batch tasks, without those that are being evicted.
	Neighbours []Neighbour
	Mix        placement.Mix
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Throttle ActionKind = iota + 1
	Unthrottle
	Evict
)

// Action is an action on one task that the guard requests.
type Action struct {
	Kind   ActionKind
	Worker model.WorkerID
	Task   model.TaskID
	// CPUPercent is the share of CPU time that the task may use from now on; it is not set for Evict.
	CPUPercent uint32
	// Ratio is the ratio of latency to target that caused the action.
	Ratio float64
}

// Guard decides on actions for the workers of one shard and keeps the last action on each. It is not safe for
// concurrent use.
type Guard struct {
	slowdown *placement.Slowdown
	budget   *Budget
	workers  map[model.WorkerID]*lastAction
}

// lastAction is the last action on a worker.
type lastAction struct {
	at     time.Time
	action Action
	// ratio is the worst latency ratio on the worker at that time.
	ratio float64
}

// New returns a guard that attributes slowdowns to neighbours by the given model.
func New(slowdown *placement.Slowdown, budget *Budget) *Guard {
	return &Guard{slowdown: slowdown, budget: budget, workers: make(map[model.WorkerID]*lastAction)}
}

// Forget removes the state of a worker.
func (g *Guard) Forget(id model.WorkerID) { delete(g.workers, id) }

// Step returns the next action on a worker, if any. After an action it returns none until a window that began after
// that action has been reported, which takes the report delay plus the length of a window.
func (g *Guard) Step(now time.Time, v WorkerView) (Action, bool) {
	worst, ok := worstWindow(now, v.Instances)
	if !ok {
		return Action{}, false
	}
	previous := g.workers[v.Worker]
	if previous != nil && worst.MeasuredAt.Before(previous.at.Add(MeasurementWindow)) {
		return Action{}, false
	}
	var action Action
	switch {
	case worst.Ratio > ThrottleAbove:
		action, ok = g.throttleOrEvict(now, v, worst, previous)
	case worst.Ratio < ReleaseBelow:
		action, ok = g.releaseThrottle(now, v, worst)
	default:
		ok = false
	}
	if !ok {
		return Action{}, false
	}
	action.Worker, action.Ratio = v.Worker, worst.Ratio
	g.workers[v.Worker] = &lastAction{at: now, action: action, ratio: worst.Ratio}
	return action, true
}

// maxWindowAge is the age from which on a window is too old to act on.
const maxWindowAge = 3 * time.Minute

// worstWindow returns the instance with the largest latency ratio in a recent window, or false if there is none.
func worstWindow(now time.Time, instances []Instance) (Instance, bool) {
	var worst Instance
	for _, i := range instances {
		if !i.MeasuredAt.IsZero() && now.Sub(i.MeasuredAt) < maxWindowAge && i.Ratio > worst.Ratio {
			worst = i
		}
	}
	return worst, worst.Ratio > 0
}

// throttleOrEvict throttles the neighbour that contributes most to the slowdown, or evicts it if throttling did not
// help.
func (g *Guard) throttleOrEvict(now time.Time, v WorkerView, worst Instance, previous *lastAction) (Action, bool) {
	if previous != nil && previous.action.Kind == Throttle && worst.Ratio > previous.ratio*(1-minImprovement) {
		if action, ok := g.evict(now, v, previous.action.Task); ok {
			return action, true
		}
	}
	if n, ok := g.largestContributor(now, v, worst, false); ok {
		return Action{Kind: Throttle, Task: n.Task, CPUPercent: ThrottlePercent}, true
	}
	if n, ok := g.largestContributor(now, v, worst, true); ok {
		return g.evict(now, v, n.Task)
	}
	return Action{}, false
}

// evict returns the eviction of a task, unless the task is no longer there or urgent or the budget is used up.
func (g *Guard) evict(now time.Time, v WorkerView, id model.TaskID) (Action, bool) {
	for _, n := range v.Neighbours {
		if n.Task == id && !n.Urgent && g.budget.Take(now) {
			return Action{Kind: Evict, Task: id}, true
		}
	}
	return Action{}, false
}

// largestContributor returns the neighbour with the largest contribution to the slowdown, among the throttled
// neighbours or among the others. Of equal ones it returns the one with the newest checkpoint.
func (g *Guard) largestContributor(now time.Time, v WorkerView, worst Instance, throttled bool) (Neighbour, bool) {
	best, found := Neighbour{}, false
	largest := minContribution
	for _, n := range v.Neighbours {
		if n.Urgent || (n.CPUPercent < 100) != throttled {
			continue
		}
		contribution := g.slowdown.Contribution(now, worst.Kind, worst.Band, n.Kind)
		if contribution > largest || (found && contribution == largest && n.Unsaved < best.Unsaved) {
			best, largest, found = n, contribution, true
		}
	}
	return best, found
}

// releaseThrottle lifts the throttle of the neighbour with the smallest contribution, unless the model predicts that
// the guard would then have to act again.
func (g *Guard) releaseThrottle(now time.Time, v WorkerView, worst Instance) (Action, bool) {
	best, found := Neighbour{}, false
	smallest := 0.0
	for _, n := range v.Neighbours {
		if n.CPUPercent >= 100 {
			continue
		}
		contribution := g.slowdown.Contribution(now, worst.Kind, worst.Band, n.Kind)
		if !found || contribution < smallest {
			best, smallest, found = n, contribution, true
		}
	}
	if !found || !g.staysBelowAfterRelease(now, v, best) {
		return Action{}, false
	}
	return Action{Kind: Unthrottle, Task: best.Task, CPUPercent: 100}, true
}

// staysBelowAfterRelease reports whether the predicted mean ratios of all services on the worker stay at or below
// ThrottleAbove after the neighbour's throttle is lifted.
func (g *Guard) staysBelowAfterRelease(now time.Time, v WorkerView, n Neighbour) bool {
	restored := 1 - float64(n.CPUPercent)/100
	mix := append(placement.Mix(nil), v.Mix...).Add(n.Kind, restored)
	for _, i := range v.Instances {
		if g.slowdown.Predict(now, i.Kind, i.Band, mix).Mean > ThrottleAbove {
			return false
		}
	}
	return true
}
