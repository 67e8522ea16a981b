// Package task is the state machine for the life cycle of the tasks in one shard.
//
// Guarantees: the journaled state changes only through committed journal records, applied in order, so that the next
// owner of the shard reaches the same state by replaying them. A task has at most one placed attempt; attempt numbers
// only grow; a cancelled or finished task is never assigned again; a delegation is accepted once, even if a stale head
// lists it again after its job was dropped.
package task

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Job is the part of a job that is delegated to this shard.
type Job struct {
	// FirstDelegation is the first one that was accepted. Delegations holds all of them, since a job may be delegated to a
	// shard in several ranges of tasks.
	FirstDelegation model.Delegation
	Delegations     []model.Delegation
	Cancelled       bool
	// Finished is the number of finished tasks.
	Finished uint32
	// Resumed is the version of the newest configuration that resumed the job.
	Resumed model.Version
	// tasks holds the unfinished tasks by index. After a cancellation, unplaced tasks are removed at once and placed ones
	// when their attempts end.
	tasks map[uint32]*model.Task
	// pending holds the sorted indices of the pending tasks.
	pending []uint32
	// setAside is the number of tasks that are set aside and wait for an operator to resume them.
	setAside int
}

// HasEnded reports whether all tasks of the job have finished or were removed by a cancellation.
func (j *Job) HasEnded() bool { return len(j.tasks) == 0 }

// HasDelegation reports whether the delegation that starts at task index first was accepted.
func (j *Job) HasDelegation(first uint32) bool {
	return slices.ContainsFunc(j.Delegations, func(d model.Delegation) bool { return d.First == first })
}

// Shard is the state of one shard's tasks. It is not safe for concurrent use.
type Shard struct {
	id   model.ShardID
	jobs map[model.JobID]*Job
	// order holds the jobs in the order in which they were accepted.
	order        []model.JobID
	sequence     model.Sequence
	headRevision model.Revision
	proposals    proposals
	index        index
	// delayedUntil holds the earliest time of the next assignment for tasks that are delayed. It is not journaled, so
	// the next owner of the shard may assign them earlier.
	delayedUntil map[model.TaskID]time.Time
}

// NewShard returns an empty shard.
func NewShard(id model.ShardID) *Shard {
	return &Shard{
		id: id, jobs: make(map[model.JobID]*Job), proposals: newProposals(), index: newIndex(),
		delayedUntil: make(map[model.TaskID]time.Time),
	}
}

// Restore loads a snapshot into an empty shard; nil is ignored.
func (s *Shard) Restore(snapshot *model.JournalSnapshot) {
	if snapshot == nil {
		return
	}
	s.sequence = snapshot.Sequence
	s.headRevision = snapshot.HeadRevision
	for _, js := range snapshot.Jobs {
		job := s.addDelegation(js.Delegation)
		job.Cancelled = js.Cancelled
		job.Finished += js.FinishedCount
		job.Resumed = max(job.Resumed, js.ResumedVersion)
		for _, t := range js.Tasks {
			s.add(job, t)
		}
	}
}

// Snapshot returns the journaled state after the last applied entry.
func (s *Shard) Snapshot() model.JournalSnapshot {
	snapshot := model.JournalSnapshot{Shard: s.id, Sequence: s.sequence, HeadRevision: s.headRevision}
	for _, id := range s.order {
		job := s.jobs[id]
		for i, delegation := range job.Delegations {
			state := model.JobState{Delegation: delegation, Cancelled: job.Cancelled, ResumedVersion: job.Resumed}
			if i == 0 {
				// Restore adds up the counts of all parts of the job.
				state.FinishedCount = job.Finished
			}
			for _, index := range sortedIndices(job.tasks) {
				if index >= delegation.First && index-delegation.First < delegation.Count {
					state.Tasks = append(state.Tasks, *job.tasks[index])
				}
			}
			snapshot.Jobs = append(snapshot.Jobs, state)
		}
	}
	return snapshot
}

// SnapshotBytes returns the estimated size of a snapshot.
func (s *Shard) SnapshotBytes() int { return s.index.snapshotBytes }

// HeadRevision returns the revision below which the delegations in a head are stale.
func (s *Shard) HeadRevision() model.Revision { return s.headRevision }

// Job returns the part of a job that is delegated to this shard, or nil if there is none.
func (s *Shard) Job(id model.JobID) *Job { return s.jobs[id] }

// HasAccepted reports whether the shard's state contains the delegation.
func (s *Shard) HasAccepted(d model.Delegation) bool {
	job := s.jobs[d.Job.ID]
	return job != nil && job.HasDelegation(d.First)
}

// Task returns a copy of a task, and whether the shard still holds it: finished tasks are removed, and so are those of
// a cancelled job that are not placed.
func (s *Shard) Task(id model.TaskID) (model.Task, bool) {
	t := s.task(id)
	if t == nil {
		return model.Task{}, false
	}
	return *t, true
}

func (s *Shard) task(id model.TaskID) *model.Task {
	if job := s.jobs[id.Job]; job != nil {
		return job.tasks[id.Index]
	}
	return nil
}

// SetRunning records that the worker reported the attempt as running. The phase is not journaled; the next owner of the
// shard learns it from the worker.
func (s *Shard) SetRunning(id model.TaskID, attempt model.Attempt) {
	if t := s.task(id); t != nil && t.Attempt == attempt && t.Phase == model.PhaseAssigned {
		t.Phase = model.PhaseRunning
	}
}

// SetEvicting records that the worker was asked to stop the attempt. The phase is not journaled.
func (s *Shard) SetEvicting(id model.TaskID, attempt model.Attempt) {
	if t := s.task(id); t != nil && t.Attempt == attempt && t.Phase.IsPlaced() {
		t.Phase = model.PhaseEvicting
	}
}

// DelayUntil prevents a task from being assigned before a time.
func (s *Shard) DelayUntil(id model.TaskID, until time.Time) { s.delayedUntil[id] = until }

// IsDelayed reports whether the task must not be assigned yet because of DelayUntil. It removes a delay that has
// passed.
func (s *Shard) IsDelayed(id model.TaskID, now time.Time) bool {
	until, found := s.delayedUntil[id]
	if found && !now.Before(until) {
		delete(s.delayedUntil, id)
		return false
	}
	return found
}

// IterationControl tells an iteration over tasks how to continue.
type IterationControl uint8

const (
	// Continue goes on to the next task.
	Continue IterationControl = iota
	// SkipJob skips the remaining tasks of the job, for example because they need the same resources as this one.
	SkipJob
	// Stop ends the iteration.
	Stop
)

// ForEachPending calls f with each task that may be assigned now, jobs in the order of acceptance and tasks by index. f
// may call Propose.
func (s *Shard) ForEachPending(now time.Time, f func(job *Job, t model.Task) IterationControl) {
	for _, id := range s.order {
		if s.visitPending(s.jobs[id], now, f) == Stop {
			return
		}
	}
}

// visitPending is ForEachPending for one job.
func (s *Shard) visitPending(
	job *Job, now time.Time, f func(job *Job, t model.Task) IterationControl,
) IterationControl {
	for _, index := range job.pending {
		t := job.tasks[index]
		if s.IsProposed(t.ID) || s.IsDelayed(t.ID, now) {
			continue
		}
		if control := f(job, *t); control != Continue {
			return control
		}
	}
	return Continue
}

// ForEach calls f with each task that the shard still holds (see Task), jobs in the order of acceptance and tasks by
// index.
func (s *Shard) ForEach(f func(job *Job, t model.Task)) {
	for _, id := range s.order {
		job := s.jobs[id]
		for _, index := range sortedIndices(job.tasks) {
			f(job, *job.tasks[index])
		}
	}
}

// EndedJobs returns the jobs for which HasEnded is true, in the order of acceptance.
func (s *Shard) EndedJobs() []model.JobID {
	var ended []model.JobID
	for _, id := range s.order {
		if s.jobs[id].HasEnded() {
			ended = append(ended, id)
		}
	}
	return ended
}

func sortedIndices(tasks map[uint32]*model.Task) []uint32 {
	indices := make([]uint32, 0, len(tasks))
	for index := range tasks {
		indices = append(indices, index)
	}
	slices.Sort(indices)
	return indices
}
