// Package convert translates between the generated protobuf messages and the types of the state and coordination
// packages. Functions that return an error reject values that those types cannot represent; the error names the value.
// Enums are converted by number: the constants of both sides have the same values, except for the phases of jobs.
package convert

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// ResourcesToProto converts resources.
func ResourcesToProto(r model.Resources) *platformpb.Resources {
	return &platformpb.Resources{CpuMillis: r.CPUMillis, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// ResourcesFromProto converts resources; nil becomes zero.
func ResourcesFromProto(r *platformpb.Resources) model.Resources {
	return model.Resources{
		CPUMillis: r.GetCpuMillis(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators(),
	}
}

// maxMilliseconds is the longest duration in milliseconds that a time.Duration can hold.
const maxMilliseconds = uint64(math.MaxInt64 / int64(time.Millisecond))

// maxMicroseconds is the longest duration in microseconds that a time.Duration can hold.
const maxMicroseconds = uint64(math.MaxInt64 / int64(time.Microsecond))

// TaskIDFromString parses a task id of the form "job/index".
func TaskIDFromString(text string) (model.TaskID, error) {
	slash := strings.LastIndexByte(text, '/')
	if slash <= 0 {
		return model.TaskID{}, errors.Errorf("task id %q has no index", text)
	}
	index, err := strconv.ParseUint(text[slash+1:], 10, 32)
	if err != nil {
		return model.TaskID{}, errors.Annotatef(err, "task id %q", text)
	}
	id := model.TaskID{Job: model.JobID(text[:slash]), Index: uint32(index)}
	if id.String() != text {
		// With more than one accepted spelling, a worker could treat "a/01" and "a/1" as different tasks.
		return model.TaskID{}, errors.Errorf("task id %q: the index has leading zeros", text)
	}
	return id, nil
}

// OrderToProto converts an order for a worker. It rounds the lease down to a second and the run time down to a
// millisecond.
func OrderToProto(o model.Order) *platformpb.Order {
	return &platformpb.Order{
		Kind: platformpb.OrderKind(o.Kind), TaskId: o.Task.String(), Attempt: uint64(o.Attempt),
		Resources: ResourcesToProto(o.Resources), LeaseSeconds: uint32(o.Lease / time.Second),
		Checkpoint: o.Checkpoint, ThrottlePercent: o.ThrottlePercent, TaskKind: o.TaskKind, Exclusive: o.Exclusive,
		WorkMilliseconds: uint64(o.RunTime / time.Millisecond),
	}
}

// OrderFromProto converts an order for a worker. It rejects an unknown kind, a malformed task id, negative resources
// and a run time that does not fit a time.Duration.
func OrderFromProto(o *platformpb.Order) (model.Order, error) {
	order := model.Order{
		Kind: model.OrderKind(o.GetKind()), Attempt: model.Attempt(o.GetAttempt()),
		Resources: ResourcesFromProto(o.GetResources()), Lease: time.Duration(o.GetLeaseSeconds()) * time.Second,
		Checkpoint: o.GetCheckpoint(), ThrottlePercent: o.GetThrottlePercent(), TaskKind: o.GetTaskKind(),
		Exclusive: o.GetExclusive(), RunTime: time.Duration(o.GetWorkMilliseconds()) * time.Millisecond,
	}
	if order.Resources.IsNegative() {
		return model.Order{}, errors.Errorf("resources %+v are negative", order.Resources)
	}
	if o.GetWorkMilliseconds() > maxMilliseconds {
		return model.Order{}, errors.Errorf("run time of %d ms does not fit a duration", o.GetWorkMilliseconds())
	}
	if order.Kind < model.OrderFence || order.Kind > model.OrderForget {
		return model.Order{}, errors.Errorf("unknown order kind %d", o.GetKind())
	}
	if order.Kind == model.OrderFence {
		return order, nil
	}
	id, err := TaskIDFromString(o.GetTaskId())
	if err != nil {
		return model.Order{}, errors.Trace(err)
	}
	order.Task = id
	return order, nil
}

// ReportFromProto converts a worker's response to the given orders. The response must hold one result for each order.
func ReportFromProto(orders []model.Order, r *platformpb.ApplyResponse) (model.WorkerReport, error) {
	if len(r.GetResults()) != len(orders) {
		return model.WorkerReport{}, errors.Errorf("%d results for %d orders", len(r.GetResults()), len(orders))
	}
	report := model.WorkerReport{
		Worker: model.WorkerID(r.GetWorkerId()), Incarnation: r.GetIncarnation(),
		HighestEpoch: model.Epoch(r.GetHighestEpoch()), Capacity: ResourcesFromProto(r.GetCapacity()),
	}
	if report.Capacity.IsNegative() {
		return model.WorkerReport{}, errors.Errorf("capacity %+v is negative", report.Capacity)
	}
	for i, result := range r.GetResults() {
		outcome := model.OrderResult{Order: orders[i]}
		if !result.GetAccepted() {
			outcome.Refused = model.RefusalReason(result.GetReason())
		}
		report.Results = append(report.Results, outcome)
	}
	for _, status := range r.GetTasks() {
		run, err := runStatusFromProto(status)
		if err != nil {
			return model.WorkerReport{}, errors.Trace(err)
		}
		report.Runs = append(report.Runs, run)
	}
	return report, nil
}

func runStatusFromProto(s *platformpb.TaskStatus) (model.RunStatus, error) {
	id, err := TaskIDFromString(s.GetTaskId())
	if err != nil {
		return model.RunStatus{}, errors.Trace(err)
	}
	phase := model.RunPhase(s.GetPhase())
	if phase < model.RunRunning || phase > model.RunStopped {
		return model.RunStatus{}, errors.Errorf("task %s: unknown phase %d", id, s.GetPhase())
	}
	if ResourcesFromProto(s.GetReserved()).IsNegative() || ResourcesFromProto(s.GetUsed()).IsNegative() {
		return model.RunStatus{}, errors.Errorf("task %s: resources are negative", id)
	}
	if s.GetUsageAgeMilliseconds() > maxMilliseconds || s.GetLatencyP99Microseconds() > maxMicroseconds {
		return model.RunStatus{}, errors.Errorf("task %s: the usage age or the latency does not fit a duration", id)
	}
	return model.RunStatus{
		Task: id, Attempt: model.Attempt(s.GetAttempt()), Phase: phase, Reserved: ResourcesFromProto(s.GetReserved()),
		Used: ResourcesFromProto(s.GetUsed()), UsageAge: time.Duration(s.GetUsageAgeMilliseconds()) * time.Millisecond,
		Checkpoint: s.GetCheckpoint(), ThrottlePercent: s.GetThrottlePercent(), Message: s.GetMessage(),
		LatencyP99:       time.Duration(s.GetLatencyP99Microseconds()) * time.Microsecond,
		ProgressPermille: s.GetProgressPermille(),
	}, nil
}

// ReportToProto converts a worker's report. Only simulated workers send reports.
func ReportToProto(r model.WorkerReport) *platformpb.ApplyResponse {
	response := &platformpb.ApplyResponse{
		HighestEpoch: uint64(r.HighestEpoch), Capacity: ResourcesToProto(r.Capacity), WorkerId: string(r.Worker),
		Incarnation: r.Incarnation,
	}
	for _, result := range r.Results {
		response.Results = append(response.Results, &platformpb.OrderResult{
			Accepted: result.Refused == "", Reason: string(result.Refused),
		})
	}
	for _, run := range r.Runs {
		response.Tasks = append(response.Tasks, &platformpb.TaskStatus{
			TaskId: run.Task.String(), Attempt: uint64(run.Attempt), Phase: platformpb.TaskPhase(run.Phase),
			Reserved: ResourcesToProto(run.Reserved), Used: ResourcesToProto(run.Used),
			UsageAgeMilliseconds: uint64(run.UsageAge / time.Millisecond), Checkpoint: run.Checkpoint,
			ThrottlePercent: run.ThrottlePercent, Message: run.Message,
			LatencyP99Microseconds: uint64(run.LatencyP99 / time.Microsecond), ProgressPermille: run.ProgressPermille,
		})
	}
	return response
}

// VMListFromProto converts the platform's list of VMs.
func VMListFromProto(r *platformpb.ListVMsResponse) model.VMList {
	list := model.VMList{Revision: r.GetRevision()}
	for _, vm := range r.GetVms() {
		list.VMs = append(list.VMs, model.VM{
			ID: model.VMID(vm.GetId()), Address: vm.GetAddress(), DataCentre: model.DataCentre(vm.GetDataCentre()),
			Rack: vm.GetRack(), Role: model.VMRole(vm.GetRole()), Service: model.ServiceName(vm.GetService()),
			Leaving: vm.GetLeaving(), Capacity: ResourcesFromProto(vm.GetCapacity()),
		})
	}
	return list
}

// VMListToProto converts a list of VMs. Only a simulated platform sends the list.
func VMListToProto(list model.VMList) *platformpb.ListVMsResponse {
	response := &platformpb.ListVMsResponse{Revision: list.Revision}
	for _, vm := range list.VMs {
		response.Vms = append(response.Vms, &platformpb.VM{
			Id: string(vm.ID), Address: vm.Address, DataCentre: string(vm.DataCentre), Rack: vm.Rack,
			Role: string(vm.Role), Service: string(vm.Service), Leaving: vm.Leaving,
			Capacity: ResourcesToProto(vm.Capacity),
		})
	}
	return response
}
