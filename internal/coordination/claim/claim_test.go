package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

var start = time.Unix(1_000_000, 0)

func request(id string) Request {
	return Request{Key: model.KeyHash{1}, Fingerprint: model.KeyHash{2}, RequestID: id}
}

// tableWithClaim returns a table in which request "first" holds the claim.
func tableWithClaim(t *testing.T) *Table {
	t.Helper()
	table := NewTable(1 << 20)
	record, proposed, err := table.Propose(start, request("first"))
	assert.NilError(t, err)
	assert.Assert(t, proposed)
	table.Apply(record)
	return table
}

// Guards against granting one key to two requests.
func TestOnlyOneRequestIsGranted(t *testing.T) {
	table := tableWithClaim(t)
	decision, found := table.Lookup(request("first"))
	assert.Assert(t, found)
	assert.Equal(t, decision.Outcome, Granted)
	decision, _ = table.Lookup(request("second"))
	assert.Equal(t, decision.Outcome, Running)
}

// Guards against a grant before its record is committed, and against a second record for a queued key.
func TestQueuedClaimIsNotGranted(t *testing.T) {
	table := NewTable(0)
	_, proposed, err := table.Propose(start, request("first"))
	assert.NilError(t, err)
	assert.Assert(t, proposed)
	_, found := table.Lookup(request("first"))
	assert.Assert(t, !found)
	_, proposed, err = table.Propose(start, request("second"))
	assert.NilError(t, err)
	assert.Assert(t, !proposed)
}

// Guards against using a key for another request body.
func TestOtherBodyIsAMismatch(t *testing.T) {
	table := tableWithClaim(t)
	other := request("second")
	other.Fingerprint = model.KeyHash{9}
	decision, _ := table.Lookup(other)
	assert.Equal(t, decision.Outcome, Mismatch)
}

// Guards against losing a cached response, and against running the request again when its response is not cached.
func TestDoneRequestIsNotRunAgain(t *testing.T) {
	for _, test := range []struct {
		name     string
		maxBytes int
		replay   bool
	}{{"kept", 1 << 20, true}, {"not kept", 0, false}} {
		t.Run(test.name, func(t *testing.T) {
			table := tableWithClaim(t)
			table.responses.maxBytes = test.maxBytes
			record, ok := table.Settle(start, request("first"), false, &StoredResponse{Status: 201, Body: []byte("paid")})
			assert.Assert(t, ok)
			table.Apply(record)
			decision, _ := table.Lookup(request("second"))
			assert.Equal(t, decision.Outcome, Done)
			assert.Equal(t, decision.Response != nil, test.replay)
		})
	}
}

// Guards against a delayed release of an earlier request that frees the claim of a later one.
func TestLateReleaseDoesNotFreeAnotherClaim(t *testing.T) {
	table := tableWithClaim(t)
	release, ok := table.Settle(start, request("first"), true, nil)
	assert.Assert(t, ok)
	table.Apply(release)
	record, proposed, err := table.Propose(start, request("second"))
	assert.NilError(t, err)
	assert.Assert(t, proposed)
	table.Apply(record)
	table.Apply(release)
	decision, found := table.Lookup(request("third"))
	assert.Assert(t, found)
	assert.Equal(t, decision.Outcome, Running)
}

// Guards against a claim that arrives after its request was abandoned: the request would never be sent and the claim
// never settled.
func TestAbandonedRequestIsNotClaimedLater(t *testing.T) {
	table := NewTable(0)
	_, held := table.Settle(start, request("first"), true, nil)
	assert.Assert(t, !held)
	_, _, err := table.Propose(start, request("first"))
	assert.ErrorContains(t, err, "abandoned")
}

// Guards against a new shard owner that loses a claim or the fact that it is done.
func TestSnapshotKeepsClaims(t *testing.T) {
	table := tableWithClaim(t)
	record, _ := table.Settle(start, request("first"), false, nil)
	table.Apply(record)
	successor := NewTable(0)
	successor.Restore(table.Snapshot())
	decision, found := successor.Lookup(request("second"))
	assert.Assert(t, found)
	assert.Equal(t, decision.Outcome, Done)
}

// Guards against dropping a claim within its retention time, and against never dropping it.
func TestClaimExpiresAfterItsRetention(t *testing.T) {
	table := tableWithClaim(t)
	table.Expire(start.Add(Retention))
	assert.Equal(t, table.Len(), 1)
	table.Expire(start.Add(Retention + time.Second))
	assert.Equal(t, table.Len(), 0)
}

// Guards against dropping an unexpired claim when the table is full; the new claim must be refused instead.
func TestFullTableRefusesNewClaims(t *testing.T) {
	table := NewTable(0)
	for i := range MaxClaims {
		table.Apply(model.ClaimRecord{Kind: model.ClaimTaken, Key: model.KeyHash{byte(i), byte(i >> 8), 1}})
	}
	_, _, err := table.Propose(start, request("one more"))
	assert.ErrorContains(t, err, "full")
	assert.Equal(t, table.Len(), MaxClaims)
}
