package convert

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

// ErrMalformedOrder means that an order names no worker or has no known kind.
const ErrMalformedOrder = errors.ConstError("malformed order")

// maxRefusal is the highest value of job.RefusalKind.
const maxRefusal = uint32(job.RefusedPermit)

// RelayOrderToProto converts an order to a worker; nil if the action is none. lastInventory is the number of the last
// inventory from the worker.
func RelayOrderToProto(id uint64, action dispatch.Action, lastInventory uint64) *jobspb.Order {
	target, ok := dispatch.TargetOf(action)
	if !ok {
		return nil
	}
	m := &jobspb.Order{Id: id, Worker: string(target.Worker), Address: target.Address}
	switch a := action.(type) {
	case dispatch.Hold:
		m.Kind = &jobspb.Order_Hold{Hold: &jobspb.HoldOrder{
			Acknowledged: a.Acknowledged, Inventory: lastInventory, LeaseEndMillis: a.LeaseEnd.Milliseconds(),
			WaitMillis: uint32(a.Wait.Milliseconds()),
		}}
	case dispatch.Start:
		m.Kind = &jobspb.Order_Start{Start: &jobspb.StartOrder{
			Run: inventory.RunToProto(a.Run), Payload: a.Payload, LeaseEndMillis: a.LeaseEnd.Milliseconds(),
			Checkpoint: string(a.Checkpoint), Permit: string(a.Permit),
		}}
	case dispatch.Stop:
		m.Kind = &jobspb.Order_Stop{Stop: &jobspb.StopOrder{Run: inventory.RunToProto(a.Run)}}
	case dispatch.Pace:
		m.Kind = &jobspb.Order_Pace{Pace: &jobspb.PaceOrder{
			Run: inventory.RunToProto(a.Run), Percent: uint32(max(a.Percent, 0)),
		}}
	}
	return m
}

// RelayOrderFromProto converts an order of the leader with the given epoch. The DecidedAt of a hold is not set.
func RelayOrderFromProto(m *jobspb.Order, epoch model.Epoch) (dispatch.Action, error) {
	target := dispatch.Target{Worker: model.WorkerID(m.GetWorker()), Address: m.GetAddress(), Epoch: epoch}
	if target.Worker == "" || target.Address == "" {
		return nil, errors.Annotate(ErrMalformedOrder, "no worker")
	}
	switch kind := m.GetKind().(type) {
	case *jobspb.Order_Hold:
		return dispatch.Hold{
			Target: target, Acknowledged: kind.Hold.GetAcknowledged(), LeaseEnd: milliseconds(kind.Hold.GetLeaseEndMillis()),
			Wait: milliseconds(int64(kind.Hold.GetWaitMillis())),
		}, nil
	case *jobspb.Order_Start:
		return dispatch.Start{
			Target: target, Run: inventory.RunFromProto(kind.Start.GetRun()), Payload: kind.Start.GetPayload(),
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

// RelayResultToProto converts the outcome of an order without an inventory.
func RelayResultToProto(id uint64, r job.OrderResponse) *jobspb.Result {
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

// RelayResultFromProto converts the outcome of an order. An unknown refusal or verdict counts as no response.
func RelayResultFromProto(m *jobspb.Result) job.OrderResponse {
	r := job.OrderResponse{Clock: milliseconds(m.GetClockMillis()), NoListener: m.GetNoListener()}
	switch {
	case m.GetVerdict() == jobspb.Verdict_VERDICT_NOT_RUN:
		r.Err = verdict.NotRunError("the relay did not send the order", nil)
	case m.GetVerdict() != jobspb.Verdict_VERDICT_UNSPECIFIED || m.GetRefusal() > maxRefusal:
		r.Err = verdict.MayHaveRunError("the relay got no response", nil)
	default:
		r.Refusal = job.RefusalKind(m.GetRefusal())
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
