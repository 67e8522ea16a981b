package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
