package dispatch

import (
	"cmp"
	"slices"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// maxFruitlessSearches is the number of searches without a result after which a pass no longer looks at the steps in the
// order of their jobs, and the number of further ones that it makes for those behind. Each may examine the whole fleet.
const maxFruitlessSearches = 40

// readyStep is a step with tasks that could start.
type readyStep struct {
	*step
	route job.Route
}

// readySteps returns the steps that a pass can place in the order of their jobs: first those of jobs that can still be
// completed in time, then those of late jobs, which stay late wherever they run. Steps that the fleet can't run are left
// out.
func (p *pass) readySteps() []readyStep {
	ready := p.d.readySteps[:0]
	for _, late := range []bool{false, true} {
		for _, j := range p.d.openJobs {
			if j.waiting > 0 && j.late == late && p.d.mayPlace(j) {
				ready = p.appendReady(ready, j)
			}
		}
	}
	p.d.readySteps = ready
	return ready
}

func (p *pass) appendReady(ready []readyStep, j *jobState) []readyStep {
	route := p.d.routes.of(j.Queue)
	for _, o := range j.occurrences {
		if o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			switch {
			case !s.ready():
			case p.d.unmetRequirement(s, route.Service) != fleetFits:
				p.unrunnableSteps++
				p.logLongWait(s.firstWaiting(), route)
			default:
				if s.lastTurn == 0 {
					s.lastTurn = p.d.passNumber
				}
				ready = append(ready, readyStep{s, route})
			}
		}
	}
	return ready
}

// firstWaiting returns the first task of a ready step that could start.
func (s *step) firstWaiting() *task {
	for t := range s.waitingTasks() {
		return t
	}
	return nil
}

// placeSteps places the tasks of ready steps. The searches of a pass are bounded, and what finds no worker now may find
// none for long. So the bound applies to the steps in their order, and those behind are looked at in turn: first those
// that were not looked at for the longest time. It reports whether a step was not looked at since the last request for a
// pass.
func (p *pass) placeSteps(ready []readyStep) (more bool) {
	behind := ready[p.placeUntil(ready, maxFruitlessSearches):]
	slices.SortStableFunc(behind, func(a, b readyStep) int { return cmp.Compare(a.lastTurn, b.lastTurn) })
	reached := p.placeUntil(behind, p.fruitlessSearches+maxFruitlessSearches)
	unreached := behind[reached:]
	p.unreachedSteps = len(unreached)
	for _, s := range unreached {
		if len(s.permits.granted) == 0 {
			p.wantAdvice(s.step, s.route)
		}
	}
	return len(unreached) > 0 && unreached[0].lastTurn < p.d.requestedPass
}

// placeUntil places the tasks of steps until the pass has made a number of fruitless searches, and returns how many steps
// it has looked at.
func (p *pass) placeUntil(steps []readyStep, searches int) int {
	for i, s := range steps {
		if p.fruitlessSearches >= searches {
			return i
		}
		s.lastTurn = p.d.passNumber
		p.placeStep(s.step, s.route)
	}
	return len(steps)
}
