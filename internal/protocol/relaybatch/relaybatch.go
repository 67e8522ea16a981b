// Package relaybatch encodes batches of orders that the leader hands to a relay, an entry that carries them to workers,
// and the results. A batch introduces each worker once a session and holds each payload once.
//
// Guarantee: a malformed order is reported with its id and does not affect the others of its batch.
package relaybatch

import (
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/protocol/inventory"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// ErrMalformedOrder means that an order names no known worker or payload, or has no known kind.
const ErrMalformedOrder = errors.ConstError("malformed order")

// maxRefusal is the highest value of job.RefusalKind.
const maxRefusal = uint32(job.RefusedPermit)

// Writer encodes the orders of a session. Its zero value has introduced no worker.
type Writer struct {
	workers map[workerKey]uint32
	// payloads are those of the present batch.
	payloads map[string]uint32
}

// workerKey identifies a worker at an address, and the fence of the orders to it. A worker is introduced anew when one of
// them changes.
type workerKey struct {
	id      model.WorkerID
	address string
	fence   model.Epoch
}

// Begin begins a batch.
func (w *Writer) Begin() { w.payloads = make(map[string]uint32) }

// Add adds an order to a batch; an action that is no order to a worker is ignored. lastInventory is the number of the
// last inventory of the worker.
func (w *Writer) Add(batch *jobspb.FollowResponse, id uint64, action dispatch.Action, lastInventory uint64) {
	target, ok := dispatch.TargetOf(action)
	if !ok {
		return
	}
	m := &jobspb.Order{Id: id, Worker: w.introduce(batch, target)}
	switch a := action.(type) {
	case dispatch.Hold:
		m.Kind = &jobspb.Order_Hold{Hold: &jobspb.HoldOrder{
			Acknowledged: a.Acknowledged, Inventory: lastInventory, LeaseEndMillis: a.LeaseEnd.Milliseconds(),
			WaitMillis: uint32(a.Wait.Milliseconds()),
		}}
	case dispatch.Start:
		m.Kind = &jobspb.Order_Start{Start: &jobspb.StartOrder{
			Run: inventory.RunToProto(a.Run), Payload: w.payload(batch, a.Payload),
			LeaseEndMillis: a.LeaseEnd.Milliseconds(), Checkpoint: string(a.Checkpoint), Permit: string(a.Permit),
		}}
	case dispatch.Stop:
		m.Kind = &jobspb.Order_Stop{Stop: &jobspb.StopOrder{Run: inventory.RunToProto(a.Run)}}
	case dispatch.Pace:
		m.Kind = &jobspb.Order_Pace{Pace: &jobspb.PaceOrder{
			Run: inventory.RunToProto(a.Run), Percent: uint32(max(a.Percent, 0)),
		}}
	}
	batch.Orders = append(batch.Orders, m)
}

func (w *Writer) introduce(batch *jobspb.FollowResponse, target dispatch.Target) uint32 {
	key := workerKey{target.Worker, target.Address, target.Fence}
	number, known := w.workers[key]
	if !known {
		if w.workers == nil {
			w.workers = make(map[workerKey]uint32)
		}
		number = uint32(len(w.workers))
		w.workers[key] = number
		batch.Workers = append(batch.Workers, &jobspb.Worker{
			Number: number, Id: string(target.Worker), Address: target.Address, Fence: uint64(target.Fence),
		})
	}
	return number
}

func (w *Writer) payload(batch *jobspb.FollowResponse, text string) uint32 {
	index, known := w.payloads[text]
	if !known {
		index = uint32(len(batch.Payloads))
		w.payloads[text] = index
		batch.Payloads = append(batch.Payloads, text)
	}
	return index
}

// Reader decodes the orders of a session. Its zero value knows no worker.
type Reader struct{ workers map[uint32]workerKey }

// Order is a decoded order. The DecidedAt of a hold is not set.
type Order struct {
	ID     uint64
	Action dispatch.Action
	// LastInventory is the number of the inventory on which the acknowledgement of a hold is based.
	LastInventory uint64
	// Err is set if the order is malformed.
	Err error
}

// Read returns the orders of a batch, in their order.
func (r *Reader) Read(batch *jobspb.FollowResponse) []Order {
	if r.workers == nil {
		r.workers = make(map[uint32]workerKey)
	}
	for _, w := range batch.GetWorkers() {
		r.workers[w.GetNumber()] = workerKey{model.WorkerID(w.GetId()), w.GetAddress(), model.Epoch(w.GetFence())}
	}
	orders := make([]Order, 0, len(batch.GetOrders()))
	for _, m := range batch.GetOrders() {
		o := Order{ID: m.GetId(), LastInventory: m.GetHold().GetInventory()}
		o.Action, o.Err = r.action(batch, m)
		orders = append(orders, o)
	}
	return orders
}

func (r *Reader) action(batch *jobspb.FollowResponse, m *jobspb.Order) (dispatch.Action, error) {
	key, known := r.workers[m.GetWorker()]
	if !known || key.id == "" || key.address == "" {
		return nil, errors.Annotatef(ErrMalformedOrder, "worker %d", m.GetWorker())
	}
	target := dispatch.Target{Worker: key.id, Address: key.address, Epoch: model.Epoch(batch.GetEpoch()), Fence: key.fence}
	if target.Fence == 0 {
		target.Fence = target.Epoch
	}
	switch kind := m.GetKind().(type) {
	case *jobspb.Order_Hold:
		return dispatch.Hold{
			Target: target, Acknowledged: kind.Hold.GetAcknowledged(), LeaseEnd: milliseconds(kind.Hold.GetLeaseEndMillis()),
			Wait: milliseconds(int64(kind.Hold.GetWaitMillis())),
		}, nil
	case *jobspb.Order_Start:
		payload := kind.Start.GetPayload()
		if int64(payload) >= int64(len(batch.GetPayloads())) {
			return nil, errors.Annotatef(ErrMalformedOrder, "payload %d", payload)
		}
		return dispatch.Start{
			Target: target, Run: inventory.RunFromProto(kind.Start.GetRun()), Payload: batch.GetPayloads()[payload],
			LeaseEnd:   milliseconds(kind.Start.GetLeaseEndMillis()),
			Checkpoint: job.Checkpoint(kind.Start.GetCheckpoint()), Permit: job.Permit(kind.Start.GetPermit()),
		}, nil
	case *jobspb.Order_Stop:
		return dispatch.Stop{Target: target, Run: inventory.RunFromProto(kind.Stop.GetRun())}, nil
	case *jobspb.Order_Pace:
		return dispatch.Pace{
			Target: target, Run: inventory.RunFromProto(kind.Pace.GetRun()), Percent: int(kind.Pace.GetPercent()),
		}, nil
	}
	return nil, errors.Annotate(ErrMalformedOrder, "unknown kind")
}

// ResultToProto converts the outcome of an order without an inventory.
func ResultToProto(id uint64, r job.OrderResponse) *jobspb.Result {
	m := &jobspb.Result{
		Id: id, Refusal: uint32(r.Refusal), ClockMillis: r.Clock.Milliseconds(), NoListener: r.NoListener,
	}
	if r.Err != nil {
		m.Verdict = jobspb.Verdict_VERDICT_MAY_HAVE_RUN
		if verdict.Of(r.Err) == verdict.NotRun {
			m.Verdict = jobspb.Verdict_VERDICT_NOT_RUN
		}
	}
	return m
}

// ResultFromProto converts the outcome of an order. An unknown refusal or verdict counts as no response.
func ResultFromProto(m *jobspb.Result) job.OrderResponse {
	r := job.OrderResponse{Clock: milliseconds(m.GetClockMillis()), NoListener: m.GetNoListener()}
	switch {
	case m.GetVerdict() == jobspb.Verdict_VERDICT_NOT_RUN:
		r.Err, r.FromRelay = verdict.NotRunError("the relay did not send the order", nil), true
	case m.GetVerdict() != jobspb.Verdict_VERDICT_UNSPECIFIED || m.GetRefusal() > maxRefusal:
		r.Err, r.FromRelay = verdict.MayHaveRunError("the relay got no response", nil), true
	default:
		r.Refusal = job.RefusalKind(m.GetRefusal())
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
