// Package dispatch decides for the leader which task runs on which worker. It keeps all jobs and what every worker
// runs, and returns orders and commits as actions.
//
// Guarantees: a task is started again only after its former run was listed as ended, was proved gone, or can't run any
// more because its lease has ended on the worker's clock. Ends are acknowledged to a worker only after the progress
// that they made is committed. Nothing is written for a start: a successor learns from the workers what runs, and
// places tasks of older jobs only when each worker that may run something is accounted for.
package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Settings are the bounds of the platform that decisions depend on.
type Settings struct {
	// Incarnation is that of this process; it marks its commits.
	Incarnation model.Incarnation
	// LeaseMax is the longest lease that a worker grants, on its own clock.
	LeaseMax time.Duration
	// StatusKeep is how long the final phase of a job stays known.
	StatusKeep time.Duration
}

// Dispatcher holds the state of the leader.
type Dispatcher struct {
	settings Settings
	epoch    model.Epoch
	runs     job.RunNumber

	routes map[job.Queue]job.Route
	jobs   map[job.ID]*jobState
	order  []*jobState
	// final are the ended jobs in the order in which that was committed.
	final   []*jobState
	workers map[model.WorkerID]*worker
	// fleet has the workers in the order of their ids, so that decisions are the same for the same inputs.
	fleet []*worker
	// registered are the workers that the store's registry names; a dead one is forgotten once it is not named any more.
	registered map[model.WorkerID]bool
	registry   registryState

	recovery     recovery
	interference interference
	opportunity  opportunity
	commits      committer
	out          []Action
	pending      map[job.Queue]int
	// memoryPerCPU is the memory, in bytes for a thousandth of a core, that tasks which neither fill nor last ask for.
	memoryPerCPU float64
	// relocated is the place in the fleet of the worker whose halted tasks were looked at last.
	relocated int
	// questions is the number of questions for advice on their way.
	questions int
	// changed is set when a task became ready or capacity became free.
	changed bool
	// nextPass is when tasks may be placed again.
	nextPass time.Time
}

// New returns a dispatcher of an epoch that knows no job and no worker yet.
func New(s Settings, epoch model.Epoch) *Dispatcher {
	return &Dispatcher{
		settings: s, epoch: epoch, runs: job.RunNumber(epoch) << runBits,
		routes: make(map[job.Queue]job.Route), jobs: make(map[job.ID]*jobState),
		workers: make(map[model.WorkerID]*worker), registered: make(map[model.WorkerID]bool),
		pending: make(map[job.Queue]int), interference: newInterference(),
	}
}

// runBits is the number of low bits of a run number that count starts within an epoch. 20 bits and an epoch below 2^32
// stay within the whole numbers that JSON carries exactly; a leader that starts more runs borrows from later epochs,
// which is harmless because revisions grow faster than runs.
const runBits = 20

// Actions returns the actions decided since the last call.
func (d *Dispatcher) Actions() []Action {
	out := d.out
	d.out = nil
	return out
}

func (d *Dispatcher) emit(a Action) { d.out = append(d.out, a) }

func (d *Dispatcher) report(code notice.Code, attrs ...Attr) {
	d.emit(Report{Code: code, Attrs: attrs})
}

// nextRun returns a number above that of every earlier run of any task.
func (d *Dispatcher) nextRun() job.RunNumber {
	d.runs++
	return d.runs
}

// Configured takes over the routes of a configuration. Routes that are gone stay known, because accepted jobs of their
// queues still run.
func (d *Dispatcher) Configured(routes []job.Route) {
	for _, r := range routes {
		d.routes[r.Queue] = r
	}
	d.changed = true
}

// Tick decides what is due.
func (d *Dispatcher) Tick(now time.Time) {
	d.openOccurrences(now)
	d.checkOrders(now)
	d.checkWorkers(now)
	d.checkStalled(now)
	d.evacuate(now)
	d.relocate(now)
	d.Settle(now)
}

// Settle places what can be placed and commits what can be committed. It is called after the events of a step.
func (d *Dispatcher) Settle(now time.Time) {
	if d.changed && !now.Before(d.nextPass) {
		d.changed = false
		d.place(now)
	}
	d.commit(now)
	d.holdIdle(now)
}

// Pending returns the number of jobs of a queue of which no task was started.
func (d *Dispatcher) Pending(q job.Queue) int { return d.pending[q] }

// Inspect returns the phase of a job that callers may see, and whether the job is known.
func (d *Dispatcher) Inspect(id job.ID) (job.Phase, bool) {
	j, ok := d.jobs[id]
	if !ok {
		return job.Queued, false
	}
	return j.visible(), true
}
