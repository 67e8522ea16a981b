package inventory

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/protocol/jobspb"
	"github.com/jujubearch/jujubearch/internal/state/job"
)

func drawInventory(t *rapid.T) job.Inventory {
	inv := job.Inventory{
		Boot: job.BootID(rapid.Int64Range(1, 2).Draw(t, "boot")), Clock: time.Second, MoreEnds: rapid.Bool().Draw(t, "more"),
	}
	for n := range 6 {
		if !rapid.Bool().Draw(t, "running") {
			continue
		}
		inv.Running = append(inv.Running, job.RunningTask{
			Run:        job.Run{Task: job.Task{Job: "j", Index: n}, Number: job.RunNumber(rapid.IntRange(1, 2).Draw(t, "run"))},
			Checkpoint: job.Checkpoint(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint")),
			Percent:    rapid.IntRange(0, 100).Draw(t, "percent"), Measurement: float64(rapid.IntRange(0, 3).Draw(t, "measured")),
		})
	}
	inv.Running = rapid.Permutation(inv.Running).Draw(t, "order")
	for range rapid.IntRange(0, 2).Draw(t, "ends") {
		inv.Ended = append(inv.Ended, job.EndedTask{
			Run: job.Run{Task: job.Task{Job: "e"}, Number: 9}, Sequence: int64(len(inv.Ended) + 1), Kind: job.EndDone,
		})
	}
	return inv
}

func rowsByRun(rows []job.RunningTask) map[job.Run]job.RunningTask {
	byRun := make(map[job.Run]job.RunningTask)
	for _, row := range rows {
		byRun[row.Run] = row
	}
	return byRun
}

// Guards against a leader whose picture of a worker differs from the worker's report, after any sequence of reports
// of which some are lost on the way.
func TestDecoderFollowsEncoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var encoder Encoder
		var decoder Decoder
		// known are the sequence numbers of the ends that the leader got, by boot.
		known := make(map[job.BootID]int64)
		for range rapid.IntRange(1, 8).Draw(t, "reports") {
			inv := drawInventory(t)
			encoded, err := proto.Marshal(encoder.Encode(inv, Detail{Measurements: true, Checkpoints: true}))
			assert.NilError(t, err)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue
			}
			var message jobspb.Inventory
			assert.NilError(t, proto.Unmarshal(encoded, &message))
			decoded, err := decoder.Decode(&message, inv.Clock)
			if err != nil {
				assert.ErrorIs(t, err, ErrUnknownBase)
				encoder.Reset()
				continue
			}
			assert.DeepEqual(t, rowsByRun(decoded.Running), rowsByRun(inv.Running))
			for _, end := range decoded.Ended {
				known[decoded.Boot] = max(known[decoded.Boot], end.Sequence)
			}
			assert.Assert(t, known[inv.Boot] >= int64(len(inv.Ended)), "an end is missing")
			assert.Equal(t, decoded.Boot, inv.Boot)
			assert.Equal(t, decoded.MoreEnds, inv.MoreEnds)
		}
	})
}

// Guards against reports between measurements that carry every figure, and against runs that these omit.
func TestUnmeasuredReportsCarryOnlyRunsAndEnds(t *testing.T) {
	var encoder Encoder
	var decoder Decoder
	row := func(index, percent int) job.RunningTask {
		return job.RunningTask{Run: job.Run{Task: job.Task{Job: "j", Index: index}, Number: 1}, Percent: percent, Measurement: 7}
	}
	for n, inv := range []job.Inventory{
		{Running: []job.RunningTask{row(0, 10), row(1, 20)}},
		{Running: []job.RunningTask{row(1, 60), row(2, 5)}},
	} {
		message := encoder.Encode(inv, Detail{Measurements: n == 0})
		decoded, err := decoder.Decode(message, 0)
		assert.NilError(t, err)
		if n == 1 {
			assert.Equal(t, len(message.GetChanged()), 0)
			assert.Assert(t, decoded.Unmeasured)
			assert.DeepEqual(t, decoded.Running, []job.RunningTask{row(1, 20), row(2, 5)})
		}
	}
}

// Guards against a malformed message that takes the process down or changes what the decoder holds.
func FuzzDecode(f *testing.F) {
	var encoder Encoder
	for _, measured := range []bool{true, false} {
		seed, err := proto.Marshal(encoder.Encode(job.Inventory{
			Running: []job.RunningTask{{Run: job.Run{Task: job.Task{Job: "j"}, Number: 1}, Percent: 4}},
			Ended:   []job.EndedTask{{Sequence: 1, Kind: job.EndDone}},
		}, Detail{Measurements: measured, Checkpoints: measured}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Add([]byte{0x22, 1, 9, 0x2a, 1, 200})
	f.Fuzz(func(t *testing.T, data []byte) {
		var message jobspb.Inventory
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		decoder := Decoder{number: message.GetBase(), rows: make([]job.RunningTask, 2)}
		before := decoder.Number()
		if _, err := decoder.Decode(&message, 0); err != nil && decoder.Number() != before {
			t.Fatalf("a refused message changed the decoder: %v", err)
		}
	})
}
