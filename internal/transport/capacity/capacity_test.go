package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/coordination/controllertest"
	"github.com/jujubearch/jujubearch/internal/protocol/convert"
	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
	"github.com/jujubearch/jujubearch/internal/protocol/record"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	slopesFile = "../../../docs/capacity.json"
	pageFile   = "../../../docs/CAPACITY.md"
	// callOverhead is an estimate of the bytes of HTTP/2 framing and headers of one call and its response.
	callOverhead   = 200
	tasksPerWorker = 22
	warmUpTime     = 30 * time.Second
	measuredTime   = 10 * time.Second
)

// sample holds the measurements of one run. All are rates per second except heap, which is in bytes.
type sample struct {
	stepMicros, calls, orderBytes, writes, storeBytes, starts, heap float64
}

// measure simulates one data centre with 16 shards and returns what its controllers use. Tasks with a run time of 0
// never end.
func measure(t *testing.T, workers, tasks int, runTime time.Duration) sample {
	t.Helper()
	oneCore := model.Resources{CPUMillis: 1000, MemoryBytes: 1 << 30}
	sim := controllertest.New(1)
	sim.Build(controllertest.Topology{
		DataCentres: []model.DataCentre{"a"}, Entries: 2, Workers: workers, Capacity: oneCore.Times(64),
	})
	sim.Put(model.KeyHead, &model.Head{
		Config:      model.Config{Version: 1, ShardsPerDataCentre: ShardsPerCentre},
		Delegations: delegations(tasks, runTime, oneCore),
	})
	sim.Run(warmUpTime)
	var s sample
	starts := 0
	sim.Observe = func(a controller.Action) { s.observe(t, a, &starts) }
	sim.Clock = time.Now
	sim.Run(measuredTime)
	seconds := measuredTime.Seconds()
	s.stepMicros = float64(sim.StepTime.Microseconds()) / seconds
	s.calls, s.orderBytes = s.calls/seconds, s.orderBytes/seconds
	s.writes, s.storeBytes, s.starts = s.writes/seconds, s.storeBytes/seconds, float64(starts)/seconds
	s.heap = controllerHeap(sim)
	return s
}

// delegations spreads tasks evenly over the shards, in ten jobs per shard with run times from runTime to almost twice
// that.
func delegations(tasks int, runTime time.Duration, size model.Resources) []model.Delegation {
	const jobsPerShard = 10
	var all []model.Delegation
	count := uint32(max(tasks/(ShardsPerCentre*jobsPerShard), 1))
	for shard := range model.ShardID(ShardsPerCentre) {
		for i := range jobsPerShard {
			job := model.Job{
				ID: model.JobID(fmt.Sprintf("j%d-%d", shard, i)), Kind: "k", Team: "t", Tasks: count, Declared: size,
				RunTime: runTime + runTime*time.Duration(i)/jobsPerShard,
			}
			all = append(all, model.Delegation{Job: job, Count: count, Shard: shard})
		}
	}
	return all
}

// observe adds the calls, bytes and store writes of an action to the sample and counts the tasks that it starts.
func (s *sample) observe(t *testing.T, action controller.Action, starts *int) {
	switch a := action.(type) {
	case controller.SendOrders:
		s.calls++
		request := &platformpb.ApplyRequest{Shard: uint32(a.Shard), Epoch: uint64(a.Epoch)}
		for _, o := range a.Orders {
			request.Orders = append(request.Orders, convert.OrderToProto(o))
			if o.Kind == model.OrderStart {
				*starts++
			}
		}
		// A report lists all tasks of the worker, so its size is estimated as that of tasksPerWorker statuses.
		status := &platformpb.TaskStatus{
			TaskId: "job-name@1234/123", Attempt: 1, Phase: platformpb.TaskPhase_TASK_PHASE_RUNNING,
			Reserved: &platformpb.Resources{CpuMillis: 1000, MemoryBytes: 1 << 30}, ThrottlePercent: 100,
			Used: &platformpb.Resources{CpuMillis: 900, MemoryBytes: 1 << 29}, UsageAgeMilliseconds: 2000,
		}
		s.orderBytes += float64(callOverhead + proto.Size(request) + tasksPerWorker*proto.Size(status))
	case controller.StoreCall:
		if a.Op != controller.OpSwap || a.Value == nil {
			return
		}
		encoded, err := record.Encode(a.Key, a.Value)
		assert.NilError(t, err)
		s.writes++
		s.storeBytes += float64(callOverhead + len(encoded))
	}
}

// controllerHeap returns the heap memory that is reachable only through the controllers. It drops them from sim.
func controllerHeap(sim *controllertest.Simulation) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, e := range sim.Entries {
		e.Core = nil
	}
	sim.Entries = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(before.HeapAlloc) - float64(after.HeapAlloc)
}

// fitLine fits a line by least squares; x names the variable of which at has the values.
func fitLine(x, unit string, at, values []float64) Line {
	base, slope := stat.LinearRegression(at, values, nil, false)
	return Line{
		X: x, Unit: unit, At: at, Values: values, Base: base, Slope: slope,
		R2: stat.RSquared(at, values, nil, base, slope),
	}
}

// TestMeasureSlopes measures the slopes and writes docs/capacity.json and the tables of docs/CAPACITY.md. It runs on
// demand only (make capacity), because CPU times differ between runs.
func TestMeasureSlopes(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("set CAPACITY=1 to measure")
	}
	var workers, tasks, stepMicros, calls, orderBytes, heap []float64
	for _, n := range []int{50, 100, 200, 275} {
		s := measure(t, n, n*tasksPerWorker, 0)
		workers, tasks = append(workers, float64(n)), append(tasks, float64(n*tasksPerWorker))
		stepMicros, calls = append(stepMicros, s.stepMicros), append(calls, s.calls)
		orderBytes, heap = append(orderBytes, s.orderBytes), append(heap, s.heap)
	}
	var starts, startMicros, startBytes, writes, storeBytes []float64
	for _, running := range []int{640, 1600, 3200, 4800} {
		s := measure(t, 275, running*12, 10*time.Second)
		starts, startMicros = append(starts, s.starts), append(startMicros, s.stepMicros)
		startBytes, writes, storeBytes = append(startBytes, s.orderBytes), append(writes, s.writes),
			append(storeBytes, s.storeBytes)
	}
	// Rounded figures that TestHeartbeatBytesStayInBudget of protocol/convert logs.
	entries, heartbeatBytes := []float64{6, 12, 24, 37}, []float64{4400, 8600, 17_000, 26_200}
	slopes := Slopes{
		StepMicrosPerSecond: fitLine("workers", "us/s", workers, stepMicros),
		OrderCalls:          fitLine("workers", "calls/s", workers, calls),
		OrderBytes:          fitLine("workers", "B/s", workers, orderBytes),
		HeapBytes:           fitLine("running tasks", "B", tasks, heap),
		StartMicros:         fitLine("starts/s", "us/s", starts, startMicros),
		StartOrderBytes:     fitLine("starts/s", "B/s", starts, startBytes),
		StoreWrites:         fitLine("starts/s", "writes/s", starts, writes),
		StoreBytes:          fitLine("starts/s", "B/s", starts, storeBytes),
		HeartbeatBytes:      fitLine("entries", "B/s", entries, heartbeatBytes),
	}
	encoded, err := json.MarshalIndent(slopes, "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(slopesFile, append(encoded, '\n'), 0o600))
	writeTables(t, slopes)
}

// tableEntries lists the numbers of entries for which docs/CAPACITY.md has a table.
var tableEntries = []float64{6, 24}

// markedTable returns a table between the markers that enclose it on the page.
func markedTable(slopes Slopes, entries float64) string {
	return fmt.Sprintf("<!-- table for %v entries -->\n%s<!-- end -->", entries, Table(Rows(slopes, entries)))
}

// writeTables replaces the tables between the markers of docs/CAPACITY.md.
func writeTables(t *testing.T, slopes Slopes) {
	t.Helper()
	page, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	text := string(page)
	for _, entries := range tableEntries {
		start := strings.Index(text, fmt.Sprintf("<!-- table for %v entries -->", entries))
		assert.Assert(t, start >= 0)
		length := strings.Index(text[start:], "<!-- end -->") + len("<!-- end -->")
		text = text[:start] + markedTable(slopes, entries) + text[start+length:]
	}
	assert.NilError(t, os.WriteFile(pageFile, []byte(text), 0o600))
}

// The tables of docs/CAPACITY.md must be those that the committed slopes give.
func TestPageMatchesSlopes(t *testing.T) {
	text, err := os.ReadFile(slopesFile)
	assert.NilError(t, err)
	var slopes Slopes
	assert.NilError(t, json.Unmarshal(text, &slopes))
	page, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	for _, entries := range tableEntries {
		if table := markedTable(slopes, entries); !strings.Contains(string(page), table) {
			t.Errorf("docs/CAPACITY.md must contain:\n%s", table)
		}
	}
}
