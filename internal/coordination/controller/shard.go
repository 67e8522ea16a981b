package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/coordination/ownership"
	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// shardCheckInterval is the time between two comparisons of the owned shards with those that this entry should own.
	shardCheckInterval = 500 * time.Millisecond
	// takeoverDelayPerRank is how long an entry waits, for each entry that is preferred over it, before it acquires a
	// shard without an owner. A preferred entry may fail to acquire the shard, since it can be alive for its peers but
	// cut off from the store or the workers.
	takeoverDelayPerRank = 5 * time.Second
	// fallbackOwnerTime is how long an entry keeps a shard that a preferred entry did not acquire, and how long it
	// waits before it acquires a shard again whose workers it could not reach. It keeps ownership from moving back and
	// forth.
	fallbackOwnerTime = time.Minute
	// noWorkerTimeout is the time without any reachable worker after which the owner hands a shard over, if a peer in
	// the shard's data centre reaches workers.
	noWorkerTimeout = 10 * time.Second
)

// shardPhase is the phase of this entry's ownership of a shard.
type shardPhase uint8

const (
	// shardAcquiring means that the shard's records are being read or the ownership record written.
	shardAcquiring shardPhase = iota
	// shardSealing means that the epoch's first journal entry is being written, which fences earlier owners.
	shardSealing
	// shardActive means that this entry decides for the shard.
	shardActive
	// shardReleasing means that the last journal writes and then the release of the ownership record are in progress.
	shardReleasing
)

// shard is a shard that this entry owns or is about to own.
type shard struct {
	id            model.ShardID
	phase         shardPhase
	owner         model.ShardOwner
	ownerRevision model.Revision
	journal       *journal.Journal
	tasks         *task.Shard
	claims        *claimShard
	workers       map[model.WorkerID]*worker
	// sortedWorkers holds the sorted ids of workers.
	sortedWorkers []model.WorkerID
	// appendCallbacks holds the functions to call when an append is committed or has failed.
	appendCallbacks map[journal.Ticket]func(error)
	release         releaseState
	// sealedAt is when this entry learned that its epoch is sealed. Every lease granted by an earlier owner ends within
	// RenewalHorizon after it.
	sealedAt time.Time
	// fallbackUntil is the time until which this entry keeps a shard that a preferred entry did not acquire.
	fallbackUntil time.Time
	// lastReachableAt is when a worker of the shard was last reachable.
	lastReachableAt time.Time
	// syncedVMListUpdate is the value of Controller.vmListUpdates at the last syncWorkers.
	syncedVMListUpdate uint64
	headProgress       headProgress
	moveLimiter        tokenBucket
	evictions          map[model.TaskID]*eviction
	throttles          map[model.TaskID]throttle
	// disprovedStops are the VMs that an operator declared as stopped but that have reported since.
	disprovedStops map[model.VMID]bool
}

func newShard(id model.ShardID) *shard {
	return &shard{
		id: id, phase: shardAcquiring, workers: make(map[model.WorkerID]*worker),
		appendCallbacks: make(map[journal.Ticket]func(error)), evictions: make(map[model.TaskID]*eviction),
		throttles: make(map[model.TaskID]throttle), disprovedStops: make(map[model.VMID]bool),
	}
}

// isActive reports whether this entry decides for the shard.
func (s *shard) isActive() bool { return s.phase == shardActive }

func (c *Controller) ownedShards() []model.ShardID {
	var owned []model.ShardID
	for _, id := range c.shardIDs() {
		if c.shards[id].isActive() {
			owned = append(owned, id)
		}
	}
	return owned
}

// shardIDs returns the sorted ids of this entry's shards, whatever their phase. The caller must not change the slice.
func (c *Controller) shardIDs() []model.ShardID {
	if len(c.sortedShards) != len(c.shards) {
		c.sortedShards = make([]model.ShardID, 0, len(c.shards))
		for id := range c.shards {
			c.sortedShards = append(c.sortedShards, id)
		}
		slices.Sort(c.sortedShards)
	}
	return c.sortedShards
}

func (c *Controller) addShard(s *shard) {
	c.shards[s.id] = s
	c.sortedShards = nil
	c.snapshotStale = true
}

// removeShard removes a shard from this entry. Appends that are not yet committed have an unknown outcome.
func (c *Controller) removeShard(s *shard) {
	if c.shards[s.id] != s {
		return
	}
	delete(c.shards, s.id)
	c.sortedShards = nil
	c.snapshotStale = true
	s.failAppends()
}

func (c *Controller) handleOwnershipLost(s *shard) {
	c.notify(notice.ShardLost, Attr{Key: "shard", Value: s.id}, Attr{Key: "epoch", Value: s.owner.Epoch})
	c.removeShard(s)
}

// reconcileShards acquires the shards that this entry should own and hands over those that another entry should own.
func (c *Controller) reconcileShards() {
	c.continueReleases()
	layout := c.layout()
	if c.draining || !c.session.held {
		return
	}
	candidates := c.ownerCandidates()
	for id := model.ShardID(0); uint32(id) < layout.Shards(); id++ {
		ranking := ownership.RankOwners(layout, id, candidates, c.settings.StoreRegion)
		rank := slices.Index(ranking, c.settings.Entry)
		if s := c.shards[id]; s == nil {
			c.maybeAcquire(id, rank)
		} else if s.isActive() && c.storeFailures == 0 && c.shouldHandOver(s, rank) {
			c.startRelease(s)
		}
	}
}

// maybeAcquire acquires a shard that no entry reports owning, after a delay that grows with this entry's rank in the
// order of preference. A negative rank means that this entry is not a candidate. While the outcome of an earlier swap
// of the ownership record is unresolved, it repeats the acquisition after the back-off, whatever the rank and the
// reports of peers.
func (c *Controller) maybeAcquire(id model.ShardID, rank int) {
	if a := c.acquisitions[id]; a != nil && (a.unresolved || c.now.Before(a.notBefore)) {
		if a.unresolved && !c.now.Before(a.notBefore) {
			c.acquire(id)
		}
		return
	}
	if c.isOwnedByPeer(id) {
		delete(c.unownedSince, id)
		return
	}
	since, found := c.unownedSince[id]
	if !found {
		since = c.now
		c.unownedSince[id] = since
	}
	if rank < 0 || c.now.Before(c.avoidUntil[id]) || c.now.Sub(since) < time.Duration(rank)*takeoverDelayPerRank {
		return
	}
	c.acquire(id)
	if s := c.shards[id]; s != nil && rank > 0 {
		s.fallbackUntil = c.now.Add(fallbackOwnerTime)
	}
}

func (c *Controller) shouldHandOver(s *shard, rank int) bool {
	if rank > 0 && !c.now.Before(s.fallbackUntil) {
		return true
	}
	if !c.isPartitioned(s) {
		return false
	}
	c.avoidUntil[s.id] = c.now.Add(fallbackOwnerTime)
	return true
}

// isPartitioned reports whether this entry has reached no worker of the shard for noWorkerTimeout, while a peer in the
// shard's data centre that could own the shard reaches workers.
func (c *Controller) isPartitioned(s *shard) bool {
	if len(s.workers) == 0 || c.now.Sub(s.lastReachableAt) < noWorkerTimeout {
		return false
	}
	dataCentre := c.layout().DataCentre(s.id)
	for _, p := range c.membership.Peers() {
		if p.DataCentre == dataCentre && p.Last.Workers > 0 && c.isOwnerCandidate(p.ID) {
			return true
		}
	}
	return false
}

func (c *Controller) isOwnerCandidate(id model.EntryID) bool {
	return slices.ContainsFunc(c.ownerCandidates(), func(e ownership.Candidate) bool { return e.Entry == id })
}
