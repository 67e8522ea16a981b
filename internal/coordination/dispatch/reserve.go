package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// minReservedWorkers and maxReservedShare limit the workers that are kept free at a time, as a number in small fleets and
// as a share of the workers in large ones.
const (
	minReservedWorkers = 2
	maxReservedShare   = 0.25
)

// reservations are the workers that a pass keeps free for urgent tasks.
type reservations struct {
	p     *pass
	limit int
	// byFreeCPU are all workers, those with the most free CPU first.
	byFreeCPU []*worker
	// workers are the reserved ones, and room what is left there beside long-running tasks and those that they are reserved
	// for.
	workers []*worker
	room    map[*worker]model.Resources
	// unreservable are sizes for which there is no worker to reserve, whatever else a task needs.
	unreservable unplacedSizes
}

// reserveWorkers keeps workers free for urgent tasks without room, which it gets by step: in this pass they take no other
// tasks than best-effort ones. It reserves as many as the tasks need once the short tasks there have ended.
func (p *pass) reserveWorkers(unplaced []unplacedStep) {
	r := &reservations{
		p: p, limit: max(minReservedWorkers, int(maxReservedShare*float64(len(p.d.sortedWorkers)))),
		byFreeCPU: slices.Clone(p.d.sortedWorkers), room: make(map[*worker]model.Resources),
	}
	slices.SortStableFunc(r.byFreeCPU, func(a, b *worker) int { return cmp.Compare(b.free().CPUMillis, a.free().CPUMillis) })
	for _, s := range unplaced {
		workers, room := len(r.workers), maps.Clone(r.room)
		// A gang that can't run whole needs no workers.
		if possible := r.reserveForStep(s); !possible && s.Gang {
			r.workers, r.room = r.workers[:workers], room
		}
	}
	for _, w := range r.workers {
		p.reserved[w] = true
	}
}

// reserveForStep reserves workers for the urgent tasks of a step. It returns false if there is none for one of them though
// more may be reserved.
func (r *reservations) reserveForStep(unplaced unplacedStep) (possible bool) {
	s, route := unplaced.step, r.p.d.routes.of(unplaced.owner.Queue)
	size := sizeOf(s, route)
	planned := make(map[*worker]int)
	for range unplaced.tasks {
		w := r.reservedFor(s, size.size, planned)
		if w == nil && len(r.workers) >= r.limit {
			return true
		}
		if w == nil {
			w = r.reserve(s, route, size, planned)
		}
		if w == nil {
			return false
		}
		planned[w]++
		r.room[w] = r.room[w].Sub(size.size)
	}
	return true
}

// reservedFor returns a reserved worker that will have room for a task of a step beside those that it is reserved for.
func (r *reservations) reservedFor(s *step, size model.Resources, planned map[*worker]int) *worker {
	for _, w := range r.workers {
		if size.FitsIn(r.room[w]) && s.mayRunBeside(w, planned[w]) {
			return w
		}
	}
	return nil
}

// reserve reserves the first worker that a task of a step fits on beside the long-running tasks there, if there is one.
func (r *reservations) reserve(s *step, route job.Route, size unplacedSize, planned map[*worker]int) *worker {
	if r.unreservable.contain(size) {
		return nil
	}
	for _, w := range r.byFreeCPU {
		if _, reserved := r.room[w]; reserved || !r.p.acceptsStarts(w, route) || !s.mayRunBeside(w, planned[w]) ||
			!size.size.FitsIn(w.roomForLongRunning()) {
			continue
		}
		r.workers = append(r.workers, w)
		r.room[w] = w.roomForLongRunning()
		return w
	}
	if s.Label == "" && s.MaxPerWorker == 0 && len(s.permits.denied) == 0 {
		r.unreservable = append(r.unreservable, size)
	}
	return nil
}

// mayRunBeside reports whether a worker has the label and, as far as is known, the permit that a step needs, and takes
// another of its tasks beside those that are planned there.
func (s *step) mayRunBeside(w *worker, planned int) bool {
	return s.meetsLabel(w) && !s.permits.denied[w.workerBoot()] && s.belowWorkerLimit(w, planned)
}

// roomForLongRunning returns the capacity of a worker that its long-running tasks leave.
func (w *worker) roomForLongRunning() model.Resources { return w.Capacity.Sub(w.usedLongRunning) }
