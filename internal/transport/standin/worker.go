package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// FailStarts makes every started task fail immediately.
	FailStarts bool
	// LoseResponses is the number of following calls that take effect but whose response is lost.
	LoseResponses int
}

// Worker is a stand-in for a worker that runs tasks under leases. It refuses orders of an old epoch, starts of an
// attempt that is not newer than those it has seen, and starts beyond its capacity. It keeps the results of completed
// tasks until it gets an OrderForget.
type Worker struct {
	mu              sync.Mutex
	id              model.WorkerID
	capacity        model.Resources
	incarnation     string
	highestEpochs   map[model.ShardID]model.Epoch
	highestAttempts map[model.TaskID]model.Attempt
	runs            map[model.TaskID]*run
	faults          WorkerFaults
	clock           func() time.Time
	usageLag        time.Duration
	starts          []StartRecord
	endedRuns       []EndRecord
	killed          bool
}

// StartRecord records the start of one run, for checks in tests.
type StartRecord struct {
	Task       model.TaskID
	Attempt    model.Attempt
	Checkpoint string
	At         time.Time
}

// EndRecord records the end of one run, for checks in tests.
type EndRecord struct {
	Task     model.TaskID
	Attempt  model.Attempt
	Started  time.Time
	At       time.Time
	Finished bool
}

type run struct {
	order    model.Order
	status   model.RunStatus
	started  time.Time
	leaseEnd time.Time
	workDone time.Duration
}

// NewWorker returns a worker that reports the usage of a task only once the task has run for longer than usageLag.
func NewWorker(id model.WorkerID, capacity model.Resources, usageLag time.Duration) *Worker {
	return &Worker{
		id: id, capacity: capacity, incarnation: "1", highestEpochs: make(map[model.ShardID]model.Epoch),
		highestAttempts: make(map[model.TaskID]model.Attempt), runs: make(map[model.TaskID]*run), clock: time.Now,
		usageLag: usageLag,
	}
}

// ID returns the worker's ID.
func (w *Worker) ID() model.WorkerID { return w.id }

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Restart drops all runs and their results and changes the incarnation, as a restart of the worker's process does. The
// epochs and attempts seen are retained.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation += "+"
	w.runs = make(map[model.TaskID]*run)
}

// Starts returns the starts of all runs so far.
func (w *Worker) Starts() []StartRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]StartRecord(nil), w.starts...)
}

// Ends returns the ends of runs that finished or were stopped so far. It lacks failed starts and runs dropped by
// Restart.
func (w *Worker) Ends() []EndRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceRuns()
	return append([]EndRecord(nil), w.endedRuns...)
}

// Kill simulates the loss of the VM: its runs stop without a result, and all later calls fail.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceRuns()
	for _, r := range w.runs {
		if r.status.Phase == model.RunRunning {
			w.endRun(r, model.RunStopped)
		}
	}
	w.killed = true
}

func (w *Worker) endRun(r *run, phase model.RunPhase) {
	r.status.Phase = phase
	w.endedRuns = append(w.endedRuns, EndRecord{
		Task: r.order.Task, Attempt: r.order.Attempt, Started: r.started, At: w.clock(),
		Finished: phase == model.RunFinished,
	})
}

// Running returns the tasks that are running.
func (w *Worker) Running() []model.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceRuns()
	var ids []model.TaskID
	for id, r := range w.runs {
		if r.status.Phase == model.RunRunning {
			ids = append(ids, id)
		}
	}
	return ids
}

// Apply implements WorkerService.
func (w *Worker) Apply(_ context.Context, r *platformpb.ApplyRequest) (*platformpb.ApplyResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Down || w.killed {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	w.advanceRuns()
	report := model.WorkerReport{Worker: w.id, Incarnation: w.incarnation, Capacity: w.capacity}
	shard, epoch := model.ShardID(r.GetShard()), model.Epoch(r.GetEpoch())
	for _, message := range r.GetOrders() {
		order, err := convert.OrderFromProto(message)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		report.Results = append(report.Results,
			model.OrderResult{Order: order, Refused: w.applyOrder(shard, epoch, order)})
	}
	report.HighestEpoch = w.highestEpochs[shard]
	for _, run := range w.runs {
		report.Runs = append(report.Runs, w.runStatus(run))
	}
	if w.faults.LoseResponses > 0 {
		w.faults.LoseResponses--
		return nil, connect.NewError(connect.CodeDeadlineExceeded, nil)
	}
	return convert.ReportToProto(report), nil
}

func (w *Worker) runStatus(r *run) model.RunStatus {
	status := r.status
	status.UsageAge = w.usageLag
	if w.clock().Sub(r.started) > w.usageLag {
		status.Used = r.order.Resources
	}
	if r.order.RunTime > 0 {
		status.ProgressPermille = uint32(min(1000, 1000*r.workDone/r.order.RunTime))
	}
	return status
}

func (w *Worker) applyOrder(shard model.ShardID, epoch model.Epoch, order model.Order) model.RefusalReason {
	if epoch < w.highestEpochs[shard] {
		return model.RefusedEpoch
	}
	w.highestEpochs[shard] = epoch
	switch order.Kind {
	case model.OrderFence:
		return ""
	case model.OrderStart:
		return w.startRun(order)
	}
	// Any order marks its attempt as seen, so that a stop that overtakes its start makes the worker refuse that start.
	w.highestAttempts[order.Task] = max(w.highestAttempts[order.Task], order.Attempt)
	r := w.runs[order.Task]
	if r == nil || r.status.Attempt != order.Attempt {
		return model.RefusedUnknown
	}
	w.updateRun(r, order)
	return ""
}

func (w *Worker) startRun(order model.Order) model.RefusalReason {
	if order.Attempt <= w.highestAttempts[order.Task] {
		return model.RefusedAttempt
	}
	// A refused attempt counts as seen too: a delayed copy of the start may arrive when capacity is free again.
	w.highestAttempts[order.Task] = order.Attempt
	if !w.reservedResources().Add(order.Resources).FitsIn(w.capacity) {
		return model.RefusedCapacity
	}
	now := w.clock()
	w.starts = append(w.starts, StartRecord{
		Task: order.Task, Attempt: order.Attempt, Checkpoint: order.Checkpoint, At: now,
	})
	r := &run{order: order, started: now, leaseEnd: now.Add(order.Lease)}
	r.workDone = checkpointedWork(order.Checkpoint)
	r.status = model.RunStatus{
		Task: order.Task, Attempt: order.Attempt, Phase: model.RunRunning, Reserved: order.Resources,
		Checkpoint: order.Checkpoint, ThrottlePercent: 100,
	}
	if w.faults.FailStarts {
		r.status.Phase = model.RunFailed
		r.status.Message = "start failed"
	}
	w.runs[order.Task] = r
	return ""
}

func (w *Worker) updateRun(r *run, order model.Order) {
	switch order.Kind {
	case model.OrderRenew:
		r.leaseEnd = w.clock().Add(order.Lease)
	case model.OrderCheckpoint:
		r.status.Checkpoint = fmt.Sprintf("done:%d", r.workDone.Milliseconds())
	case model.OrderThrottle:
		r.status.ThrottlePercent = order.ThrottlePercent
	case model.OrderStop:
		if r.status.Phase == model.RunRunning {
			w.endRun(r, model.RunStopped)
		}
	case model.OrderForget:
		if r.status.Phase != model.RunRunning {
			delete(w.runs, order.Task)
		}
	case model.OrderFence, model.OrderStart:
	}
}

// checkpointedWork returns the work that a checkpoint records, or 0 if it records none.
func checkpointedWork(checkpoint string) time.Duration {
	var millis int64
	if _, err := fmt.Sscanf(checkpoint, "done:%d", &millis); err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func (w *Worker) reservedResources() model.Resources {
	var sum model.Resources
	for _, r := range w.runs {
		if r.status.Phase == model.RunRunning {
			sum = sum.Add(r.order.Resources)
		}
	}
	return sum
}

// advanceRuns updates the runs to the current time: it finishes completed tasks and stops those whose lease has
// expired.
func (w *Worker) advanceRuns() {
	now := w.clock()
	for _, r := range w.runs {
		if r.status.Phase != model.RunRunning {
			continue
		}
		work := checkpointedWork(r.order.Checkpoint) + now.Sub(r.started)*time.Duration(r.status.ThrottlePercent)/100
		r.workDone = work
		switch {
		case now.After(r.leaseEnd):
			w.endRun(r, model.RunStopped)
			r.status.Message = "lease expired"
		case r.order.RunTime > 0 && work >= r.order.RunTime:
			w.endRun(r, model.RunFinished)
		}
	}
}
