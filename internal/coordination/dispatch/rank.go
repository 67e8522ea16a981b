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

// suitability says how far a worker is from taking a task. Higher values are closer.
type suitability uint8

const (
	// noRoom means that the worker takes no starts or has no room.
	noRoom suitability = iota
	// wrongLabel means that the worker has room but not the label that the task asks for.
	wrongLabel
	// barred means that the worker has room and the label, but a limit of the step, a missing permit or memory that is
	// kept free for other work bars the task.
	barred
	// suitable means that the task may start on the worker.
	suitable
)

// candidate returns a worker as a candidate for a task, if it is suitable.
func (p *pass) candidate(t *task, w *worker, index int, route job.Route) (c scoredWorker, s suitability) {
	p.d.load.candidates++
	switch {
	case !p.acceptsStarts(w, route) || !reservedSize(t.step.Step).FitsIn(w.free()) || !t.step.BestEffort && p.reserved[w]:
		return c, noRoom
	case !t.step.meetsLabel(w):
		return c, wrongLabel
	case t.step.BestEffort && !p.mayUseMemory(t, w) || !t.step.belowWorkerLimit(w, 0) || !p.hasPermit(t.step, w, route):
		return c, barred
	}
	c = p.scoreWorker(t, w)
	c.index = index
	return c, suitable
}

// canWait reports whether a best-effort task can wait until a worker accepts it.
func (p *pass) canWait(t *task) bool {
	return t.step.BestEffort && (p.now.Sub(t.readySince) < bestEffortMaxWait || t.owner.hasRuns())
}

func (p *pass) kindOf(t *task, route job.Route) bestEffortKind {
	return bestEffortKind{route.Service, t.step.Image}
}

// knownUnplaceable reports whether this pass has already shown that no worker takes a task.
func (p *pass) knownUnplaceable(t *task, route job.Route) bool {
	return p.knownTooLarge(t.step, route) ||
		t.step.BestEffort && t.owner.workValue <= p.rejectedKinds[p.kindOf(t, route)] && p.canWait(t)
}

// recordFailure remembers why no worker takes a task, where that holds for other tasks as well: the best worker has no room
// or lacks the label. What bars only this task says nothing about others.
func (p *pass) recordFailure(t *task, route job.Route, best suitability) {
	size := sizeOf(t.step, route)
	switch best {
	case noRoom:
		size.label = ""
		p.tooLarge = append(p.tooLarge, size)
	case wrongLabel:
		p.tooLarge = append(p.tooLarge, size)
	case barred, suitable:
	}
}

// reject remembers that workers could take a best-effort task, but none accepts work of its kind and value.
func (p *pass) reject(t *task, route job.Route) {
	kind := p.kindOf(t, route)
	p.rejectedKinds[kind] = max(p.rejectedKinds[kind], t.owner.workValue)
}

// maxBestEffortCandidates is the number of workers that are examined for the best-effort tasks of a step. The best of this
// many is nearly as good as the best of all, and a pass over a backlog must not delay other work in a large fleet.
const maxBestEffortCandidates = 384

// candidates returns the workers that are examined for the tasks of a step, with their indexes in sortedWorkers. In a
// large fleet, each search for a best-effort step examines the part of it after the one that its last search examined,
// unless the step needs certain workers; other steps get all workers that have room.
func (d *Dispatcher) candidates(s *step) iter.Seq2[int, *worker] {
	all := len(d.sortedWorkers)
	if !s.BestEffort || s.DataRack != "" || s.Label != "" || all <= maxBestEffortCandidates {
		return d.workersWithRoom(reservedSize(s.Step))
	}
	if s.candidateCursor == 0 {
		s.candidateCursor = d.candidateCursor + 1
		d.candidateCursor = (d.candidateCursor + maxBestEffortCandidates) % all
	}
	first := (s.candidateCursor - 1) % all
	s.candidateCursor = (first+maxBestEffortCandidates)%all + 1
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
	if p.knownUnplaceable(t, route) {
		return nil
	}
	p.searches++
	var best scoredWorker
	closest := noRoom
	for i, w := range p.d.candidates(t.step) {
		c, s := p.candidate(t, w, i, route)
		closest = max(closest, s)
		if s == suitable && c.betterThan(best) {
			best = c
		}
	}
	p.recordFailure(t, route, closest)
	return p.acceptable(t, route, best)
}

// acceptable returns the best candidate for a task, or nil if there is none or the task should wait for a worker that
// accepts it.
func (p *pass) acceptable(t *task, route job.Route, best scoredWorker) *worker {
	if best.worker == nil || best.accepted {
		return best.worker
	}
	if t.step.BestEffort {
		p.reject(t, route)
	}
	if p.canWait(t) {
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
		if p.knownUnplaceable(t, route) {
			return nil
		}
		*r = p.rank(t, route)
	}
	var best scoredWorker
	if len(**r) > 0 {
		best = (**r)[0]
	}
	return p.acceptable(t, route, best)
}

// rank scores the candidates for the tasks of a step.
func (p *pass) rank(t *task, route job.Route) *ranking {
	p.searches++
	var r ranking
	closest := noRoom
	for i, w := range p.d.candidates(t.step) {
		c, s := p.candidate(t, w, i, route)
		closest = max(closest, s)
		if s == suitable {
			r = append(r, c)
		}
	}
	p.recordFailure(t, route, closest)
	heap.Init(&r)
	return &r
}

// update scores the best worker again, on which a task was started.
func (r *ranking) update(p *pass, t *task, route job.Route) {
	if len(*r) == 0 {
		return
	}
	best := (*r)[0]
	if c, s := p.candidate(t, best.worker, best.index, route); s == suitable {
		(*r)[0] = c
		heap.Fix(r, 0)
		return
	}
	heap.Pop(r)
}
