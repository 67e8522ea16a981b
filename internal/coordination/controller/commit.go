package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// entriesPerSecond bounds the journal entries that all shards of an installation together write per second. The
	// store takes several hundred writes per second; snapshots, sessions and the head need some of them.
	entriesPerSecond = 256
	// maxBytesToAccept is the snapshot size above which a shard accepts no more jobs, and maxBytesToAssign the size
	// above which it starts no more tasks and takes no more claims. The rest up to journal.MaxSnapshotBytes is for the
	// checkpoints of running tasks.
	maxBytesToAccept = journal.MaxSnapshotBytes * 7 / 10
	maxBytesToAssign = journal.MaxSnapshotBytes * 8 / 10
)

// callJournals issues the store calls that the journals need now, and requests a wake-up if the next call is due before
// the next tick.
func (c *Controller) callJournals() {
	interval := c.commitInterval()
	var wake time.Time
	for _, id := range c.shardIDs() {
		s := c.shards[id]
		if s == nil || s.journal == nil {
			continue
		}
		s.journal.SetInterval(interval)
		if call, ok := s.journal.NextCall(c.now); ok {
			c.issueJournalCall(s, call)
		}
		if at, ok := s.journal.WakeAt(); ok && (wake.IsZero() || at.Before(wake)) && at.After(c.now) {
			wake = at
		}
	}
	c.requestWakeUp(wake)
}

// commitInterval returns the time between two writes of one journal. Each shard has an equal part of entriesPerSecond,
// and the busy journals of this entry share the parts of all shards that it owns.
func (c *Controller) commitInterval() time.Duration {
	layout := c.layout()
	shards := layout.Shards()
	busy, owned := 0, 0
	for _, s := range c.shards {
		if s.journal == nil {
			continue
		}
		owned++
		if s.journal.IsBusy(c.now) {
			busy++
		}
	}
	if owned == 0 {
		return journal.MinCommitInterval
	}
	return time.Second * time.Duration(busy) * time.Duration(shards) / time.Duration(entriesPerSecond*owned)
}

// requestWakeUp requests a wake-up at a time, unless the next tick or a requested wake-up comes first.
func (c *Controller) requestWakeUp(at time.Time) {
	delay := at.Sub(c.now)
	pending := !c.wakeUpAt.IsZero() && !c.wakeUpAt.After(at)
	if at.IsZero() || delay >= TickInterval || pending {
		return
	}
	c.wakeUpAt = at
	c.emit(SetTimer{Delay: delay})
}

func (c *Controller) issueJournalCall(s *shard, call journal.Call) {
	store := StoreCall{Op: OpSwap, Key: call.Key, Expect: call.Expect}
	switch call.Kind {
	case journal.CallWriteEntry:
		store.Value = &call.Entry
	case journal.CallWriteSnapshot:
		if s.snapshotBytes() > journal.MaxSnapshotBytes {
			c.notify(notice.SnapshotTooLarge, Attr{Key: "shard", Value: s.id}, Attr{Key: "bytes", Value: s.snapshotBytes()})
			s.journal.DelaySnapshot(c.now)
			return
		}
		snapshot := s.snapshot()
		store.Value = &snapshot
	case journal.CallReadEntry, journal.CallReadSnapshot:
		store.Op = OpGet
	}
	c.callStore(store, func(done StoreDone) { c.onJournalDone(s, done) })
}

func (s *shard) snapshotBytes() int { return s.tasks.SnapshotBytes() + s.claims.SnapshotBytes() }

func (s *shard) snapshot() model.JournalSnapshot {
	snapshot := s.tasks.Snapshot()
	snapshot.Epoch = s.owner.Epoch
	snapshot.Claims = s.claims.Snapshot()
	return snapshot
}

func (s *shard) apply(entry model.JournalEntry) {
	s.tasks.Apply(entry)
	s.claims.Apply(entry)
}

func (c *Controller) onJournalDone(s *shard, done StoreDone) {
	if c.shards[s.id] != s {
		return
	}
	result := s.journal.HandleOutcome(c.now, toJournalOutcome(done))
	for _, entry := range result.Committed {
		s.apply(entry)
		if s.phase != shardSealing {
			c.handleCommitted(s, entry)
		}
	}
	s.completeAppends(result.Tickets)
	switch {
	case result.Deposed:
		c.handleOwnershipLost(s)
	case s.phase == shardSealing && s.journal.Sealed():
		c.activate(s)
	case s.phase == shardReleasing:
		c.continueRelease(s)
	}
}

func toJournalOutcome(done StoreDone) journal.Outcome {
	if done.Err != nil {
		refused := verdict.Of(done.Err) == verdict.NotRun
		return journal.Outcome{Unknown: !refused, Refused: refused}
	}
	record := done.Record()
	out := journal.Outcome{Swapped: done.Swapped, Revision: record.Revision}
	if done.Swapped {
		out.Revision = done.Revision
	}
	switch value := record.Value.(type) {
	case *model.JournalEntry:
		out.Entry = value
	case *model.JournalSnapshot:
		out.SnapshotSequence = value.Sequence
	}
	return out
}

// propose queues a record for the journal unless one for the same task or job is already queued. It reports whether the
// record was queued; if not, a later report or tick proposes it again.
func (c *Controller) propose(s *shard, r model.TaskRecord) bool {
	if r.Kind == model.RecordAssigned {
		if s.snapshotBytes() > maxBytesToAssign {
			return false
		}
		r.ListRevision = c.vmList.Revision
	}
	if !s.tasks.Propose(r) {
		return false
	}
	if _, err := s.journal.Append([]model.TaskRecord{r}, nil); err != nil {
		s.tasks.DropProposal(r)
		return false
	}
	return true
}
