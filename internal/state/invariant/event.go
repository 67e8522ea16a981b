// Package invariant checks recorded histories against the guarantees P1 to P9 of docs/design.md. Tests of all layers
// record the same typed events and share the checkers, so that a guarantee means the same in all of them.
//
// The checkers are pure functions. Events are in the order in which the recorder observed them; times are compared only
// where a guarantee sets a time limit. An empty result means that the history violates no guarantee.
package invariant

import (
	"fmt"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// LeavingGrace is the time after which a leaving instance gets no new requests (P7).
	LeavingGrace = 3 * time.Second
	// ConfigGrace is the time within which every entry uses an accepted configuration (P9).
	ConfigGrace = 3 * time.Second
)

// Event is one observation in a history.
type Event interface{ isEvent() }

// History is a sequence of events.
type History []Event

// Violation is a point in a history at which a guarantee does not hold.
type Violation struct {
	// Guarantee is the number of the guarantee, "P1" to "P9".
	Guarantee string
	// Index is the index of the event that violates it.
	Index int
	Text  string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at event %d: %s", v.Guarantee, v.Index, v.Text)
}

// WorkerSeen is a report of a worker's capacity.
type WorkerSeen struct {
	Worker   model.WorkerID
	Capacity model.Resources
}

// Placed is a committed assignment.
type Placed struct {
	Worker    model.WorkerID
	Task      model.TaskID
	Attempt   model.Attempt
	Reserved  model.Resources
	Exclusive bool
	// Checkpoint is the one that the attempt is to start from.
	Checkpoint string
}

// Released is a committed end of an attempt that did not finish; the task is to be placed again.
type Released struct {
	Task    model.TaskID
	Attempt model.Attempt
	// Checkpoint is the newest complete checkpoint.
	Checkpoint string
}

// Finished is a committed success of a task.
type Finished struct {
	Task    model.TaskID
	Attempt model.Attempt
}

// Cancelled is a committed cancellation of a job.
type Cancelled struct{ Job model.JobID }

// Started is the start of an attempt, as observed on the worker.
type Started struct {
	Worker     model.WorkerID
	Task       model.TaskID
	Attempt    model.Attempt
	Reserved   model.Resources
	Exclusive  bool
	Checkpoint string
}

// Stopped is the end of an attempt for any reason, as observed on the worker.
type Stopped struct {
	Worker  model.WorkerID
	Task    model.TaskID
	Attempt model.Attempt
}

// WorkerStopped is the end of a worker's process or VM, and so of every attempt on it.
type WorkerStopped struct{ Worker model.WorkerID }

// RequestSent records that the first byte of a request was sent to an instance.
type RequestSent struct {
	Request  string
	Instance model.InstanceID
	At       time.Time
}

// RequestRan records that an instance began to run a request, as observed on the instance. Key is empty unless the
// request must not run twice.
type RequestRan struct {
	Request  string
	Key      string
	Instance model.InstanceID
}

// ResponseReceived records that the caller received a response to its end.
type ResponseReceived struct {
	Request string
	// ResponseTo is the request that the response belongs to, according to a mark that the instance sets; empty for a
	// response that jujubearch generated.
	ResponseTo string
	// Truncated means that the response was incomplete and the caller could not detect it.
	Truncated bool
}

// RefusedNotRun records that the caller received a response with verdict not-run.
type RefusedNotRun struct{ Request string }

// LeavingMarked records that an instance was marked as leaving.
type LeavingMarked struct {
	Instance model.InstanceID
	At       time.Time
}

// RequestAccepted records that an entry accepted a request.
type RequestAccepted struct {
	Entry   model.EntryID
	Request string
}

// RequestEnded records that an entry completed the response to a request.
type RequestEnded struct {
	Entry   model.EntryID
	Request string
}

// ShutdownDone records that an entry's graceful shutdown ended with exit code 0.
type ShutdownDone struct{ Entry model.EntryID }

// ShutdownCut records how many requests a graceful shutdown reported as cut off.
type ShutdownCut struct {
	Entry    model.EntryID
	Requests int
}

// ConfigAccepted records that a configuration version was accepted.
type ConfigAccepted struct {
	Version model.Version
	At      time.Time
}

// ConfigApplied records that an entry began to use a configuration version.
type ConfigApplied struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	Version     model.Version
}

// ConfigInForce records which configuration version a running entry used at a given time.
type ConfigInForce struct {
	Entry   model.EntryID
	Version model.Version
	At      time.Time
}

func (WorkerSeen) isEvent()       {}
func (Placed) isEvent()           {}
func (Released) isEvent()         {}
func (Finished) isEvent()         {}
func (Cancelled) isEvent()        {}
func (Started) isEvent()          {}
func (Stopped) isEvent()          {}
func (WorkerStopped) isEvent()    {}
func (RequestSent) isEvent()      {}
func (RequestRan) isEvent()       {}
func (ResponseReceived) isEvent() {}
func (RefusedNotRun) isEvent()    {}
func (LeavingMarked) isEvent()    {}
func (RequestAccepted) isEvent()  {}
func (RequestEnded) isEvent()     {}
func (ShutdownDone) isEvent()     {}
func (ShutdownCut) isEvent()      {}
func (ConfigAccepted) isEvent()   {}
func (ConfigApplied) isEvent()    {}
func (ConfigInForce) isEvent()    {}

// Check applies the checkers of all guarantees and returns all violations.
func Check(h History) []Violation {
	var violations []Violation
	for _, check := range []func(History) []Violation{
		Capacity, NoConcurrentAttempts, ResumeOnce, OneOwnResponse, NotRunNeverRuns, AtMostOnce, NoRequestsToLeavingInstance,
		DrainAbortsNoRequest,
		ConfigMonotonic,
	} {
		violations = append(violations, check(h)...)
	}
	return violations
}

// checker collects the violations of one guarantee.
type checker struct {
	guarantee  string
	violations []Violation
}

func (c *checker) add(index int, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Guarantee: c.guarantee, Index: index,
		Text: fmt.Sprintf(format, args...),
	})
}
