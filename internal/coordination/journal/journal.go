// Package journal implements a fenced journal with group commit on top of a store that offers compare-and-swap on
// single keys. The package decides which store call comes next; the caller executes it and reports the outcome.
//
// Each owner of a shard writes under an epoch of its own. The first entry of an epoch is its seal; it is written after
// the entries of earlier epochs were loaded.
//
// Guarantees: at most one entry is committed for each sequence number; an entry is reported as committed only if it is
// in the store; once the seal of an epoch is committed, no entry of an earlier epoch can be. Safety does not depend on
// clocks: the time that the caller passes in only determines when calls are made.
package journal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// SlotCount is the number of log slots of a journal. Entries use the slots in turn, so the log is a ring.
	SlotCount = 64
	// SnapshotEvery is the number of entries after which a snapshot is written. It is half of SlotCount, so that a
	// delayed snapshot does not block the log at once.
	SnapshotEvery = 32
	// SealReserve is the number of slots that are reserved for the seals of new owners. Without the reserve, an owner
	// that fills the log and crashes would leave its successor no slot for a seal.
	SealReserve = 8
	// MaxQueuedRecords limits the number of records that wait for a commit.
	MaxQueuedRecords = 4096
	// MaxEntryBytes limits the estimated size of one entry.
	MaxEntryBytes = 256 << 10
	// MaxSnapshotBytes limits the estimated size of a snapshot; the store accepts values up to 1 MB.
	MaxSnapshotBytes = 900 << 10
	// MinCommitInterval is the shortest time between the starts of two entry writes of one shard.
	MinCommitInterval = 20 * time.Millisecond
	// IdleCommitInterval is the time after which an idle writer commits an empty entry. A commit proves that the writer
	// still owned the shard when it issued the write; the leases of tasks are counted from that time.
	IdleCommitInterval = 5 * time.Minute
)

// CallKind is the kind of a store call that the journal requests.
type CallKind uint8

const (
	// CallWriteEntry writes Entry to Key if the key's revision equals Expect.
	CallWriteEntry CallKind = iota + 1
	// CallReadEntry reads Key after the write of an entry was refused or its outcome is unknown.
	CallReadEntry
	// CallWriteSnapshot writes a snapshot of the committed state to Key if the key's revision equals Expect.
	CallWriteSnapshot
	// CallReadSnapshot reads Key after the write of a snapshot was refused or its outcome is unknown.
	CallReadSnapshot
)

// Call is a store call that the journal requests.
type Call struct {
	Kind   CallKind
	Key    string
	Expect model.Revision
	Entry  model.JournalEntry
	// Sequence is set for CallWriteSnapshot: the last entry that the snapshot covers.
	Sequence model.Sequence
}

// Outcome is the result of a Call.
type Outcome struct {
	// Unknown means that the response was lost.
	Unknown bool
	// Refused means that the call is proved not to have taken effect, for a reason other than a conflict.
	Refused bool
	// Swapped means that the write took effect.
	Swapped bool
	// Revision is the key's revision after the call.
	Revision model.Revision
	// Entry is the stored entry after a conflict or a read; nil if the key does not exist.
	Entry *model.JournalEntry
	// SnapshotSequence is the last entry that the stored snapshot covers, after a conflict or a read.
	SnapshotSequence model.Sequence
}

// Result is what an outcome changed.
type Result struct {
	// Committed lists newly committed entries, in order, including those of a predecessor that were found on sealing.
	Committed []model.JournalEntry
	// Tickets identifies the appends whose records are in Committed.
	Tickets []Ticket
	// Deposed means that another writer has taken over; the journal requests no more calls.
	Deposed bool
}

// Ticket identifies a call of Append.
type Ticket uint64

// logSlot is the content of a log slot, as far as this writer knows it.
type logSlot struct {
	revision model.Revision
	entry    *model.JournalEntry
}

// pendingAppend holds the records of one Append that are not yet part of an entry.
type pendingAppend struct {
	ticket Ticket
	tasks  []model.TaskRecord
	claims []model.ClaimRecord
	bytes  int
}

// callState is the state of the current store call.
type callState uint8

const (
	stateIdle callState = iota
	// stateAwaitingOutcome waits for the outcome of a call that was issued.
	stateAwaitingOutcome
	// stateReadBack must read the key to find out whether the write took effect.
	stateReadBack
	// stateResend must repeat a write that had not taken effect when the key was read.
	stateResend
)

// Journal is the writer of one shard's journal. It is not safe for concurrent use.
type Journal struct {
	shard         model.ShardID
	epoch         model.Epoch
	writer        string
	slots         [SlotCount]logSlot
	nextSequence  model.Sequence
	sealed        bool
	deposed       bool
	queue         []pendingAppend
	queuedRecords int
	inFlight      *Call
	entryTickets  []Ticket
	state         callState
	writeCount    uint64
	lastTicket    Ticket

	snapshotSequence model.Sequence
	snapshotRevision model.Revision

	pacer pacer
}

// New returns a journal for one epoch. The name of the writer must be unique to the process. The random source provides
// the jitter of retry delays.
func New(shard model.ShardID, epoch model.Epoch, writer string, random *rand.Rand) *Journal {
	return &Journal{
		shard: shard, epoch: epoch, writer: writer, nextSequence: 1,
		pacer: pacer{interval: MinCommitInterval, random: random},
	}
}

// LoadedSlot is a log slot that was read from the store.
type LoadedSlot struct {
	Revision model.Revision
	Entry    model.JournalEntry
}

// Load initialises the journal from the stored snapshot and log slots, and returns the entries to replay after the
// snapshot, in order. It fails if an entry is missing, since a state rebuilt without it could run a task twice.
func (j *Journal) Load(
	snapshot *model.JournalSnapshot, revision model.Revision, slots []LoadedSlot,
) ([]model.JournalEntry, error) {
	if snapshot != nil {
		j.snapshotSequence = snapshot.Sequence
		j.snapshotRevision = revision
		j.nextSequence = snapshot.Sequence + 1
	}
	for i := range slots {
		entry := slots[i].Entry
		j.slots[slotOf(entry.Sequence)] = logSlot{revision: slots[i].Revision, entry: &entry}
	}
	entries := j.advanceContiguous()
	for i := range slots {
		if slots[i].Entry.Sequence >= j.nextSequence {
			return nil, verdict.NotRunError(fmt.Sprintf("journal entry %d is missing", j.nextSequence), nil)
		}
	}
	return entries, nil
}

// advanceContiguous returns the entries from nextSequence on up to the first gap, and advances nextSequence past them.
func (j *Journal) advanceContiguous() []model.JournalEntry {
	var entries []model.JournalEntry
	for {
		entry := j.slots[slotOf(j.nextSequence)].entry
		if entry == nil || entry.Sequence != j.nextSequence {
			return entries
		}
		entries = append(entries, *entry)
		j.nextSequence++
	}
}

// Append queues records for the next entry. It fails with verdict NotRun if the journal is deposed, the queue is full
// or the records are too large for one entry.
func (j *Journal) Append(tasks []model.TaskRecord, claims []model.ClaimRecord) (Ticket, error) {
	if j.deposed {
		return 0, verdict.NotRunError("another writer has taken over the journal", nil)
	}
	count := len(tasks) + len(claims)
	if j.queuedRecords+count > MaxQueuedRecords {
		return 0, verdict.NotRunError("journal queue is full", nil)
	}
	bytes := estimateBytes(tasks, claims)
	if bytes > MaxEntryBytes {
		return 0, verdict.NotRunError("records are too large for one journal entry", nil)
	}
	j.lastTicket++
	j.queue = append(j.queue, pendingAppend{ticket: j.lastTicket, tasks: tasks, claims: claims, bytes: bytes})
	j.queuedRecords += count
	return j.lastTicket, nil
}

// Sealed reports whether the seal of the epoch is committed and the journal is not deposed. No decision may be based on
// the replayed state before that.
func (j *Journal) Sealed() bool { return j.sealed && !j.deposed }

// Deposed reports whether another writer has taken over.
func (j *Journal) Deposed() bool { return j.deposed }

// IsIdle reports whether nothing is queued or in flight.
func (j *Journal) IsIdle() bool { return j.state == stateIdle && len(j.queue) == 0 }

// Queued returns the number of records that wait for a commit.
func (j *Journal) Queued() int { return j.queuedRecords }

// NextCall returns the next store call, or false if none is due yet or a call is in flight.
func (j *Journal) NextCall(now time.Time) (Call, bool) {
	if j.deposed || j.state == stateAwaitingOutcome || now.Before(j.pacer.retryAt) {
		return Call{}, false
	}
	call, ok := j.chooseCall(now)
	if ok {
		j.state = stateAwaitingOutcome
	}
	return call, ok
}

func (j *Journal) chooseCall(now time.Time) (Call, bool) {
	switch {
	case j.state == stateReadBack:
		return j.readBack(), true
	case j.state == stateResend:
		return *j.inFlight, true
	case j.isSnapshotDue() && !now.Before(j.pacer.snapshotNotBefore):
		return j.startSnapshot(), true
	case j.isLogFull(), !j.isWriteDue(now):
		return Call{}, false
	}
	return j.startWrite(now), true
}

// isSnapshotDue reports whether a snapshot must be written before the next entry. A successor that finds every slot in
// use writes it before its seal; that is safe because all of its replayed state is committed.
func (j *Journal) isSnapshotDue() bool {
	if !j.sealed {
		return j.isLogFull()
	}
	return j.nextSequence-j.snapshotSequence > SnapshotEvery
}

// isLogFull reports whether the next entry would overwrite one that no snapshot covers.
func (j *Journal) isLogFull() bool {
	slots := model.Sequence(SlotCount)
	if j.sealed {
		slots -= SealReserve
	}
	return j.nextSequence-j.snapshotSequence > slots
}

func (j *Journal) readBack() Call {
	read := Call{Kind: CallReadEntry, Key: j.inFlight.Key}
	if j.inFlight.Kind == CallWriteSnapshot {
		read.Kind = CallReadSnapshot
	}
	return read
}

func (j *Journal) startSnapshot() Call {
	call := Call{
		Kind: CallWriteSnapshot, Key: model.SnapshotKey(j.shard),
		Expect: j.snapshotRevision, Sequence: j.nextSequence - 1,
	}
	j.inFlight = &call
	return call
}

func (j *Journal) startWrite(now time.Time) Call {
	entry := model.JournalEntry{Shard: j.shard, Epoch: j.epoch, Sequence: j.nextSequence}
	j.writeCount++
	entry.WriteID = fmt.Sprintf("%s-%d-%d", j.writer, j.epoch, j.writeCount)
	j.entryTickets = nil
	if j.sealed {
		j.fillEntry(&entry)
	}
	index := slotOf(j.nextSequence)
	call := Call{
		Kind: CallWriteEntry, Key: model.LogKey(j.shard, index),
		Expect: j.slots[index].revision, Entry: entry,
	}
	j.inFlight = &call
	j.pacer.lastWriteAt = now
	return call
}

// fillEntry moves queued records into an entry, up to MaxEntryBytes.
func (j *Journal) fillEntry(entry *model.JournalEntry) {
	taken := 0
	size := 0
	for _, q := range j.queue {
		size += q.bytes
		if taken > 0 && size > MaxEntryBytes {
			break
		}
		entry.Tasks = append(entry.Tasks, q.tasks...)
		entry.Claims = append(entry.Claims, q.claims...)
		j.entryTickets = append(j.entryTickets, q.ticket)
		taken++
	}
	j.queue = j.queue[taken:]
	j.queuedRecords -= len(entry.Tasks) + len(entry.Claims)
}

// HandleOutcome handles the outcome of the call that NextCall returned last.
func (j *Journal) HandleOutcome(now time.Time, out Outcome) Result {
	if j.inFlight == nil || j.deposed {
		return Result{Deposed: j.deposed}
	}
	j.pacer.recordOutcome(now, out.Unknown || out.Refused)
	if j.inFlight.Kind == CallWriteSnapshot {
		return j.handleSnapshotOutcome(out)
	}
	return j.handleEntryOutcome(out)
}

func (j *Journal) handleEntryOutcome(out Outcome) Result {
	sent := j.inFlight
	switch {
	case out.Unknown || out.Refused:
		// Read back after a refused call as well: an earlier attempt at the same write may still take effect.
		j.state = stateReadBack
		return Result{}
	case out.Swapped:
		return j.completeEntry(out.Revision)
	case out.Entry != nil && out.Entry.WriteID == sent.Entry.WriteID:
		return j.completeEntry(out.Revision)
	case out.Revision == sent.Expect:
		// The write id stays the same, so that the first copy is recognised if it takes effect late.
		j.state = stateResend
		return Result{}
	}
	return j.resolveConflict(out)
}

// completeEntry handles an entry write that took effect.
func (j *Journal) completeEntry(revision model.Revision) Result {
	entry := j.inFlight.Entry
	j.slots[slotOf(entry.Sequence)] = logSlot{revision: revision, entry: &entry}
	j.nextSequence = entry.Sequence + 1
	j.pacer.commitIssuedAt = j.pacer.lastWriteAt
	j.finishCall()
	j.sealed = true
	result := Result{Committed: []model.JournalEntry{entry}, Tickets: j.entryTickets}
	j.entryTickets = nil
	return result
}

// resolveConflict handles a slot that another writer filled.
func (j *Journal) resolveConflict(out Outcome) Result {
	entry := out.Entry
	// An entry with another sequence means that the log has wrapped around since it was loaded: the state is too old.
	if j.sealed || entry == nil || entry.Epoch >= j.epoch || entry.Sequence != j.nextSequence {
		j.deposed = true
		j.finishCall()
		return Result{Deposed: true}
	}
	// A predecessor committed one more entry before the seal; it is part of the history.
	j.slots[slotOf(entry.Sequence)] = logSlot{revision: out.Revision, entry: entry}
	j.finishCall()
	return Result{Committed: j.advanceContiguous()}
}

func (j *Journal) handleSnapshotOutcome(out Outcome) Result {
	sent := j.inFlight
	switch {
	case out.Unknown || out.Refused:
		j.state = stateReadBack
		return Result{}
	case out.Swapped:
		j.snapshotSequence = sent.Sequence
		j.snapshotRevision = out.Revision
	default:
		j.snapshotRevision = out.Revision
		j.snapshotSequence = max(j.snapshotSequence, min(out.SnapshotSequence, j.nextSequence-1))
	}
	j.finishCall()
	return Result{}
}

func (j *Journal) finishCall() {
	j.inFlight = nil
	j.state = stateIdle
}

func slotOf(sequence model.Sequence) int {
	return int(sequence % SlotCount)
}
