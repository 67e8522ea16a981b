package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// longRunningMaxWait is how long a new long-running task waits behind short jobs.
const longRunningMaxWait = 3 * time.Second

// isUrgent reports whether a long-running task goes before all other work: its users have lost it, because its run
// ended or because an earlier leader may have started it, or it has waited for long enough.
func (p *pass) isUrgent(t *task) bool {
	return t.hasRun || !t.owner.sinceTakeover || p.now.Sub(t.readySince) >= longRunningMaxWait
}

// placeUrgent places urgent long-running tasks before all others, and reserves workers for those that find no room.
func (p *pass) placeUrgent() {
	var unplaced []unplacedStep
	for _, j := range p.d.openJobs {
		if j.waiting == 0 || !j.LongRunning() || !p.d.mayPlace(j) {
			continue
		}
		route := p.d.routes.of(j.Queue)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.LongRunning && s.ready() && p.d.unmetRequirement(s, route.Service) == fleetFits {
					if tasks := p.placeUrgentTasks(s, route); tasks > 0 {
						unplaced = append(unplaced, unplacedStep{s, tasks})
					}
				}
			}
		}
	}
	// Workers are reserved only after all tasks were tried: a smaller task may fit where a larger one does not.
	if len(unplaced) > 0 {
		p.reserveWorkers(unplaced)
	}
}

// unplacedStep is a step with a number of urgent tasks that find no room.
type unplacedStep struct {
	*step
	tasks int
}

// placeUrgentTasks places the urgent tasks of a step and returns the number of those that find no room. A gang is placed
// whole.
func (p *pass) placeUrgentTasks(s *step, route job.Route) (unplaced int) {
	urgent := p.countUrgent(s)
	if urgent == 0 {
		return 0
	}
	if s.Gang {
		if p.placeGang(s, route); s.waiting == 0 {
			return 0
		}
		return s.Tasks
	}
	for t := range s.waitingTasks() {
		if !p.isUrgent(t) || p.d.mayBeRunning(t.Task) {
			continue
		}
		w := p.chooseWorker(t, route)
		if w == nil {
			// The other tasks of the step have the same requirements.
			return urgent
		}
		p.start(t, w)
		if urgent--; urgent == 0 {
			break
		}
	}
	return 0
}

// countUrgent returns the number of urgent tasks of a step that could start.
func (p *pass) countUrgent(s *step) int {
	urgent := 0
	for t := range s.touchedTasks() {
		if t.waiting && p.isUrgent(t) && !p.d.mayBeRunning(t.Task) {
			urgent++
		}
	}
	if untouched := s.Tasks - len(s.tasks); untouched > 0 && p.isUrgent(s.newTask(len(s.tasks))) {
		urgent += untouched
		for t := range p.d.recovery.possiblyRunning {
			if t == s.keyOf(t.Index) && t.Index >= len(s.tasks) && t.Index < s.Tasks {
				urgent--
			}
		}
	}
	return urgent
}
