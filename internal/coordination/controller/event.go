package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Event is an input of Controller.Step.
type Event interface{ isEvent() }

// Tick triggers the periodic actions that are due. The transport layer sends it every TickInterval.
type Tick struct{}

// TimerFired is the result of SetTimer.
type TimerFired struct{}

// StoredRecord is a store record with its decoded value.
type StoredRecord struct {
	Key      string
	Revision model.Revision
	// Value is a pointer to a type of package model; nil when the key does not exist or Err is set.
	Value any
	// Err says why the value can't be decoded.
	Err error
}

// StoreDone is the result of a StoreCall.
type StoreDone struct {
	Token Token
	// Err carries a verdict, which is NotRun if the call certainly had no effect.
	Err     error
	Swapped bool
	// Revision is the new revision after a swap, or the store's revision after a list or watch.
	Revision model.Revision
	// Records holds what was read; after a failed swap, the current record.
	Records []StoredRecord
	// Lease is the granted lease.
	Lease model.LeaseID
	// Alive is false if the lease to keep alive no longer exists.
	Alive bool
}

// Record returns the single record of a get or a failed swap.
func (d StoreDone) Record() StoredRecord {
	if len(d.Records) == 0 {
		return StoredRecord{}
	}
	return d.Records[0]
}

// WorkerReported is the result of SendOrders.
type WorkerReported struct {
	Worker model.WorkerID
	Shard  model.ShardID
	Epoch  model.Epoch
	Report model.WorkerReport
	Err    error
}

// VMsListed is the result of ListVMs.
type VMsListed struct {
	List model.VMList
	Err  error
}

// HeartbeatReceived is a heartbeat from a peer.
type HeartbeatReceived struct {
	Heartbeat membership.Heartbeat
}

// HeartbeatAnswered is the measured round trip of a heartbeat that this entry sent.
type HeartbeatAnswered struct {
	Peer      model.EntryID
	RoundTrip time.Duration
}

// LoanRequested is a request of another entry of the data centre for a loan of slots or about the seats; the Reply
// carries a limit.Response.
type LoanRequested struct {
	ReplyTo ReplyTo
	Request limit.Request
}

// LoanAnswered is the result of SendLoan; a non-nil Err means that no response arrived.
type LoanAnswered struct {
	Peer     model.EntryID
	Sequence uint64
	Response limit.Response
	Err      error
}

// SeatHandOverRequested hands this entry's slots over to another entry of the data centre; no request may start
// afterwards.
type SeatHandOverRequested struct{}

// HeadFetched is the result of FetchHead.
type HeadFetched struct {
	Peer     model.EntryID
	Head     model.Head
	Revision model.Revision
	Err      error
}

// HeadRequested asks for the newest head; the Reply carries a StoredRecord.
type HeadRequested struct{ ReplyTo ReplyTo }

// PlanSubmitted asks for a plan for intents; the Reply carries a model.Plan.
type PlanSubmitted struct {
	ReplyTo  ReplyTo
	ID       model.PlanID
	Operator string
	Digest   string
	Intents  []model.Intent
}

// PlanConfirmed confirms a plan; the Reply carries a Confirmation.
type PlanConfirmed struct {
	ReplyTo  ReplyTo
	ID       model.PlanID
	Operator string
}

// PlanRejected rejects a plan; the Reply carries a model.Plan.
type PlanRejected struct {
	ReplyTo  ReplyTo
	ID       model.PlanID
	Operator string
}

// PlansRequested asks for plans; an empty ID asks for all. The Reply carries a []model.Plan.
type PlansRequested struct {
	ReplyTo ReplyTo
	ID      model.PlanID
}

// AuditRequested asks for the audit trail; the Reply carries a []model.AuditEntry, oldest first.
type AuditRequested struct{ ReplyTo ReplyTo }

// StatusRequested asks for the status; the Reply carries a Status.
type StatusRequested struct{ ReplyTo ReplyTo }

// DrainRequested starts a graceful shutdown.
type DrainRequested struct{}

func (Tick) isEvent()                  {}
func (TimerFired) isEvent()            {}
func (StoreDone) isEvent()             {}
func (WorkerReported) isEvent()        {}
func (VMsListed) isEvent()             {}
func (HeartbeatReceived) isEvent()     {}
func (HeartbeatAnswered) isEvent()     {}
func (LoanRequested) isEvent()         {}
func (LoanAnswered) isEvent()          {}
func (SeatHandOverRequested) isEvent() {}
func (HeadFetched) isEvent()           {}
func (HeadRequested) isEvent()         {}
func (PlanSubmitted) isEvent()         {}
func (PlanConfirmed) isEvent()         {}
func (PlanRejected) isEvent()          {}
func (PlansRequested) isEvent()        {}
func (AuditRequested) isEvent()        {}
func (StatusRequested) isEvent()       {}
func (DrainRequested) isEvent()        {}
