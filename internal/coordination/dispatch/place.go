package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// bestEffortMaxWait is how long a best-effort job without any running task waits for a worker that accepts one of
	// its tasks. After that the task may go to any worker with enough memory, because no job may wait for 3 s while
	// there is room for it.
	bestEffortMaxWait = 3000 * time.Millisecond
	// passInterval is the minimum time to the next pass after one that left tasks unplaced. With a backlog, a pass
	// examines many tasks, and every end of a run requests one.
	passInterval = 40 * time.Millisecond
)

// place runs a placement pass: it starts ready tasks in the order of their jobs.
func (d *Dispatcher) place(now time.Time) {
	d.load.passes++
	d.passNumber++
	d.updateOpportunityCosts(now)
	p := d.newPass(now)
	for _, j := range d.openJobs {
		j.updateValue(now)
	}
	p.placeUrgent()
	d.passUnfinished = p.placeSteps(p.readySteps())
	p.sendAdviceRequests()
	d.reserved = p.reserved
	d.load.unreachedSteps = max(d.load.unreachedSteps, p.unreachedSteps)
	if p.unplacedSteps > 0 || p.unrunnableSteps > 0 {
		d.nextPass = now.Add(passInterval)
	}
}

// placeShort starts short tasks that reserve CPU, without waiting for the next pass over all work: a backlog of
// best-effort work must not delay them. Steps that it does not reach wait for that pass.
func (d *Dispatcher) placeShort(now time.Time) {
	p := d.newPass(now)
	defer p.sendFirstAdviceRequests()
	p.reserved = d.reserved
	for _, j := range d.shortJobs {
		if j.waiting == 0 || !d.mayPlace(j) {
			continue
		}
		route := d.routes.of(j.Queue)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if p.fruitlessSearches >= maxFruitlessSearches {
					return
				}
				if s.ready() && !s.BestEffort && !s.Gang && d.unmetRequirement(s, route.Service) == fleetFits {
					p.placeStep(s, route)
				}
			}
		}
	}
}

// pass is the state of one placement pass over all ready tasks.
type pass struct {
	d   *Dispatcher
	now time.Time
	// tooLarge lists sizes for which no worker had room in this pass, or none with a label. Tasks of the same or a larger
	// size are not tried again.
	tooLarge unplacedSizes
	// searches counts the searches for a worker, and fruitlessSearches those for steps of which a task found none.
	searches, fruitlessSearches int
	// unplacedSteps counts the steps with a task for which no worker was found, unreachedSteps those with ready tasks that
	// the pass did not look at, and unrunnableSteps those that the fleet can't run.
	unplacedSteps, unreachedSteps, unrunnableSteps int
	// adviceWanted are the steps about which the advice service could be asked.
	adviceWanted []*step
	// rejectedKinds holds the kinds of best-effort work that workers could have taken in this pass but none accepted, with
	// the highest value of such work. Further tasks of at most that value wait for the next pass.
	rejectedKinds map[bestEffortKind]float64
	// reserved are workers kept free for urgent tasks.
	reserved map[*worker]bool
}

// bestEffortKind holds what decides, beside its value, whether a worker accepts best-effort work. Sizes are left out
// because they differ little within an image.
type bestEffortKind struct {
	service model.ServiceName
	image   string
}

// unplacedSize is a size of work for which no worker was found, or none with a label if that is not empty.
type unplacedSize struct {
	service    model.ServiceName
	bestEffort bool
	label      string
	size       model.Resources
}

type unplacedSizes []unplacedSize

// contain reports whether the size, or a smaller one, is in the list.
func (l unplacedSizes) contain(size unplacedSize) bool {
	for i := range l {
		f := &l[i]
		if f.service == size.service && f.bestEffort == size.bestEffort && (f.label == "" || f.label == size.label) &&
			f.size.FitsIn(size.size) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) newPass(now time.Time) *pass {
	return &pass{
		d: d, now: now, reserved: make(map[*worker]bool),
		rejectedKinds: make(map[bestEffortKind]float64),
	}
}

// logLongWait logs once per step that one of its tasks has waited for longer than bestEffortMaxWait, and why no
// worker was found.
func (p *pass) logLongWait(t *task, route job.Route) {
	waited := p.now.Sub(t.readySince)
	if t.step.waitLogged || waited < bestEffortMaxWait {
		return
	}
	t.step.waitLogged = true
	reason, needs := "room", p.d.unmetRequirement(t.step, route.Service)
	switch {
	case needs != fleetFits:
		reason = "fleet"
	case p.knownTooLarge(t.step, route):
	case route.Advice != nil:
		reason = "permit"
	case t.step.BestEffort:
		reason = "harm"
	}
	p.d.logEvent(notice.TaskWaits, Attr{Key: "job", Value: t.Job}, Attr{Key: "task", Value: t.String()},
		Attr{Key: "waited", Value: waited}, Attr{Key: "reason", Value: reason}, Attr{Key: "needs", Value: string(needs)},
		Attr{Key: "late", Value: t.owner.late}, Attr{Key: "due", Value: t.owner.due})
}

func (p *pass) start(t *task, w *worker) {
	p.d.startTask(p.now, t, w, p.d.nextRun())
}

func (p *pass) placeStep(s *step, route job.Route) {
	if s.Gang {
		p.placeGang(s, route)
		return
	}
	before := p.searches
	var r *ranking
	for t := range s.waitingTasks() {
		if p.d.mayBeRunning(t.Task) || t.awaitsCrashCommit() {
			continue
		}
		w := p.nextWorker(&r, t, route)
		if w == nil {
			p.wantAdvice(s, route)
			p.logLongWait(t, route)
			// The other tasks of the step have the same requirements.
			p.unplacedSteps++
			p.fruitlessSearches += p.searches - before
			return
		}
		p.start(t, w)
	}
}

// sizeOf returns the size of a step's tasks for a comparison with sizes that found no worker.
func sizeOf(s *step, route job.Route) unplacedSize {
	return unplacedSize{service: route.Service, bestEffort: s.BestEffort, label: s.Label, size: reservedSize(s.Step)}
}

// knownTooLarge reports whether a task of this size, or a smaller one, of the same service already found no room in
// this pass.
func (p *pass) knownTooLarge(s *step, route job.Route) bool {
	return p.tooLarge.contain(sizeOf(s, route))
}

// acceptsStarts reports whether a worker of the route's service may get starts now.
func (p *pass) acceptsStarts(w *worker, route job.Route) bool {
	return w.fenced && w.open && !w.dead && w.claimedAt.IsZero() && w.lastHoldAnswered && w.Service == route.Service &&
		p.d.answeredRecently(p.now, w) && !p.now.Before(w.health.avoidUntil)
}

// hasPermit reports whether the queue's policy lets a worker run a step.
func (p *pass) hasPermit(s *step, w *worker, route job.Route) bool {
	if route.Advice == nil {
		return true
	}
	_, granted := s.permitFor(p.now, w)
	return granted
}

// meetsConstraints checks the label and the per-worker limit of a task's step, but not its size.
func (p *pass) meetsConstraints(t *task, w *worker) bool {
	return t.step.meetsLabel(w) && t.step.belowWorkerLimit(w, 0)
}

// meetsLabel reports whether a worker has the label that the step asks for, if it does.
func (s *step) meetsLabel(w *worker) bool { return s.Label == "" || w.HasLabel(s.Label) }

// belowWorkerLimit reports whether the per-worker limit of a step admits a further task on a worker, beside a number of
// planned ones.
func (s *step) belowWorkerLimit(w *worker, planned int) bool {
	if s.MaxPerWorker == 0 {
		return true
	}
	here := planned
	for _, r := range w.orderedRuns {
		if r.Task == s.keyOf(r.Task.Index) {
			here++
		}
	}
	return here < s.MaxPerWorker
}
