package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// simulation drives dispatchers against simulated workers and a simulated store in virtual time.
type simulation struct {
	now        time.Time
	random     *rand.Rand
	settings   Settings
	leader     *Dispatcher
	workers    map[model.WorkerID]*simWorker
	sorted     []*simWorker
	deliveries []delayedCall
	store      simStore
	routes     []job.Route
	faults     faultRates
	// violations lists the violated guarantees.
	violations []string
	// cancelCommitted counts the CancelCommitted actions of each job.
	cancelCommitted map[job.ID]int
	logEvents       []LogEvent
	// released counts the released runs by proof.
	released map[string]int
	stages   []JobStages
	loads    []LoadSample
	deposed  bool
	holds    []Hold
	jobsByID map[job.ID]*job.Job
	// advise answers advice requests, which are recorded in adviceRequests.
	advise         func(RequestAdvice) (map[model.WorkerID]job.Permit, error)
	adviceRequests []RequestAdvice
	// foreignEntries are listed beside the workers, or instead of the entry of the worker with the same id.
	foreignEntries []job.Worker
	// foreignWriter means that submitUnderFaults draws such entries.
	foreignWriter  bool
	registryWrites int
	// boundsLeases means that the commit records name the bounds of leases, unlike those of earlier releases.
	boundsLeases bool
	// configUnread means that a new leader has not read the configuration yet.
	configUnread bool
	// unstorable, if set, says whether a record can't be stored.
	unstorable func(job.Put) bool
	// emulateLoad, if set, lets a step of time pass on a worker.
	emulateLoad func(s *simWorker, step time.Duration)
}

type faultRates struct {
	// lost is the share of orders and of answers that are lost, late the share of orders that are carried out late
	// and not answered, storeLost the share of commits whose answer is lost.
	lost, late, storeLost float64
}

type delayedCall struct {
	at   time.Time
	call func()
}

type simStore struct {
	revision     model.Revision
	commitRecord job.Record
	progress     map[job.ID]*job.Progress
	registry     []job.RegisteredWorker
	slopes       *job.Interference
	jobs         []job.Job
	unavailable  bool
}

const (
	testMaxLease      = 6 * time.Second
	testConfigVersion = 1
)

func newSimulation(seed uint64, workers int) *simulation {
	sim := &simulation{
		now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(seed, 1)),
		settings: Settings{
			Incarnation: 1, MaxLease: testMaxLease, StatusRetention: 2 * time.Minute,
		},
		workers: make(map[model.WorkerID]*simWorker), cancelCommitted: make(map[job.ID]int),
		released: make(map[string]int),
		jobsByID: make(map[job.ID]*job.Job),
		routes:   []job.Route{{Queue: "q", Service: "s", Attempts: 2, Slack: 1.5, TargetLatency: time.Second}},
	}
	sim.store.progress = make(map[job.ID]*job.Progress)
	for i := range workers {
		sim.addWorker(model.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	sim.electLeader(0)
	return sim
}

func (sim *simulation) addWorker(id model.WorkerID) *simWorker {
	s := &simWorker{
		id: id, boot: job.BootID(sim.now.UnixMilli()), address: "addr-" + string(id), started: sim.now,
		capacity: model.Resources{CPUMillis: 8000, MemoryBytes: 64 << 30}, runs: make(map[job.Run]*simRun),
		highestRun: make(map[job.Task]job.RunNumber), reportedPercent: 100,
		outcome: func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 500 * time.Millisecond },
	}
	sim.workers[id], sim.sorted = s, nil
	return s
}

// electLeader replaces the leader by one with a higher epoch. The old one gets no further answers.
func (sim *simulation) electLeader(predecessorGrace time.Duration) {
	sim.store.revision++
	sim.settings.Incarnation++
	state := RecoveryState{
		CommitRevision: sim.store.revision, Registry: sim.store.registry, PredecessorGrace: predecessorGrace,
		ClaimedAt: sim.now, Interference: sim.store.slopes,
	}
	claim := &job.CommitRecord{Incarnation: sim.settings.Incarnation}
	if last, ok := sim.store.commitRecord.Value.(*job.CommitRecord); ok && sim.boundsLeases {
		state.LastCommit, state.LastCommitSeenAt = *last, sim.now
		known, majority := sim.settings.LeasesAfter(last, predecessorGrace)
		sim.settings.LeaseBounds(claim, known, majority)
	}
	sim.store.commitRecord = job.Record{Key: job.KeyCommit, Revision: sim.store.revision, Value: claim}
	d := New(sim.settings, model.Epoch(sim.store.revision))
	sim.leader, sim.deposed = d, false
	if !sim.configUnread {
		d.SetRoutes(testConfigVersion, sim.routes)
	}
	d.Recover(sim.now, state)
	for _, j := range sim.store.jobs {
		d.AddJob(sim.now, j, sim.store.progress[j.ID], 0)
	}
	sim.listWorkers()
	sim.execute(d)
}

func (sim *simulation) listWorkers() {
	var list []job.Worker
	for _, s := range sim.sortedWorkers() {
		if s.unlisted {
			continue
		}
		list = append(list, job.Worker{
			ID: s.id, Address: s.address, Service: "s", Boot: s.boot, Draining: s.draining, Capacity: s.capacity,
			Labels: append([]string{"kind", "rack-" + string(s.id[1])}, s.labels...), Rack: "rack-" + string(s.id[1]),
		})
	}
	for _, foreign := range sim.foreignEntries {
		list = slices.DeleteFunc(list, func(w job.Worker) bool { return w.ID == foreign.ID })
		list = append(list, foreign)
	}
	sim.leader.UpdateWorkers(sim.now, list)
}

// sortedWorkers returns the workers in the order of their ids. The list is kept while no worker comes or leaves.
func (sim *simulation) sortedWorkers() []*simWorker {
	if len(sim.sorted) == len(sim.workers) {
		return sim.sorted
	}
	var list []*simWorker
	for _, s := range sim.workers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *simWorker) int { return strings.Compare(string(a.id), string(b.id)) })
	sim.sorted = list
	return list
}

func (sim *simulation) submit(j job.Job) {
	sim.accept(j)
	sim.advance(sim.leader)
}

// accept stores a job and tells the leader, which decides with the next event.
func (sim *simulation) accept(j job.Job) {
	j.Queue, j.Accepted = "q", sim.now
	j.Route = &job.AcceptedRoute{Route: sim.routes[0], Version: testConfigVersion}
	sim.store.jobs = append(sim.store.jobs, j)
	sim.jobsByID[j.ID] = &j
	sim.store.revision++
	sim.leader.AddJob(sim.now, j, nil, sim.store.revision)
}

// advanceTime runs the simulation for some time.
func (sim *simulation) advanceTime(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		for _, s := range sim.sortedWorkers() {
			sim.endDueRuns(s)
			if sim.emulateLoad != nil {
				sim.emulateLoad(s, step)
			}
		}
		sim.deliver()
		if sim.now.UnixMilli()%100 == 0 {
			sim.leader.Tick(sim.now)
			sim.execute(sim.leader)
		}
		if sim.now.UnixMilli()%1000 == 0 {
			sim.listWorkers()
			sim.advance(sim.leader)
		}
	}
}

func (sim *simulation) deliver() {
	var due, later []delayedCall
	for _, d := range sim.deliveries {
		if d.at.After(sim.now) {
			later = append(later, d)
		} else {
			due = append(due, d)
		}
	}
	sim.deliveries = later
	for _, d := range due {
		d.call()
	}
}

func (sim *simulation) after(delay time.Duration, call func()) {
	sim.deliveries = append(sim.deliveries, delayedCall{sim.now.Add(delay), call})
}

func (sim *simulation) advance(d *Dispatcher) {
	d.Advance(sim.now)
	sim.execute(d)
}

// execute carries out the actions of a dispatcher.
func (sim *simulation) execute(d *Dispatcher) {
	for _, a := range d.Actions() {
		switch a := a.(type) {
		case Hold:
			sim.holds = append(sim.holds, a)
			sim.receiveHold(d, a)
		case Start:
			sim.sendOrder(d, a.Target, func(s *simWorker) job.OrderResponse { return sim.start(s, a) },
				func(response job.OrderResponse) {
					d.HandleStart(sim.now, a.Target, a.Run, response)
				})
		case Stop:
			sim.sendOrder(d, a.Target, func(s *simWorker) job.OrderResponse { return sim.stop(s, a) },
				func(response job.OrderResponse) {
					d.HandleStop(sim.now, a.Target, a.Run, response)
				})
		case Pace:
			sim.after(5*time.Millisecond, func() {
				s := sim.workers[a.Worker]
				if r := s.runs[a.Run]; r != nil {
					r.pace = a.Percent
				}
				response := job.OrderResponse{}
				if s.unreachable {
					response.Err = errNoResponse
				}
				d.HandlePace(sim.now, a.Target, a, response)
			})
		case RequestAdvice:
			sim.adviceRequests = append(sim.adviceRequests, a)
			sim.after(50*time.Millisecond, func() {
				granted, err := sim.advise(a)
				d.HandleAdvice(sim.now, a, granted, err)
				sim.advance(d)
			})
		case Commit:
			sim.commit(d, a)
		case CancelCommitted:
			sim.cancelCommitted[a.Job]++
		case LogEvent:
			sim.logEvents = append(sim.logEvents, a)
		case RunReleased:
			sim.released[a.Proof]++
		case JobStages:
			sim.stages = append(sim.stages, a)
		case LoadSample:
			sim.loads = append(sim.loads, a)
		case Deposed:
			sim.deposed = d == sim.leader
		}
	}
}

func (sim *simulation) withProbability(share float64) bool {
	return share > 0 && sim.random.Float64() < share
}

var (
	errNoResponse = verdict.MayHaveRunError("no answer", nil)
	// refusedConnection is the response to an order while nothing listens at the worker's address, or a device between
	// refuses the connection.
	refusedConnection = job.OrderResponse{Err: verdict.NotRunError("connection refused", nil), NoListener: true}
)

// listener returns the worker that an order reaches, or nil, and whether another worker listens at its address. Of
// workers at one address, the one that started last listens.
func (sim *simulation) listener(t Target) (s *simWorker, another bool) {
	for _, w := range sim.sortedWorkers() {
		if w.address == t.Address && (s == nil || w.boot > s.boot) {
			s = w
		}
	}
	if s == nil || s.id == t.Worker {
		return s, false
	}
	return s, !s.unreachable
}

// sendOrder delivers an order. It may be lost, answered too late, or carried out seconds later without an answer.
func (sim *simulation) sendOrder(
	d *Dispatcher, t Target, apply func(*simWorker) job.OrderResponse, answer func(job.OrderResponse),
) {
	s, another := sim.listener(t)
	finish := func(a job.OrderResponse) {
		if d == sim.leader {
			answer(a)
			sim.advance(d)
		}
	}
	timeout := func() { sim.after(400*time.Millisecond, func() { finish(job.OrderResponse{Err: errNoResponse}) }) }
	switch {
	case another:
		sim.after(10*time.Millisecond, func() { finish(job.OrderResponse{Refusal: job.RefusedBoot}) })
	case s != nil && s.refusing:
		sim.after(5*time.Millisecond, func() { finish(refusedConnection) })
	case s == nil || s.unreachable || sim.withProbability(sim.faults.lost):
		timeout()
	case sim.withProbability(sim.faults.late):
		boot := s.boot
		sim.after(time.Duration(2000+sim.random.IntN(10_000))*time.Millisecond, func() {
			if s.boot == boot {
				apply(s)
			}
		})
		timeout()
	default:
		sim.after(5*time.Millisecond, func() {
			a := apply(s)
			if sim.withProbability(sim.faults.lost) {
				timeout()
				return
			}
			sim.after(5*time.Millisecond, func() { finish(a) })
		})
	}
}

func (sim *simulation) commit(d *Dispatcher, c Commit) {
	apply := func() (bool, model.Revision) {
		if sim.store.commitRecord.Revision != c.Transaction.Expect[0].Revision {
			return false, 0
		}
		sim.store.revision++
		for _, p := range c.Transaction.Puts {
			switch v := p.Value.(type) {
			case *job.CommitRecord:
				sim.store.commitRecord = job.Record{Key: job.KeyCommit, Revision: sim.store.revision, Value: v}
			case *job.Registry:
				sim.store.registry = v.Workers
				sim.registryWrites++
			case *job.Interference:
				sim.store.slopes = v
			case *job.Progress:
				sim.store.progress[v.Job] = v
			}
		}
		return true, sim.store.revision
	}
	answer := func(applied bool, revision model.Revision, err error) {
		if d == sim.leader {
			d.HandleCommit(sim.now, c.ID, revision, applied, sim.store.commitRecord, err)
			sim.advance(d)
		}
	}
	if at := slices.IndexFunc(c.Transaction.Puts, func(p job.Put) bool { return sim.unstorable != nil && sim.unstorable(p) }); at >= 0 {
		sim.after(time.Millisecond, func() {
			if d == sim.leader {
				d.HandleUnstorable(sim.now, c.ID, c.Transaction.Puts[at].Key, verdict.NotRunError("too large", nil))
				sim.advance(d)
			}
		})
		return
	}
	switch {
	case sim.store.unavailable:
		sim.after(50*time.Millisecond, func() { answer(false, 0, verdict.NotRunError("store down", nil)) })
	case sim.withProbability(sim.faults.storeLost):
		sim.after(time.Duration(sim.random.IntN(3000))*time.Millisecond, func() { apply() })
		sim.after(700*time.Millisecond, func() { answer(false, 0, errNoResponse) })
	default:
		sim.after(10*time.Millisecond, func() {
			applied, revision := apply()
			sim.after(5*time.Millisecond, func() { answer(applied, revision, nil) })
		})
	}
}

func (sim *simulation) jobOf(id job.ID) *job.Job { return sim.jobsByID[id] }

func (sim *simulation) sizeOf(t job.Task) model.Resources {
	return reservedSize(&sim.jobOf(t.Job).Steps[t.Step])
}

// checkStart records the guarantees that a start violates according to the state of the workers and of the store.
func (sim *simulation) checkStart(run job.Run) {
	for _, s := range sim.workers {
		for other := range s.runs {
			if other.Task == run.Task {
				sim.violations = append(sim.violations, fmt.Sprintf("%v: run %d starts while run %d is on %s",
					run.Task, run.Number, other.Number, s.id))
			}
		}
	}
	if p := sim.store.progress[run.Task.Job]; p != nil {
		t := p.Tasks[run.Task.Key()]
		// A start in flight may still be carried out after its job failed or was cancelled.
		if t.Done || p.Phase == job.Completed {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: started again after its end was committed",
				run.Task))
		}
		if len(t.FailedRuns) >= sim.routes[0].Attempts && !sim.jobOf(run.Task.Job).LongRunning() {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: started after %d failures", run.Task,
				len(t.FailedRuns)))
		}
	}
}

func (sim *simulation) phase(id job.ID) job.Phase {
	phase, _ := sim.leader.Inspect(id)
	return phase
}

func plainJob(id job.ID, tasks int) job.Job {
	return job.Job{ID: id, Steps: []job.Step{{
		Tasks: tasks, Size: model.Resources{CPUMillis: 1000, MemoryBytes: 1 << 30}, Estimate: time.Second,
	}}}
}
