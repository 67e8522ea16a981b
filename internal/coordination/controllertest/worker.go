package controllertest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// usageDelay is the age of the resource usage that workers report. It matters because placement starts only a few tasks
// of a kind until their usage is known.
const usageDelay = time.Second

// Worker is a fake worker. It meets the requirements that the design page sets for workers and numbers W1 to W5.
type Worker struct {
	// Down makes every call fail; the tasks keep running.
	Down bool
	// LoseResponses is the number of upcoming calls that take effect but whose response is lost.
	LoseResponses int
	// FailStarts makes every started task fail.
	FailStarts bool
	// CheckpointTime is the time that a checkpoint takes.
	CheckpointTime time.Duration
	// Log holds the orders that took effect.
	Log []model.Order

	sim         *Simulation
	vm          model.VM
	incarnation int
	// epoch is the highest epoch seen, and attempts holds the highest attempt seen of each task.
	epoch    model.Epoch
	attempts map[model.TaskID]model.Attempt
	runs     map[model.TaskID]*Run
}

// Run is one attempt on a worker.
type Run struct {
	Order    model.Order
	Status   model.RunStatus
	LeaseEnd time.Time
	started  time.Time
	// checkpointAt is when the checkpoint in progress will be complete; zero if there is none.
	checkpointAt time.Time
	checkpoints  int
}

// AddWorker adds a worker and lists its VM.
func (w *Simulation) AddWorker(vm model.VM) *Worker {
	worker := &Worker{
		sim: w, vm: vm, incarnation: 1, attempts: make(map[model.TaskID]model.Attempt),
		runs: make(map[model.TaskID]*Run),
	}
	w.Workers[model.WorkerID(vm.ID)] = worker
	w.VMs = model.VMList{Revision: w.VMs.Revision + 1, VMs: append(slices.Clone(w.VMs.VMs), vm)}
	return worker
}

// RemoveVM stops a worker and all its tasks and removes its VM from the list.
func (w *Simulation) RemoveVM(id model.WorkerID) {
	worker := w.Workers[id]
	worker.Down = true
	worker.runs = make(map[model.TaskID]*Run)
	w.VMs = model.VMList{
		Revision: w.VMs.Revision + 1,
		VMs:      slices.DeleteFunc(slices.Clone(w.VMs.VMs), func(vm model.VM) bool { return vm.ID == model.VMID(id) }),
	}
}

// Restart ends all runs of the worker. The worker forgets the attempts it has seen, but not the highest epoch.
func (wk *Worker) Restart() {
	wk.incarnation++
	wk.attempts = make(map[model.TaskID]model.Attempt)
	wk.runs = make(map[model.TaskID]*Run)
}

// Running returns the running attempts in the order of their tasks.
func (wk *Worker) Running() []*Run {
	wk.advance()
	var running []*Run
	for _, r := range wk.runs {
		if r.Status.Phase == model.RunRunning {
			running = append(running, r)
		}
	}
	slices.SortFunc(running, func(a, b *Run) int { return compareTasks(a.Order.Task, b.Order.Task) })
	return running
}

func compareTasks(a, b model.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// RunningTasks returns the number of running attempts of each task.
func (w *Simulation) RunningTasks() map[model.TaskID]int {
	counts := make(map[model.TaskID]int)
	for _, wk := range w.Workers {
		for _, r := range wk.Running() {
			counts[r.Order.Task]++
		}
	}
	return counts
}

func (w *Simulation) sendOrders(e *Entry, a controller.SendOrders) {
	wk := w.Workers[a.Worker]
	reported := controller.WorkerReported{Worker: a.Worker, Shard: a.Shard, Epoch: a.Epoch}
	w.schedule(Latency, func() {
		if wk.Down || e.CutWorkers || (e.CutRemoteWorkers && e.settings.DataCentre != wk.vm.DataCentre) {
			reported.Err = lostResponse()
			w.schedule(Latency, func() { e.Step(reported) })
			return
		}
		reported.Report = wk.applyOrders(a.Epoch, a.Orders)
		if wk.LoseResponses > 0 {
			wk.LoseResponses--
			reported.Report, reported.Err = model.WorkerReport{}, lostResponse()
		}
		w.schedule(Latency, func() { e.Step(reported) })
	})
}

func (wk *Worker) applyOrders(epoch model.Epoch, orders []model.Order) model.WorkerReport {
	wk.advance()
	report := model.WorkerReport{
		Worker: model.WorkerID(wk.vm.ID), Incarnation: fmt.Sprint(wk.incarnation), Capacity: wk.vm.Capacity,
	}
	for _, order := range orders {
		refused := model.RefusedEpoch
		if epoch >= wk.epoch {
			wk.epoch = epoch
			refused = wk.applyOrder(order)
		}
		if refused == "" {
			wk.Log = append(wk.Log, order)
		}
		report.Results = append(report.Results, model.OrderResult{Order: order, Refused: refused})
	}
	report.HighestEpoch = wk.epoch
	for _, r := range wk.runs {
		if wk.sim.Now.Sub(r.started) >= usageDelay {
			r.Status.Used, r.Status.UsageAge = r.Order.Resources, usageDelay
		}
		report.Runs = append(report.Runs, r.Status)
	}
	slices.SortFunc(report.Runs, func(a, b model.RunStatus) int { return compareTasks(a.Task, b.Task) })
	return report
}

func (wk *Worker) applyOrder(order model.Order) model.RefusalReason {
	switch order.Kind {
	case model.OrderFence:
		return ""
	case model.OrderStart:
		return wk.startRun(order)
	}
	wk.attempts[order.Task] = max(wk.attempts[order.Task], order.Attempt)
	r := wk.runs[order.Task]
	if r == nil || r.Status.Attempt != order.Attempt {
		return model.RefusedUnknown
	}
	switch order.Kind {
	case model.OrderRenew:
		r.LeaseEnd = wk.sim.Now.Add(order.Lease)
	case model.OrderCheckpoint:
		r.checkpointAt = wk.sim.Now.Add(wk.CheckpointTime)
	case model.OrderThrottle:
		r.Status.ThrottlePercent = order.ThrottlePercent
	case model.OrderStop:
		if r.Status.Phase == model.RunRunning {
			r.Status.Phase = model.RunStopped
		}
	case model.OrderForget:
		if r.Status.Phase != model.RunRunning {
			delete(wk.runs, order.Task)
		}
	default:
	}
	wk.advance()
	return ""
}

func (wk *Worker) startRun(order model.Order) model.RefusalReason {
	if order.Attempt <= wk.attempts[order.Task] {
		return model.RefusedAttempt
	}
	// A refused attempt counts as seen, too: a duplicate of the same order may arrive later, when there is room.
	wk.attempts[order.Task] = order.Attempt
	reserved := order.Resources
	for _, r := range wk.Running() {
		reserved = reserved.Add(r.Order.Resources)
	}
	if !reserved.FitsIn(wk.vm.Capacity) {
		return model.RefusedCapacity
	}
	wk.sim.recordStart(wk, order)
	r := &Run{Order: order, started: wk.sim.Now, LeaseEnd: wk.sim.Now.Add(order.Lease)}
	r.Status = model.RunStatus{
		Task: order.Task, Attempt: order.Attempt, Phase: model.RunRunning, Reserved: order.Resources,
		Checkpoint: order.Checkpoint, ThrottlePercent: 100, Used: order.Resources,
	}
	if wk.FailStarts {
		r.Status.Phase = model.RunFailed
	}
	wk.runs[order.Task] = r
	return ""
}

// recordStart counts a start. It records a violation if the attempt has started before, or if the task is exclusive and
// also runs on another worker.
func (w *Simulation) recordStart(at *Worker, order model.Order) {
	if w.Starts[order.Task] == nil {
		w.Starts[order.Task] = make(map[model.Attempt]int)
	}
	w.Starts[order.Task][order.Attempt]++
	if w.Starts[order.Task][order.Attempt] > 1 {
		w.Violations = append(w.Violations, fmt.Sprintf("%s attempt %d started twice", order.Task, order.Attempt))
	}
	if !order.Exclusive {
		return
	}
	for _, wk := range w.Workers {
		wk.advance()
		if r := wk.runs[order.Task]; wk != at && r != nil && r.Status.Phase == model.RunRunning {
			w.Violations = append(w.Violations, fmt.Sprintf("%s runs on %s and %s", order.Task, wk.vm.ID, at.vm.ID))
		}
	}
}

// advance updates the runs to the current time: tasks finish, checkpoints complete and leases expire.
func (wk *Worker) advance() {
	now := wk.sim.Now
	for _, r := range wk.runs {
		if r.Status.Phase != model.RunRunning {
			continue
		}
		if !r.checkpointAt.IsZero() && !now.Before(r.checkpointAt) {
			r.checkpoints++
			r.checkpointAt = time.Time{}
			r.Status.Checkpoint = fmt.Sprintf("a%d-c%d", r.Order.Attempt, r.checkpoints)
		}
		switch {
		case now.After(r.LeaseEnd):
			r.Status.Phase = model.RunStopped
			r.Status.Message = "lease expired"
		case r.Order.RunTime > 0 && now.Sub(r.started) >= r.Order.RunTime:
			r.Status.Phase = model.RunFinished
		}
	}
}
