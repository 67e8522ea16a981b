package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// longRunningMaxWait is how long a new long-running task waits behind short jobs.
	longRunningMaxWait = 3 * time.Second
	// minReservedWorkers and maxReservedShare limit the workers that are kept free at a time, as a number in small
	// fleets and as a share of the workers in large ones.
	minReservedWorkers = 2
	maxReservedShare   = 0.25
)

// isUrgent reports whether a long-running task goes before all other work: its users have lost it, because its run
// ended or because an earlier leader may have started it, or it has waited for long enough.
func (p *pass) isUrgent(t *task) bool {
	return t.hasRun || !t.owner.sinceTakeover || p.now.Sub(t.readySince) >= longRunningMaxWait
}

// placeUrgent places urgent long-running tasks before all others, and reserves workers for those that find no room.
func (p *pass) placeUrgent() {
	var unplaced []*task
	for _, j := range p.d.openJobs {
		if j.waiting == 0 || !j.LongRunning() || !p.d.mayPlace(j) {
			continue
		}
		route := p.d.routes[j.Queue]
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.LongRunning && s.ready() && p.d.unmetRequirement(s, route.Service) == fleetFits {
					unplaced = append(unplaced, p.placeUrgentTasks(s, route)...)
				}
			}
		}
	}
	// Workers are reserved only after all tasks were tried: a smaller task may fit where a larger one does not.
	if len(unplaced) > 0 {
		p.reserveWorkers(unplaced)
	}
}

// placeUrgentTasks places the urgent tasks of a step and returns those that find no room. A gang is placed whole.
func (p *pass) placeUrgentTasks(s *step, route job.Route) (unplaced []*task) {
	for _, t := range s.tasks {
		if !t.waiting || !p.isUrgent(t) || p.d.mayBeRunning(t) {
			continue
		}
		if s.Gang {
			p.placeGang(s, route)
			if len(t.runs) > 0 {
				return nil
			}
			return s.tasks
		}
		if w := p.chooseWorker(t, route); w != nil {
			p.start(t, w)
		} else {
			unplaced = append(unplaced, t)
		}
	}
	return unplaced
}

// reserveWorkers keeps workers free for urgent tasks without room: in this pass they take no other tasks than
// best-effort ones. It reserves as many as the tasks need once the short tasks there have ended.
func (p *pass) reserveWorkers(tasks []*task) {
	limit := max(minReservedWorkers, int(maxReservedShare*float64(len(p.d.sortedWorkers))))
	room := make(map[*worker]model.Resources)
	byFreeCPU := slices.Clone(p.d.sortedWorkers)
	slices.SortStableFunc(byFreeCPU, func(a, b *worker) int { return cmp.Compare(b.free().CPUMillis, a.free().CPUMillis) })
	// unreservable are sizes for which there is no worker to reserve, whatever else a task needs.
	var unreservable unplacedSizes
	for _, t := range tasks {
		route, size := p.d.routes[t.owner.Queue], reservedSize(t.step.Step)
		w := p.reservedWorkerFor(t, room)
		if w == nil && len(p.reserved) < limit && !unreservable.contain(unplacedSize{service: route.Service, size: size}) {
			w = p.workerToReserve(t, route, byFreeCPU)
			switch {
			case w != nil:
				p.reserve(w)
				room[w] = w.roomForLongRunning()
			case t.step.Label == "" && t.step.MaxPerWorker == 0:
				unreservable = append(unreservable, unplacedSize{service: route.Service, size: size})
			}
		}
		if w != nil {
			room[w] = room[w].Sub(size)
		}
	}
}

// reservedWorkerFor returns a reserved worker that will have room for a task beside those that it is reserved for.
func (p *pass) reservedWorkerFor(t *task, room map[*worker]model.Resources) *worker {
	for _, w := range p.reservedList {
		if reservedSize(t.step.Step).FitsIn(room[w]) && p.meetsConstraints(t, w) {
			return w
		}
	}
	return nil
}

// reserve keeps a worker free for urgent tasks.
func (p *pass) reserve(w *worker) {
	p.reserved[w] = true
	p.reservedList = append(p.reservedList, w)
}

// workerToReserve returns the first of the given workers that a task fits on beside the long-running tasks there, or
// nil.
func (p *pass) workerToReserve(t *task, route job.Route, workers []*worker) *worker {
	for _, w := range workers {
		if !p.reserved[w] && p.acceptsStarts(w, route) && p.meetsConstraints(t, w) &&
			reservedSize(t.step.Step).FitsIn(w.roomForLongRunning()) {
			return w
		}
	}
	return nil
}

// roomForLongRunning returns the capacity of a worker that its long-running tasks leave.
func (w *worker) roomForLongRunning() model.Resources { return w.Capacity.Sub(w.usedLongRunning) }
