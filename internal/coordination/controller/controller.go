// Package controller combines all control decisions of one entry, that is of one jujubearch process, in a single step
// function: Step takes an event and returns the actions to perform. It decides which shards the entry owns, where their
// tasks run, how the slots of upstream instances are shared, and which configuration is in force.
//
// Guarantees: the package does no I/O, reads no clock and takes randomness only from the source passed to New, so that
// replaying a recorded sequence of events yields the same actions. All control state of the process is in a Controller,
// which is driven by one goroutine, the control actor.
//
// Terms: the head is the store record that holds the configuration together with the newest audit entries and the work
// that operators have delegated to shards. A shard is a set of workers or, for a claim shard, of idempotency keys;
// one entry at a time owns it and journals its changes. Epochs number the successive ownerships of a shard, and
// incarnations the successive processes of an entry. A slot is the permission to run one request at a time on an
// upstream instance. A seat is an entry's index among the entries of its data centre.
package controller

import (
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 100 * time.Millisecond
	// SessionTTL is the time after which the store deletes the session record of an entry that stopped renewing it.
	SessionTTL = 10 * time.Second
	// SessionRenewInterval is the time between two renewals of the session.
	SessionRenewInterval = 3 * time.Second
	// VMListInterval is the time between two reads of the VM list.
	VMListInterval = time.Second
	// StoreRetryMin is the minimum delay after a failed store call.
	StoreRetryMin = 50 * time.Millisecond
	// StoreRetryMax caps the random part of that delay, whose bound doubles with each failure.
	StoreRetryMax = 5 * time.Second
)

// Settings identify this entry and its peers; they don't change while the process runs.
type Settings struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	Region      model.Region
	StoreRegion model.Region
	// Seat is this entry's index among the Seats entries of its data centre.
	Seat  uint32
	Seats uint32
	Peers []membership.Peer
	// DataCentres of the installation, sorted.
	DataCentres []model.DataCentre
}

// Controller holds the control state of one entry. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	// started is the time of the first step.
	started time.Time
	// actions collects the actions of the current step.
	actions []Action

	lastToken Token
	// pendingCalls holds the callbacks of the store calls in flight.
	pendingCalls map[Token]func(StoreDone)
	// nextRun holds when each periodic action is due.
	nextRun map[timer]time.Time

	membership *membership.Table
	// limits divides the slots of upstream instances between the entries of this data centre.
	limits       *limit.Limits
	vmList       model.VMList
	vmListLoaded bool
	// vmListFailing is true while reads of the VM list fail; only the first failure is logged.
	vmListFailing bool
	// vmListUpdates counts the VM lists that were accepted.
	vmListUpdates uint64
	head          headState
	session       sessionState
	shards        map[model.ShardID]*shard
	// scheduling holds the in-memory scheduling state of the shards that this entry owns.
	scheduling map[model.ShardID]*schedulingState
	// sortedShards caches the sorted ids of shards; it is nil when out of date.
	sortedShards []model.ShardID
	acquisitions map[model.ShardID]*acquisition
	// unownedSince holds, by shard, when this entry first saw that no peer reports owning it.
	unownedSince map[model.ShardID]time.Time
	// avoidUntil holds the times until which this entry does not acquire shards again whose workers it could not reach.
	avoidUntil map[model.ShardID]time.Time
	// sessionChecks holds the takeovers that wait for a read of the last owner's session, by that owner.
	sessionChecks map[model.EntryID][]func(StoreDone)
	// wakeUpAt is the time of the earliest requested wake-up; zero means none.
	wakeUpAt time.Time
	// limiters limit the requests that this entry runs on each upstream instance.
	limiters map[model.InstanceID]*snapshot.InstanceLimiter
	// closedSince holds, for each instance with a closed limiter, since when the VM list has not marked it as leaving.
	closedSince map[model.InstanceID]time.Time
	draining    bool
	// snapshotStale is set when the state has changed since lastSnapshot was built.
	snapshotStale bool
	lastSnapshot  *snapshot.Snapshot

	// storeFailures counts the store calls that have failed since the last successful one.
	storeFailures int
}

// timer identifies a periodic action.
type timer uint8

const (
	timerRemoteHeartbeat timer = iota
	timerLocalHeartbeat
	timerSession
	timerVMList
	timerHead
	timerShards
	timerTrimHead
)

// New returns a controller in its initial state. The random source is used for jitter, the sampling of workers and the
// journals' retries.
func New(s Settings, random *rand.Rand) *Controller {
	return &Controller{
		settings: s, random: random,
		pendingCalls: make(map[Token]func(StoreDone)),
		nextRun:      make(map[timer]time.Time),
		membership:   membership.NewTable(s.Entry, s.Peers),
		shards:       make(map[model.ShardID]*shard),

		acquisitions:  make(map[model.ShardID]*acquisition),
		unownedSince:  make(map[model.ShardID]time.Time),
		avoidUntil:    make(map[model.ShardID]time.Time),
		sessionChecks: make(map[model.EntryID][]func(StoreDone)),

		limiters:      make(map[model.InstanceID]*snapshot.InstanceLimiter),
		closedSince:   make(map[model.InstanceID]time.Time),
		snapshotStale: true,
	}
}

// Step processes one event and returns the actions to perform, in order.
func (c *Controller) Step(now time.Time, ev Event) []Action {
	c.now = now
	if c.limits == nil {
		c.started = now
		c.limits = c.newLimits()
	}
	c.handleEvent(ev)
	c.callJournals()
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Controller) handleEvent(ev Event) {
	switch e := ev.(type) {
	case Tick:
		c.handleTick()
	case TimerFired:
		c.wakeUpAt = time.Time{}
	case StoreDone:
		c.handleStoreDone(e)
	case WorkerReported:
		c.handleWorkerReported(e)
	case VMsListed:
		c.handleVMsListed(e)
	case HeartbeatReceived:
		c.handleHeartbeat(e)
	case HeartbeatAnswered:
		c.membership.ObserveRoundTrip(e.Peer, e.RoundTrip)
	case LoanAnswered:
		c.handleLoanAnswered(e)
	case SeatHandOverRequested:
		c.limits.StartHandOver()
	case HeadFetched:
		c.handleHeadFetched(e)
	case DrainRequested:
		c.startDrain()
	default:
		c.handleRequest(ev)
	}
}

// handleRequest handles the events whose sender waits for a Reply.
func (c *Controller) handleRequest(ev Event) {
	switch e := ev.(type) {
	case LoanRequested:
		c.handleLoanRequested(e)
	case HeadRequested:
		c.reply(e.ReplyTo, StoredRecord{Key: model.KeyHead, Revision: c.head.revision, Value: c.head.copy()}, nil)
	case PlanSubmitted:
		c.handlePlanSubmitted(e)
	case PlanConfirmed:
		c.handlePlanConfirmed(e)
	case PlanRejected:
		c.handlePlanRejected(e)
	case PlansRequested:
		c.handlePlansRequested(e)
	case ClaimRequested:
		c.handleClaimRequested(e)
	case ClaimSettled:
		c.handleClaimSettled(e)
	case AuditRequested:
		c.handleAuditRequested(e)
	case StatusRequested:
		c.reply(e.ReplyTo, c.status(), nil)
	}
}

// handleTick runs the periodic actions that are due.
func (c *Controller) handleTick() {
	c.membership.Observe(c.now)
	c.runEvery(timerRemoteHeartbeat, membership.HeartbeatInterval, c.sendRemoteHeartbeats)
	c.runEvery(timerLocalHeartbeat, membership.LocalHeartbeatInterval, c.sendLocalHeartbeats)
	c.runEvery(timerSession, SessionRenewInterval, c.renewSession)
	c.runEvery(timerVMList, VMListInterval, func() { c.emit(ListVMs{}) })
	c.runIfDue(timerHead, c.readHead)
	c.runEvery(timerShards, shardCheckInterval, c.reconcileShards)
	c.runEvery(timerTrimHead, trimInterval, c.trimHead)
	c.tickShards()
	c.updateLimits()
	c.sendLoanRequests()
	c.snapshotStale = true
}

// runEvery runs f when an interval has passed since its last run. Each interval is shortened by up to a tenth at
// random, so that entries do not synchronise.
func (c *Controller) runEvery(t timer, interval time.Duration, f func()) {
	if c.now.Before(c.nextRun[t]) {
		return
	}
	c.nextRun[t] = c.now.Add(interval - time.Duration(c.random.Int64N(int64(interval)/10)))
	f()
}

// runIfDue runs f when its scheduled time has come. Unlike runEvery, it does not schedule the next run.
func (c *Controller) runIfDue(t timer, f func()) {
	if c.now.Before(c.nextRun[t]) {
		return
	}
	f()
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) reply(to ReplyTo, value any, err error) {
	c.emit(Reply{To: to, Value: value, Err: err})
}

func (c *Controller) notify(code notice.Code, attrs ...Attr) {
	c.emit(Notify{Code: code, Attrs: attrs})
}

// callStore issues a store call and registers the callback for its result.
func (c *Controller) callStore(call StoreCall, onDone func(StoreDone)) {
	c.lastToken++
	call.Token = c.lastToken
	c.pendingCalls[call.Token] = onDone
	c.emit(call)
}

func (c *Controller) handleStoreDone(done StoreDone) {
	onDone := c.pendingCalls[done.Token]
	if onDone == nil {
		return
	}
	delete(c.pendingCalls, done.Token)
	c.countStoreFailure(done.Err)
	onDone(done)
}

// countStoreFailure counts consecutive failures of store calls and logs the first one and the recovery.
func (c *Controller) countStoreFailure(err error) {
	switch {
	case err == nil && c.storeFailures > 0:
		c.storeFailures = 0
		c.notify(notice.StoreRecovered)
	case err != nil && c.storeFailures == 0:
		c.storeFailures = 1
		c.notify(notice.StoreFailing, Attr{Key: "error", Value: err.Error()})
	case err != nil:
		c.storeFailures++
	}
}

// backoff returns the delay before the next attempt after a number of failures: StoreRetryMin plus exponential back-off
// with full jitter.
func (c *Controller) backoff(failures int) time.Duration {
	maxDelay := StoreRetryMin << min(failures, 7)
	maxDelay = min(maxDelay, StoreRetryMax)
	return StoreRetryMin + time.Duration(c.random.Int64N(int64(maxDelay)))
}
