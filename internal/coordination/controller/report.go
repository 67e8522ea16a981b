package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// refusedStartDelay is the delay before a task is assigned again after a worker refused to start it.
const refusedStartDelay = time.Second

// reconcileReport compares the attempts that a worker reports with the journal. It queues again every order that may
// have been lost, so that sent orders need not be kept.
func (c *Controller) reconcileReport(s *shard, w *worker, report model.WorkerReport) {
	w.lastReportAt = c.now
	w.suspect = false
	w.report = report
	s.lastReachableAt = c.now
	s.recordDisprovedStop(c.head.head.Config.DeclaredStopped, w.vm.ID)
	if !w.fenced {
		w.fenced = true
		c.notify(notice.WorkerFenced, Attr{Key: "worker", Value: w.id()}, Attr{Key: "epoch", Value: s.owner.Epoch})
	}
	c.observeReport(s, w, report)
	reported := make(map[model.TaskID]model.RunStatus, len(report.Runs))
	for _, run := range report.Runs {
		reported[run.Task] = run
	}
	for _, result := range report.Results {
		c.handleOrderResult(s, w, result, reported)
	}
	w.strayResources = model.Resources{}
	for _, run := range report.Runs {
		c.reconcileRun(s, w, run)
	}
	for _, t := range s.tasks.OnWorker(w.id()) {
		if run, found := reported[t.ID]; found && run.Attempt == t.Attempt {
			delete(w.pendingStarts, t.ID)
		} else if !s.tasks.IsProposed(t.ID) {
			c.handleMissingRun(s, w, t)
		}
	}
	c.renewLeases(s, w, report.Runs)
	if len(w.queue) > 0 {
		c.sendTo(s, w)
	}
}

// handleOrderResult handles a refused order. A refused start releases its attempt, or fails it if the worker is at
// fault; a stop of an attempt that is unknown to the worker shows that the attempt does not run.
func (c *Controller) handleOrderResult(
	s *shard, w *worker, result model.OrderResult, reported map[model.TaskID]model.RunStatus,
) {
	if result.Refused == "" {
		return
	}
	order := result.Order
	run, found := reported[order.Task]
	isListed := found && run.Attempt == order.Attempt
	if order.Kind == model.OrderStop && result.Refused == model.RefusedUnknown && !isListed {
		c.releaseNotRunning(s, w, order)
		return
	}
	c.notify(notice.OrderRefused, Attr{Key: "worker", Value: w.id()}, Attr{Key: "task", Value: order.Task.String()},
		Attr{Key: "reason", Value: string(result.Refused)})
	if order.Kind != model.OrderStart || isListed || result.Refused == model.RefusedEpoch {
		return
	}
	record := model.TaskRecord{
		Kind: model.RecordReleased, Task: order.Task, Attempt: order.Attempt, Worker: w.id(), Message: string(result.Refused),
	}
	if result.Refused == model.RefusedFault {
		record.Kind = model.RecordFailed
	}
	if c.isPlaced(s, w, order.Task, order.Attempt) {
		c.propose(s, record)
	}
}

// releaseNotRunning releases an attempt that the worker does not run and, having received the stop, won't start later.
func (c *Controller) releaseNotRunning(s *shard, w *worker, order model.Order) {
	if !c.isPlaced(s, w, order.Task, order.Attempt) {
		return
	}
	c.propose(s, model.TaskRecord{
		Kind: model.RecordReleased, Task: order.Task, Attempt: order.Attempt, Worker: w.id(), Message: "not on the worker",
	})
}

// isPlaced reports whether the journal places the attempt on the worker.
func (c *Controller) isPlaced(s *shard, w *worker, id model.TaskID, attempt model.Attempt) bool {
	t, known := s.tasks.Task(id)
	return known && t.Phase.IsPlaced() && t.Worker == w.id() && t.Attempt == attempt
}

// reconcileRun proposes the journal record for an attempt that has ended, and updates one that still runs.
func (c *Controller) reconcileRun(s *shard, w *worker, run model.RunStatus) {
	if !c.isPlaced(s, w, run.Task, run.Attempt) {
		c.stopStrayRun(s, w, run)
		return
	}
	record := model.TaskRecord{
		Task: run.Task, Attempt: run.Attempt, Worker: w.id(), Checkpoint: run.Checkpoint, Message: run.Message,
	}
	switch run.Phase {
	case model.RunRunning:
		c.reconcileRunning(s, w, run)
		return
	case model.RunFinished:
		record.Kind = model.RecordFinished
	case model.RunFailed:
		record.Kind = model.RecordFailed
	case model.RunStopped:
		record.Kind = model.RecordReleased
	}
	c.propose(s, record)
}

func (c *Controller) reconcileRunning(s *shard, w *worker, run model.RunStatus) {
	s.tasks.SetRunning(run.Task, run.Attempt)
	if job := s.tasks.Job(run.Task.Job); job.Cancelled {
		c.queueOrder(s, w.id(), stopOrder(run.Task, run.Attempt))
		return
	}
	t, _ := s.tasks.Task(run.Task)
	if run.Checkpoint != "" && run.Checkpoint != t.Checkpoint {
		c.propose(s, model.TaskRecord{
			Kind: model.RecordCheckpointed, Task: run.Task, Attempt: run.Attempt, Worker: w.id(), Checkpoint: run.Checkpoint,
		})
	}
	c.continueEviction(s, w, run)
	c.repeatThrottle(s, w, run)
}

// stopStrayRun queues a stop for an attempt that runs on a worker although the journal does not place it there. If it
// has ended, the worker only has to forget it.
func (c *Controller) stopStrayRun(s *shard, w *worker, run model.RunStatus) {
	kind := model.OrderForget
	if run.Phase == model.RunRunning {
		kind = model.OrderStop
		w.strayResources = w.strayResources.Add(run.Reserved)
		c.notify(notice.StrayRunStopped, Attr{Key: "worker", Value: w.id()}, Attr{Key: "task", Value: run.Task.String()},
			Attr{Key: "attempt", Value: run.Attempt})
	}
	c.queueOrder(s, w.id(), model.Order{Kind: kind, Task: run.Task, Attempt: run.Attempt})
}

// handleMissingRun handles a placed attempt that is missing from the worker's report. The start is sent again only if
// the worker can't have seen the attempt and lost it: either the start was not sent yet, or its response was lost and
// the worker is still the same process, which refuses an attempt that it has seen. Otherwise a stop ensures that a
// delayed start is refused, and the worker's refusal of the stop releases the task for its next attempt.
func (c *Controller) handleMissingRun(s *shard, w *worker, t model.Task) {
	start, found := w.pendingStarts[t.ID]
	isCancelled := s.tasks.Job(t.ID.Job).Cancelled
	mayRepeat := found && start.attempt == t.Attempt && (!start.sent || start.incarnation == w.report.Incarnation)
	if !mayRepeat || isCancelled {
		c.queueOrder(s, w.id(), stopOrder(t.ID, t.Attempt))
		return
	}
	if lease := c.remainingLease(s); lease > 0 {
		c.queueOrder(s, w.id(), startOrder(s, t.ID, lease))
	}
}
