package convert

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against a panic, an accepted order with values out of range, and an order that changes in a round trip.
func FuzzOrderFromProto(f *testing.F) {
	for _, order := range []model.Order{
		{Kind: model.OrderFence},
		{Kind: model.OrderStart, Task: model.TaskID{Job: "a/b", Index: 7}, Attempt: 2, Lease: 1 << 40, Checkpoint: "c"},
	} {
		encoded, err := proto.Marshal(OrderToProto(order))
		assert.NilError(f, err)
		f.Add(encoded)
	}
	for _, invalid := range []*platformpb.Order{
		{Kind: platformpb.OrderKind(model.OrderFence), WorkMilliseconds: 1 << 62},
		{Kind: platformpb.OrderKind(model.OrderFence), Resources: &platformpb.Resources{MemoryBytes: -1}},
	} {
		encoded, err := proto.Marshal(invalid)
		assert.NilError(f, err)
		f.Add(encoded)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var message platformpb.Order
		if proto.Unmarshal(encoded, &message) != nil {
			return
		}
		order, err := OrderFromProto(&message)
		if err != nil {
			return
		}
		assert.Assert(t, order.Lease >= 0 && order.RunTime >= 0 && !order.Resources.IsNegative(), "%+v", order)
		roundTripped, err := OrderFromProto(OrderToProto(order))
		assert.NilError(t, err)
		assert.DeepEqual(t, roundTripped, order)
	})
}

// Guards against a panic and against an accepted report with negative resources or durations.
func FuzzReportFromProto(f *testing.F) {
	report := model.WorkerReport{Worker: "w", Incarnation: "1", HighestEpoch: 3, Runs: []model.RunStatus{
		{Task: model.TaskID{Job: "a", Index: 1}, Attempt: 1, Phase: model.RunRunning},
	}}
	seeds := []*platformpb.ApplyResponse{
		ReportToProto(report),
		{Capacity: &platformpb.Resources{CpuMillis: -1}},
		{Tasks: []*platformpb.TaskStatus{{TaskId: "a/1", Phase: 1, UsageAgeMilliseconds: 1 << 63}}},
		{Tasks: []*platformpb.TaskStatus{{TaskId: "a/1", Phase: 1, LatencyP99Microseconds: 1 << 62}}},
		{Tasks: []*platformpb.TaskStatus{{TaskId: "a/1", Phase: 1, Reserved: &platformpb.Resources{CpuMillis: -1}}}},
	}
	for _, message := range seeds {
		encoded, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(encoded)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var message platformpb.ApplyResponse
		if proto.Unmarshal(encoded, &message) != nil {
			return
		}
		got, err := ReportFromProto(make([]model.Order, len(message.GetResults())), &message)
		if err != nil {
			return
		}
		assert.Assert(t, !got.Capacity.IsNegative(), "%+v", got.Capacity)
		for _, run := range got.Runs {
			assert.Assert(t, run.UsageAge >= 0 && run.LatencyP99 >= 0 && !run.Reserved.IsNegative(), "%+v", run)
		}
	})
}

// Guards against a panic and against a task id that changes in a round trip.
func FuzzTaskIDFromString(f *testing.F) {
	for _, text := range []string{"a/1", "a/b/4294967295", "/1", "a/", "a/-1", "a/4294967296", "a/01", "a/+1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := TaskIDFromString(text)
		if err == nil {
			assert.Equal(t, id.String(), text)
		}
	})
}
