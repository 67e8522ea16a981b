package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Pattern: batch beside services under load. Guards against best-effort tasks that are started where a serving task has
// been above its target for seconds, because it can't get worse there, while another worker has capacity.
func TestBestEffortTasksAvoidHaltingWorkers(t *testing.T) {
	sim := newSimulation(1, 2)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	sim.advanceTime(500 * time.Millisecond)
	// Two serving tasks that don't fit on one worker: the one of job s is far above its target, the other just below.
	for _, id := range []job.ID{"s", "u"} {
		serving := plainJob(id, 1)
		serving.Steps[0].LongRunning, serving.Steps[0].Image, serving.Steps[0].Size.CPUMillis = true, string(id), 6000
		serving.Steps[0].TailLatencyTarget = 100 * time.Millisecond
		sim.submit(serving)
	}
	sim.advanceTime(500 * time.Millisecond)
	tails := map[job.ID]float64{"s": 400, "u": 85}
	var over *simWorker
	for _, s := range sim.workers {
		for run, r := range s.runs {
			r.metric = tails[run.Task.Job]
			if run.Task.Job == "s" {
				over = s
			}
		}
	}
	sim.advanceTime(haltAfter + time.Second)
	batch := plainJob("b", 1)
	batch.Steps[0].BestEffort, batch.Steps[0].Image = true, "b"
	batch.Steps[0].Size = model.Resources{CPUMillis: 500, MemoryBytes: 1 << 28}
	sim.submit(batch)
	sim.advanceTime(bestEffortMaxWait + time.Second)
	for _, s := range sim.workers {
		for run := range s.runs {
			if run.Task.Job == "b" {
				assert.Assert(t, s != over, "the task is beside the serving task above its target")
				return
			}
		}
	}
	t.Fatal("the task does not run")
}
