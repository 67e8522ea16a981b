// Package controllertest simulates controllers in virtual time, with fakes of the store, the VM list and the workers.
// It is for tests only. A run is deterministic: it depends only on the seed and the injected faults.
//
// Tests can make the fakes fail or lose responses, cut the links of entries, and pause or kill entries. At each start
// of a task, the Simulation checks invariants, such as that an exclusive task runs on one worker only, and collects the
// violations.
package controllertest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// Latency is the one-way delay of every message.
	Latency = 2 * time.Millisecond
	// CallTimeout is the time after which a call without a response fails.
	CallTimeout = 2 * time.Second
)

// Simulation is a simulated installation.
type Simulation struct {
	Now     time.Time
	Store   *Store
	VMs     model.VMList
	Workers map[model.WorkerID]*Worker
	Entries []*Entry
	// Violations describes the violated invariants found so far.
	Violations []string
	// Notices counts the logged events by code.
	Notices map[notice.Code]int
	// Starts counts the starts of each attempt.
	Starts map[model.TaskID]map[model.Attempt]int

	// Clock, if set, returns the real time; the time spent in controller steps is then added up in StepTime.
	Clock    func() time.Time
	StepTime time.Duration
	// Observe is called for each action, if it is set.
	Observe func(controller.Action)

	random   *rand.Rand
	queue    events
	sequence uint64
}

// New returns a simulation with an empty store.
func New(seed uint64) *Simulation {
	return &Simulation{
		Now: time.Unix(1_000_000, 0), Store: newStore(), Workers: make(map[model.WorkerID]*Worker),
		Notices: make(map[notice.Code]int), Starts: make(map[model.TaskID]map[model.Attempt]int),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// Entry is one controller process.
type Entry struct {
	Core *controller.Controller
	// CutStore, CutWorkers and CutPeers cut the links of this entry to the store, all workers and the other entries.
	CutStore   bool
	CutWorkers bool
	CutPeers   bool
	// CutRemoteWorkers cuts the links of this entry to the workers in other data centres.
	CutRemoteWorkers bool
	// Replies holds the newest reply of the controller for each ReplyTo.
	Replies map[controller.ReplyTo]controller.Reply

	sim          *Simulation
	settings     controller.Settings
	paused       bool
	dead         bool
	queuedEvents []controller.Event
}

// ID returns the ID of the entry.
func (e *Entry) ID() model.EntryID { return e.settings.Entry }

// Topology describes the data centres of a simulation, which all have the same number of entries and workers.
type Topology struct {
	DataCentres []model.DataCentre
	// Entries and Workers are the numbers per data centre; Capacity is that of each worker.
	Entries  int
	Workers  int
	Capacity model.Resources
}

// Build adds the entries and workers of a topology. All data centres are in one region.
func (w *Simulation) Build(s Topology) {
	var peers []membership.Peer
	for _, dc := range s.DataCentres {
		for i := range s.Entries {
			id := fmt.Sprintf("%s-e%d", dc, i)
			peers = append(peers, membership.Peer{ID: model.EntryID(id), Address: id, DataCentre: dc, Region: "r"})
		}
		for i := range s.Workers {
			id := fmt.Sprintf("%s-w%d", dc, i)
			w.AddWorker(model.VM{
				ID: model.VMID(id), Address: id, DataCentre: dc, Rack: fmt.Sprintf("rack-%d", i/8),
				Role: model.RoleWorker, Capacity: s.Capacity,
			})
		}
	}
	for _, p := range peers {
		others := slices.DeleteFunc(slices.Clone(peers), func(o membership.Peer) bool { return o.ID == p.ID })
		w.startEntry(controller.Settings{
			Entry: p.ID, Incarnation: 1, DataCentre: p.DataCentre, Region: "r", StoreRegion: "r", Seats: 1, Peers: others,
			DataCentres: s.DataCentres,
		})
	}
}

func (w *Simulation) startEntry(s controller.Settings) *Entry {
	e := &Entry{
		Core:    controller.New(s, rand.New(rand.NewPCG(w.random.Uint64(), 2))),
		Replies: make(map[controller.ReplyTo]controller.Reply), sim: w, settings: s,
	}
	w.Entries = append(w.Entries, e)
	w.schedule(time.Duration(w.random.Int64N(int64(controller.TickInterval))), func() { w.tick(e) })
	return e
}

// Restart kills the process of an entry and starts a new one with the next incarnation.
func (w *Simulation) Restart(e *Entry) *Entry {
	e.Kill()
	next := e.settings
	next.Incarnation++
	w.Entries = slices.DeleteFunc(w.Entries, func(o *Entry) bool { return o == e })
	return w.startEntry(next)
}

func (w *Simulation) tick(e *Entry) {
	if e.dead {
		return
	}
	w.schedule(controller.TickInterval, func() { w.tick(e) })
	if !e.paused {
		e.Step(controller.Tick{})
	}
}

// Kill ends the process. Calls in flight still take effect.
func (e *Entry) Kill() { e.dead = true }

// Pause suspends the process, as a stalled VM would; events are queued meanwhile.
func (e *Entry) Pause() { e.paused = true }

// Resume continues a paused process with the events queued meanwhile.
func (e *Entry) Resume() {
	e.paused = false
	queued := e.queuedEvents
	e.queuedEvents = nil
	for _, ev := range queued {
		e.Step(ev)
	}
}

// Step passes an event to the controller and performs the resulting actions.
func (e *Entry) Step(ev controller.Event) {
	switch {
	case e.dead:
		return
	case e.paused:
		e.queuedEvents = append(e.queuedEvents, ev)
		return
	}
	for _, action := range e.timedStep(ev) {
		if e.sim.Observe != nil {
			e.sim.Observe(action)
		}
		e.perform(action)
	}
}

// timedStep steps the controller and, if Clock is set, adds the time taken to StepTime.
func (e *Entry) timedStep(ev controller.Event) []controller.Action {
	w := e.sim
	if w.Clock == nil {
		return e.Core.Step(w.Now, ev)
	}
	start := w.Clock()
	actions := e.Core.Step(w.Now, ev)
	w.StepTime += w.Clock().Sub(start)
	return actions
}

func (e *Entry) perform(action controller.Action) {
	w := e.sim
	switch a := action.(type) {
	case controller.StoreCall:
		w.handleStoreCall(e, a)
	case controller.SetTimer:
		w.schedule(a.Delay, func() { e.Step(controller.TimerFired{}) })
	case controller.SendOrders:
		w.sendOrders(e, a)
	case controller.ListVMs:
		w.schedule(2*Latency, func() { e.Step(controller.VMsListed{List: w.VMs}) })
	case controller.SendHeartbeat:
		w.sendToPeer(e, a.Peer, func(p *Entry) { p.Step(controller.HeartbeatReceived{Heartbeat: a.Heartbeat}) })
	case controller.FetchHead:
		w.sendToPeer(e, a.Peer, func(p *Entry) { w.fetchHead(e, p) })
	case controller.Reply:
		e.Replies[a.To] = a
	case controller.Notify:
		w.Notices[a.Code]++
	}
}

func (w *Simulation) sendToPeer(from *Entry, id model.EntryID, f func(*Entry)) {
	w.schedule(Latency, func() {
		for _, p := range w.Entries {
			if p.ID() == id && !p.dead && !p.CutPeers && !from.CutPeers {
				f(p)
			}
		}
	})
}

func (w *Simulation) fetchHead(to, from *Entry) {
	const replyTo = 1 << 60
	from.Step(controller.HeadRequested{ReplyTo: replyTo})
	stored, ok := from.Replies[replyTo].Value.(controller.StoredRecord)
	if !ok {
		return
	}
	head, ok := stored.Value.(*model.Head)
	if !ok {
		return
	}
	w.schedule(Latency, func() {
		to.Step(controller.HeadFetched{Peer: from.ID(), Head: *head, Revision: stored.Revision})
	})
}

// event is a function to run at a point in virtual time. sequence orders the events of the same time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *Simulation) schedule(delay time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.Now.Add(delay), sequence: w.sequence, run: f})
}

// Run advances the virtual time by d and runs the events that fall due.
func (w *Simulation) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		next.run()
	}
	w.Now = end
}

// RunUntil advances the virtual time until a condition holds, and reports whether it held within the limit.
func (w *Simulation) RunUntil(limit time.Duration, condition func() bool) bool {
	for end := w.Now.Add(limit); w.Now.Before(end); {
		if condition() {
			return true
		}
		w.Run(50 * time.Millisecond)
	}
	return condition()
}

// Owner returns the first running entry whose status lists a shard, or nil. An entry also lists the shards that it is
// acquiring or releasing, so there may be several.
func (w *Simulation) Owner(id model.ShardID) *Entry {
	for _, e := range w.Entries {
		if !e.dead && !e.paused && slices.Contains(e.Status().Shards, id) {
			return e
		}
	}
	return nil
}

// Status returns the status that the entry reports to operators.
func (e *Entry) Status() controller.Status {
	const replyTo = 1<<60 + 1
	for _, action := range e.Core.Step(e.sim.Now, controller.StatusRequested{ReplyTo: replyTo}) {
		e.perform(action)
	}
	status, _ := e.Replies[replyTo].Value.(controller.Status)
	return status
}

func lostResponse() error { return verdict.MayHaveRunError("no response in time", nil) }
