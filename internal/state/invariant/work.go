package invariant

import "github.com/jujubearch/jujubearch/internal/state/model"

// attempt identifies one attempt of a task.
type attempt struct {
	task   model.TaskID
	number model.Attempt
}

// reservation is the resources that an attempt reserves on a worker.
type reservation struct {
	worker   model.WorkerID
	reserved model.Resources
}

// Capacity checks P1: neither the committed reservations on a worker nor those of the attempts running on it exceed its
// capacity.
func Capacity(h History) []Violation {
	c := checker{guarantee: "P1"}
	capacity := make(map[model.WorkerID]model.Resources)
	placed := make(map[attempt]reservation)
	running := make(map[attempt]reservation)
	for i, ev := range h {
		switch e := ev.(type) {
		case WorkerSeen:
			capacity[e.Worker] = e.Capacity
		case Placed:
			placed[attempt{e.Task, e.Attempt}] = reservation{e.Worker, e.Reserved}
			c.checkCapacity(i, "reserves", e.Worker, placed, capacity)
		case Released:
			delete(placed, attempt{e.Task, e.Attempt})
		case Finished:
			delete(placed, attempt{e.Task, e.Attempt})
		case Started:
			running[attempt{e.Task, e.Attempt}] = reservation{e.Worker, e.Reserved}
			c.checkCapacity(i, "runs", e.Worker, running, capacity)
		case Stopped:
			delete(running, attempt{e.Task, e.Attempt})
		case WorkerStopped:
			removeWorker(running, e.Worker)
		}
	}
	return c.violations
}

func (c *checker) checkCapacity(
	index int, verb string, worker model.WorkerID,
	reservations map[attempt]reservation, capacity map[model.WorkerID]model.Resources,
) {
	var sum model.Resources
	for _, r := range reservations {
		if r.worker == worker {
			sum = sum.Add(r.reserved)
		}
	}
	limit, known := capacity[worker]
	if !known || !sum.FitsIn(limit) {
		c.add(index, "worker %s %s %+v with a capacity of %+v", worker, verb, sum, limit)
	}
}

func removeWorker(reservations map[attempt]reservation, worker model.WorkerID) {
	for a, r := range reservations {
		if r.worker == worker {
			delete(reservations, a)
		}
	}
}

// NoConcurrentAttempts checks P2: two attempts of an exclusive task never run at the same time.
func NoConcurrentAttempts(h History) []Violation {
	c := checker{guarantee: "P2"}
	running := make(map[model.TaskID]Started)
	for i, ev := range h {
		switch e := ev.(type) {
		case Started:
			if !e.Exclusive {
				continue
			}
			if other, found := running[e.Task]; found {
				c.add(i, "task %s runs on %s (attempt %d) and at the same time on %s (attempt %d)", e.Task,
					other.Worker, other.Attempt, e.Worker, e.Attempt)
			}
			running[e.Task] = e
		case Stopped:
			if s, found := running[e.Task]; found && s.Worker == e.Worker && s.Attempt == e.Attempt {
				delete(running, e.Task)
			}
		case WorkerStopped:
			for id, s := range running {
				if s.Worker == e.Worker {
					delete(running, id)
				}
			}
		}
	}
	return c.violations
}

// taskState is the state of a task that ResumeOnce keeps.
type taskState struct {
	// newest is the newest attempt placed; open is true until that attempt ends.
	newest     model.Attempt
	open       bool
	finished   bool
	checkpoint string
}

// ResumeOnce checks P3: after each release a task is placed once, with a higher attempt number and the checkpoint of
// that release; no attempt starts twice or without a placement; a cancelled or finished task is not placed again.
// Tasks that still wait for a placement when the history ends are no violation; Unresumed returns them.
func ResumeOnce(h History) []Violation {
	c := checker{guarantee: "P3"}
	tasks := make(map[model.TaskID]*taskState)
	cancelled := make(map[model.JobID]bool)
	placedFrom := make(map[attempt]string)
	alreadyStarted := make(map[attempt]bool)
	for i, ev := range h {
		switch e := ev.(type) {
		case Placed:
			placedFrom[attempt{e.Task, e.Attempt}] = e.Checkpoint
			c.checkPlacement(i, e, taskStateOf(tasks, e.Task), cancelled[e.Task.Job])
		case Released:
			t := taskStateOf(tasks, e.Task)
			if !t.open || t.newest != e.Attempt {
				c.add(i, "task %s: attempt %d was released but is not the placed attempt", e.Task, e.Attempt)
			}
			t.open, t.checkpoint = false, e.Checkpoint
		case Finished:
			t := taskStateOf(tasks, e.Task)
			if !t.open || t.newest != e.Attempt {
				c.add(i, "task %s: attempt %d finished but is not the placed attempt", e.Task, e.Attempt)
			}
			t.open, t.finished = false, true
		case Cancelled:
			cancelled[e.Job] = true
		case Started:
			a := attempt{e.Task, e.Attempt}
			checkpoint, found := placedFrom[a]
			if alreadyStarted[a] || !found || checkpoint != e.Checkpoint {
				c.add(i, "task %s: attempt %d started from checkpoint %q; started before: %t, placed: %t with checkpoint %q",
					e.Task, e.Attempt, e.Checkpoint, alreadyStarted[a], found, checkpoint)
			}
			alreadyStarted[a] = true
		}
	}
	return c.violations
}

func (c *checker) checkPlacement(index int, e Placed, t *taskState, isCancelled bool) {
	switch {
	case isCancelled:
		c.add(index, "task %s was placed after its job was cancelled", e.Task)
	case t.finished:
		c.add(index, "task %s was placed after it finished", e.Task)
	case t.open:
		c.add(index, "task %s: attempt %d was placed while attempt %d had not ended", e.Task, e.Attempt, t.newest)
	case e.Attempt <= t.newest:
		c.add(index, "task %s: attempt %d was placed after attempt %d", e.Task, e.Attempt, t.newest)
	case e.Checkpoint != t.checkpoint:
		c.add(index, "task %s was placed with checkpoint %q instead of %q", e.Task, e.Checkpoint, t.checkpoint)
	}
	t.newest, t.open = e.Attempt, true
}

func taskStateOf(tasks map[model.TaskID]*taskState, id model.TaskID) *taskState {
	if tasks[id] == nil {
		tasks[id] = &taskState{}
	}
	return tasks[id]
}

// Unresumed returns the tasks that were released and neither placed again nor cancelled. There must be none once the
// faults of a test have ended and enough time has passed (the liveness part of P3).
func Unresumed(h History) []model.TaskID {
	waiting := make(map[model.TaskID]bool)
	var released []model.TaskID
	cancelled := make(map[model.JobID]bool)
	for _, ev := range h {
		switch e := ev.(type) {
		case Released:
			waiting[e.Task] = true
			released = append(released, e.Task)
		case Placed:
			delete(waiting, e.Task)
		case Cancelled:
			cancelled[e.Job] = true
		}
	}
	var unresumed []model.TaskID
	for _, id := range released {
		if waiting[id] && !cancelled[id.Job] {
			delete(waiting, id)
			unresumed = append(unresumed, id)
		}
	}
	return unresumed
}
