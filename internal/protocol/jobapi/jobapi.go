// Package jobapi defines the paths and JSON types of the HTTP API for jobs, and parses submitted jobs. A job that
// Decode returns is valid. Durations are strings with a unit, such as "900ms"; sizes are thousandths of a core and
// bytes.
package jobapi

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Paths of the job API; {queue} and {id} stand for one segment each.
const (
	PathJob     = "/v1/jobs/{id}"
	PathSubmit  = "/v1/queues/{queue}/jobs/{id}"
	PathPending = "/v1/queues/{queue}"
	PathQueues  = "/v1/queues"
)

// ErrInvalid means that a submitted job is invalid. The annotation names the faulty field.
const ErrInvalid = errors.ConstError("invalid job")

// Duration is a time.Duration that is encoded as a string with a unit.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return errors.Annotatef(ErrInvalid, "%q is not a duration with a unit, such as 900ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// Job is the body of a request to submit a job.
type Job struct {
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Schedule repeats the job. Without it, the job runs once, immediately.
	Schedule *Schedule `json:"schedule,omitempty"`
}

// Schedule defines the occurrences of a repeated job.
type Schedule struct {
	Times    int       `json:"times"`
	First    time.Time `json:"first"`
	Interval Duration  `json:"interval"`
}

// Step is a group of identical tasks. See job.Step for the meaning of the fields.
type Step struct {
	Tasks             int      `json:"tasks"`
	CPUMillis         int64    `json:"cpu_millis"`
	MemoryBytes       int64    `json:"memory_bytes"`
	Accelerators      int64    `json:"accelerators,omitempty"`
	Estimate          Duration `json:"estimate,omitempty"`
	After             []int    `json:"after,omitempty"`
	Checkpoints       bool     `json:"checkpoints,omitempty"`
	Gang              bool     `json:"gang,omitempty"`
	SameRack          bool     `json:"same_rack,omitempty"`
	Speculative       bool     `json:"speculative,omitempty"`
	LongRunning       bool     `json:"lasting,omitempty"`
	BestEffort        bool     `json:"fills,omitempty"`
	Label             string   `json:"label,omitempty"`
	DataRack          string   `json:"data_rack,omitempty"`
	MaxPerWorker      int      `json:"max_per_worker,omitempty"`
	Image             string   `json:"image,omitempty"`
	TailLatencyTarget Duration `json:"tail_target,omitempty"`
	MaxUnavailable    int      `json:"allowed_misses,omitempty"`
}

// Status is the response to a request for the phase of a job.
type Status struct {
	ID    job.ID `json:"id"`
	Phase string `json:"phase"`
}

// Queue is a queue with the number of its jobs that have not started.
type Queue struct {
	Name    job.Queue         `json:"name"`
	Service model.ServiceName `json:"service"`
	Pending int               `json:"pending"`
}

// Decode parses and validates the body of a submitted job. Its error is ErrInvalid and names the faulty field.
func Decode(text []byte, id job.ID, queue job.Queue, now time.Time) (*job.Job, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var v Job
	if err := decoder.Decode(&v); err != nil {
		return nil, errors.Annotate(ErrInvalid, err.Error())
	}
	j := &job.Job{ID: id, Queue: queue, Payload: v.Payload, Accepted: now}
	if s := v.Schedule; s != nil {
		if s.Times < 1 {
			return nil, errors.Annotate(ErrInvalid, "schedule: times must be 1 or more")
		}
		j.Schedule = job.Schedule{Times: s.Times, First: s.First, Interval: time.Duration(s.Interval)}
	}
	for i := range v.Steps {
		j.Steps = append(j.Steps, v.Steps[i].toJobStep())
	}
	if fault := j.Validate(); fault != "" {
		return nil, errors.Annotate(ErrInvalid, fault)
	}
	return j, nil
}

func (s *Step) toJobStep() job.Step {
	return job.Step{
		Tasks:    s.Tasks,
		Size:     model.Resources{CPUMillis: s.CPUMillis, MemoryBytes: s.MemoryBytes, Accelerators: s.Accelerators},
		Estimate: time.Duration(s.Estimate), After: s.After, Checkpoints: s.Checkpoints, Gang: s.Gang, SameRack: s.SameRack,
		Speculative: s.Speculative, LongRunning: s.LongRunning, BestEffort: s.BestEffort, Label: s.Label,
		DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker, Image: s.Image,
		TailLatencyTarget: time.Duration(s.TailLatencyTarget), MaxUnavailable: s.MaxUnavailable,
	}
}
