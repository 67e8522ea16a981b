package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// releaseState is the progress of handing a shard over.
type releaseState struct {
	inFlight  bool
	failures  int
	notBefore time.Time
}

// startRelease stops the decisions for a shard; the shard is handed over once its journal has nothing left to write.
func (c *Controller) startRelease(s *shard) {
	s.phase = shardReleasing
	c.snapshotStale = true
	c.continueRelease(s)
}

func (c *Controller) releaseAll() {
	for _, id := range c.shardIDs() {
		if s := c.shards[id]; s.isActive() {
			c.startRelease(s)
		}
	}
}

func (c *Controller) continueReleases() {
	for _, id := range c.shardIDs() {
		if s := c.shards[id]; s.phase == shardReleasing {
			c.continueRelease(s)
		}
	}
}

func (c *Controller) continueRelease(s *shard) {
	if s.release.inFlight || !s.journal.IsIdle() || c.now.Before(s.release.notBefore) {
		return
	}
	s.release.inFlight = true
	released := s.owner
	released.Released = true
	swap := StoreCall{Op: OpSwap, Key: model.OwnerKey(s.id), Expect: s.ownerRevision, Value: &released}
	c.callStore(swap, func(done StoreDone) { c.onReleaseWritten(s, done) })
}

// onReleaseWritten schedules another write while the outcome is unknown, because no other entry takes the shard over
// while the record names this entry and its session exists.
func (c *Controller) onReleaseWritten(s *shard, done StoreDone) {
	if c.shards[s.id] != s {
		return
	}
	s.release.inFlight = false
	if done.Err != nil {
		s.release.failures++
		s.release.notBefore = c.now.Add(c.backoff(s.release.failures))
		return
	}
	current, ok := done.Record().Value.(*model.ShardOwner)
	isOwn := ok && current.Owner == s.owner.Owner && current.Epoch == s.owner.Epoch && current.Released
	if !done.Swapped && !isOwn {
		c.handleOwnershipLost(s)
		return
	}
	c.notify(notice.ShardReleased, Attr{Key: "shard", Value: s.id}, Attr{Key: "epoch", Value: s.owner.Epoch})
	c.removeShard(s)
}
