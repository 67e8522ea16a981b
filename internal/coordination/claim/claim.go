// Package claim keeps the at-most-once claims of idempotency keys in one claim shard.
//
// Guarantees: a key is granted to one request only, until that request is proved not to have run; a claim is granted
// only after its record is committed; an unexpired claim is never dropped. Claims are added, ended and released only by
// committed journal records. The responses kept for replay are a cache.
package claim

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// Retention is the time for which a claim is kept; a caller must not retry with the key after that time.
	Retention = 24 * time.Hour
	// MaxClaims bounds the claims of one shard, so that its snapshot stays below the store's value limit. More claims
	// need more claim shards.
	MaxClaims = 12_000
	// abandonedRetention is the time for which the id of an abandoned request is kept. It exceeds the longest time that
	// a claim message can be in flight.
	abandonedRetention = 2 * time.Minute
)

// Outcome is the result of a request for a claim.
type Outcome uint8

// Outcomes of a request for a claim.
const (
	// Granted permits sending the request once.
	Granted Outcome = iota + 1
	// Running means that another request holds the claim and is not known to have ended.
	Running
	// Done means that the claimed request has ended.
	Done
	// Mismatch means that the key was used with another request body.
	Mismatch
)

// Request asks for the claim of a key.
type Request struct {
	Key         model.KeyHash
	Fingerprint model.KeyHash
	RequestID   string
}

// StoredResponse is a complete response, kept to be replayed.
type StoredResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field of a StoredResponse.
type Header struct {
	Name  string
	Value string
}

// Decision is the response to a Request, whatever its outcome.
type Decision struct {
	Outcome Outcome
	// Response is set for Done if the response is in the cache.
	Response *StoredResponse
}

type entry struct {
	record model.ClaimRecord
	done   bool
}

// Table is the state of one claim shard. It is not safe for concurrent use.
type Table struct {
	claims map[model.KeyHash]*entry
	// order lists the claims oldest first; it may still contain released ones.
	order []model.ClaimRecord
	// pending holds the claims whose record is queued but not yet committed.
	pending map[model.KeyHash]model.ClaimRecord
	// abandoned holds the ids of requests settled as not run, with the time at which each was settled.
	abandoned map[string]time.Time
	responses *responseCache
}

// NewTable returns an empty table whose response cache takes at most responseBytes in total.
func NewTable(responseBytes int) *Table {
	return &Table{
		claims: make(map[model.KeyHash]*entry), pending: make(map[model.KeyHash]model.ClaimRecord),
		abandoned: make(map[string]time.Time), responses: newResponseCache(responseBytes),
	}
}

// Restore adds the claims of a snapshot to an empty table.
func (t *Table) Restore(records []model.ClaimRecord) {
	for _, r := range records {
		t.Apply(r)
	}
}

// Snapshot returns one record for each claim, oldest first: ClaimDone if the claimed request has ended, ClaimTaken
// otherwise.
func (t *Table) Snapshot() []model.ClaimRecord {
	records := make([]model.ClaimRecord, 0, len(t.claims))
	for _, r := range t.order {
		if e := t.claims[r.Key]; e != nil && e.record.RequestID == r.RequestID {
			kept := e.record
			kept.Kind = model.ClaimTaken
			if e.done {
				kept.Kind = model.ClaimDone
			}
			records = append(records, kept)
		}
	}
	return records
}

// Len returns the number of claims, including those not yet committed.
func (t *Table) Len() int { return len(t.claims) + len(t.pending) }

// Lookup answers a request from the committed claims. It returns false if the key must be claimed first.
func (t *Table) Lookup(r Request) (Decision, bool) {
	e := t.claims[r.Key]
	switch {
	case e == nil:
		return Decision{}, false
	case e.record.Fingerprint != r.Fingerprint:
		return Decision{Outcome: Mismatch}, true
	case e.done:
		return Decision{Outcome: Done, Response: t.responses.get(r.Key)}, true
	case e.record.RequestID == r.RequestID:
		return Decision{Outcome: Granted}, true
	}
	return Decision{Outcome: Running}, true
}

// Propose returns the record that claims a key. It returns false if a record for the key is already queued. It fails
// with verdict NotRun if the table is full or the request was abandoned.
func (t *Table) Propose(now time.Time, r Request) (model.ClaimRecord, bool, error) {
	if _, abandoned := t.abandoned[r.RequestID]; abandoned {
		return model.ClaimRecord{}, false, verdict.NotRunError("the request was abandoned", nil)
	}
	if _, queued := t.pending[r.Key]; queued {
		return model.ClaimRecord{}, false, nil
	}
	if t.Len() >= MaxClaims {
		return model.ClaimRecord{}, false, verdict.NotRunError("the claim shard is full", nil)
	}
	record := model.ClaimRecord{
		Kind: model.ClaimTaken, Key: r.Key, Fingerprint: r.Fingerprint, RequestID: r.RequestID, UnixSeconds: now.Unix(),
	}
	t.pending[r.Key] = record
	return record, true, nil
}

// IsPending reports whether the claim of a request is queued but not yet committed.
func (t *Table) IsPending(r Request) bool {
	queued, found := t.pending[r.Key]
	return found && queued.RequestID == r.RequestID
}

// DropProposal drops a proposal whose record was refused by the journal.
func (t *Table) DropProposal(key model.KeyHash) { delete(t.pending, key) }

// Settle returns the record that ends a claim, or false if the request does not hold the claim. A request that is
// settled as not run is recorded as abandoned, so that a claim of it that arrives later is refused. While the claim is
// pending, Settle must be called again after its commit.
func (t *Table) Settle(now time.Time, r Request, notRun bool, response *StoredResponse) (model.ClaimRecord, bool) {
	if notRun {
		t.abandoned[r.RequestID] = now
	}
	e := t.claims[r.Key]
	if e == nil || e.record.RequestID != r.RequestID || e.done {
		return model.ClaimRecord{}, false
	}
	record := e.record
	record.Kind = model.ClaimDone
	if notRun {
		record.Kind = model.ClaimReleased
	} else if response != nil {
		t.responses.put(r.Key, *response)
	}
	return record, true
}

// Apply applies a committed record.
func (t *Table) Apply(r model.ClaimRecord) {
	e := t.claims[r.Key]
	switch r.Kind {
	case model.ClaimTaken:
		if queued, found := t.pending[r.Key]; found && queued.RequestID == r.RequestID {
			delete(t.pending, r.Key)
		}
		if e == nil {
			t.add(r, false)
		}
	case model.ClaimDone:
		if e == nil {
			t.add(r, true)
		} else if e.record.RequestID == r.RequestID {
			e.done = true
		}
	case model.ClaimReleased:
		if e != nil && e.record.RequestID == r.RequestID && !e.done {
			delete(t.claims, r.Key)
		}
	}
}

func (t *Table) add(r model.ClaimRecord, done bool) {
	t.claims[r.Key] = &entry{record: r, done: done}
	t.order = append(t.order, r)
}

// Expire drops the claims older than Retention and the abandoned requests older than abandonedRetention. It visits only
// the claims that it drops, but all abandoned requests.
func (t *Table) Expire(now time.Time) {
	cutoff := now.Add(-Retention).Unix()
	dropped := 0
	for _, r := range t.order {
		if r.UnixSeconds >= cutoff {
			break
		}
		dropped++
		if e := t.claims[r.Key]; e != nil && e.record.RequestID == r.RequestID {
			delete(t.claims, r.Key)
			t.responses.remove(r.Key)
		}
	}
	t.order = t.order[dropped:]
	for id, since := range t.abandoned {
		if now.Sub(since) > abandonedRetention {
			delete(t.abandoned, id)
		}
	}
}
