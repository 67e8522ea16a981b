package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/claim"
	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// addActiveShard adds an active shard with a sealed journal to the controller and returns it.
func addActiveShard(c *Controller) *shard {
	s := newShard(3)
	s.phase = shardActive
	s.journal = journal.New(3, 1, "w", c.random)
	s.tasks = task.NewShard(3)
	s.claims = newClaimShard()
	c.addShard(s)
	s.journal.NextCall(c.now)
	s.journal.HandleOutcome(c.now, journal.Outcome{Swapped: true, Revision: 1})
	return s
}

// Guards against granting a claim before its record is in the store, or after the shard was lost.
func TestClaimIsGrantedOnlyAfterItsCommit(t *testing.T) {
	c := New(Settings{Entry: "e"}, rand.New(rand.NewPCG(1, 1)))
	c.now = time.Unix(1000, 0)
	s := addActiveShard(c)
	record := model.ClaimRecord{Kind: model.ClaimTaken, Key: model.KeyHash{1}, RequestID: "r"}
	var outcomes []error
	onCommitted := func(err error) { outcomes = append(outcomes, err) }
	assert.NilError(t, c.appendClaims(s, []model.ClaimRecord{record}, onCommitted))

	c.now = c.now.Add(time.Second)
	actions := c.Step(c.now, TimerFired{})
	call, ok := actions[0].(StoreCall)
	assert.Assert(t, ok)
	assert.Equal(t, len(outcomes), 0)
	c.Step(c.now, StoreDone{Token: call.Token, Swapped: true, Revision: 2})
	assert.Equal(t, len(outcomes), 1)
	assert.NilError(t, outcomes[0])
	assert.DeepEqual(t, s.claims.Snapshot(), []model.ClaimRecord{record})

	assert.NilError(t, c.appendClaims(s, []model.ClaimRecord{record}, onCommitted))
	c.handleOwnershipLost(s)
	assert.Equal(t, verdict.Of(outcomes[1]), verdict.MayHaveRun)
}

// Guards against released claims that stay in the snapshot, and against a size estimate that does not match the claims.
func TestSnapshotReflectsCommittedClaims(t *testing.T) {
	cs := newClaimShard()
	taken := model.ClaimRecord{Kind: model.ClaimTaken, Key: model.KeyHash{1}, RequestID: "r"}
	released := model.ClaimRecord{Kind: model.ClaimReleased, Key: model.KeyHash{1}, RequestID: "r"}
	cs.Apply(model.JournalEntry{Claims: []model.ClaimRecord{taken}})
	restored := newClaimShard()
	restored.Restore(&model.JournalSnapshot{Claims: cs.Snapshot()})
	assert.Equal(t, restored.SnapshotBytes(), cs.SnapshotBytes())
	cs.Apply(model.JournalEntry{Claims: []model.ClaimRecord{released}})
	assert.Equal(t, len(cs.Snapshot()), 0)
	assert.Equal(t, cs.SnapshotBytes(), 0)
}

// Guards against a claim that stays in place for ever: a request given up while its claim is being committed was
// confirmed as released before the release was in the store, and the shard moved meanwhile.
func TestSettlementOfPendingClaimWaitsForItsRelease(t *testing.T) {
	for _, lost := range []bool{false, true} {
		c := New(Settings{Entry: "e"}, rand.New(rand.NewPCG(1, 1)))
		c.now = time.Unix(1000, 0)
		s := addActiveShard(c)
		request := claim.Request{Key: model.KeyHash{1}, RequestID: "r"}
		assert.NilError(t, c.proposeClaim(s, request))
		c.now = c.now.Add(time.Second)
		call := firstStoreCall(t, c.Step(c.now, TimerFired{}))

		settled := ClaimSettled{ReplyTo: 7, Shard: s.id, Request: request, NotRun: true}
		c.handleClaimSettled(settled)
		assert.Equal(t, len(repliesIn(c.actions)), 0, "confirmed while the claim is not committed")
		if lost {
			c.handleOwnershipLost(s)
			replies := repliesIn(c.actions)
			assert.Equal(t, len(replies), 1)
			assert.Assert(t, replies[0].Err != nil, "the caller must settle at the next owner")
			continue
		}
		c.now = c.now.Add(time.Second)
		release := firstStoreCall(t, c.Step(c.now, StoreDone{Token: call.Token, Swapped: true, Revision: 2}))
		replies := repliesIn(c.Step(c.now, StoreDone{Token: release.Token, Swapped: true, Revision: 3}))
		assert.Equal(t, len(replies), 1)
		assert.NilError(t, replies[0].Err)
		assert.Equal(t, len(s.claims.Snapshot()), 0)
	}
}

func firstStoreCall(t *testing.T, actions []Action) StoreCall {
	t.Helper()
	for _, a := range actions {
		if call, ok := a.(StoreCall); ok {
			return call
		}
	}
	t.Fatal("no call to the store")
	return StoreCall{}
}

func repliesIn(actions []Action) []Reply {
	var replies []Reply
	for _, a := range actions {
		if r, ok := a.(Reply); ok {
			replies = append(replies, r)
		}
	}
	return replies
}
