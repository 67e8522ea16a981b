package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// fault is the fault injected into one store call.
type fault uint8

const (
	faultNone fault = iota
	// faultRefused fails the call without effect and with verdict NotRun.
	faultRefused
	// faultLostRequest fails the call without effect and with verdict MayHaveRun.
	faultLostRequest
	// faultLostResponse executes the call and loses its response.
	faultLostResponse
)

// memoryStore executes the store calls of controllers in memory.
type memoryStore struct {
	records  map[string]StoredRecord
	revision model.Revision
	calls    int
	// faultAt maps the number of a call, counted from 1, to its fault.
	faultAt map[int]fault
}

func newMemoryStore() *memoryStore {
	return &memoryStore{records: make(map[string]StoredRecord), faultAt: make(map[int]fault)}
}

func (m *memoryStore) perform(call StoreCall) StoreDone {
	m.calls++
	done := StoreDone{Token: call.Token}
	switch m.faultAt[m.calls] {
	case faultRefused:
		done.Err = verdict.NotRunError("refused", nil)
		return done
	case faultLostRequest:
		done.Err = verdict.MayHaveRunError("lost", nil)
		return done
	case faultLostResponse:
		m.execute(call, &StoreDone{})
		done.Err = verdict.MayHaveRunError("lost", nil)
		return done
	case faultNone:
	}
	m.execute(call, &done)
	return done
}

func (m *memoryStore) execute(call StoreCall, done *StoreDone) {
	current := m.records[call.Key]
	current.Key = call.Key
	switch call.Op {
	case OpGet:
		done.Records = []StoredRecord{current}
	case OpList:
		for key, r := range m.records {
			if strings.HasPrefix(key, call.Key) {
				done.Records = append(done.Records, r)
			}
		}
	case OpSwap:
		if current.Revision != call.Expect {
			done.Records = []StoredRecord{current}
			return
		}
		m.revision++
		m.records[call.Key] = StoredRecord{Key: call.Key, Revision: m.revision, Value: call.Value}
		done.Swapped, done.Revision = true, m.revision
	default:
		done.Err = verdict.NotRunError("operation not supported by memoryStore", nil)
	}
}

func (m *memoryStore) head() model.Head {
	if head, ok := m.records[model.KeyHead].Value.(*model.Head); ok {
		return *head
	}
	return model.Head{}
}

func newTestController(entry model.EntryID) *Controller {
	return New(Settings{
		Entry: entry, Incarnation: 1, DataCentre: "lju-a", Region: "si-central", Seats: 1,
		DataCentres: []model.DataCentre{"lju-a"},
	}, rand.New(rand.NewPCG(1, 2)))
}

var testTime = time.Unix(1_800_000_000, 0)

// stepUntilReply processes an event and the store calls that follow from it, and returns the reply.
func stepUntilReply(c *Controller, store *memoryStore, ev Event) (any, error) {
	queue := c.Step(testTime, ev)
	for len(queue) > 0 {
		action := queue[0]
		queue = queue[1:]
		switch a := action.(type) {
		case Reply:
			return a.Value, a.Err
		case StoreCall:
			queue = append(queue, c.Step(testTime, store.perform(a))...)
		}
	}
	return nil, fmt.Errorf("no reply to %T", ev)
}

func teamIntent(name string) []model.Intent {
	return []model.Intent{{Kind: model.IntentTeam, Name: name, Team: &model.Team{Name: model.TeamName(name), Weight: 1}}}
}

func hasTeam(head model.Head, name model.TeamName) bool {
	_, found := head.Config.Team(name)
	return found
}

// checkReply checks that the error of a confirmation's reply agrees with the store.
func checkReply(t *testing.T, store *memoryStore, err error) {
	t.Helper()
	applied := hasTeam(store.head(), "dance")
	if err == nil {
		assert.Assert(t, applied, "plan confirmed but not applied")
	} else if verdict.Of(err) == verdict.NotRun {
		assert.Assert(t, !applied, "plan refused with verdict NotRun but applied: %v", err)
	}
	assert.Assert(t, len(store.head().Audit) <= 1, "plan applied twice")
	assert.Equal(t, len(store.head().Audit) == 1, applied, "change and audit entry must be written together")
}

// Guards against a confirmation that reports the wrong outcome, is applied twice or lacks its audit entry, when any
// store call is refused or its request or response is lost.
func TestConfirmationReportsOutcomeUnderStoreFaults(t *testing.T) {
	const calls = 12
	for _, kind := range []fault{faultRefused, faultLostRequest, faultLostResponse} {
		for first := 1; first <= calls; first++ {
			for length := 1; length <= calls; length += calls - 1 {
				t.Run(fmt.Sprintf("fault %d at call %d for %d", kind, first, length), func(t *testing.T) {
					confirmUnderFaults(t, kind, first, length)
				})
			}
		}
	}
}

func confirmUnderFaults(t *testing.T, kind fault, first, length int) {
	store := newMemoryStore()
	for i := range length {
		store.faultAt[first+i] = kind
	}
	c := newTestController("a")
	if _, err := stepUntilReply(c, store, PlanSubmitted{
		ReplyTo: 1, ID: "p", Operator: "maja", Intents: teamIntent("dance"),
	}); err != nil {
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, !hasTeam(store.head(), "dance"), "submitting a plan changed the configuration")
		return
	}
	_, err := stepUntilReply(c, store, PlanConfirmed{ReplyTo: 2, ID: "p", Operator: "maja"})
	checkReply(t, store, err)
	// After the faults, another entry gets the same confirmation.
	store.faultAt = nil
	_, err = stepUntilReply(newTestController("b"), store, PlanConfirmed{ReplyTo: 3, ID: "p", Operator: "maja"})
	assert.NilError(t, err)
	checkReply(t, store, err)
}

// Guards against operators overwriting each other's changes: of two plans made from the same version, the second is
// stale.
func TestSecondOfTwoConcurrentPlansIsStale(t *testing.T) {
	store := newMemoryStore()
	a, b := newTestController("a"), newTestController("b")
	for i, c := range []*Controller{a, b} {
		id := model.PlanID(fmt.Sprintf("p%d", i))
		_, err := stepUntilReply(c, store, PlanSubmitted{ReplyTo: 1, ID: id, Operator: "op", Intents: teamIntent(string(id))})
		assert.NilError(t, err)
	}
	_, err := stepUntilReply(a, store, PlanConfirmed{ReplyTo: 2, ID: "p0", Operator: "first"})
	assert.NilError(t, err)
	_, err = stepUntilReply(b, store, PlanConfirmed{ReplyTo: 2, ID: "p1", Operator: "second"})
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.ErrorContains(t, err, "version 1 by first: team p0")
	assert.Assert(t, !hasTeam(store.head(), "p1"))
}

// Guards against losing audit entries when they leave the head, and against applying a plan again once its audit entry
// is no longer in the head.
func TestAuditTrailKeepsEveryChange(t *testing.T) {
	const changes = 200
	store := newMemoryStore()
	c := newTestController("a")
	for i := range changes {
		id := model.PlanID(fmt.Sprintf("p%d", i))
		_, err := stepUntilReply(c, store, PlanSubmitted{ReplyTo: 1, ID: id, Operator: "op", Intents: teamIntent("dance")})
		assert.NilError(t, err)
		_, err = stepUntilReply(c, store, PlanConfirmed{ReplyTo: 2, ID: id, Operator: "op"})
		assert.NilError(t, err)
	}
	value, err := stepUntilReply(c, store, AuditRequested{ReplyTo: 3})
	assert.NilError(t, err)
	entries := value.([]model.AuditEntry)
	assert.Equal(t, len(entries), changes)
	for i, e := range entries {
		assert.Equal(t, e.Sequence, uint64(i+1))
		assert.Equal(t, e.VersionAfter, e.VersionBefore+1)
	}
	value, err = stepUntilReply(c, store, PlanConfirmed{ReplyTo: 4, ID: "p0", Operator: "op"})
	assert.NilError(t, err)
	assert.Assert(t, value.(Confirmation).Repeated)
	assert.Equal(t, store.head().Config.Version, model.Version(changes))
}

// Guards against applying a plan whose intents contradict the configuration.
func TestBlockedPlanIsRefused(t *testing.T) {
	store := newMemoryStore()
	c := newTestController("a")
	route := model.Route{Name: "r", PathPrefix: "/", Service: "nowhere"}
	intents := []model.Intent{{Kind: model.IntentRoute, Name: "r", Route: &route}}
	value, err := stepUntilReply(c, store, PlanSubmitted{ReplyTo: 1, ID: "p", Operator: "op", Intents: intents})
	assert.NilError(t, err)
	assert.Equal(t, value.(model.Plan).Unmet[0].Subject, "route r")
	_, err = stepUntilReply(c, store, PlanConfirmed{ReplyTo: 2, ID: "p", Operator: "op"})
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	assert.Equal(t, store.head().Config.Version, model.Version(0))
}

// Guards against a plan that is both rejected and applied. The rejection arrives after the confirmation has read the
// plan and before it swaps the head.
func TestRejectionAndConfirmationExcludeEachOther(t *testing.T) {
	store := newMemoryStore()
	a, b := newTestController("a"), newTestController("b")
	_, err := stepUntilReply(a, store, PlanSubmitted{ReplyTo: 1, ID: "p", Operator: "op", Intents: teamIntent("dance")})
	assert.NilError(t, err)
	read, ok := a.Step(testTime, PlanConfirmed{ReplyTo: 2, ID: "p", Operator: "op"})[0].(StoreCall)
	assert.Assert(t, ok)
	next, ok := a.Step(testTime, store.perform(read))[0].(StoreCall)
	assert.Assert(t, ok)
	_, err = stepUntilReply(b, store, PlanRejected{ReplyTo: 3, ID: "p", Operator: "op"})
	assert.NilError(t, err)
	queue := a.Step(testTime, store.perform(next))
	for len(queue) > 0 {
		call, isCall := queue[0].(StoreCall)
		queue = queue[1:]
		if isCall {
			queue = append(queue, a.Step(testTime, store.perform(call))...)
		}
	}
	assert.Assert(t, !hasTeam(store.head(), "dance"), "a rejected plan was applied")
	_, err = stepUntilReply(b, store, PlanConfirmed{ReplyTo: 4, ID: "p", Operator: "op"})
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// Guards against a panic of the control actor on a stored plan whose intent has no content.
func TestIncompletePlanIsRefused(t *testing.T) {
	store := newMemoryStore()
	p := model.Plan{ID: "p", CreatedAt: testTime, Intents: []model.Intent{{Kind: model.IntentTeam, Name: "dance"}}}
	store.records[model.PlanKey("p")] = StoredRecord{Key: model.PlanKey("p"), Revision: 1, Value: &p}
	_, err := stepUntilReply(newTestController("a"), store, PlanConfirmed{ReplyTo: 1, ID: "p", Operator: "op"})
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// Guards against unbounded growth of the head when operators only reject plans.
func TestRejectionsDoNotGrowHead(t *testing.T) {
	store := newMemoryStore()
	c := newTestController("a")
	for i := range 100 {
		id := model.PlanID(fmt.Sprintf("p%d", i))
		_, err := stepUntilReply(c, store, PlanSubmitted{ReplyTo: 1, ID: id, Operator: "op", Intents: teamIntent("dance")})
		assert.NilError(t, err)
		_, err = stepUntilReply(c, store, PlanRejected{ReplyTo: 2, ID: id, Operator: "op"})
		assert.NilError(t, err)
		assert.Assert(t, len(store.head().Audit) <= 64)
	}
}
