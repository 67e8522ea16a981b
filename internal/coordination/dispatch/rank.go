package dispatch

import (
	"container/heap"
	"iter"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// scoredWorker is a candidate worker for a task.
type scoredWorker struct {
	worker *worker
	// index is the place of the worker in sortedWorkers.
	index int
	score float64
	// accepted is false if a task that can wait should not start on the worker.
	accepted bool
}

// betterThan reports whether a candidate is better than another. Of equal ones, the first in the order of ids is.
func (c scoredWorker) betterThan(other scoredWorker) bool {
	if other.worker == nil {
		return true
	}
	if c.accepted != other.accepted {
		return c.accepted
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.index < other.index
}

// candidate returns a worker as a candidate for a task. room is false if the worker has no room, and ok if the task may
// not start there.
func (p *pass) candidate(t *task, w *worker, index int, route job.Route) (c scoredWorker, room, ok bool) {
	p.d.load.candidates++
	if !p.acceptsStarts(w, route) || !reservedSize(t.step.Step).FitsIn(w.free()) || !t.step.BestEffort && p.reserved[w] {
		return c, false, false
	}
	if t.step.BestEffort && !p.leavesMemory(t.step, w) || !p.meetsConstraints(t, w) || !p.hasPermit(t.step, w, route) {
		return c, true, false
	}
	c = p.scoreWorker(t, w)
	c.index = index
	return c, true, true
}

// canWait reports whether a best-effort task can wait until a worker accepts it.
func (p *pass) canWait(t *task) bool {
	return t.step.BestEffort && (p.now.Sub(t.readySince) < bestEffortMaxWait || t.owner.hasRuns())
}

func (p *pass) kindOf(t *task, route job.Route) bestEffortKind {
	return bestEffortKind{route.Service, t.step.Image}
}

// isHopeless reports whether this pass has already shown that no worker takes a task.
func (p *pass) isHopeless(t *task, route job.Route) bool {
	return p.knownTooLarge(t.step, route) || p.canWait(t) && t.owner.workValue <= p.rejectedKinds[p.kindOf(t, route)]
}

// recordFailure remembers that the best candidate for a task is none, or does not accept it.
func (p *pass) recordFailure(t *task, route job.Route, best scoredWorker, anyRoom bool) {
	if !anyRoom {
		p.tooLarge = append(p.tooLarge, unplacedSize{route.Service, t.step.BestEffort, reservedSize(t.step.Step)})
	}
	if !best.accepted && t.step.BestEffort {
		p.reject(t, route)
	}
}

// reject remembers that no worker accepts work of the kind and value of a task.
func (p *pass) reject(t *task, route job.Route) {
	kind := p.kindOf(t, route)
	p.rejectedKinds[kind] = max(p.rejectedKinds[kind], t.owner.workValue)
}

// maxBestEffortCandidates is the number of workers that are examined for the best-effort tasks of a step. The best of this
// many is nearly as good as the best of all, and a pass over a backlog must not delay other work in a large fleet.
const maxBestEffortCandidates = 384

// candidates returns the workers that are examined for the tasks of a step, with their indexes in sortedWorkers. In a
// large fleet, successive best-effort steps get successive parts of it, unless they need certain workers; other steps get
// all workers that have room.
func (d *Dispatcher) candidates(s *step) iter.Seq2[int, *worker] {
	all := len(d.sortedWorkers)
	if !s.BestEffort || s.DataRack != "" || s.Label != "" || all <= maxBestEffortCandidates {
		return d.workersWithRoom(reservedSize(s.Step))
	}
	first := d.candidateCursor % all
	d.candidateCursor = (first + maxBestEffortCandidates) % all
	return func(yield func(int, *worker) bool) {
		for n := range maxBestEffortCandidates {
			i := (first + n) % all
			if !yield(i, d.sortedWorkers[i]) {
				return
			}
		}
	}
}

// chooseWorker returns the best worker for a task, or nil.
func (p *pass) chooseWorker(t *task, route job.Route) *worker {
	if p.isHopeless(t, route) {
		return nil
	}
	var best scoredWorker
	anyRoom := false
	for i, w := range p.d.candidates(t.step) {
		c, room, ok := p.candidate(t, w, i, route)
		anyRoom = anyRoom || room
		if ok && c.betterThan(best) {
			best = c
		}
	}
	p.recordFailure(t, route, best, anyRoom)
	if !best.accepted && p.canWait(t) {
		return nil
	}
	return best.worker
}

// ranking holds the candidates for the tasks of a step, the best one first. Placing a task changes the score of its
// worker only, so that the others need not be scored again.
type ranking []scoredWorker

// Len implements heap.Interface.
func (r ranking) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ranking) Less(i, j int) bool { return r[i].betterThan(r[j]) }

// Swap implements heap.Interface.
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ranking) Push(c any) {
	if s, ok := c.(scoredWorker); ok {
		*r = append(*r, s)
	}
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(*r) - 1
	c := (*r)[last]
	*r = (*r)[:last]
	return c
}

// nextWorker returns the best worker for a task, or nil, as chooseWorker does. r holds the ranking for the tasks of the
// step; it is made on the first call. The caller starts the task on the worker before the next call.
func (p *pass) nextWorker(r **ranking, t *task, route job.Route) *worker {
	if t.lastFailedOn != nil || t.crashes > 0 {
		// The scores are for this task alone.
		w := p.chooseWorker(t, route)
		*r = nil
		return w
	}
	if *r != nil {
		(*r).update(p, t, route)
	} else {
		if p.isHopeless(t, route) {
			return nil
		}
		*r = p.rank(t, route)
	}
	var best scoredWorker
	if len(**r) > 0 {
		best = (**r)[0]
	}
	if !best.accepted && t.step.BestEffort {
		p.reject(t, route)
	}
	if !best.accepted && p.canWait(t) {
		return nil
	}
	return best.worker
}

// rank scores the candidates for the tasks of a step.
func (p *pass) rank(t *task, route job.Route) *ranking {
	var r ranking
	anyRoom := false
	for i, w := range p.d.candidates(t.step) {
		c, room, ok := p.candidate(t, w, i, route)
		anyRoom = anyRoom || room
		if ok {
			r = append(r, c)
		}
	}
	if !anyRoom {
		p.tooLarge = append(p.tooLarge, unplacedSize{route.Service, t.step.BestEffort, reservedSize(t.step.Step)})
	}
	heap.Init(&r)
	return &r
}

// update scores the best worker again, on which a task was started.
func (r *ranking) update(p *pass, t *task, route job.Route) {
	if len(*r) == 0 {
		return
	}
	best := (*r)[0]
	if c, _, ok := p.candidate(t, best.worker, best.index, route); ok {
		(*r)[0] = c
		heap.Fix(r, 0)
		return
	}
	heap.Pop(r)
}
