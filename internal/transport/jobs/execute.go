package jobs

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobrecord"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

const (
	// storeTimeout limits one call to the store, which takes 4 ms normally and up to 60 times as long when it is slow.
	storeTimeout = 700 * time.Millisecond
	// stateReadTimeout limits reading the whole state after a change of leader, which takes several pages.
	stateReadTimeout = 3 * time.Second
	// longPollGrace is added to the wait time of a long poll to leave time for its response, which may be large. The store
	// client gives up much earlier if the response makes no progress.
	longPollGrace = 4 * time.Second
	// orderTimeout limits an order to a worker. A round trip between regions takes 25 ms; the rest of the time allows
	// for processes that are short of CPU time.
	orderTimeout = 400 * time.Millisecond
	// MaxOrderAge is the time after its decision, or after its arrival at a relay, within which an order is sent.
	MaxOrderAge = 500 * time.Millisecond
	// holdGrace is added to the time for which a worker may delay its response to a hold.
	holdGrace = 500 * time.Millisecond
	// A request to the advice service is limited to adviceQueueFactor times its own processing time, because it queues
	// behind earlier requests, plus adviceRoundTrip for the network.
	adviceQueueFactor = 4
	adviceRoundTrip   = 300 * time.Millisecond
)

// Executor carries out the scheduler core's actions. Its methods may be called concurrently.
type Executor struct {
	Store     Store
	Workers   Workers
	Directory Directory
	Advisor   Advisor
	// Relays queues the orders that other entries carry; nil if there are none.
	Relays  interface{ Enqueue(order dispatch.Action) }
	Logger  *slog.Logger
	Metrics *Metrics
}

// Inline executes an action on the goroutine of the actor if that does not block, and reports whether it did: it writes
// log events, which relies on a logger that does not block (see event.AsyncWriter), and queues orders for relays.
func (e *Executor) Inline(action scheduler.Action) bool {
	switch a := action.(type) {
	case scheduler.LogEvent:
		event.Log(e.Logger, a.Code, a.Attrs...)
		return true
	case scheduler.Dispatch:
		if e.report(a.Action) {
			return true
		}
		target, isOrder := dispatch.TargetOf(a.Action)
		if !isOrder || target.Relay == "" || e.Relays == nil {
			return false
		}
		e.Relays.Enqueue(a.Action)
		return true
	}
	return false
}

// Perform executes an action and returns the event with its result; false means that there is no event.
func (e *Executor) Perform(ctx context.Context, action scheduler.Action) (scheduler.Event, bool) {
	switch a := action.(type) {
	case scheduler.WatchConfig:
		return e.watchConfig(ctx, a), true
	case scheduler.WatchLeader:
		return e.watchLeader(ctx, a), true
	case scheduler.WatchJobs:
		return e.watchJobs(ctx, a), true
	case scheduler.ReadState:
		return e.readState(ctx, a), true
	case scheduler.WatchWorkers:
		return e.watchWorkers(ctx, a), true
	case scheduler.Dispatch:
		return e.dispatch(ctx, a), true
	case scheduler.SetTimer:
		return wakeAfter(ctx, a.Delay)
	default:
		return e.electionCall(ctx, action)
	}
}

// electionCall executes the store calls that acquire, keep and give up the leadership.
func (e *Executor) electionCall(ctx context.Context, action scheduler.Action) (scheduler.Event, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch a := action.(type) {
	case scheduler.GrantLease:
		sent := time.Now()
		lease, err := e.Store.GrantLease(ctx, a.TTL)
		return scheduler.LeaseGranted{Term: a.Term, Sent: sent, Lease: lease, Err: err}, true
	case scheduler.RevokeLease:
		// A lease that can't be revoked expires on its own.
		if err := e.Store.RevokeLease(ctx, a.Lease); err != nil {
			event.Log(e.Logger, notice.LeaseNotRevoked, notice.Attr{Key: "lease", Value: a.Lease},
				notice.Attr{Key: "error", Value: err.Error()})
		}
	case scheduler.RenewLease:
		sent := time.Now()
		alive, err := e.Store.KeepAlive(ctx, a.Lease)
		return scheduler.LeaseRenewed{Term: a.Term, Sent: sent, Alive: alive, Err: err}, true
	case scheduler.ReadCommitRecord:
		item, err := e.Store.Get(ctx, job.KeyCommit)
		return scheduler.CommitRecordRead{Term: a.Term, Record: decodeItem(item), Err: err}, true
	case scheduler.CommitLeadership:
		result, err := e.commit(ctx, a.Transaction)
		return scheduler.LeadershipCommitted{Term: a.Term, Applied: result.Applied, Revision: result.Revision, Err: err}, true
	}
	return nil, false
}

// wakeAfter waits for the delay and returns a Tick, or false as soon as ctx ends.
func wakeAfter(ctx context.Context, delay time.Duration) (scheduler.Event, bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return scheduler.Tick{}, true
	case <-ctx.Done():
		return nil, false
	}
}

// decodeItem converts an item to a record. The value is nil if the key does not exist.
func decodeItem(item Item) job.Record {
	r := job.Record{Key: item.Key, Revision: item.Revision}
	if item.Revision != 0 && !item.Deleted {
		r.Value, r.Err = jobrecord.Decode(item.Key, item.Value)
	}
	return r
}

func decodeItems(items []Item) []job.Record {
	records := make([]job.Record, 0, len(items))
	for _, item := range items {
		records = append(records, decodeItem(item))
	}
	return records
}

// unstorableError means that a record can't be stored, whatever the state of the store.
type unstorableError struct {
	key   string
	cause error
}

// Error returns the key and the cause.
func (e *unstorableError) Error() string { return e.key + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unstorableError) Unwrap() error { return e.cause }

// commit encodes the records of a transaction and writes it to the store. If a record can't be stored, the error contains
// an unstorableError and nothing was sent.
func (e *Executor) commit(ctx context.Context, tx job.Transaction) (TransactionResult, error) {
	encoded := Transaction{Expect: tx.Expect, Delete: tx.Delete}
	for _, p := range tx.Puts {
		value, err := jobrecord.Encode(p.Value)
		if err != nil {
			return TransactionResult{}, verdict.NotRunError("cannot encode record", &unstorableError{p.Key, err})
		}
		encoded.Puts = append(encoded.Puts, Put{Key: p.Key, Value: value, Lease: p.Lease})
	}
	return e.Store.Commit(ctx, encoded)
}

func (e *Executor) watchConfig(ctx context.Context, a scheduler.WatchConfig) scheduler.ConfigRead {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+longPollGrace)
	defer cancel()
	sent := time.Now()
	read, err := e.Directory.Configuration(ctx, a.After, a.Wait)
	return scheduler.ConfigRead{
		Number: a.Number, Config: read.Configuration, Revision: read.Revision, Changed: read.Changed, Newest: read.Newest, Sent: sent, Wait: a.Wait,
		Versions: read.Versions, Bytes: read.Bytes, Transfer: read.Transfer, Err: err,
	}
}

func (e *Executor) watchLeader(ctx context.Context, a scheduler.WatchLeader) scheduler.LeaderRead {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+longPollGrace)
	defer cancel()
	if a.After == 0 {
		start := time.Now()
		items, store, err := e.Store.List(ctx, job.PrefixLeader)
		return scheduler.LeaderRead{
			Leader: leaderRecord(items), Changed: true, Revision: store, RoundTrip: time.Since(start), Err: err,
		}
	}
	items, store, err := e.Store.Watch(ctx, job.PrefixLeader, a.After, a.Wait)
	return scheduler.LeaderRead{Leader: leaderRecord(items), Changed: len(items) > 0, Revision: store, Err: err}
}

// leaderRecord returns the last version of the leader record among items. Its value is nil if there is none.
func leaderRecord(items []Item) job.Record {
	record := job.Record{Key: job.KeyLeader}
	for _, item := range items {
		if item.Key == job.KeyLeader {
			record = decodeItem(item)
		}
	}
	return record
}

func (e *Executor) watchJobs(ctx context.Context, a scheduler.WatchJobs) scheduler.JobsRead {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+longPollGrace)
	defer cancel()
	items, store, err := e.Store.Watch(ctx, job.PrefixJob, a.After, a.Wait)
	if MustList(err) {
		items, store, err = e.Store.List(ctx, job.PrefixJob)
		return scheduler.JobsRead{Term: a.Term, Jobs: decodeItems(items), Complete: true, Revision: store, Err: err}
	}
	return scheduler.JobsRead{Term: a.Term, Jobs: decodeItems(items), Revision: store, Err: err}
}

// readState reads the worker registry, the jobs and their progress. This leader has already rewritten the commit
// record, so commits of earlier leaders fail and can't change what is read.
func (e *Executor) readState(ctx context.Context, a scheduler.ReadState) scheduler.StateRead {
	ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	state := scheduler.StateRead{Term: a.Term}
	commitItems, _, err := e.Store.List(ctx, job.PrefixCommit)
	if err != nil {
		state.Err = err
		return state
	}
	for _, item := range commitItems {
		switch item.Key {
		case job.KeyRegistry:
			state.Registry = decodeItem(item)
		case job.KeyInterference:
			state.Interference = decodeItem(item)
		}
	}
	if state.Registry.Err != nil {
		state.Err = state.Registry.Err
		return state
	}
	jobItems, store, err := e.Store.List(ctx, job.PrefixJob)
	if err != nil {
		state.Err = err
		return state
	}
	progressItems, _, err := e.Store.List(ctx, job.PrefixProgress)
	state.Jobs, state.Progress, state.Revision, state.Err = decodeItems(jobItems), decodeItems(progressItems), store, err
	return state
}

func (e *Executor) watchWorkers(ctx context.Context, a scheduler.WatchWorkers) scheduler.WorkersRead {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+longPollGrace)
	defer cancel()
	read, err := e.Directory.Workers(ctx, a.After, a.Wait)
	return scheduler.WorkersRead{
		Term: a.Term, Workers: read.Changed, Removed: read.Removed, Complete: read.Complete, Revision: read.Revision, Err: err,
	}
}

// dispatch executes an action of the dispatcher: an order to a worker, a commit or a request to the advice service.
func (e *Executor) dispatch(ctx context.Context, a scheduler.Dispatch) scheduler.Event {
	switch o := a.Action.(type) {
	case dispatch.Hold:
		return e.hold(ctx, o)
	case dispatch.Commit:
		return e.commitProgress(ctx, a, o)
	case dispatch.RequestAdvice:
		return e.advise(ctx, o)
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout(a.Action))
	defer cancel()
	start := time.Now()
	if _, isStart := a.Action.(dispatch.Start); isStart && model.Elapsed(a.DecidedAt, start) > MaxOrderAge {
		tooOld := job.OrderResponse{Err: verdict.NotRunError("the process was paused before the start was sent", nil)}
		return scheduler.OrderDone{Order: a.Action, Response: tooOld}
	}
	response := SendOrder(ctx, e.Workers, a.Action)
	e.Metrics.observeOrder(a.Action, response, start)
	return scheduler.OrderDone{Order: a.Action, Response: response}
}

// OrderTimeout returns how long to wait for the response to an order.
func OrderTimeout(order dispatch.Action) time.Duration {
	if h, ok := order.(dispatch.Hold); ok {
		return h.Wait + holdGrace
	}
	return orderTimeout
}

// SendOrder sends an order other than a hold to its worker.
func SendOrder(ctx context.Context, workers Workers, order dispatch.Action) job.OrderResponse {
	switch o := order.(type) {
	case dispatch.Start:
		return workers.Start(ctx, o)
	case dispatch.Stop:
		return workers.Stop(ctx, o)
	case dispatch.Pace:
		return workers.Pace(ctx, o)
	}
	return job.OrderResponse{Err: verdict.NotRunError("not an order", nil)}
}

func (e *Executor) hold(ctx context.Context, h dispatch.Hold) scheduler.HoldDone {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout(h))
	defer cancel()
	sent := time.Now()
	inventory, response := e.Workers.Hold(ctx, h.AtSend(sent))
	e.Metrics.holds.Inc()
	return scheduler.HoldDone{Target: h.Target, Sent: sent, Inventory: inventory, Response: response}
}

// advise asks the advice service which workers may run a step.
func (e *Executor) advise(ctx context.Context, request dispatch.RequestAdvice) scheduler.AdviceReceived {
	ctx, cancel := context.WithTimeout(ctx, adviceQueueFactor*request.ServiceTime+adviceRoundTrip)
	defer cancel()
	permits, err := e.Advisor.Advise(ctx, request)
	return scheduler.AdviceReceived{Request: request, Granted: permits, Err: err}
}

func (e *Executor) commitProgress(ctx context.Context, a scheduler.Dispatch, c dispatch.Commit) scheduler.Committed {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	result, err := e.commit(ctx, c.Transaction)
	e.Metrics.commitSeconds.UpdateDuration(start)
	committed := scheduler.Committed{
		Epoch: a.Epoch, ID: c.ID, Applied: result.Applied, Revision: result.Revision, Err: err,
	}
	var unstorable *unstorableError
	if errors.As(err, &unstorable) {
		committed.UnstorableKey = unstorable.key
	}
	for _, item := range result.CurrentItems {
		if item.Key == job.KeyCommit {
			committed.Record = decodeItem(item)
		}
	}
	return committed
}
