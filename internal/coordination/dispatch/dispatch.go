// Package dispatch decides for the leader which task runs on which worker. It keeps the state of all jobs and of what
// runs on every worker, and returns orders to workers, commits to the store and requests for advice as actions. It
// does no I/O and reads no clock.
//
// Guarantees: a task is started again only after its previous run was reported as ended, was proved gone, or can't be
// running because its lease has expired on the worker's clock. The end of a run is acknowledged to a worker only
// after the progress it made is committed. Starts are not written to the store: a new leader learns from the workers
// what is running, and places a task of an older job only once every worker that may be running it is accounted for.
//
// Terms:
//   - A run is one start of a task on a worker. An end is the worker's record of a run that is over; the worker lists
//     it in its inventories until the leader acknowledges it.
//   - A report is what an inventory says about a running task: its progress and a measurement, which is the tail
//     latency of a serving task and the CPU use of any other.
//   - A serving task has a tail latency target (job.Step.TailLatencyTarget); its headroom is the target divided by
//     its tail latency.
//   - A best-effort task (job.Step.BestEffort) uses only the CPU time that other tasks leave unused. Its pace is the
//     percentage of its full speed that the worker lets it run at; at pace 0 it is halted.
//   - A long-running task (job.Step.LongRunning) runs until its job is cancelled.
//   - A hold is the long-polling heartbeat to a worker: it renews leases, acknowledges ends and returns the worker's
//     inventory.
//   - A relay is an entry that carries the leader's orders to workers of a large fleet.
//   - A boot is one lifetime of a worker process. A worker that restarts keeps its id and gets another boot number.
//   - A worker is fenced once it has answered under the leader's epoch: from then on it refuses orders of earlier
//     leaders.
//   - The registry is the list of workers in the store. A worker is open while its entry there permits starts, and
//     closed afterwards; the entry of a closed worker lists the tasks that may still be running there, and those whose ends
//     there are not committed.
//   - A worker of the registry is accounted for once the new leader knows what runs on it: it has answered, is proved
//     gone, or every lease of earlier leaders has expired.
package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/capacity"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Settings are the platform's limits that decisions depend on.
type Settings struct {
	// Incarnation identifies this process in its commits.
	Incarnation model.Incarnation
	// MaxLease is the longest lease that a worker grants, measured on the worker's clock.
	MaxLease time.Duration
	// StatusRetention is how long the final phase of a job can be queried.
	StatusRetention time.Duration
	// MaxDirectWorkers is the number of workers up to which the leader sends all orders itself; 0 means any number.
	MaxDirectWorkers int
}

// Dispatcher holds the scheduling state of the leader. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	epoch    model.Epoch
	lastRun  job.RunNumber

	routes routeTable
	jobs   map[job.ID]*jobState
	// openJobs lists the jobs that have not ended, in the order of compareJobs.
	openJobs []*jobState
	// shortJobs are those of them with short tasks that reserve CPU, in the same order.
	shortJobs []*jobState
	// endedJobs lists the jobs in a final phase, in the order in which that was committed.
	endedJobs []*jobState
	workers   map[model.WorkerID]*worker
	// sortedWorkers is ordered by worker id, so that equal inputs lead to equal decisions.
	sortedWorkers []*worker
	// room holds the free capacity of sortedWorkers; nil while it has to be built anew.
	room *capacity.Index
	// withoutHold are workers that have no hold in flight and may be due for one. laterHolds are the others without a hold:
	// theirs is not due before nextLaterHold, a commit or the loss of a relay.
	withoutHold, laterHolds []*worker
	nextLaterHold           time.Time
	// refuted are entries of the list at whose address another worker has answered.
	refuted map[model.WorkerID]refutedEntry
	// registered are the workers named in the store's registry. A dead worker is removed once the registry no longer
	// names it.
	registered map[model.WorkerID]bool
	registry   registryState
	// majorityAnsweredAt is the latest known time at which most registered workers had answered this leader, or zero. It is
	// not updated while commits are confirmed.
	majorityAnsweredAt time.Time

	recovery         recovery
	relays           relays
	lagMeter         lagMeter
	load             loadCounters
	interference     interferenceModel
	stepKinds        map[stepKind]int
	opportunityCosts opportunityCosts
	commits          committer
	actions          []Action
	// pendingJobs counts for each queue the jobs that have not started any task.
	pendingJobs map[job.Queue]int
	// recurringSteps counts the steps of the open occurrences of recurring jobs.
	recurringSteps int
	// memoryPerCPU is the moving average of the memory demand, in bytes per thousandth of a core, of tasks that are
	// neither best-effort nor long-running.
	memoryPerCPU float64
	// unassignedRuns are adopted runs whose tasks this leader does not know yet, if it ever will.
	unassignedRuns map[job.ID][]*run
	// unknownEnds are ends whose jobs this leader may not have read yet.
	unknownEnds map[job.ID][]unknownEnd
	// toRetry are the runs with an order that is sent again, or with a probe that is sent, at some time.
	toRetry []*run
	// fleetVersion counts the changes of what the listed workers offer. It starts at 1.
	fleetVersion uint64
	// relocateCursor is the index in sortedWorkers of the worker that relocate searched last.
	relocateCursor int
	// candidateCursor is the index in sortedWorkers at which the candidates for the next new best-effort step begin.
	candidateCursor int
	// adviceInFlight is the number of unanswered advice requests.
	adviceInFlight int
	// passNeeded is set when a task became ready or capacity became free.
	passNeeded bool
	// passNumber counts the passes over all work. readySteps is kept for the next one to use its memory again.
	passNumber uint64
	// requestedPass is the number of the last pass that passNeeded has led to. passUnfinished is set while passes go on
	// because steps were not looked at since.
	requestedPass  uint64
	passUnfinished bool
	readySteps     []readyStep
	// nextPass is the earliest time of the next placement pass over all work.
	nextPass time.Time
	// reserved are the workers that the last such pass kept free for urgent tasks.
	reserved map[*worker]bool
}

// New returns a dispatcher for an epoch, without jobs or workers.
func New(settings Settings, epoch model.Epoch) *Dispatcher {
	return &Dispatcher{
		settings: settings, epoch: epoch, lastRun: job.RunNumber(epoch) << runBits,
		routes: routeTable{known: make(map[job.Queue]knownRoute)}, jobs: make(map[job.ID]*jobState),
		workers: make(map[model.WorkerID]*worker), registered: make(map[model.WorkerID]bool),
		refuted:        make(map[model.WorkerID]refutedEntry),
		unassignedRuns: make(map[job.ID][]*run), unknownEnds: make(map[job.ID][]unknownEnd),
		fleetVersion: 1, pendingJobs: make(map[job.Queue]int), interference: newInterferenceModel(), stepKinds: make(map[stepKind]int),
		relays: relays{offered: make(map[model.EntryID]*relayState)},
	}
}

// runBits is the number of low bits of a run number that count the starts within an epoch. With 20 bits and an epoch
// below 2^32, run numbers stay within the integers that JSON represents exactly. A leader that starts more runs uses
// numbers of later epochs, which is harmless because store revisions, which epochs are taken from, grow faster than
// runs.
const runBits = 20

// Actions returns the actions decided since the last call.
func (d *Dispatcher) Actions() []Action {
	out := d.actions
	d.actions = nil
	return out
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) logEvent(code notice.Code, attrs ...Attr) {
	d.emit(LogEvent{Code: code, Attrs: attrs})
}

// nextRun returns a number higher than that of any earlier run of any task.
func (d *Dispatcher) nextRun() job.RunNumber {
	d.lastRun++
	return d.lastRun
}

// Tick does the periodic work: retries, timeouts and placement. It is called at a fixed interval.
func (d *Dispatcher) Tick(now time.Time) {
	d.lagMeter.tick(now)
	d.openDueOccurrences(now)
	d.retryOrders(now)
	d.checkWorkers(now)
	d.keepLeaseBound(now)
	d.requestSettling(now)
	d.evacuate(now)
	d.haltOverdue(now)
	d.relocate(now)
	d.sampleLoad(now)
	d.Advance(now)
}

// Advance runs a placement pass, a commit and holds as far as they are due. It is called after each batch of events.
func (d *Dispatcher) Advance(now time.Time) {
	switch due := !now.Before(d.nextPass); {
	case !d.mayStart(now):
	case d.passNeeded && due:
		d.passNeeded, d.requestedPass = false, d.passNumber+1
		d.place(now)
	case d.passUnfinished && due:
		d.place(now)
	case d.passNeeded:
		d.placeShort(now)
	}
	d.commit(now)
	d.assignRelays(now)
	d.sendDueHolds(now)
}

// Pending returns the number of jobs of a queue that have not started any task.
func (d *Dispatcher) Pending(q job.Queue) int { return d.pendingJobs[q] }

// Inspect returns the phase of a job that callers may see, and whether the job is known.
func (d *Dispatcher) Inspect(id job.ID) (job.Phase, bool) {
	j, ok := d.jobs[id]
	if !ok || j.tombstone {
		return job.Queued, false
	}
	return j.visiblePhase(), true
}
