// Package job holds the types of the job scheduler that all layers share: jobs with their steps, runs of tasks on
// workers, routes to queues, and the records that the store keeps. It contains data and arithmetic on it, and neither
// decisions nor I/O.
package job

import (
	"fmt"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

type (
	// ID names a job; callers choose it.
	ID string
	// Queue names the queue that a job was submitted to.
	Queue string
	// RunNumber numbers the starts of one task; it only grows, also over changes of the leader.
	RunNumber uint64
	// Boot distinguishes successive lives of a worker under one id.
	Boot int64
)

// Step is a group of equal tasks of a job.
type Step struct {
	Tasks int
	// Size is what each task asks for.
	Size model.Resources
	// Estimate is a rough duration of one task.
	Estimate time.Duration
	// After lists the steps whose tasks must all be done before this one starts.
	After []int
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool
	// Gang means that the tasks work only while all of them are present.
	Gang bool
	// SameRack means that the tasks slow each other down over racks.
	SameRack bool
	// Speculative means that two runs of one task may run at the same time.
	Speculative bool
	// Lasting means that the tasks run until the job is cancelled.
	Lasting bool
	// Fills means that the tasks use only processor time that others leave unused; their processors are not counted
	// against a worker's capacity.
	Fills bool
	// Label is a label that the worker must have; empty means none.
	Label string
	// DataRack is the rack that holds the data; empty means none.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int
	// Image names the program; tasks of one image behave alike.
	Image string
	// TailTarget bounds the tail latency of a lasting task that serves users; 0 means none.
	TailTarget time.Duration
	// AllowedMisses is the number of tasks that may be away at the same time through the scheduler's actions.
	AllowedMisses int
}

// Schedule repeats a job; the zero value means once, at once.
type Schedule struct {
	Times int
	// First and Interval give the time of day of the occurrences.
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
	// Accepted is the time of day at the entry that accepted the job; it orders jobs and proves nothing.
	Accepted time.Time
}

// Lasting reports whether any step lasts until the job is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Chain returns the longest sum of estimates over steps that wait for each other.
func (j *Job) Chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate returns a description of the first thing wrong with the job, or an empty string.
func (j *Job) Validate() string {
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
		for _, before := range s.After {
			if before < 0 || before >= i {
				return fmt.Sprintf("steps[%d]: waits for step %d, which is not an earlier one", i, before)
			}
		}
	}
	return ""
}

// MaxTasksPerStep bounds the tasks of one step, so that one job can't exhaust the memory of the leader.
const MaxTasksPerStep = 10_000

// Task names one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task as "job.occurrence.step.index".
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Run is one start of a task.
type Run struct {
	Task   Task
	Number RunNumber
}

// Phase is the state of a job as callers see it.
type Phase uint8

// Phases of a job.
const (
	Queued Phase = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether the phase can't change any more.
func (p Phase) Final() bool { return p >= Completed }

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"queued", "active", "completed", "failed", "cancelled"}[p]
}

// Route sends the jobs of a queue to the workers of a service.
type Route struct {
	Queue   Queue
	Host    string
	Prefix  string
	Service model.ServiceName
	// Priority 0 comes first.
	Priority int
	// Attempts is the number of failed runs of a task after which the job has failed.
	Attempts int
	// Slack times the chain of a job, plus TargetLatency, is the time in which the job should be completed.
	Slack         float64
	TargetLatency time.Duration
	// Advice is not nil where a policy allows only some workers, which the advice service knows.
	Advice *Advice
}

// Advice is what an answer of the advice service takes: Decide, and PerWorker for each worker named. Valid is how long a
// permit lasts.
type Advice struct{ Decide, PerWorker, Valid time.Duration }

// Permit lets one life of a worker run a step; it is opaque.
type Permit string

// StepRef names a step of an occurrence of a job.
type StepRef struct {
	Job              ID
	Occurrence, Step int
}

// StepOf returns the step of a task.
func StepOf(t Task) StepRef { return StepRef{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }

// String returns the form ID.occurrence.step.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// Configuration is the operators' configuration of queues.
type Configuration struct {
	Version model.Version
	Routes  []Route
	// MaxBodyBytes bounds the body of a request; 0 means no bound was given.
	MaxBodyBytes int64
}
