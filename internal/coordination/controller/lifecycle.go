package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// RenewalHorizon bounds task leases, counted from the last successful store write. It exceeds one hour, the longest
	// store outage that healthy tasks must survive.
	RenewalHorizon = 75 * time.Minute
	// renewInterval is the time between two renewals of the leases on one worker.
	renewInterval = 5 * time.Minute
	// checkpointRetryInterval is the time after which an eviction requests a checkpoint again.
	checkpointRetryInterval = 5 * time.Second
)

// remainingLease returns the longest task lease that may be granted now. Such a lease ends RenewalHorizon after the
// last committed journal write, which proved the ownership, whatever happens to this entry.
func (c *Controller) remainingLease(s *shard) time.Duration {
	return RenewalHorizon - elapsed(s.journal.LastCommitIssuedAt(), c.now)
}

// elapsed returns the longer of the monotonic and the wall-clock time between two times, because the monotonic clock
// may stop while the VM is paused.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// handleCommitted queues the orders that follow from a committed journal entry.
func (c *Controller) handleCommitted(s *shard, entry model.JournalEntry) {
	for i := range entry.Tasks {
		r := &entry.Tasks[i]
		switch r.Kind {
		case model.RecordAssigned:
			c.queueStart(s, r)
		case model.RecordFinished, model.RecordReleased:
			c.cleanUpAttempt(s, r)
		case model.RecordFailed:
			c.cleanUpAttempt(s, r)
			c.handleFailure(s, r)
		case model.RecordCancelled:
			for _, t := range s.tasks.Placed(r.Task.Job) {
				c.queueOrder(s, t.Worker, stopOrder(t.ID, t.Attempt))
			}
		default:
		}
	}
	c.sendOrders(s)
}

// queueStart queues the start of an attempt if its assignment took effect; a cancellation may have been committed
// first.
func (c *Controller) queueStart(s *shard, r *model.TaskRecord) {
	w := s.workers[r.Worker]
	t, known := s.tasks.Task(r.Task)
	if w == nil || !known || t.Attempt != r.Attempt || !t.Phase.IsPlaced() {
		return
	}
	w.pendingStarts[r.Task] = pendingStart{attempt: r.Attempt}
	if lease := c.remainingLease(s); lease > 0 && w.isReachable() {
		c.queueOrder(s, r.Worker, startOrder(s, r.Task, lease))
	}
}

// cleanUpAttempt removes the state of an attempt whose end is committed, and lets the worker forget its result.
func (c *Controller) cleanUpAttempt(s *shard, r *model.TaskRecord) {
	if w := s.workers[r.Worker]; w != nil {
		delete(w.pendingStarts, r.Task)
	}
	if ev := s.evictions[r.Task]; ev != nil && ev.attempt == r.Attempt {
		delete(s.evictions, r.Task)
	}
	if ordered, found := s.throttles[r.Task]; found && ordered.attempt == r.Attempt {
		delete(s.throttles, r.Task)
	}
	if r.Kind == model.RecordReleased && isRefusal(r.Message) {
		s.tasks.DelayUntil(r.Task, c.now.Add(refusedStartDelay))
	}
	c.queueOrder(s, r.Worker, model.Order{Kind: model.OrderForget, Task: r.Task, Attempt: r.Attempt})
}

// isRefusal reports whether the message of a release is a worker's refusal of a start.
func isRefusal(message string) bool {
	switch model.RefusalReason(message) {
	case model.RefusedCapacity, model.RefusedAttempt, model.RefusedUnknown:
		return true
	default:
		return false
	}
}

func (c *Controller) handleFailure(s *shard, r *model.TaskRecord) {
	t, known := s.tasks.Task(r.Task)
	switch {
	case !known:
	case t.Phase == model.PhaseSetAside:
		c.notify(notice.TaskSetAside, Attr{Key: "task", Value: r.Task.String()},
			Attr{Key: "failures", Value: t.Failures}, Attr{Key: "message", Value: r.Message})
	case t.Phase == model.PhasePending:
		s.tasks.DelayUntil(r.Task, c.now.Add(task.FailureDelay(t.Failures)))
	}
}

func startOrder(s *shard, id model.TaskID, lease time.Duration) model.Order {
	t, _ := s.tasks.Task(id)
	job := s.tasks.Job(id.Job).FirstDelegation.Job
	return model.Order{
		Kind: model.OrderStart, Task: id, Attempt: t.Attempt, Resources: t.Reserved, Lease: lease,
		Checkpoint: t.Checkpoint, TaskKind: job.Kind, Exclusive: job.Exclusive, RunTime: job.RunTime,
	}
}

func stopOrder(id model.TaskID, attempt model.Attempt) model.Order {
	return model.Order{Kind: model.OrderStop, Task: id, Attempt: attempt}
}

// renewLeases renews the leases of the attempts that a worker runs for a shard, at most once per renewInterval.
func (c *Controller) renewLeases(s *shard, w *worker, runs []model.RunStatus) {
	lease := c.remainingLease(s)
	if c.now.Before(w.nextRenew) || lease <= 0 {
		return
	}
	w.nextRenew = c.now.Add(renewInterval - time.Duration(c.random.Int64N(int64(renewInterval/10))))
	for _, run := range runs {
		if run.Phase == model.RunRunning && c.isPlaced(s, w, run.Task, run.Attempt) {
			c.queueOrder(s, w.id(), model.Order{Kind: model.OrderRenew, Task: run.Task, Attempt: run.Attempt, Lease: lease})
		}
	}
}

// eviction is the progress of an eviction: the attempt is checkpointed and then stopped.
type eviction struct {
	attempt model.Attempt
	// checkpoint is the newest checkpoint from before the eviction.
	checkpoint string
	// stopAt is when the attempt is stopped even without a new checkpoint.
	stopAt time.Time
	// retryAt is when the checkpoint is requested again.
	retryAt time.Time
}

// throttle is the share of processor time, in percent, that an attempt may use.
type throttle struct {
	attempt model.Attempt
	percent uint32
}

// findPlacedTask returns a task of an active shard and reports whether it is placed on a worker.
func (c *Controller) findPlacedTask(id model.ShardID, taskID model.TaskID) (*shard, model.Task, bool) {
	s := c.shards[id]
	if s == nil || !s.isActive() {
		return nil, model.Task{}, false
	}
	t, known := s.tasks.Task(taskID)
	return s, t, known && t.Phase.IsPlaced()
}

// Evict requests a checkpoint of a running task and then stops it. The journaled release makes the task pending again,
// and it resumes from that checkpoint. The wait bounds the time for the checkpoint; 0 stops the task at once, to resume
// from its newest checkpoint. Evict returns false if the shard is not owned or the task is not placed.
func (c *Controller) Evict(id model.ShardID, taskID model.TaskID, wait time.Duration) bool {
	s, t, placed := c.findPlacedTask(id, taskID)
	if !placed {
		return false
	}
	if s.evictions[taskID] != nil {
		return true
	}
	ev := &eviction{
		attempt: t.Attempt, checkpoint: t.Checkpoint,
		stopAt: c.now.Add(wait), retryAt: c.now.Add(checkpointRetryInterval),
	}
	s.evictions[taskID] = ev
	s.tasks.SetEvicting(taskID, t.Attempt)
	if wait > 0 {
		c.queueOrder(s, t.Worker, model.Order{Kind: model.OrderCheckpoint, Task: taskID, Attempt: t.Attempt})
		return true
	}
	c.queueOrder(s, t.Worker, stopOrder(taskID, t.Attempt))
	return true
}

func (c *Controller) continueEviction(s *shard, w *worker, run model.RunStatus) {
	ev := s.evictions[run.Task]
	switch {
	case ev == nil || ev.attempt != run.Attempt:
	case run.Checkpoint != ev.checkpoint || !c.now.Before(ev.stopAt):
		c.queueOrder(s, w.id(), stopOrder(run.Task, run.Attempt))
	case !c.now.Before(ev.retryAt):
		ev.retryAt = c.now.Add(checkpointRetryInterval)
		c.queueOrder(s, w.id(), model.Order{Kind: model.OrderCheckpoint, Task: run.Task, Attempt: run.Attempt})
	}
}

// Checkpoint requests a checkpoint of a placed task, which is journaled when the worker reports it as complete. It
// returns false if the shard is not owned or the task is not placed.
func (c *Controller) Checkpoint(id model.ShardID, taskID model.TaskID) bool {
	s, t, placed := c.findPlacedTask(id, taskID)
	if !placed {
		return false
	}
	c.queueOrder(s, t.Worker, model.Order{Kind: model.OrderCheckpoint, Task: taskID, Attempt: t.Attempt})
	return true
}

// Throttle limits a placed task to a share of its processor time, in percent; 100 removes the limit. The order is
// repeated until the worker reports that share. Throttle returns false if the shard is not owned or the task is not
// placed.
func (c *Controller) Throttle(id model.ShardID, taskID model.TaskID, percent uint32) bool {
	s, t, placed := c.findPlacedTask(id, taskID)
	if !placed {
		return false
	}
	s.throttles[taskID] = throttle{attempt: t.Attempt, percent: percent}
	c.queueOrder(s, t.Worker, throttleOrder(taskID, t.Attempt, percent))
	return true
}

func throttleOrder(id model.TaskID, attempt model.Attempt, percent uint32) model.Order {
	return model.Order{Kind: model.OrderThrottle, Task: id, Attempt: attempt, ThrottlePercent: percent}
}

func (c *Controller) repeatThrottle(s *shard, w *worker, run model.RunStatus) {
	ordered, found := s.throttles[run.Task]
	if !found || ordered.attempt != run.Attempt || ordered.percent == run.ThrottlePercent {
		return
	}
	c.queueOrder(s, w.id(), throttleOrder(run.Task, run.Attempt, ordered.percent))
}
