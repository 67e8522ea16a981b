package invariant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

var (
	task           = model.TaskID{Job: "sort", Index: 3}
	otherTask      = model.TaskID{Job: "sort", Index: 4}
	workerCapacity = model.Resources{CPUMillis: 4000, MemoryBytes: 8 << 30, Accelerators: 1}
	halfCPU        = model.Resources{CPUMillis: 2000}
	mostCPU        = model.Resources{CPUMillis: 3000}
	origin         = time.Unix(1_000_000, 0)
)

func at(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

func placed(w model.WorkerID, id model.TaskID, n model.Attempt, size model.Resources, checkpoint string) Placed {
	return Placed{Worker: w, Task: id, Attempt: n, Reserved: size, Exclusive: true, Checkpoint: checkpoint}
}

func started(w model.WorkerID, id model.TaskID, n model.Attempt, size model.Resources, checkpoint string) Started {
	return Started{Worker: w, Task: id, Attempt: n, Reserved: size, Exclusive: true, Checkpoint: checkpoint}
}

// validHistory violates no guarantee.
var validHistory = History{
	WorkerSeen{"w1", workerCapacity},
	WorkerSeen{"w2", workerCapacity},
	placed("w1", task, 1, halfCPU, ""), placed("w1", otherTask, 1, halfCPU, ""),
	started("w1", task, 1, halfCPU, ""), started("w1", otherTask, 1, halfCPU, ""),
	Stopped{"w1", task, 1},
	Released{task, 1, "c1"},
	placed("w2", task, 2, mostCPU, "c1"), started("w2", task, 2, mostCPU, "c1"),
	WorkerStopped{"w1"},
	Released{otherTask, 1, ""},
	Cancelled{"other-job"},
	placed("w1", otherTask, 2, halfCPU, ""), started("w1", otherTask, 2, halfCPU, ""),
	Stopped{"w2", task, 2},
	Finished{task, 2},
	RequestAccepted{"e1", "r1"},
	RequestSent{"r1", "i1", at(0)},
	RequestRan{"r1", "k1", "i1"},
	ResponseReceived{Request: "r1", ResponseTo: "r1"},
	RequestEnded{"e1", "r1"},
	RequestAccepted{"e1", "r2"},
	RefusedNotRun{"r2"},
	ResponseReceived{Request: "r2"},
	RequestEnded{"e1", "r2"},
	LeavingMarked{"i1", at(1)},
	RequestSent{"r3", "i1", at(4)},
	RequestRan{"r3", "", "i1"},
	RequestRan{"r3", "", "i2"},
	ShutdownCut{"e1", 0},
	ShutdownDone{"e1"},
	ConfigAccepted{1, at(0)},
	ConfigApplied{"e2", 1, 1},
	ConfigAccepted{2, at(5)},
	ConfigInForce{"e2", 1, at(8)},
	ConfigApplied{"e2", 1, 2},
	ConfigInForce{"e2", 2, at(9)},
	ConfigApplied{"e2", 2, 1},
	ConfigApplied{"e2", 2, 2},
}

// Guards against a checker that reports a violation where the guarantees allow the behaviour.
func TestValidHistoryHasNoViolation(t *testing.T) {
	assert.DeepEqual(t, Check(validHistory), []Violation(nil))
	assert.Equal(t, len(Unresumed(validHistory)), 0)
}

// Guards against a checker that misses a violation of its guarantee.
func TestInvalidHistoriesAreReported(t *testing.T) {
	seen := WorkerSeen{"w1", workerCapacity}
	for name, tc := range map[string]struct {
		guarantee string
		history   History
	}{
		"reservations above the capacity": {"P1", History{
			seen, placed("w1", task, 1, mostCPU, ""), placed("w1", otherTask, 1, halfCPU, ""),
		}},
		"runs above the capacity": {"P1", History{
			seen, placed("w1", task, 1, mostCPU, ""), started("w1", task, 1, mostCPU, ""),
			Released{task, 1, ""},
			placed("w1", otherTask, 1, halfCPU, ""), started("w1", otherTask, 1, halfCPU, ""),
		}},
		"worker without a capacity": {"P1", History{placed("w9", task, 1, halfCPU, "")}},
		"two attempts at the same time": {"P2", History{
			seen,
			WorkerSeen{"w2", workerCapacity},
			placed("w1", task, 1, halfCPU, ""), started("w1", task, 1, halfCPU, ""),
			Released{task, 1, ""},
			placed("w2", task, 2, halfCPU, ""), started("w2", task, 2, halfCPU, ""),
		}},
		"one attempt started twice": {"P3", History{
			seen, placed("w1", task, 1, halfCPU, ""), started("w1", task, 1, halfCPU, ""),
			Stopped{"w1", task, 1},
			started("w1", task, 1, halfCPU, ""),
		}},
		"started without a placement": {"P3", History{seen, started("w1", task, 1, halfCPU, "")}},
		"placed twice": {"P3", History{
			seen, placed("w1", task, 1, halfCPU, ""), placed("w1", task, 2, halfCPU, ""),
		}},
		"resumed without its checkpoint": {"P3", History{
			seen, placed("w1", task, 1, halfCPU, ""), Released{task, 1, "c"}, placed("w1", task, 2, halfCPU, ""),
		}},
		"resumed with the same attempt": {"P3", History{
			seen, placed("w1", task, 1, halfCPU, ""), Released{task, 1, ""}, placed("w1", task, 1, halfCPU, ""),
		}},
		"placed after it finished": {"P3", History{
			seen, placed("w1", task, 1, halfCPU, ""), Finished{task, 1}, placed("w1", task, 2, halfCPU, ""),
		}},
		"placed after its cancellation": {"P3", History{
			seen, Cancelled{"sort"}, placed("w1", task, 1, halfCPU, ""),
		}},
		"released twice": {"P3", History{
			seen, placed("w1", task, 1, halfCPU, ""), Released{task, 1, ""}, Released{task, 1, ""},
		}},
		"response to another request": {"P4", History{ResponseReceived{Request: "r1", ResponseTo: "r2"}}},
		"truncated response": {"P4", History{
			ResponseReceived{Request: "r1", ResponseTo: "r1", Truncated: true},
		}},
		"two responses": {"P4", History{
			ResponseReceived{Request: "r1"}, ResponseReceived{Request: "r1"},
		}},
		"ran before not-run": {"P5", History{RequestRan{Request: "r1"}, RefusedNotRun{"r1"}}},
		"ran after not-run":  {"P5", History{RefusedNotRun{"r1"}, RequestRan{Request: "r1"}}},
		"key ran twice": {"P6", History{
			RequestRan{"r1", "k", "i1"}, RequestRan{"r2", "k", "i2"},
		}},
		"request to a leaving instance": {"P7", History{
			LeavingMarked{"i1", at(0)}, RequestSent{"r1", "i1", at(3.1)},
		}},
		"shutdown with a request in flight": {"P8", History{RequestAccepted{"e1", "r1"}, ShutdownDone{"e1"}}},
		"shutdown that cuts off a request":  {"P8", History{ShutdownCut{"e1", 1}}},
		"return to an older version": {"P9", History{
			ConfigAccepted{1, at(0)}, ConfigAccepted{2, at(1)}, ConfigApplied{"e1", 1, 2}, ConfigApplied{"e1", 1, 1},
		}},
		"version accepted twice":             {"P9", History{ConfigAccepted{1, at(0)}, ConfigAccepted{1, at(1)}}},
		"version applied but never accepted": {"P9", History{ConfigApplied{"e1", 1, 1}}},
		"version applied too late": {"P9", History{
			ConfigAccepted{1, at(0)}, ConfigInForce{"e1", 0, at(3.1)},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			found := Check(tc.history)
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Equal(t, found[0].Guarantee, tc.guarantee)
		})
	}
}

// Guards against released tasks that are never placed again without a report.
func TestUnresumedWorkIsListed(t *testing.T) {
	h := History{
		placed("w1", task, 1, halfCPU, ""),
		Released{task, 1, ""},
		Released{otherTask, 1, ""},
		placed("w1", otherTask, 2, halfCPU, ""),
	}
	assert.DeepEqual(t, Unresumed(h), []model.TaskID{task})
	assert.Equal(t, len(Unresumed(append(h, Cancelled{"sort"}))), 0)
}
