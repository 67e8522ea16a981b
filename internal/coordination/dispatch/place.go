package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// patience is how long a job of filling tasks that has nothing running waits for a worker on which a task can work
	// before it goes to any worker with memory for it. Waiting jobs must not see room for 3 s.
	patience = 3000 * time.Millisecond
	// passInterval is the least time after a pass that left tasks without a worker: with a backlog, a pass looks at many
	// tasks, and each end of a run asks for one.
	passInterval = 40 * time.Millisecond
	// lastingPatience is how long a lasting task waits behind jobs that end soon: one that is away must be back within
	// 6 s wherever there is room.
	lastingPatience = 3 * time.Second
	// maxReserved bounds the workers that are kept free at a time.
	maxReserved = 2
	// maxFailedSteps ends a pass: what comes later in the order is less urgent.
	maxFailedSteps = 40
)

// place starts ready tasks in the order of their jobs.
func (d *Dispatcher) place(now time.Time) {
	d.estimateOpportunity(now)
	p := d.newPass(now)
	for _, j := range d.order {
		j.appraise(now)
	}
	p.starved()
	p.jobs(false)
	p.jobs(true)
	if p.failed > 0 {
		d.nextPass = now.Add(passInterval)
	}
}

// pass is one look at all ready tasks.
type pass struct {
	d   *Dispatcher
	now time.Time
	// full are the smallest sizes that found no room in this pass; larger tasks without room are not tried again.
	full []fullSize
	// failed counts the steps for which no worker was found.
	failed int
	// refused are the kinds of filling work that no worker accepted in this pass; what else there is of them waits for
	// the next one.
	refused map[fillingKind]bool
	// reserved are workers that are kept free for tasks that have waited for too long.
	reserved map[*worker]bool
	// outlooks are kept until something is placed on their worker.
	outlooks map[*worker]*outlook
}

// fillingKind is what decides whether a worker accepts filling work, but for sizes, which differ little within an image.
type fillingKind struct {
	service model.ServiceName
	image   string
	value   float64
}

type fullSize struct {
	service model.ServiceName
	fills   bool
	size    model.Resources
}

func (d *Dispatcher) newPass(now time.Time) *pass {
	return &pass{d: d, now: now, outlooks: make(map[*worker]*outlook), reserved: make(map[*worker]bool), refused: make(map[fillingKind]bool)}
}

// starved places lasting tasks that have waited for long before all others, and keeps workers free for those that find no
// room.
func (p *pass) starved() {
	var roomless []*task
	for _, j := range p.d.order {
		if !j.Lasting() || !p.d.mayPlace(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				roomless = append(roomless, p.starvedTasks(s, p.d.routes[j.Queue])...)
			}
		}
	}
	// A worker is kept free only after all of them were tried: a smaller task may fit where a larger one does not.
	for _, t := range roomless[:min(len(roomless), maxReserved)] {
		p.reserve(t, p.d.routes[t.owner.Queue])
	}
}

// starvedTasks places the tasks of a lasting step that have waited for long, and returns those that find no room.
func (p *pass) starvedTasks(s *step, route job.Route) (roomless []*task) {
	if !s.Lasting || s.Gang || s.blocked > 0 {
		return nil
	}
	for _, t := range s.tasks {
		if len(t.runs) > 0 || p.now.Sub(t.ready) < lastingPatience || p.d.isSuspect(t) {
			continue
		}
		if w := p.choose(t, route); w != nil {
			p.start(t, w)
		} else {
			roomless = append(roomless, t)
		}
	}
	return roomless
}

// reserve keeps the worker with the most free processors from taking other tasks than filling ones.
func (p *pass) reserve(t *task, route job.Route) {
	var best *worker
	for _, w := range p.d.fleet {
		if !p.reserved[w] && p.usable(w, route) && p.suits(t, w) && counted(t.step).FitsIn(w.Capacity) &&
			(best == nil || w.free().CPUMillis > best.free().CPUMillis) {
			best = w
		}
	}
	if best != nil {
		p.reserved[best] = true
	}
}

// noteWaiting writes once for each step that a task of it has waited for long, and why no worker was found.
func (p *pass) noteWaiting(t *task, route job.Route) {
	waited := p.now.Sub(t.ready)
	if t.step.waits || waited < patience {
		return
	}
	t.step.waits = true
	why := "room"
	switch {
	case p.isFull(t.step, route):
	case route.Advice != nil:
		why = "permit"
	case t.step.Fills:
		why = "harm"
	}
	p.d.report(notice.TaskWaits, Attr{Key: "job", Value: t.Job}, Attr{Key: "task", Value: t.String()}, Attr{Key: "waited", Value: waited},
		Attr{Key: "reason", Value: why}, Attr{Key: "late", Value: t.owner.late}, Attr{Key: "due", Value: t.owner.due})
}

func (p *pass) start(t *task, w *worker) {
	p.d.start(p.now, t, w, p.d.nextRun())
	delete(p.outlooks, w)
}

// jobs places the tasks of the jobs that are late already, or of those that are not: a late job gains less from workers
// than one that can still be in time.
func (p *pass) jobs(late bool) {
	for _, j := range p.d.order {
		if p.failed >= maxFailedSteps {
			return
		}
		if j.late == late && p.d.mayPlace(j) {
			p.job(j)
		}
	}
}

func (p *pass) job(j *jobState) {
	route := p.d.routes[j.Queue]
	for _, o := range j.occurrences {
		if o.left == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.left > 0 && s.blocked == 0 {
				p.step(s, route)
			}
		}
	}
}

func (p *pass) step(s *step, route job.Route) {
	if s.Gang {
		p.gang(s, route)
		return
	}
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || p.d.isSuspect(t) {
			continue
		}
		w := p.choose(t, route)
		if w == nil {
			p.ask(t, route)
			p.noteWaiting(t, route)
			// The other tasks of the step ask for the same.
			p.failed++
			return
		}
		p.start(t, w)
	}
}

// isFull reports whether a task of the step has been found too large for every worker in this pass.
func (p *pass) isFull(s *step, route job.Route) bool {
	size := counted(s)
	for i := range p.full {
		f := &p.full[i]
		if f.service == route.Service && f.fills == s.Fills && f.size.FitsIn(size) {
			return true
		}
	}
	return false
}

// choice is a worker for a task.
type choice struct {
	worker *worker
	score  float64
	// accepted is false where a task that can wait should rather wait than start.
	accepted bool
}

// beats reports whether a choice is better than another; the first of two equal ones stays.
func (c choice) beats(other choice) bool {
	if c.accepted != other.accepted || other.worker == nil {
		return c.accepted || other.worker == nil
	}
	return c.score > other.score
}

// choose returns the best worker for a task, or nil.
func (p *pass) choose(t *task, route job.Route) *worker {
	if p.isFull(t.step, route) {
		return nil
	}
	kind := fillingKind{route.Service, t.step.Image, t.owner.value}
	canWait := t.step.Fills && (p.now.Sub(t.ready) < patience || t.owner.working())
	if canWait && p.refused[kind] {
		return nil
	}
	var best choice
	roomy := false
	for _, w := range p.d.fleet {
		if !p.usable(w, route) || !counted(t.step).FitsIn(w.free()) || p.reserved[w] && !t.step.Fills {
			continue
		}
		roomy = true
		if t.step.Fills && !p.roomToFill(t.step, w) || !p.suits(t, w) || !p.permitted(t.step, w, route) {
			continue
		}
		if c := p.rate(t, w); c.beats(best) {
			best = c
		}
	}
	if !roomy {
		p.full = append(p.full, fullSize{route.Service, t.step.Fills, counted(t.step)})
	}
	if !best.accepted && t.step.Fills {
		p.refused[kind] = true
	}
	if !best.accepted && canWait {
		return nil
	}
	return best.worker
}

// usable reports whether a worker takes starts of a service now.
func (p *pass) usable(w *worker, route job.Route) bool {
	return w.fenced && w.open && !w.dead && w.Service == route.Service &&
		p.now.Sub(w.answered) < freshAnswer && !p.now.Before(w.health.avoidUntil)
}

// permitted reports whether the queue's policy lets a worker run a step.
func (p *pass) permitted(s *step, w *worker, route job.Route) bool {
	if route.Advice == nil {
		return true
	}
	_, granted := s.permitFor(p.now, w)
	return granted
}

// suits checks what a step demands of a worker beyond room.
func (p *pass) suits(t *task, w *worker) bool {
	s := t.step
	if s.Label != "" && !w.HasLabel(s.Label) {
		return false
	}
	if s.MaxPerWorker == 0 {
		return true
	}
	here := 0
	for _, r := range w.list {
		if r.Task.Job == t.Job && r.Task.Occurrence == t.Occurrence && r.Task.Step == t.Step {
			here++
		}
	}
	return here < s.MaxPerWorker
}
