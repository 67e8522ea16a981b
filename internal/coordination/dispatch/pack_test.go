package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// quickJob returns a job of short tasks that reserve the given number of cores each.
func quickJob(id string, tasks int, cores int64) job.Job {
	j := plainJob(job.ID(id), tasks)
	j.Steps[0].Size.CPUMillis = cores * millisPerCore
	return j
}

// Pattern: a burst of quick work of mixed sizes on a fleet that is nearly full. Guards against small quick tasks that
// take a part of every worker, so that no worker has room for a large one. The baseline is a placement of the small
// tasks on the emptiest workers, as before.
func TestSmallQuickTasksLeaveRoomForLargeOnes(t *testing.T) {
	const workers, cores, small, smallCores, large, largeCores = 10, 32, 30, 6, 4, 19
	sim := newSimulation(1, workers)
	for _, s := range sim.workers {
		s.capacity = model.Resources{CPUMillis: cores * millisPerCore, MemoryBytes: 1 << 40}
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 10 * time.Second }
	}
	sim.advanceTime(time.Second)
	for n := range small {
		sim.submit(quickJob(fmt.Sprintf("%016x", n), 1, smallCores))
		sim.advanceTime(20 * time.Millisecond)
	}
	sim.submit(quickJob("00000000000000ff", large, largeCores))
	sim.advanceTime(200 * time.Millisecond)
	running := 0
	for _, s := range sim.workers {
		for run := range s.runs {
			if run.Task.Job == "00000000000000ff" {
				running++
			}
		}
	}
	assert.Equal(t, running, large, "large tasks running")
	baseline := 0
	if cores-small/workers*smallCores >= largeCores {
		baseline = workers
	}
	assert.Assert(t, running > baseline, "%d large tasks with the small ones spread evenly", baseline)
}
