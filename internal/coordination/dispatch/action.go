package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Action is something that the dispatcher wants done.
type Action interface{ isDispatchAction() }

// Target names one life of a worker and where to reach it.
type Target struct {
	Worker  model.WorkerID
	Address string
	Epoch   model.Epoch
}

// Hold renews the lease of all that runs on a worker and asks for its inventory.
type Hold struct {
	Target
	// Acknowledged is the highest end that the worker may forget.
	Acknowledged int64
	// LeaseEnd is a time on the worker's clock; 0 means that the lease stays as it is.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
	// Decided is when this was decided; an old hold must acknowledge nothing.
	Decided time.Time
}

// Aged returns the hold as it may be sent now: one that waited too long to be sent acknowledges nothing, because the
// worker may have restarted meanwhile.
func (h Hold) Aged(now time.Time) Hold {
	if model.Elapsed(h.Decided, now) > acknowledgeWithin {
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
	// Permit is empty where the queue needs none.
	Permit job.Permit
}

// Stop ends a run, or keeps it from being started by an order on its way.
type Stop struct {
	Target
	Run job.Run
}

// Pace sets the share of its speed at which a run works, in percent.
type Pace struct {
	Target
	Run     job.Run
	Percent int
}

// Advise asks the advice service which of some workers may run a step; the answer is Advised.
type Advise struct {
	Epoch   model.Epoch
	Step    job.StepRef
	Workers []model.WorkerID
	// Limit is how long the service takes for the answer, without the questions before it.
	Limit time.Duration
	// boots are those of the workers when the question was decided, valid is how long permits last.
	boots []job.Boot
	valid time.Duration
}

// Commit writes progress; the answer is Committed.
type Commit struct {
	ID          uint64
	Transaction job.Transaction
}

// Attr is an attribute of a report.
type Attr = notice.Attr

// Report is a line for the log.
type Report struct {
	Code  notice.Code
	Attrs []Attr
}

// CancelSettled answers a Cancel whose outcome has been committed.
type CancelSettled struct{ Job job.ID }

// Deposed says that another leader has taken over.
type Deposed struct{ Why string }

func (Hold) isDispatchAction()          {}
func (Start) isDispatchAction()         {}
func (Stop) isDispatchAction()          {}
func (Pace) isDispatchAction()          {}
func (Advise) isDispatchAction()        {}
func (Commit) isDispatchAction()        {}
func (Report) isDispatchAction()        {}
func (CancelSettled) isDispatchAction() {}
func (Deposed) isDispatchAction()       {}
