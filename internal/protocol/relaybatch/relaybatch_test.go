package relaybatch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// Guards against an order that reaches a worker with another meaning, worker or payload than the leader gave it.
func TestOrdersRoundTrip(t *testing.T) {
	target := func(worker string) dispatch.Target {
		return dispatch.Target{Worker: model.WorkerID(worker), Address: "addr-" + worker, Epoch: 7, Fence: 7}
	}
	run := job.Run{Task: job.Task{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Number: 1 << 40}
	orders := []dispatch.Action{
		dispatch.Hold{Target: target("a"), Acknowledged: 9, LeaseEnd: time.Hour, Wait: 400 * time.Millisecond},
		dispatch.Start{Target: target("b"), Run: run, Payload: "p", LeaseEnd: time.Minute, Checkpoint: "c", Permit: "t"},
		dispatch.Start{Target: target("a"), Run: run, Payload: "q"},
		dispatch.Start{Target: target("a"), Run: run, Payload: "p"},
		dispatch.Stop{Target: target("b"), Run: run},
		dispatch.Pace{Target: target("b"), Run: run, Percent: 60},
	}
	var writer Writer
	var reader Reader
	for batches := range 2 {
		response := &jobspb.FollowResponse{Epoch: 7}
		writer.Begin()
		for i, order := range orders {
			writer.Add(response, uint64(i), order, 5)
		}
		if batches == 1 {
			assert.Equal(t, len(response.GetWorkers()), 0, "workers are introduced once")
		}
		assert.Equal(t, len(response.GetPayloads()), 2)
		encoded, err := proto.Marshal(response)
		assert.NilError(t, err)
		var decoded jobspb.FollowResponse
		assert.NilError(t, proto.Unmarshal(encoded, &decoded))
		for i, o := range reader.Read(&decoded) {
			assert.NilError(t, o.Err)
			assert.Equal(t, o.ID, uint64(i))
			assert.DeepEqual(t, o.Action, orders[i])
		}
	}
}

// Guards against an order that a worker refuses, or carries out for an earlier boot, because a relay keeps to the fence from
// before the worker's restart, and against orders of earlier releases, which name none, without one.
func TestOrdersCarryTheFenceOfTheirWorker(t *testing.T) {
	var writer Writer
	var reader Reader
	for _, c := range []struct{ fence, want model.Epoch }{{7, 7}, {31, 31}, {0, 7}} {
		response := &jobspb.FollowResponse{Epoch: 7}
		writer.Begin()
		writer.Add(response, 1, dispatch.Stop{Target: dispatch.Target{Worker: "w", Address: "a", Epoch: 7, Fence: c.fence}}, 0)
		orders := reader.Read(response)
		assert.Equal(t, len(orders), 1)
		target, ok := dispatch.TargetOf(orders[0].Action)
		assert.Assert(t, ok)
		assert.DeepEqual(t, target, dispatch.Target{Worker: "w", Address: "a", Epoch: 7, Fence: c.want})
	}
}

// Guards against a lost response that is taken for a refusal, after which the order would be sent again elsewhere.
func TestResultsKeepTheirVerdict(t *testing.T) {
	for _, r := range []job.OrderResponse{
		{Clock: time.Second},
		{Refusal: job.RefusedOldRun},
		{Err: verdict.NotRunError("", nil), NoListener: true},
		{Err: verdict.MayHaveRunError("", nil)},
	} {
		got := ResultFromProto(ResultToProto(1, r))
		assert.Equal(t, got.Refusal, r.Refusal)
		assert.Equal(t, got.Clock, r.Clock)
		assert.Equal(t, got.NoListener, r.NoListener)
		assert.Equal(t, verdict.Of(got.Err), verdict.Of(r.Err))
	}
	unknown := ResultFromProto(&jobspb.Result{Refusal: 200})
	assert.Equal(t, verdict.Of(unknown.Err), verdict.MayHaveRun)
}

// Guards against a malformed batch that takes the process down, and against an order that is carried out although its
// worker or payload is unknown.
func FuzzRead(f *testing.F) {
	var writer Writer
	writer.Begin()
	response := &jobspb.FollowResponse{Epoch: 1}
	target := dispatch.Target{Worker: "w", Address: "a", Epoch: 1}
	writer.Add(response, 1, dispatch.Start{Target: target, Payload: "p"}, 0)
	writer.Add(response, 2, dispatch.Hold{Target: target}, 0)
	seed, err := proto.Marshal(response)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x22, 2, 0x10, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		var message jobspb.FollowResponse
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		var reader Reader
		for _, o := range reader.Read(&message) {
			target, isOrder := dispatch.TargetOf(o.Action)
			if o.Err == nil && (!isOrder || target.Worker == "" || target.Address == "") {
				t.Fatalf("order %d has no worker", o.ID)
			}
		}
	})
}
