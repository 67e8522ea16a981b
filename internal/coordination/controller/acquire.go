package controller

import (
	"fmt"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// acquireDelayMin is the delay after the first failed acquisition of a shard; it doubles with each further failure.
	acquireDelayMin = 500 * time.Millisecond
	// acquireDelayMax caps the delay after failed acquisitions.
	acquireDelayMax = 10 * time.Second
	// unusableRecordDelayMax caps the delay after an acquisition that found records which can't be decoded or loaded.
	// Only an operator can repair them, so frequent attempts are useless.
	unusableRecordDelayMax = 5 * time.Minute
)

// acquisition is the state kept between failed attempts to acquire a shard.
type acquisition struct {
	failures  int
	notBefore time.Time
	// unresolved is set while the outcome of a swap of the ownership record is unknown. The record may name this entry,
	// in which case no other entry takes the shard over while this entry's session exists.
	unresolved bool
	// epoch is that of the unresolved swap.
	epoch model.Epoch
}

// acquire starts a takeover of a shard. The takeover lists the shard's records, checks that the last owner's session is
// gone, swaps the ownership record and seals the journal; the callbacks of the store calls perform these steps.
func (c *Controller) acquire(id model.ShardID) {
	s := newShard(id)
	c.addShard(s)
	c.callStore(StoreCall{Op: OpList, Key: model.ShardPrefix(id) + "/"}, func(done StoreDone) {
		if done.Err != nil {
			c.failAcquisition(s, acquireDelayMax)
			return
		}
		c.onShardRecordsListed(s, done.Records)
	})
}

func (c *Controller) acquisition(id model.ShardID) *acquisition {
	if c.acquisitions[id] == nil {
		c.acquisitions[id] = &acquisition{}
	}
	return c.acquisitions[id]
}

// failAcquisition removes the shard and sets the time of the next attempt: the delay grows exponentially and its second
// half is random.
func (c *Controller) failAcquisition(s *shard, maxDelay time.Duration) {
	a := c.acquisition(s.id)
	delay := min(acquireDelayMin<<min(a.failures, 10), maxDelay)
	a.failures++
	a.notBefore = c.now.Add(delay/2 + time.Duration(c.random.Int64N(int64(delay/2))))
	c.removeShard(s)
}

// shardRecords are a shard's decoded records.
type shardRecords struct {
	owner            *model.ShardOwner
	ownerRevision    model.Revision
	snapshot         *model.JournalSnapshot
	snapshotRevision model.Revision
	slots            []journal.LoadedSlot
}

func (c *Controller) onShardRecordsListed(s *shard, records []StoredRecord) {
	found, ok := c.classifyRecords(records)
	if !ok {
		c.failAcquisition(s, unusableRecordDelayMax)
		return
	}
	a := c.acquisition(s.id)
	owner := found.owner
	if owner == nil || owner.Released {
		c.takeOver(s, found)
		return
	}
	if owner.Owner != c.settings.Entry {
		a.unresolved = false
		c.checkSession(s, found)
		return
	}
	switch {
	case owner.Incarnation > c.settings.Incarnation:
		// A newer process with the same entry id owns the shard.
		c.failAcquisition(s, acquireDelayMax)
	case owner.Incarnation == c.settings.Incarnation && a.unresolved && owner.Epoch == a.epoch:
		c.loadShard(s, *owner, found)
	default:
		c.takeOver(s, found)
	}
}

// classifyRecords sorts a shard's records by type. It returns false when a record can't be decoded; the shard then
// stays without an owner, since decisions on incomplete state could run a task twice.
func (c *Controller) classifyRecords(records []StoredRecord) (shardRecords, bool) {
	var found shardRecords
	for _, r := range records {
		switch value := r.Value.(type) {
		case *model.ShardOwner:
			found.owner, found.ownerRevision = value, r.Revision
		case *model.JournalSnapshot:
			found.snapshot, found.snapshotRevision = value, r.Revision
		case *model.JournalEntry:
			found.slots = append(found.slots, journal.LoadedSlot{Revision: r.Revision, Entry: *value})
		default:
			c.notify(notice.RecordUnusable, Attr{Key: "key", Value: r.Key}, Attr{Key: "error", Value: fmt.Sprint(r.Err)})
			return shardRecords{}, false
		}
	}
	return found, true
}

// checkSession continues a takeover if the session of the last owner is gone. Takeovers from the same owner share one
// read of its session.
func (c *Controller) checkSession(s *shard, found shardRecords) {
	previous := *found.owner
	waiting := c.sessionChecks[previous.Owner]
	c.sessionChecks[previous.Owner] = append(waiting, func(done StoreDone) {
		record := done.Record()
		session, alive := record.Value.(*model.Session)
		if done.Err != nil || record.Err != nil || (alive && session.Incarnation == previous.Incarnation) {
			c.failAcquisition(s, acquireDelayMax)
			return
		}
		c.takeOver(s, found)
	})
	if len(waiting) > 0 {
		return
	}
	c.callStore(StoreCall{Op: OpGet, Key: model.SessionKey(previous.Owner)}, func(done StoreDone) {
		checks := c.sessionChecks[previous.Owner]
		delete(c.sessionChecks, previous.Owner)
		for _, check := range checks {
			check(done)
		}
	})
}

// takeOver writes an ownership record that names this entry and has the next epoch, and then loads the shard.
func (c *Controller) takeOver(s *shard, found shardRecords) {
	next := model.ShardOwner{
		Shard: s.id, Owner: c.settings.Entry, Incarnation: c.settings.Incarnation, Epoch: 1,
	}
	if found.owner != nil {
		next.Epoch = found.owner.Epoch + 1
	}
	swap := StoreCall{Op: OpSwap, Key: model.OwnerKey(s.id), Expect: found.ownerRevision, Value: &next}
	c.callStore(swap, func(done StoreDone) {
		a := c.acquisition(s.id)
		// A NotRun error says nothing about an earlier swap, so it leaves unresolved as it is.
		if done.Err != nil && verdict.Of(done.Err) != verdict.NotRun {
			a.unresolved, a.epoch = true, next.Epoch
		}
		if done.Err != nil || !done.Swapped {
			c.failAcquisition(s, acquireDelayMax)
			return
		}
		found.ownerRevision = done.Revision
		c.loadShard(s, next, found)
	})
}

// loadShard restores the shard's state from its snapshot and journal. The journal then seals the new epoch.
func (c *Controller) loadShard(s *shard, owner model.ShardOwner, found shardRecords) {
	c.acquisition(s.id).unresolved = false
	s.owner, s.ownerRevision = owner, found.ownerRevision
	writer := fmt.Sprintf("%s-%d", c.settings.Entry, c.settings.Incarnation)
	s.journal = journal.New(s.id, s.owner.Epoch, writer, c.random)
	s.tasks = task.NewShard(s.id)
	s.claims = newClaimShard()
	entries, err := s.journal.Load(found.snapshot, found.snapshotRevision, found.slots)
	if err != nil {
		c.notify(notice.RecordUnusable, Attr{Key: "key", Value: model.ShardPrefix(s.id)},
			Attr{Key: "error", Value: err.Error()})
		c.failAcquisition(s, unusableRecordDelayMax)
		return
	}
	s.tasks.Restore(found.snapshot)
	s.claims.Restore(found.snapshot)
	for _, entry := range entries {
		s.apply(entry)
	}
	s.phase = shardSealing
}

// activate lets this entry decide for a shard whose journal is sealed.
func (c *Controller) activate(s *shard) {
	s.phase = shardActive
	s.sealedAt, s.lastReachableAt = c.now, c.now
	s.moveLimiter = tokenBucket{rate: movesPerSecond - moveBurst, burst: moveBurst, updatedAt: c.now}
	delete(c.acquisitions, s.id)
	delete(c.unownedSince, s.id)
	c.snapshotStale = true
	c.notify(notice.ShardAcquired, Attr{Key: "shard", Value: s.id}, Attr{Key: "epoch", Value: s.owner.Epoch})
}
