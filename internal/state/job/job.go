// Package job defines the data types of the job scheduler that all layers share: jobs with their steps, runs of tasks
// on workers, routes from queues to services, and the records and keys of the store. It contains arithmetic on them
// and validation, but no scheduling decisions and no I/O.
package job

import (
	"fmt"
	"strconv"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

type (
	// ID identifies a job; callers choose it.
	ID string
	// Queue is the name of the queue that a job was submitted to.
	Queue string
	// RunNumber numbers the starts of one task; it only grows, also across changes of leader.
	RunNumber uint64
	// BootID distinguishes successive processes of a worker that have the same id.
	BootID int64
)

// Step is a group of identical tasks of a job.
type Step struct {
	Tasks int
	// Size is the resource request of each task.
	Size model.Resources
	// Estimate is the approximate run time of one task.
	Estimate time.Duration
	// After lists the indices of the steps whose tasks must all be done before this step starts.
	After []int
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool
	// Gang means that the tasks make progress only while all of them are running.
	Gang bool
	// SameRack means that the tasks run slower when they are spread over several racks.
	SameRack bool
	// Speculative means that two runs of one task may execute at the same time.
	Speculative bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// BestEffort means that the tasks use only processor time that other tasks leave unused; their CPU request does not
	// count against a worker's capacity.
	BestEffort bool
	// Label is a label that the worker must have; empty means none.
	Label string
	// DataRack is the rack that holds the input data; empty means none.
	DataRack string
	// MaxPerWorker limits the number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int
	// Image names the program; tasks of the same image behave alike.
	Image string
	// TailLatencyTarget is the highest acceptable tail latency of a long-running task that serves users; 0 means none is
	// set.
	TailLatencyTarget time.Duration
	// MaxUnavailable is the number of tasks that the scheduler's own actions may make unavailable at the same time.
	MaxUnavailable int
}

// Schedule says when and how often a job runs; the zero value means once, immediately.
type Schedule struct {
	// Times is the number of occurrences.
	Times int
	// First is the wall-clock time of the first occurrence, and Interval the time between two occurrences.
	First    time.Time
	Interval time.Duration
}

// Job is an accepted job.
type Job struct {
	ID      ID
	Queue   Queue
	Payload string
	Steps   []Step
	Schedule
	// Accepted is the wall-clock time at the entry that accepted the job. Jobs are ordered by it and their deadlines count
	// from it; since clocks differ between entries, correctness must not depend on it.
	Accepted time.Time
	// Route is the route of the queue when the job was accepted. It is nil in the records of releases that did not store
	// it.
	Route *AcceptedRoute
}

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the length of the critical path: the longest sum of estimates over steps that depend on each
// other.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, dependency := range j.Steps[i].After {
			start = max(start, finish[dependency])
		}
		finish[i] = start + j.Steps[i].Estimate
		longest = max(longest, finish[i])
	}
	return longest
}

// Validate returns a description of the first error in the job, or an empty string if it is valid.
func (j *Job) Validate() string {
	if len(j.ID) > MaxIDBytes {
		return fmt.Sprintf("id: %d bytes, at most %d are allowed", len(j.ID), MaxIDBytes)
	}
	if len(j.Steps) == 0 {
		return "steps: at least one step is required"
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Tasks < 1 || s.Tasks > MaxTasksPerStep {
			return fmt.Sprintf("steps[%d]: the number of tasks must be from 1 to %d", i, MaxTasksPerStep)
		}
		if s.Size.IsNegative() {
			return fmt.Sprintf("steps[%d]: a size is below zero", i)
		}
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				return fmt.Sprintf("steps[%d]: waits for step %d, which is not an earlier one", i, dependency)
			}
		}
	}
	return ""
}

// MaxTasksPerStep limits the tasks of one step, which share one pass over them.
const MaxTasksPerStep = 10_000

// Task identifies one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// maxIndexBytes is the usual length of the numbers in a task's name.
const maxIndexBytes = 16

// String returns the task as "job.occurrence.step.index".
func (t Task) String() string {
	text := make([]byte, 0, len(t.Job)+maxIndexBytes)
	text = append(text, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		text = strconv.AppendInt(append(text, '.'), int64(n), 10)
	}
	return string(text)
}

// Run is one start of a task.
type Run struct {
	Task   Task
	Number RunNumber
}

// Phase is the lifecycle phase of a job, as callers see it.
type Phase uint8

// Phases of a job.
const (
	Queued Phase = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether the phase is terminal.
func (p Phase) Final() bool { return p >= Completed }

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"queued", "active", "completed", "failed", "cancelled"}[p]
}

// Route sends the jobs of a queue to the workers of a service.
type Route struct {
	Queue Queue
	// Host must equal the host of a request for the queue, and Prefix must begin its path; the longest Prefix wins.
	Host    string
	Prefix  string
	Service model.ServiceName
	// Priority 0 is the highest.
	Priority int
	// Attempts is the number of failed runs of one task after which the job fails.
	Attempts int
	// Slack and TargetLatency set the time in which a job should be completed: Slack times its critical path, plus
	// TargetLatency.
	Slack         float64
	TargetLatency time.Duration
	// Advice is not nil if a policy restricts the queue's jobs to some workers; the advice service says which.
	Advice *Advice
}

// AcceptedRoute is the route of a job's queue in the configuration under which the job was accepted. A leader goes by it
// if its configuration does not have the queue, since an accepted job has to be completed. Host and Prefix are not
// stored.
type AcceptedRoute struct {
	Route
	// Version is that of the configuration.
	Version model.Version
}

// Advice holds how long the advice service takes for a query, which is BaseServiceTime plus ServiceTimePerWorker for
// each worker in the query, and the time for which a permit is valid. The time-out of a query is derived from its
// service time.
type Advice struct{ BaseServiceTime, ServiceTimePerWorker, PermitLifetime time.Duration }

// Permit is an opaque token that allows a worker to run a step. It is bound to the worker's boot ID.
type Permit string

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job              ID
	Occurrence, Step int
}

// StepOf returns the step that a task belongs to.
func StepOf(t Task) StepRef { return StepRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }

// String returns the step as "job.occurrence.step".
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// Configuration is the operators' configuration of queues.
type Configuration struct {
	Version model.Version
	Routes  []Route
	// MaxBodyBytes limits the body of a request; 0 means that no limit was set.
	MaxBodyBytes int64
}
