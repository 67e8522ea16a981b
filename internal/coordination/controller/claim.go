package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// responseBytesPerShard bounds the responses that one claim shard keeps for replay. With 16 shards over 6 entries, an
	// entry keeps the responses of at most 3 shards, well below its 64 MB.
	responseBytesPerShard = 4 << 20
	// snapshotBytesPerClaim estimates the encoded size of one claim.
	snapshotBytesPerClaim = 70
	// claimExpiryInterval is the minimum time between two removals of expired claims.
	claimExpiryInterval = time.Second
)

// ClaimRequested asks the owner of a claim shard to claim an idempotency key; the Reply carries a claim.Decision. Every
// error of the reply has verdict NotRun, because only a Decision with outcome Granted permits sending the request.
type ClaimRequested struct {
	ReplyTo ReplyTo
	Shard   model.ShardID
	Request claim.Request
}

// ClaimSettled reports to the owner how a claimed request ended; the Reply carries true once that is recorded.
type ClaimSettled struct {
	ReplyTo  ReplyTo
	Shard    model.ShardID
	Request  claim.Request
	NotRun   bool
	Response *claim.StoredResponse
}

func (ClaimRequested) isEvent() {}
func (ClaimSettled) isEvent()   {}

// claimShard holds the claims of a shard. Its table changes only by committed journal entries.
type claimShard struct {
	table *claim.Table
	// waiters holds, by key, the requests that wait for the commit of a queued claim of that key.
	waiters map[model.KeyHash][]ClaimRequested
	// settlements holds, by key, the settlements of claims whose record is not yet committed.
	settlements map[model.KeyHash][]ClaimSettled
	nextExpiry  time.Time
}

func newClaimShard() *claimShard {
	return &claimShard{
		table: claim.NewTable(responseBytesPerShard), waiters: make(map[model.KeyHash][]ClaimRequested),
		settlements: make(map[model.KeyHash][]ClaimSettled),
	}
}

// Restore replaces the claims with those of a snapshot; nil means that there is none.
func (cs *claimShard) Restore(snapshot *model.JournalSnapshot) {
	if snapshot != nil {
		cs.table.Restore(snapshot.Claims)
	}
}

// Apply applies a committed journal entry.
func (cs *claimShard) Apply(entry model.JournalEntry) {
	for _, r := range entry.Claims {
		cs.table.Apply(r)
	}
}

// Snapshot returns the claims after the last applied entry.
func (cs *claimShard) Snapshot() []model.ClaimRecord { return cs.table.Snapshot() }

// SnapshotBytes estimates the encoded size of the claims in a snapshot.
func (cs *claimShard) SnapshotBytes() int { return cs.table.Len() * snapshotBytesPerClaim }

// claimShardOf returns the claim shard with the given id if this entry owns it and it is active.
func (c *Controller) claimShardOf(id model.ShardID) (*shard, error) {
	s := c.shards[id]
	if s == nil || !s.isActive() || !c.layout().IsClaim(id) {
		return nil, verdict.NotRunError("this entry does not own the claim shard", nil)
	}
	return s, nil
}

func (c *Controller) handleClaimRequested(e ClaimRequested) {
	s, err := c.claimShardOf(e.Shard)
	if err != nil {
		c.reply(e.ReplyTo, nil, err)
		return
	}
	if decision, found := s.claims.table.Lookup(e.Request); found {
		c.reply(e.ReplyTo, decision, nil)
		return
	}
	if err := c.proposeClaim(s, e.Request); err != nil {
		c.reply(e.ReplyTo, nil, err)
		return
	}
	s.claims.waiters[e.Request.Key] = append(s.claims.waiters[e.Request.Key], e)
}

// proposeClaim queues the record of a claim unless one for the key is already queued.
func (c *Controller) proposeClaim(s *shard, r claim.Request) error {
	if s.snapshotBytes() > maxBytesToAssign {
		return verdict.NotRunError("the claim shard is full", nil)
	}
	record, proposed, err := s.claims.table.Propose(c.now, r)
	if err != nil || !proposed {
		return err
	}
	err = c.appendClaims(s, []model.ClaimRecord{record}, func(err error) { c.onClaimCommitted(s, record, err) })
	if err != nil {
		s.claims.table.DropProposal(r.Key)
	}
	return err
}

// onClaimCommitted settles the claim if that was requested meanwhile, and answers the requests that wait for a claim of
// the key. A non-nil err means that the outcome of the commit is unknown.
func (c *Controller) onClaimCommitted(s *shard, record model.ClaimRecord, err error) {
	waiters := s.claims.waiters[record.Key]
	delete(s.claims.waiters, record.Key)
	settlements := s.claims.settlements[record.Key]
	delete(s.claims.settlements, record.Key)
	for _, settlement := range settlements {
		if err != nil {
			c.reply(settlement.ReplyTo, nil, err)
			continue
		}
		c.handleClaimSettled(settlement)
	}
	for _, w := range waiters {
		if err != nil {
			c.reply(w.ReplyTo, nil, verdict.NotRunError("ownership of the claim shard was lost", err))
			continue
		}
		c.handleClaimRequested(w)
	}
}

func (c *Controller) handleClaimSettled(e ClaimSettled) {
	s, err := c.claimShardOf(e.Shard)
	if err != nil {
		c.reply(e.ReplyTo, nil, err)
		return
	}
	record, holds := s.claims.table.Settle(c.now, e.Request, e.NotRun, e.Response)
	if s.claims.table.IsPending(e.Request) {
		// The claim takes effect even if the shard moves before its commit is confirmed, so that the settlement may not
		// be confirmed before it.
		s.claims.settlements[e.Request.Key] = append(s.claims.settlements[e.Request.Key], e)
		return
	}
	if !holds {
		// There is nothing to record: the claim was already settled or was never taken.
		c.reply(e.ReplyTo, true, nil)
		return
	}
	err = c.appendClaims(s, []model.ClaimRecord{record}, func(err error) { c.reply(e.ReplyTo, err == nil, err) })
	if err != nil {
		c.reply(e.ReplyTo, nil, err)
	}
}

// expireClaims removes expired claims, at most once per claimExpiryInterval.
func (c *Controller) expireClaims(s *shard) {
	if c.now.Before(s.claims.nextExpiry) {
		return
	}
	s.claims.nextExpiry = c.now.Add(claimExpiryInterval)
	s.claims.table.Expire(c.now)
}

// claimOwners returns the owners of the claim shards according to the newest heartbeats.
func (c *Controller) claimOwners() []snapshot.ClaimOwner {
	layout := c.layout()
	owners := make([]snapshot.ClaimOwner, layout.ClaimShards)
	first := model.ShardID(layout.WorkerShards())
	for _, p := range c.membership.Peers() {
		status := c.membership.Status(c.now, p.ID)
		if status == membership.StatusDead || status == membership.StatusUnknown {
			continue
		}
		for _, id := range p.Last.Shards {
			if id >= first && int(id-first) < len(owners) {
				owners[id-first] = snapshot.ClaimOwner{Owner: p.ID, Address: p.Address}
			}
		}
	}
	for _, id := range c.ownedShards() {
		if id >= first && int(id-first) < len(owners) {
			owners[id-first] = snapshot.ClaimOwner{Owner: c.settings.Entry, Local: true}
		}
	}
	return owners
}
