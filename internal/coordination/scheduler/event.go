package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Event is an input of a Core.
type Event interface{ apply(c *Core, now time.Time) }

// ReplyTo identifies the caller that waits for a Reply.
type ReplyTo uint64

// Start starts watching the configuration and the leader record; it is the first event.
type Start struct{}

// Tick triggers the work that depends on time alone, such as timeouts and retries.
type Tick struct {
	// Queued is when the event was queued; zero if that is not known.
	Queued time.Time
}

// Batch is a sequence of events, after which decisions are made once.
type Batch []Event

func (b Batch) apply(c *Core, now time.Time) {
	for _, ev := range b {
		c.guard(now, func() { ev.apply(c, now) })
	}
}

// ConfigRead is the result of WatchConfig.
type ConfigRead struct {
	// Number is that of the WatchConfig.
	Number   uint64
	Config   job.Configuration
	Revision model.Revision
	// Changed is false if the long poll timed out without a change.
	Changed bool
	// Newest means that there was no newer version when the read was sent. It is false for a part of the history.
	Newest bool
	// Sent is when the read was sent, and Wait how long the store was allowed to delay its response.
	Sent time.Time
	Wait time.Duration
	// Versions, Bytes and Transfer are for the log: the number of versions in the response, its size, and the time from
	// its head to its end.
	Versions int
	Bytes    int
	Transfer time.Duration
	Err      error
}

// LeaderRead is the result of WatchLeader.
type LeaderRead struct {
	// Leader is the leader record; its Value is nil if there is no leader.
	Leader  job.Record
	Changed bool
	// Revision is the store revision after which the next watch starts.
	Revision model.Revision
	// RoundTrip is the duration of an immediate read; 0 for a long poll, whose duration says nothing about the round trip.
	RoundTrip time.Duration
	Err       error
}

// LeaseGranted is the result of GrantLease.
type LeaseGranted struct {
	Term  uint64
	Sent  time.Time
	Lease model.LeaseID
	Err   error
}

// StoreCallDone reports the outcome of a store call made by a traffic goroutine or for an action.
type StoreCallDone struct {
	Sent time.Time
	// Responded is true if the store responded, other than by refusing the call.
	Responded bool
	// Revision is one that the store had reached when it responded; 0 if the response names none.
	Revision model.Revision
}

// LeaseRenewed is the result of RenewLease.
type LeaseRenewed struct {
	Term  uint64
	Sent  time.Time
	Alive bool
	Err   error
}

// CommitRecordRead is the result of ReadCommitRecord.
type CommitRecordRead struct {
	Term   uint64
	Record job.Record
	Err    error
}

// LeadershipCommitted is the result of CommitLeadership, whether the transaction claims, reclaims or resigns the
// leadership.
type LeadershipCommitted struct {
	Term     uint64
	Applied  bool
	Revision model.Revision
	Err      error
}

// StateRead is the result of ReadState.
type StateRead struct {
	Term         uint64
	Registry     job.Record
	Interference job.Record
	Jobs         []job.Record
	Progress     []job.Record
	// Revision is the store revision after which to watch for new jobs.
	Revision model.Revision
	Err      error
}

// JobsRead is the result of WatchJobs.
type JobsRead struct {
	Term uint64
	Jobs []job.Record
	// Complete means that Jobs lists all jobs, not only those changed since the last read.
	Complete bool
	Revision model.Revision
	Err      error
}

// WorkersRead is the result of WatchWorkers.
type WorkersRead struct {
	Term uint64
	// Workers are the workers whose records have changed, and Removed those without a valid record any more.
	Workers []job.Worker
	Removed []model.WorkerID
	// Complete means that Workers lists all workers.
	Complete bool
	Revision model.Revision
	Err      error
}

// HoldDone is the result of dispatch.Hold.
type HoldDone struct {
	Target    dispatch.Target
	Sent      time.Time
	Inventory job.Inventory
	Response  job.OrderResponse
}

// OrderDone is the result of dispatch.Start, dispatch.Stop and dispatch.Pace.
type OrderDone struct {
	Order    dispatch.Action
	Response job.OrderResponse
}

// AdviceReceived is the result of dispatch.RequestAdvice.
type AdviceReceived struct {
	Request dispatch.RequestAdvice
	Granted map[model.WorkerID]job.Permit
	Err     error
}

// Committed is the result of dispatch.Commit.
type Committed struct {
	Epoch    model.Epoch
	ID       uint64
	Applied  bool
	Revision model.Revision
	Record   job.Record
	Err      error
	// UnstorableKey is the key of a record that can't be stored, for the reason in Err. The commit was not sent.
	UnstorableKey string
}

// RelayOffered means that an entry carries orders of the leader with the given epoch.
type RelayOffered struct {
	Epoch model.Epoch
	Relay dispatch.Relay
}

// RelayLost means that an entry no longer carries orders of the leader with the given epoch.
type RelayLost struct {
	Epoch model.Epoch
	Entry model.EntryID
}

// InspectRequested queries the phase of a job; the reply is an Inspection.
type InspectRequested struct {
	ReplyTo ReplyTo
	Job     job.ID
}

// PendingRequested queries how many jobs of a queue have not started any task; the reply is a PendingCount.
type PendingRequested struct {
	ReplyTo ReplyTo
	Queue   job.Queue
}

// CancelRequested cancels a job; the reply is a CancelOutcome.
type CancelRequested struct {
	ReplyTo ReplyTo
	Job     job.ID
}

// ConfirmConfigRequested asks whether the configuration in force is current; the Reply is a ConfigConfirmation.
type ConfirmConfigRequested struct{ ReplyTo ReplyTo }

// ConfigConfirmation is the reply to ConfirmConfigRequested. Current is false if the store can't be asked at present.
type ConfigConfirmation struct{ Current bool }

// DrainRequested makes this entry resign if it leads, and not stand for election again; the reply is a Drained.
type DrainRequested struct{ ReplyTo ReplyTo }

// Inspection is the phase of a job.
type Inspection struct {
	// Leading is false if this entry is not the leader and so has no information about jobs.
	Leading bool
	Known   bool
	Phase   job.Phase
}

// PendingCount is the number of jobs of a queue that have not started any task.
type PendingCount struct {
	Leading bool
	Jobs    int
}

// CancelOutcome reports whether the job is known. A known job has been cancelled, or had already ended.
type CancelOutcome struct {
	// NotLeader means that this entry is not, or no longer, the leader: the outcome is unknown.
	NotLeader bool
	Known     bool
}

// Drained confirms that this entry is no longer the leader.
type Drained struct{}

// Action is a side effect that the caller of Core.Step has to carry out.
type Action interface{ isAction() }

// WatchConfig long-polls for a configuration newer than revision After, for at most Wait.
type WatchConfig struct {
	// Number tells the result from that of an earlier read which is no longer waited for.
	Number uint64
	After  model.Revision
	Wait   time.Duration
}

// WatchLeader long-polls for a change of the leader record after revision After, for at most Wait. If After is 0, it
// reads the record immediately.
type WatchLeader struct {
	After model.Revision
	Wait  time.Duration
}

// GrantLease requests a lease from the store.
type GrantLease struct {
	Term uint64
	TTL  time.Duration
}

// RenewLease renews the lease that the leader record is attached to.
type RenewLease struct {
	Term  uint64
	Lease model.LeaseID
}

// RevokeLease revokes a lease; the store deletes the keys attached to it.
type RevokeLease struct{ Lease model.LeaseID }

// ReadCommitRecord reads the commit record, which every commit of a leader rewrites.
type ReadCommitRecord struct{ Term uint64 }

// CommitLeadership commits a transaction that claims, reclaims or resigns the leadership.
type CommitLeadership struct {
	Term        uint64
	Transaction job.Transaction
}

// ReadState reads the worker registry, the interference slopes, all jobs and their progress.
type ReadState struct{ Term uint64 }

// WatchJobs long-polls for jobs stored after revision After, for at most Wait.
type WatchJobs struct {
	Term  uint64
	After model.Revision
	Wait  time.Duration
}

// WatchWorkers long-polls for changes of the platform's list of workers after revision After, for at most Wait. If After
// is 0, it reads the whole list immediately.
type WatchWorkers struct {
	Term  uint64
	After model.Revision
	Wait  time.Duration
}

// Dispatch wraps an action of the dispatcher.
type Dispatch struct {
	Epoch  model.Epoch
	Action dispatch.Action
	// DecidedAt is when the action was decided. An old start must not be sent any more.
	DecidedAt time.Time
}

// LogEvent writes an event to the log.
type LogEvent struct {
	Code  notice.Code
	Attrs []dispatch.Attr
}

// Reply sends Value to the caller that waits for it.
type Reply struct {
	To    ReplyTo
	Value any
}

// SetTimer requests a Tick after a delay.
type SetTimer struct{ Delay time.Duration }

func (WatchConfig) isAction()      {}
func (WatchLeader) isAction()      {}
func (GrantLease) isAction()       {}
func (RenewLease) isAction()       {}
func (RevokeLease) isAction()      {}
func (ReadCommitRecord) isAction() {}
func (CommitLeadership) isAction() {}
func (ReadState) isAction()        {}
func (WatchJobs) isAction()        {}
func (WatchWorkers) isAction()     {}
func (Dispatch) isAction()         {}
func (LogEvent) isAction()         {}
func (Reply) isAction()            {}
func (SetTimer) isAction()         {}
