package dispatch

import (
	"iter"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// newTask returns a task of the step that was never started. It does not become part of the step.
func (s *step) newTask(index int) *task {
	return &task{
		Task: s.keyOf(index), step: s, owner: s.owner, waiting: true, readySince: s.readySince, firstReadyAt: s.readySince,
	}
}

// keyOf returns the key of the task with an index.
func (s *step) keyOf(index int) job.Task {
	return job.Task{Job: s.owner.ID, Occurrence: s.occurrence, Step: s.index, Index: index}
}

// task returns the task with an index and creates its state if necessary. The state of a task that is done and has no run
// is not kept.
func (s *step) task(index int) *task {
	for len(s.tasks) <= index {
		s.tasks = append(s.tasks, s.newTask(len(s.tasks)))
	}
	if t := s.tasks[index]; t != nil {
		return t
	}
	t := s.newTask(index)
	t.done, t.waiting = true, false
	return t
}

// dropDone drops the state of a task that is done and has no run.
func (s *step) dropDone(t *task) {
	if t.done && len(t.runs) == 0 && s.tasks[t.Index] == t {
		s.tasks[t.Index] = nil
	}
}

// touchedTasks yields the tasks that have a state.
func (s *step) touchedTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range s.tasks {
			if t != nil && !yield(t) {
				return
			}
		}
	}
}

// waitingTasks yields the waiting tasks in the order of their indices. Those that were never started get their state when
// they are reached, so that a caller that stops at a task for which there is no room creates no more.
func (s *step) waitingTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := 0; i < s.Tasks && s.waiting > 0; i++ {
			if !s.isWaiting(i) {
				continue
			}
			if t := s.task(i); !yield(t) {
				return
			}
		}
	}
}

// isWaiting reports whether the task with an index is neither done nor has a run.
func (s *step) isWaiting(index int) bool {
	return index >= len(s.tasks) || s.tasks[index] != nil && s.tasks[index].waiting
}
