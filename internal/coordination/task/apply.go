package task

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// SetAsideFailures is the number of failures after which a task is set aside, provided that it failed on at least
	// model.MaxFailedWorkers different workers. With fewer, the workers may be at fault instead of the task.
	SetAsideFailures = 6
	// FailureDelayMin is the delay after the first failure of a task; it doubles with each further failure.
	FailureDelayMin = time.Second
	// FailureDelayMax is the upper bound of that delay.
	FailureDelayMax = 5 * time.Minute
)

// FailureDelay returns how long a task waits before its next attempt after a number of failures.
func FailureDelay(failures uint32) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(FailureDelayMin<<min(failures-1, 16), FailureDelayMax)
}

// Apply applies a committed journal entry to the state.
func (s *Shard) Apply(entry model.JournalEntry) {
	s.sequence = entry.Sequence
	for i := range entry.Tasks {
		s.applyRecord(&entry.Tasks[i])
	}
}

func (s *Shard) applyRecord(r *model.TaskRecord) {
	s.proposals.remove(r)
	switch r.Kind {
	case model.RecordAccepted:
		s.accept(*r.Delegation)
	case model.RecordCancelled:
		s.cancel(r.Task.Job)
	case model.RecordResumed:
		s.resume(r.Task.Job, r.Version)
	case model.RecordDropped:
		s.drop(r.Task.Job, r.HeadRevision)
	default:
		s.applyToTask(r)
	}
}

func (s *Shard) accept(d model.Delegation) {
	if s.HasAccepted(d) {
		return
	}
	job := s.addDelegation(d)
	if job.Cancelled {
		return
	}
	for i := d.First; i < d.First+d.Count; i++ {
		s.add(job, model.Task{ID: model.TaskID{Job: d.Job.ID, Index: i}})
	}
}

// addDelegation adds a delegation to its job, which it creates if needed.
func (s *Shard) addDelegation(d model.Delegation) *Job {
	job := s.jobs[d.Job.ID]
	if job == nil {
		job = &Job{FirstDelegation: d, tasks: make(map[uint32]*model.Task, d.Count)}
		s.jobs[d.Job.ID] = job
		s.order = append(s.order, d.Job.ID)
	}
	job.Delegations = append(job.Delegations, d)
	s.index.addJob(d)
	return job
}

// add inserts a task into the state. A task that is already there is left unchanged.
func (s *Shard) add(job *Job, t model.Task) {
	if job.tasks[t.ID.Index] != nil {
		return
	}
	job.tasks[t.ID.Index] = &t
	s.index.add(job, &t)
}

func (s *Shard) remove(job *Job, t *model.Task) {
	s.index.remove(job, t)
	delete(job.tasks, t.ID.Index)
	delete(s.delayedUntil, t.ID)
}

func (s *Shard) cancel(id model.JobID) {
	job := s.jobs[id]
	if job == nil || job.Cancelled {
		return
	}
	job.Cancelled = true
	for _, index := range sortedIndices(job.tasks) {
		if t := job.tasks[index]; !t.Phase.IsPlaced() {
			s.remove(job, t)
		}
	}
}

func (s *Shard) resume(id model.JobID, version model.Version) {
	job := s.jobs[id]
	if job == nil {
		return
	}
	job.Resumed = max(job.Resumed, version)
	if job.Cancelled || job.setAside == 0 {
		return
	}
	for _, t := range job.tasks {
		if t.Phase != model.PhaseSetAside {
			continue
		}
		s.updateIndexed(job, t, func() {
			t.Phase = model.PhasePending
			t.Failures = 0
			t.FailedOn = nil
		})
	}
}

func (s *Shard) drop(id model.JobID, revision model.Revision) {
	job := s.jobs[id]
	if job == nil || !job.HasEnded() {
		return
	}
	for _, delegation := range job.Delegations {
		s.index.removeJob(delegation)
	}
	delete(s.jobs, id)
	s.order = slices.DeleteFunc(s.order, func(other model.JobID) bool { return other == id })
	s.headRevision = max(s.headRevision, revision)
}

func (s *Shard) applyToTask(r *model.TaskRecord) {
	t := s.task(r.Task)
	if t == nil {
		return
	}
	job := s.jobs[r.Task.Job]
	if r.Kind == model.RecordAssigned {
		s.assign(job, t, r)
		return
	}
	if t.Attempt != r.Attempt || !t.Phase.IsPlaced() {
		return
	}
	switch r.Kind {
	case model.RecordCheckpointed:
		s.updateIndexed(job, t, func() { t.Checkpoint = r.Checkpoint })
	case model.RecordReleased:
		s.release(job, t, r)
	case model.RecordFailed:
		s.fail(job, t, r)
	case model.RecordFinished:
		s.remove(job, t)
		job.Finished++
	}
}

func (s *Shard) assign(job *Job, t *model.Task, r *model.TaskRecord) {
	if job.Cancelled || t.Phase != model.PhasePending || r.Attempt <= t.Attempt {
		return
	}
	s.updateIndexed(job, t, func() {
		t.Phase = model.PhaseAssigned
		t.Attempt = r.Attempt
		t.Worker = r.Worker
		t.Reserved = r.Resources
		t.ListRevision = r.ListRevision
	})
}

func (s *Shard) fail(job *Job, t *model.Task, r *model.TaskRecord) {
	s.updateIndexed(job, t, func() {
		t.Failures++
		if len(t.FailedOn) < model.MaxFailedWorkers && !slices.Contains(t.FailedOn, t.Worker) {
			t.FailedOn = append(slices.Clone(t.FailedOn), t.Worker)
		}
	})
	s.release(job, t, r)
	if job.Cancelled || t.Failures < SetAsideFailures || len(t.FailedOn) < model.MaxFailedWorkers {
		return
	}
	s.updateIndexed(job, t, func() { t.Phase = model.PhaseSetAside })
}

// release ends the placed attempt and makes the task pending again, or removes it if its job was cancelled.
func (s *Shard) release(job *Job, t *model.Task, r *model.TaskRecord) {
	if job.Cancelled {
		s.remove(job, t)
		return
	}
	s.updateIndexed(job, t, func() {
		t.Phase = model.PhasePending
		t.Worker = ""
		t.Reserved = model.Resources{}
		t.ListRevision = 0
		if r.Checkpoint != "" {
			t.Checkpoint = r.Checkpoint
		}
	})
}

// updateIndexed changes a task by f and keeps the index consistent with it.
func (s *Shard) updateIndexed(job *Job, t *model.Task, f func()) {
	s.index.remove(job, t)
	f()
	s.index.add(job, t)
}
