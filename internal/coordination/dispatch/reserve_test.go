package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// residentFleet returns a simulation of workers of 8 cores, on each of which a long-running task takes 6 of them.
func residentFleet(workers int) *simulation {
	sim := newSimulation(1, workers)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	sim.advanceTime(time.Second)
	resident := plainJob("resident", workers)
	resident.Steps[0].LongRunning, resident.Steps[0].Size.CPUMillis = true, 6000
	sim.submit(resident)
	sim.advanceTime(time.Second)
	return sim
}

// Guards against workers that are kept free for good for a gang of which a part can run nowhere beside the other
// long-running tasks. The fleet without them would have room for it.
func TestNoWorkersAreReservedForAGangThatCannotRun(t *testing.T) {
	sim := residentFleet(8)
	sim.workers["w00"].unlisted = true
	sim.advanceTime(testMaxLease + 3*time.Second)
	free := plainJob("gang", 4)
	free.Steps[0].LongRunning, free.Steps[0].Gang = true, true
	free.Steps[0].Size.CPUMillis, free.Steps[0].MaxPerWorker = 8000, 1
	s := sim.addWorker("w90")
	s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 100 * time.Millisecond }
	sim.submit(free)
	sim.advanceTime(longRunningMaxWait + 2*time.Second)
	assert.Equal(t, len(sim.leader.reserved), 0, "workers are reserved")
}

// Guards against workers that are kept free for good for tasks that the policy of their queue allows on none.
func TestNoWorkersAreReservedWithoutPermits(t *testing.T) {
	sim := simulationWithAdvice()
	sim.advise = func(RequestAdvice) (map[model.WorkerID]job.Permit, error) { return nil, nil }
	j := plainJob(testID, 4)
	j.Steps[0].LongRunning = true
	sim.submit(j)
	sim.advanceTime(longRunningMaxWait + 2*time.Second)
	assert.Assert(t, len(sim.adviceRequests) > 0, "no advice was asked for")
	assert.Equal(t, len(sim.leader.reserved), 0, "workers are reserved")
}

// Guards against urgent long-running tasks without a worker for each of which a pass searches the whole fleet.
func TestUrgentTasksOfAStepShareOneSearch(t *testing.T) {
	sim := residentFleet(8)
	for n := range 5 {
		j := plainJob(job.ID(fmt.Sprint("wide-", n)), 100)
		j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker = true, 1
		j.Steps[0].Size = model.Resources{CPUMillis: 10, MemoryBytes: 1 << 20}
		sim.submit(j)
	}
	sim.advanceTime(longRunningMaxWait + time.Second)
	d := sim.leader
	work := examined(d, func() { d.place(sim.now) })
	assert.Assert(t, work <= 2*5*len(sim.workers), "%d workers examined for 5 steps", work)
}
