package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/coordination/limit"
	"github.com/jujubearch/jujubearch/internal/protocol/record"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/event"
	"github.com/jujubearch/jujubearch/internal/transport/platform"
)

const (
	// workerTimeout limits sending one batch of orders to a worker, including its response.
	workerTimeout = 3 * time.Second
	// maxOrderAge is the maximum time between deciding on orders and sending them. The safety margin of leases, 1% of
	// 75 min, covers it and the time in transit.
	maxOrderAge = 10 * time.Second
	// peerTimeout limits one call to a peer.
	peerTimeout = time.Second
	// watchGrace is added to the wait time of a watch to leave time for its response.
	watchGrace = 5 * time.Second
)

// Peers makes calls to other entries.
type Peers interface {
	Heartbeat(ctx context.Context, address string, hb controller.SendHeartbeat) (time.Duration, error)
	Head(ctx context.Context, address string) (controller.StoredRecord, error)
	RequestLoan(ctx context.Context, address string, r limit.Request) (limit.Response, error)
}

// Executor carries out the controller's actions by calling the platform and the peers. Its methods may be called
// concurrently.
type Executor struct {
	Store        platform.Store
	VMs          platform.VMList
	Workers      platform.Workers
	Peers        Peers
	Logger       *slog.Logger
	StoreTimeout time.Duration
}

// Perform implements Performer.
func (e *Executor) Perform(ctx context.Context, action controller.Action) (controller.Event, bool) {
	switch a := action.(type) {
	case controller.StoreCall:
		return e.storeCall(ctx, a), true
	case controller.SetTimer:
		return wakeAfter(ctx, a.Delay)
	case controller.SendOrders:
		return e.sendOrders(ctx, a), true
	case controller.ListVMs:
		return e.listVMs(ctx), true
	case controller.SendHeartbeat:
		return e.heartbeat(ctx, a)
	case controller.SendLoan:
		return e.loan(ctx, a), true
	case controller.FetchHead:
		return e.fetchHead(ctx, a), true
	case controller.Notify:
		event.Log(e.Logger, a.Code, a.Attrs...)
	}
	return nil, false
}

// wakeAfter waits for the delay and returns a TimerFired event, or false as soon as ctx ends.
func wakeAfter(ctx context.Context, delay time.Duration) (controller.Event, bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return controller.TimerFired{}, true
	case <-ctx.Done():
		return nil, false
	}
}

func (e *Executor) storeCall(ctx context.Context, call controller.StoreCall) controller.StoreDone {
	timeout := e.StoreTimeout
	if call.Op == controller.OpWatch {
		timeout = call.TTL + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := controller.StoreDone{Token: call.Token}
	switch call.Op {
	case controller.OpGet:
		r, err := e.Store.Get(ctx, call.Key)
		done.Records, done.Err = decodeRecords([]platform.Record{r}), err
	case controller.OpList:
		records, revision, err := e.Store.List(ctx, call.Key)
		done.Records, done.Revision, done.Err = decodeRecords(records), revision, err
	case controller.OpWatch:
		records, revision, err := e.Store.Watch(ctx, call.Key, call.After, call.TTL)
		done.Records, done.Revision, done.Err = decodeRecords(records), revision, err
	case controller.OpSwap:
		e.swap(ctx, call, &done)
	case controller.OpGrantLease:
		done.Lease, done.Err = e.Store.GrantLease(ctx, call.TTL)
	case controller.OpKeepAlive:
		done.Alive, done.Err = e.Store.KeepAlive(ctx, call.Lease)
	case controller.OpRevokeLease:
		done.Err = e.Store.RevokeLease(ctx, call.Lease)
	}
	return done
}

// swap executes a compare-and-swap. A nil value deletes the key. If the comparison fails, the result holds the present
// record.
func (e *Executor) swap(ctx context.Context, call controller.StoreCall, done *controller.StoreDone) {
	swap := platform.Swap{Key: call.Key, Expect: call.Expect, Lease: call.Lease, Delete: call.Value == nil}
	if call.Value != nil {
		encoded, err := record.Encode(call.Key, call.Value)
		if err != nil {
			done.Err = verdict.NotRunError("cannot encode record", err)
			return
		}
		swap.Value = encoded
	}
	swapped, current, err := e.Store.CompareAndSwap(ctx, swap)
	done.Swapped, done.Err = swapped, err
	if swapped {
		done.Revision = current.Revision
		return
	}
	done.Records = decodeRecords([]platform.Record{current})
}

// decodeRecords decodes records of the store. The value stays nil if the key does not exist.
func decodeRecords(records []platform.Record) []controller.StoredRecord {
	decoded := make([]controller.StoredRecord, 0, len(records))
	for _, r := range records {
		stored := controller.StoredRecord{Key: r.Key, Revision: r.Revision}
		if r.Revision != 0 && !r.Deleted {
			stored.Value, stored.Err = record.Decode(r.Key, r.Value)
		}
		decoded = append(decoded, stored)
	}
	return decoded
}

// sendOrders sends a batch of orders unless it is older than maxOrderAge.
func (e *Executor) sendOrders(ctx context.Context, a controller.SendOrders) controller.WorkerReported {
	if age := model.Elapsed(a.At, time.Now()); age > maxOrderAge {
		return controller.WorkerReported{
			Worker: a.Worker, Shard: a.Shard, Epoch: a.Epoch, Err: verdict.NotRunError("orders are too old to be sent", nil),
		}
	}
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	report, err := e.Workers.Apply(ctx, a.Address, a.Shard, a.Epoch, a.Orders)
	return controller.WorkerReported{Worker: a.Worker, Shard: a.Shard, Epoch: a.Epoch, Report: report, Err: err}
}

func (e *Executor) listVMs(ctx context.Context) controller.VMsListed {
	ctx, cancel := context.WithTimeout(ctx, e.StoreTimeout)
	defer cancel()
	list, err := e.VMs.ListVMs(ctx)
	return controller.VMsListed{List: list, Err: err}
}

// heartbeat sends a heartbeat to a peer. It returns no event if the peer did not respond: the controller detects that
// by a time-out of its own.
func (e *Executor) heartbeat(ctx context.Context, a controller.SendHeartbeat) (controller.Event, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	roundTrip, err := e.Peers.Heartbeat(ctx, a.Address, a)
	if err != nil {
		return nil, false
	}
	return controller.HeartbeatAnswered{Peer: a.Peer, RoundTrip: roundTrip}, true
}

func (e *Executor) loan(ctx context.Context, a controller.SendLoan) controller.LoanAnswered {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := e.Peers.RequestLoan(ctx, a.Address, a.Request)
	return controller.LoanAnswered{Peer: a.Peer, Sequence: a.Request.Sequence, Response: response, Err: err}
}

func (e *Executor) fetchHead(ctx context.Context, a controller.FetchHead) controller.HeadFetched {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	fetched := controller.HeadFetched{Peer: a.Peer}
	stored, err := e.Peers.Head(ctx, a.Address)
	if err != nil {
		fetched.Err = err
		return fetched
	}
	head, ok := stored.Value.(*model.Head)
	if !ok {
		fetched.Err = verdict.NotRunError("peer returned no usable head record", stored.Err)
		return fetched
	}
	fetched.Head, fetched.Revision = *head, stored.Revision
	return fetched
}
