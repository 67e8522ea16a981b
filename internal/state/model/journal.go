package model

// ShardOwner is the stored record that says which entry owns a shard.
type ShardOwner struct {
	Shard       ShardID
	Owner       EntryID
	Incarnation Incarnation
	Epoch       Epoch
	// Released means that the owner gave the shard up, so that another entry may take it at once.
	Released bool
}

// Session is the stored record that shows that an entry is alive. Its key is attached to the entry's lease.
type Session struct {
	Entry       EntryID
	Incarnation Incarnation
}

// TaskRecordKind is the kind of a change to a task that the journal records.
type TaskRecordKind uint8

const (
	// RecordAccepted adds a delegation to the shard.
	RecordAccepted TaskRecordKind = iota + 1
	// RecordAssigned assigns a task to a worker.
	RecordAssigned
	// RecordReleased ends an attempt that did not finish and returns the task to pending.
	RecordReleased
	// RecordCheckpointed records a complete checkpoint.
	RecordCheckpointed
	// RecordFinished ends a task successfully.
	RecordFinished
	// RecordFailed ends an attempt with a failure.
	RecordFailed
	// RecordCancelled cancels a job.
	RecordCancelled
	// RecordResumed returns the tasks that were set aside to pending.
	RecordResumed
	// RecordTransferOut removes pending tasks that move to another shard. Records of transfers are encoded and decoded,
	// but no shard writes them, and package task ignores them.
	RecordTransferOut
	// RecordTransferIn adds tasks that move from another shard.
	RecordTransferIn
	// RecordTransferDone completes a transfer.
	RecordTransferDone
	// RecordDropped removes a job whose tasks have all ended.
	RecordDropped
)

// TaskRecord is one change in the journal of a worker shard.
type TaskRecord struct {
	Kind       TaskRecordKind
	Task       TaskID
	Attempt    Attempt
	Worker     WorkerID
	Resources  Resources
	Checkpoint string
	Message    string
	Delegation *Delegation
	Transfer   *Transfer
	// ListRevision is set for RecordAssigned: the revision of the VM list that contained the worker.
	ListRevision uint64
	// HeadRevision is set for RecordDropped: the revision of a head that no longer holds the job's delegations.
	HeadRevision Revision
	// Version is set for RecordResumed: the configuration version that requests it.
	Version Version
}

// Transfer moves pending tasks from one shard to another.
type Transfer struct {
	ID    string
	From  ShardID
	To    ShardID
	Job   Job
	Tasks []Task
}

// ClaimRecordKind is the kind of a change to a claim that the journal records. A claim reserves an idempotency key for
// one request.
type ClaimRecordKind uint8

const (
	// ClaimTaken claims a key.
	ClaimTaken ClaimRecordKind = iota + 1
	// ClaimDone records that the request has ended.
	ClaimDone
	// ClaimReleased removes a claim whose request was proved not to have run.
	ClaimReleased
)

// KeyHash identifies an idempotency key within its route and caller scope.
type KeyHash [16]byte

// ClaimRecord is one change in the journal of a claim shard.
type ClaimRecord struct {
	Kind        ClaimRecordKind
	Key         KeyHash
	Fingerprint KeyHash
	// RequestID identifies the request, so that claiming the key for it again has no further effect.
	RequestID string
	// UnixSeconds is the time of the claim, at which its retention period starts.
	UnixSeconds int64
}

// JournalEntry is a batch of changes, stored in one log slot of a shard.
type JournalEntry struct {
	Shard    ShardID
	Epoch    Epoch
	Sequence Sequence
	// WriteID identifies the write, so that the writer can tell after a lost response whether it took effect.
	WriteID string
	Tasks   []TaskRecord
	Claims  []ClaimRecord
}

// JournalSnapshot is the state of a shard after all journal entries up to Sequence.
type JournalSnapshot struct {
	Shard    ShardID
	Epoch    Epoch
	Sequence Sequence
	Jobs     []JobState
	Claims   []ClaimRecord
	// HeadRevision is the highest HeadRevision of all RecordDropped; delegations of an older head are stale.
	HeadRevision Revision
	// TransfersOut holds the outgoing transfers that the other shard has not acknowledged, and TransfersIn the ids of
	// the incoming transfers that were applied.
	TransfersOut []Transfer
	TransfersIn  []string
}

// JobState is the state of the part of a job that was delegated to one shard.
type JobState struct {
	Delegation Delegation
	Cancelled  bool
	// Tasks holds the tasks that are not finished; FinishedCount is the number of the others.
	Tasks         []Task
	FinishedCount uint32
	// ResumedVersion is the newest configuration version that resumed the job.
	ResumedVersion Version
}

// ShardVersion records that a shard has applied all cancellations and resumptions of the head with this configuration
// version.
type ShardVersion struct {
	Shard   ShardID
	Version Version
}
