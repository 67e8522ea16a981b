package controllertest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// newSingleShardSimulation returns a simulation with one entry, one shard and the given number of one-core workers, in
// which the given job has been delegated.
func newSingleShardSimulation(t *testing.T, workers int, job model.Delegation) *Simulation {
	t.Helper()
	w := New(1)
	w.Build(Topology{DataCentres: oneDataCentre, Entries: 1, Workers: workers, Capacity: oneCore})
	writeInitialHead(w, 1, 0, job)
	return w
}

// findRun returns the running attempt of a task and its worker, or nil if the task does not run.
func (w *Simulation) findRun(id model.TaskID) (*Worker, *Run) {
	for _, wk := range w.Workers {
		for _, r := range wk.Running() {
			if r.Order.Task == id {
				return wk, r
			}
		}
	}
	return nil, nil
}

// findTask returns a task as recorded by the owner of its shard.
func (w *Simulation) findTask(id model.TaskID) (model.Task, bool) {
	for _, e := range w.Entries {
		for _, row := range e.Status().Tasks {
			if row.Task.ID == id {
				return row.Task, true
			}
		}
	}
	return model.Task{}, false
}

var firstTask = model.TaskID{Job: "a"}

// Guards against an eviction that loses the checkpoint, and against an evicted task that resumes twice or never.
func TestEvictedTaskResumesOnceFromItsNewestCheckpoint(t *testing.T) {
	w := newSingleShardSimulation(t, 2, newDelegation("a", 0, 1, exclusive))
	for _, wk := range w.Workers {
		wk.CheckpointTime = 4 * time.Second
		// Lost responses make the owner repeat its orders.
		wk.LoseResponses = 3
	}
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	w.Run(5 * time.Second)
	entry := w.Entries[0]
	assert.Assert(t, entry.Core.Evict(0, firstTask, 30*time.Second))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool {
		_, r := w.findRun(firstTask)
		return r != nil && r.Order.Attempt == 2
	}))
	_, r := w.findRun(firstTask)
	assert.Equal(t, r.Order.Checkpoint, "a1-c1")
	w.Run(30 * time.Second)
	assert.Equal(t, w.Starts[firstTask][2], 1)
	assert.Equal(t, len(w.Starts[firstTask]), 2)
	w.checkNoViolations(t)
}

// Guards against an eviction that waits forever for a checkpoint.
func TestEvictionStopsATaskWhoseCheckpointTakesTooLong(t *testing.T) {
	w := newSingleShardSimulation(t, 1, newDelegation("a", 0, 1, exclusive))
	for _, wk := range w.Workers {
		wk.CheckpointTime = time.Hour
	}
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	assert.Assert(t, w.Entries[0].Core.Evict(0, firstTask, 10*time.Second))
	assert.Assert(t, w.RunUntil(30*time.Second, func() bool { return w.Starts[firstTask][2] == 1 }))
	assert.Assert(t, !w.Entries[0].Core.Evict(0, model.TaskID{Job: "other"}, 0))
}

// Guards against a checkpoint that only the worker knows of: losing the worker would then lose the work.
func TestCheckpointIsJournaledAndSurvivesTheWorker(t *testing.T) {
	w := newSingleShardSimulation(t, 2, newDelegation("a", 0, 1, exclusive))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	assert.Assert(t, w.Entries[0].Core.Checkpoint(0, firstTask))
	w.Run(5 * time.Second)
	wk, _ := w.findRun(firstTask)
	w.RemoveVM(model.WorkerID(wk.vm.ID))
	assert.Assert(t, w.RunUntil(30*time.Second, func() bool { return w.eachRunsOnce(1) }))
	_, r := w.findRun(firstTask)
	assert.Equal(t, r.Order.Checkpoint, "a1-c1")
}

// Guards against a throttle that is lost because the worker was unreachable, and against one that stays after its
// removal.
func TestThrottleIsRepeatedUntilReported(t *testing.T) {
	w := newSingleShardSimulation(t, 1, newDelegation("a", 0, 1, exclusive))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	wk, r := w.findRun(firstTask)
	for _, percent := range []uint32{40, 100} {
		wk.Down = true
		assert.Assert(t, w.Entries[0].Core.Throttle(0, firstTask, percent))
		w.Run(2 * time.Second)
		wk.Down = false
		w.Run(5 * time.Second)
		assert.Equal(t, r.Status.ThrottlePercent, percent)
	}
}

// Guards against a task that is retried forever, and against setting a task aside because of a single faulty worker.
func TestFailingTaskBacksOffAndIsSetAside(t *testing.T) {
	w := newSingleShardSimulation(t, 3, newDelegation("a", 0, 1, exclusive))
	for _, wk := range w.Workers {
		wk.FailStarts = true
	}
	w.Run(30 * time.Second)
	// The first five starts are separated by delays of 1, 2, 4 and 8 s.
	assert.Assert(t, w.startCount() <= 5, "%d starts", w.startCount())
	w.Run(30 * time.Minute)
	task, _ := w.findTask(firstTask)
	if task.Phase == model.PhaseSetAside {
		assert.Equal(t, len(task.FailedOn), model.MaxFailedWorkers)
		assert.Equal(t, w.Notices[notice.TaskSetAside], 1)
	}
	// The delays grow from 1 s to 5 min and add up to 8.5 min after 9 failures; 30 min leave time for 5 more.
	assert.Assert(t, w.startCount() <= 15, "%d starts", w.startCount())
}

// Guards against a task that stays set aside after an operator resumed it, and against a single request that resumes it
// more than once.
func TestTaskThatWasSetAsideIsResumedOnce(t *testing.T) {
	w := newSingleShardSimulation(t, 3, newDelegation("a", 0, 1, exclusive))
	for _, wk := range w.Workers {
		wk.FailStarts = true
	}
	// Only one worker at a time is reachable, so that consecutive failures happen on different workers.
	for i := 0; w.Notices[notice.TaskSetAside] == 0 && i < 60; i++ {
		for j := range 3 {
			w.Workers[model.WorkerID(fmt.Sprintf("a-w%d", j))].Down = j != i%3
		}
		w.Run(time.Minute)
	}
	assert.Equal(t, w.Notices[notice.TaskSetAside], 1)
	starts := w.startCount()
	w.Run(30 * time.Minute)
	assert.Equal(t, w.startCount(), starts)
	for _, wk := range w.Workers {
		wk.Down, wk.FailStarts = false, false
	}
	updateHead(w, func(h *model.Head) { h.Resumes = []model.JobID{"a"} })
	assert.Assert(t, w.RunUntil(10*time.Second, func() bool { return w.eachRunsOnce(1) }))
	assert.Equal(t, w.startCount(), starts+1)
	assert.Assert(t, w.RunUntil(10*time.Second, func() bool { return len(w.storedHead().Resumes) == 0 }),
		"the resumption was not removed from the head")
}

func (w *Simulation) storedHead() *model.Head { return w.Store.Get(model.KeyHead).Value.(*model.Head) }

// Guards against a mass cancellation that causes a store write for each job, and against a cancelled job that runs
// again or is never removed from the head.
func TestMassCancellationCostsFewWrites(t *testing.T) {
	w := New(2)
	w.Build(Topology{
		DataCentres: oneDataCentre, Entries: 2, Workers: 16,
		Capacity: model.Resources{CPUMillis: 40 * oneCore.CPUMillis, MemoryBytes: 40 * oneCore.MemoryBytes},
	})
	const jobs, shards = 1000, 4
	var delegations []model.Delegation
	var ids []model.JobID
	for i := range jobs {
		id := model.JobID(fmt.Sprintf("a%d", i))
		ids = append(ids, id)
		delegations = append(delegations, newDelegation(id, model.ShardID(i%shards), 1, exclusive))
	}
	writeInitialHead(w, shards, 0, delegations...)
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return len(w.RunningTasks()) >= jobs/4 }))
	w.Run(10 * time.Second)
	writes := 0
	w.Store.ObserveWrite = func(key string, _ any) {
		if strings.HasPrefix(key, model.PrefixShard) {
			writes++
		}
	}
	updateHead(w, func(h *model.Head) { h.Cancels = ids })
	assert.Assert(t, w.RunUntil(5*time.Second, func() bool { return w.eachRunsOnce(0) }))
	w.Run(time.Minute)
	t.Logf("%d writes for %d jobs", writes, jobs)
	// For each shard: the cancellations, a few rounds of releases and the removal of the jobs.
	assert.Assert(t, writes <= 15*shards)
	assert.Equal(t, len(w.storedHead().Cancels), 0)
	assert.Equal(t, len(w.storedHead().Delegations), 0)
	starts := w.startCount()
	for _, e := range w.Entries {
		w.Restart(e)
	}
	w.Run(time.Minute)
	assert.Equal(t, w.startCount(), starts)
	w.checkNoViolations(t)
}

// Guards against starting a task whose job was cancelled after its assignment but before the commit.
func TestAssignmentQueuedBeforeACancellationDoesNotStart(t *testing.T) {
	w := newSingleShardSimulation(t, 4, newDelegation("b", 0, 1, exclusive))
	w.Run(10 * time.Second)
	updateHead(w, func(h *model.Head) {
		h.Delegations = append(h.Delegations, newDelegation("a", 0, 4, exclusive))
		h.Cancels = []model.JobID{"a"}
	})
	w.Run(20 * time.Second)
	assert.Assert(t, w.eachRunsOnce(1))
	for _, attempts := range w.Starts {
		assert.Equal(t, len(attempts), 1)
	}
}

// Guards against repeating the start of an attempt to a worker that has run it before and lost it in a restart.
func TestRestartedWorkerGetsANewAttempt(t *testing.T) {
	for _, lose := range []int{0, 1, 2} {
		w := newSingleShardSimulation(t, 1, newDelegation("a", 0, 1, exclusive))
		wk := w.Workers["a-w0"]
		w.Run(800 * time.Millisecond)
		wk.LoseResponses = lose
		assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
		wk.Restart()
		assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
		_, r := w.findRun(firstTask)
		assert.Equal(t, r.Order.Attempt, model.Attempt(2))
		w.checkNoViolations(t)
	}
}

// Guards against a stray attempt that keeps running after its task was placed on another worker.
func TestStrayRunIsStopped(t *testing.T) {
	w := newSingleShardSimulation(t, 2, newDelegation("a", 0, 1, nil))
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(1) }))
	wk, _ := w.findRun(firstTask)
	wk.Down = true
	assert.Assert(t, w.RunUntil(10*time.Second, func() bool { return w.RunningTasks()[firstTask] == 2 }))
	wk.Down = false
	assert.Assert(t, w.RunUntil(10*time.Second, func() bool { return w.eachRunsOnce(1) }))
	assert.Assert(t, w.Notices[notice.StrayRunStopped] > 0)
}

// Guards against duplicate and delayed reports that change the state of a later attempt.
func TestDuplicateReportsAreHarmless(t *testing.T) {
	w := newSingleShardSimulation(t, 1, newDelegation("a", 0, 3, func(j *model.Job) { j.RunTime = 5 * time.Second }))
	entry := w.Entries[0]
	stale := controller.WorkerReported{
		Worker: "a-w0", Epoch: 1, Report: model.WorkerReport{
			Incarnation: "1", HighestEpoch: 1, Capacity: oneCore,
			Runs: []model.RunStatus{{Task: firstTask, Attempt: 1, Phase: model.RunFailed}},
		},
	}
	for range 400 {
		w.Run(100 * time.Millisecond)
		entry.Step(stale)
		entry.Step(stale)
	}
	assert.Equal(t, len(entry.Status().Tasks), 0, "not all tasks have finished")
	w.checkNoViolations(t)
}

// Guards against losing one of two task ranges of a job that are delegated to the same shard.
func TestJobDelegatedInTwoRangesRunsBoth(t *testing.T) {
	d := newDelegation("a", 0, 2, exclusive)
	second := d
	second.First = 5
	w := New(1)
	w.Build(Topology{DataCentres: oneDataCentre, Entries: 1, Workers: 4, Capacity: oneCore})
	writeInitialHead(w, 1, 0, d, second)
	assert.Assert(t, w.RunUntil(time.Minute, func() bool { return w.eachRunsOnce(4) }))
	w.Run(10 * time.Second)
	assert.Equal(t, len(w.storedHead().Delegations), 0)
	w.Restart(w.Entries[0])
	w.Run(time.Minute)
	assert.Assert(t, w.eachRunsOnce(4))
	w.checkNoViolations(t)
}

// Guards against a stale head that starts a job again after the job has finished and was removed.
func TestStaleHeadStartsNoJobAgain(t *testing.T) {
	w := newSingleShardSimulation(t, 1, newDelegation("a", 0, 2, func(j *model.Job) { j.RunTime = time.Second }))
	stale := *w.storedHead()
	staleRevision := w.Store.Get(model.KeyHead).Revision
	w.Run(30 * time.Second)
	assert.Equal(t, len(w.storedHead().Delegations), 0)
	assert.Equal(t, w.startCount(), 2)
	w.Store.Unusable[model.KeyHead] = true
	next := w.Restart(w.Entries[0])
	next.Step(controller.HeadFetched{Head: stale, Revision: staleRevision})
	assert.Assert(t, w.RunUntil(30*time.Second, func() bool { return w.Owner(0) != nil }))
	w.Run(30 * time.Second)
	assert.Equal(t, w.startCount(), 2)
}
