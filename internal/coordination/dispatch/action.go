package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Action is something that the caller of the dispatcher has to carry out.
type Action interface{ isDispatchAction() }

// Target identifies a worker and how to reach it. Epoch is that of the leader which sends the order.
type Target struct {
	Worker  model.WorkerID
	Address string
	Epoch   model.Epoch
	// Fence is the number that the order carries: from the first order that it gets, a worker refuses those with lower
	// numbers. It is Epoch or, once the worker has restarted under this leader, a later revision of the store.
	Fence model.Epoch
	// Relay is the entry that carries the order to the worker; empty means the leader itself.
	Relay model.EntryID
}

// TargetOf returns the target of an order to a worker, and whether the action is one.
func TargetOf(action Action) (Target, bool) {
	switch a := action.(type) {
	case Hold:
		return a.Target, true
	case Start:
		return a.Target, true
	case Stop:
		return a.Target, true
	case Pace:
		return a.Target, true
	}
	return Target{}, false
}

// Hold is the heartbeat to a worker: it renews the lease of everything that runs there and asks for the inventory.
type Hold struct {
	Target
	// Acknowledged is the sequence number up to which the worker may forget ends.
	Acknowledged int64
	// LeaseEnd is a time on the worker's clock; 0 leaves the lease unchanged.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
	// DecidedAt is when the hold was decided. An old hold must not acknowledge anything.
	DecidedAt time.Time
}

// AtSend returns the hold to send now: one that waited too long before it was sent acknowledges nothing, because the
// worker may have restarted meanwhile.
func (h Hold) AtSend(now time.Time) Hold {
	if model.Elapsed(h.DecidedAt, now) > acknowledgeWindow {
		h.Acknowledged = 0
	}
	return h
}

// Start starts a run.
type Start struct {
	Target
	Run        job.Run
	Payload    string
	LeaseEnd   time.Duration
	Checkpoint job.Checkpoint
	// Permit is empty if the queue's policy requires none.
	Permit job.Permit
}

// Stop ends a run, or keeps a start in flight from being carried out.
type Stop struct {
	Target
	Run job.Run
}

// Pace sets the pace of a run: the percentage of its full speed that it may run at.
type Pace struct {
	Target
	Run     job.Run
	Percent int
}

// RequestAdvice asks the advice service which of the given workers may run a step. The answer is passed to
// HandleAdvice.
type RequestAdvice struct {
	Epoch   model.Epoch
	Step    job.StepRef
	Workers []model.WorkerID
	// ServiceTime is the longest time that the service takes for the answer, not counting requests queued before it.
	ServiceTime time.Duration
	// boots are the boot numbers of the workers when the request was decided; permitLifetime is how long the permits are
	// valid.
	boots          []job.BootID
	permitLifetime time.Duration
}

// Commit writes progress to the store. The answer is passed to HandleCommit.
type Commit struct {
	ID          uint64
	Transaction job.Transaction
}

// Attr is an attribute of a log event.
type Attr = notice.Attr

// LogEvent writes an event to the log.
type LogEvent struct {
	Code  notice.Code
	Attrs []Attr
}

// RunReleased says by which proof, or by which kind of its end, a run was taken as over.
type RunReleased struct{ Proof string }

// CancelCommitted answers a Cancel whose outcome has been committed.
type CancelCommitted struct{ Job job.ID }

// Deposed means that another leader has taken over.
type Deposed struct{ Reason string }

func (Hold) isDispatchAction()            {}
func (Start) isDispatchAction()           {}
func (Stop) isDispatchAction()            {}
func (Pace) isDispatchAction()            {}
func (RequestAdvice) isDispatchAction()   {}
func (Commit) isDispatchAction()          {}
func (LogEvent) isDispatchAction()        {}
func (CancelCommitted) isDispatchAction() {}
func (Deposed) isDispatchAction()         {}
func (LoadSample) isDispatchAction()      {}
func (JobStages) isDispatchAction()       {}
func (RunReleased) isDispatchAction()     {}
