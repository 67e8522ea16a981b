package task

import (
	"cmp"
	"slices"

	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// index finds tasks by worker and by phase without iterating over all tasks.
type index struct {
	placed   map[model.WorkerID]map[model.TaskID]*model.Task
	reserved map[model.WorkerID]model.Resources
	// snapshotBytes is the estimated size of a snapshot.
	snapshotBytes int
}

func newIndex() index {
	return index{
		placed:   make(map[model.WorkerID]map[model.TaskID]*model.Task),
		reserved: make(map[model.WorkerID]model.Resources),
	}
}

func (x *index) addJob(d model.Delegation)    { x.snapshotBytes += journal.JobBytes(&d.Job) }
func (x *index) removeJob(d model.Delegation) { x.snapshotBytes -= journal.JobBytes(&d.Job) }

func (x *index) add(job *Job, t *model.Task) {
	x.snapshotBytes += taskSnapshotBytes(t)
	switch {
	case t.Phase.IsPlaced():
		if x.placed[t.Worker] == nil {
			x.placed[t.Worker] = make(map[model.TaskID]*model.Task)
		}
		x.placed[t.Worker][t.ID] = t
		x.reserved[t.Worker] = x.reserved[t.Worker].Add(t.Reserved)
	case t.Phase == model.PhasePending:
		position, _ := slices.BinarySearch(job.pending, t.ID.Index)
		job.pending = slices.Insert(job.pending, position, t.ID.Index)
	case t.Phase == model.PhaseSetAside:
		job.setAside++
	}
}

func (x *index) remove(job *Job, t *model.Task) {
	x.snapshotBytes -= taskSnapshotBytes(t)
	switch {
	case t.Phase.IsPlaced():
		delete(x.placed[t.Worker], t.ID)
		x.reserved[t.Worker] = x.reserved[t.Worker].Sub(t.Reserved)
		if len(x.placed[t.Worker]) == 0 {
			delete(x.placed, t.Worker)
			delete(x.reserved, t.Worker)
		}
	case t.Phase == model.PhasePending:
		if position, found := slices.BinarySearch(job.pending, t.ID.Index); found {
			job.pending = slices.Delete(job.pending, position, position+1)
		}
	case t.Phase == model.PhaseSetAside:
		job.setAside--
	}
}

// taskSnapshotBytes estimates a task's part of a snapshot. Tasks that were never assigned are stored as ranges, whose
// size is ignored.
func taskSnapshotBytes(t *model.Task) int {
	if t.Phase == model.PhasePending && t.Attempt == 0 {
		return 0
	}
	return journal.TaskBytes(t)
}

// Reserved returns the resources reserved on the worker, including those of queued assignments.
func (s *Shard) Reserved(worker model.WorkerID) model.Resources {
	return s.index.reserved[worker].Add(s.proposals.reserved[worker])
}

// OnWorker returns copies of the tasks placed on a worker, sorted by task id.
func (s *Shard) OnWorker(worker model.WorkerID) []model.Task {
	tasks := make([]model.Task, 0, len(s.index.placed[worker]))
	for _, t := range s.index.placed[worker] {
		tasks = append(tasks, *t)
	}
	slices.SortFunc(tasks, func(a, b model.Task) int {
		return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return tasks
}

// Workers returns the workers that have placed tasks, sorted by id.
func (s *Shard) Workers() []model.WorkerID {
	workers := make([]model.WorkerID, 0, len(s.index.placed))
	for id := range s.index.placed {
		workers = append(workers, id)
	}
	slices.Sort(workers)
	return workers
}

// Placed returns copies of the placed tasks of a job, sorted by index.
func (s *Shard) Placed(id model.JobID) []model.Task {
	var tasks []model.Task
	job := s.jobs[id]
	if job == nil {
		return nil
	}
	for _, index := range sortedIndices(job.tasks) {
		if t := job.tasks[index]; t.Phase.IsPlaced() {
			tasks = append(tasks, *t)
		}
	}
	return tasks
}

// HasSetAside reports whether any task of the job is set aside and waits for an operator to resume it.
func (s *Shard) HasSetAside(id model.JobID) bool {
	job := s.jobs[id]
	return job != nil && job.setAside > 0
}
