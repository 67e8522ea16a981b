package model

import "time"

// TaskClass distinguishes latency-critical from batch tasks.
type TaskClass uint8

const (
	// ClassBatch is work that runs to completion.
	ClassBatch TaskClass = iota
	// ClassService is an instance of a latency-critical service, which runs until it is stopped.
	ClassService
)

// String returns "batch" or "service".
func (c TaskClass) String() string {
	if c == ClassService {
		return "service"
	}
	return "batch"
}

// Job describes a group of equal tasks that an operator requested.
type Job struct {
	ID    JobID
	Team  TeamName
	Class TaskClass
	// Kind groups tasks that behave alike; sizes, run times and slowdowns are estimated per kind from measurements.
	Kind string
	// Service is set for ClassService.
	Service ServiceName
	// Tasks is the number of tasks, with indices 0 to Tasks-1.
	Tasks uint32
	// Declared is the declared size of one task; actual use may differ greatly.
	Declared Resources
	// RunTime is the declared run time of one task; 0 means that it runs until stopped.
	RunTime time.Duration
	// FinishBy is the deadline of the whole job; zero means none.
	FinishBy time.Time
	// Exclusive means that two attempts of one task must never run at the same time.
	Exclusive bool
	// Urgent means that the tasks are started before all tasks that are not urgent.
	Urgent bool
}

// Delegation assigns the Count tasks of a job from index First on to one shard. Job id and First identify it.
type Delegation struct {
	Job   Job
	First uint32
	Count uint32
	Shard ShardID
}

// TaskPhase is the lifecycle phase of a task, as its shard records it.
type TaskPhase uint8

const (
	// PhasePending means that the task waits for a worker.
	PhasePending TaskPhase = iota
	// PhaseAssigned means that the journal holds an assignment to a worker, which may or may not have started the task.
	PhaseAssigned
	// PhaseRunning means that the worker reported the task as running.
	PhaseRunning
	// PhaseEvicting means that the worker was asked to checkpoint and stop the task.
	PhaseEvicting
	// PhaseFinished means that the task succeeded.
	PhaseFinished
	// PhaseSetAside means that the task failed too often and is not retried until an operator resumes it.
	PhaseSetAside
	// PhaseCancelled means that the task was cancelled and does not start again. Shards remove such tasks instead of
	// setting this phase.
	PhaseCancelled
)

var phaseNames = [...]string{"pending", "assigned", "running", "evicting", "finished", "set-aside", "cancelled"}

// String returns the phase in lower case.
func (p TaskPhase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// IsPlaced reports whether a task in this phase reserves resources of a worker.
func (p TaskPhase) IsPlaced() bool {
	return p == PhaseAssigned || p == PhaseRunning || p == PhaseEvicting
}

// Task is the state of one task in its shard.
type Task struct {
	ID       TaskID
	Phase    TaskPhase
	Attempt  Attempt
	Worker   WorkerID
	Reserved Resources
	// Checkpoint is the newest complete checkpoint; empty means that the task starts from the beginning.
	Checkpoint string
	// Failures counts failed attempts since the last success or operator action.
	Failures uint32
	// FailedOn lists the first workers, up to MaxFailedWorkers, on which the task failed in that period.
	FailedOn []WorkerID
	// ListRevision is the revision of the VM list that contained Worker when the task was assigned to it.
	ListRevision uint64
}

// MaxFailedWorkers limits the length of Task.FailedOn. A task must fail on this many workers before it is set aside.
const MaxFailedWorkers = 3
