package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against tasks that stand still on a worker until it recovers.
func TestStalledRunsArePlacedElsewhere(t *testing.T) {
	w := newWorld(1, 2)
	sick := w.workers["w00"]
	sick.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	sick.percent = 40
	w.run(time.Second)
	w.submit(plainJob("a", 4))
	w.run(5 * time.Second)
	assert.Equal(t, w.phase("a"), job.Completed)
	assert.Equal(t, len(w.broken), 0, "%v", w.broken)
}

// Guards against a lasting task that finds no worker again because newer jobs that end soon take all room that comes
// free.
func TestLastingTasksAreNotStarved(t *testing.T) {
	w := newWorld(1, 1)
	s := w.sorted()[0]
	lasting := job.Job{ID: "00000000000000ff", Steps: []job.Step{{
		Tasks: 1, Size: model.Resources{CPUMillis: 4000, MemoryBytes: 1 << 30}, Estimate: time.Second, Lasting: true,
	}}}
	failAt := w.now.Add(3 * time.Second)
	s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
		if run.Task.Job != lasting.ID {
			return job.EndDone, 600 * time.Millisecond
		}
		if w.now.Before(failAt) {
			return job.EndFailed, failAt.Sub(w.now)
		}
		return job.EndDone, time.Hour
	}
	w.run(time.Second)
	w.submit(lasting)
	for n := range 100 {
		w.submit(plainJob(job.ID(fmt.Sprintf("%016x", n+1)), 2))
		w.run(100 * time.Millisecond)
	}
	running := false
	for run := range s.runs {
		running = running || run.Task.Job == lasting.ID
	}
	assert.Assert(t, running, "the lasting task failed 8 s ago and does not run")
}

// Guards against halted tasks that hold their memory on a worker while another would let them work.
func TestHaltedTasksMove(t *testing.T) {
	w := newWorld(1, 2)
	w.run(500 * time.Millisecond)
	j := fillingJob(0, 0, "")
	j.Steps = j.Steps[:1]
	j.Steps[0].Tasks = 1
	w.submit(j)
	w.run(100 * time.Millisecond)
	var r *run
	for _, worker := range w.leader.fleet {
		for _, here := range worker.list {
			r = here
		}
	}
	assert.Assert(t, r != nil)
	r.paced, r.halted = 0, w.now
	r.worker.health.avoidUntil = w.now.Add(time.Minute)
	w.leader.relocate(w.now.Add(haltedFor / 2))
	assert.Equal(t, r.phase, running, "moved at once")
	w.leader.relocate(w.now.Add(2 * haltedFor))
	assert.Equal(t, r.phase, stopping)
}

// Guards against serving tasks that go to the emptiest of equal workers, so that no hole is left for large tasks.
func TestServingTasksFillWorkersUp(t *testing.T) {
	w := newWorld(1, 2)
	for _, s := range w.sorted() {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	w.run(500 * time.Millisecond)
	first := servingJob(0, "")
	first.Steps[0].Tasks, first.Steps[0].MaxPerWorker, first.Steps[0].Size.CPUMillis = 2, 1, 1000
	w.submit(first)
	w.run(100 * time.Millisecond)
	w.submit(plainJob("00000000000000ab", 1))
	w.run(100 * time.Millisecond)
	second := servingJob(emulatedServing, "")
	second.Steps[0].Tasks, second.Steps[0].Size.CPUMillis = 1, 1000
	w.submit(second)
	w.run(100 * time.Millisecond)
	most := 0
	for _, s := range w.sorted() {
		most = max(most, len(s.runs))
	}
	assert.Equal(t, most, 3, "the second serving task is not on the fuller worker")
}

// Guards against a worker kept free for a large lasting task that no worker has room for, while a smaller one that would
// fit there waits.
func TestReservedWorkersTakeSmallerLastingTasks(t *testing.T) {
	w := newWorld(1, 1)
	s := w.sorted()[0]
	s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	w.run(500 * time.Millisecond)
	w.submit(plainJob("0000000000000001", 4))
	w.run(100 * time.Millisecond)
	for i, cores := range []int64{6, 5, 3} {
		w.submit(job.Job{ID: job.ID(fmt.Sprintf("%016x", 16+i)), Steps: []job.Step{{
			Tasks: 1, Size: model.Resources{CPUMillis: cores * 1000, MemoryBytes: 1 << 30}, Estimate: time.Second, Lasting: true,
		}}})
		// The smaller ones find the room taken until the plain tasks of another job end.
		if i == 1 {
			w.submit(plainJob("0000000000000002", 4))
			w.run(200 * time.Millisecond)
		}
	}
	w.run(2 * lastingPatience)
	w.leader.Cancel("0000000000000002")
	w.run(6 * time.Second)
	running := false
	for run := range s.runs {
		running = running || run.Task.Job == "0000000000000012"
	}
	assert.Assert(t, running, "the smallest lasting task does not run")
}
