package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// taskStates returns the number of tasks, and that of steps, for which a leader keeps state.
func (d *Dispatcher) taskStates() (tasks, steps int) {
	for _, j := range d.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				steps++
				tasks += len(s.tasks)
			}
		}
	}
	return tasks, steps
}

// wideJob returns a job with 50 steps of as many tasks as a step may have.
func wideJob(id job.ID, change func(i int, s *job.Step)) job.Job {
	j := plainJob(id, job.MaxTasksPerStep)
	for i := range 50 {
		s := j.Steps[0]
		change(i, &s)
		j.Steps = append(j.Steps, s)
	}
	j.Steps = j.Steps[1:]
	return j
}

// wideJobs are the reasons for which the tasks of wide jobs wait.
var wideJobs = []struct {
	name   string
	starts bool
	change func(i int, s *job.Step)
}{
	{"no worker has the label", false, func(_ int, s *job.Step) { s.Label = "none" }},
	{"no worker is that large", false, func(_ int, s *job.Step) { s.Size.MemoryBytes = 1 << 50 }},
	{"no room", true, func(int, *job.Step) {}},
	{"another step comes first", true, func(i int, s *job.Step) {
		if i > 0 {
			s.After = []int{i - 1}
		}
	}},
	{"best-effort", true, func(_ int, s *job.Step) { s.BestEffort = true }},
	{"long-running", true, func(_ int, s *job.Step) { s.LongRunning = true }},
	{"gang that is too wide", false, func(_ int, s *job.Step) { s.Gang = true }},
	{"gang without room", true, func(_ int, s *job.Step) { s.Gang, s.Size.CPUMillis, s.Size.MemoryBytes = true, 3, 1<<20 }},
}

// Guards against large jobs, one or several together, that exhaust the memory of each leader that learns of them: what a
// leader keeps must grow with the tasks that it starts, not with those that are submitted.
func TestWaitingTasksOfLargeJobsTakeNoMemory(t *testing.T) {
	for _, c := range wideJobs {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 4)
			for _, s := range sim.workers {
				s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
					if run.Task.Job[0] == 'w' {
						return job.EndDone, time.Hour
					}
					return job.EndDone, 500 * time.Millisecond
				}
			}
			sim.advanceTime(time.Second)
			for n := range 3 {
				sim.submit(wideJob(job.ID(fmt.Sprint("wide-", n)), c.change))
			}
			check := func() {
				started := 0
				for _, s := range sim.workers {
					started += len(s.runs) + int(s.sequence)
				}
				tasks, steps := sim.leader.taskStates()
				assert.Equal(t, started > 0, c.starts)
				assert.Assert(t, tasks <= started+steps, "%d tasks of %d steps have state, %d were started", tasks, steps, started)
			}
			for range 20 {
				sim.advanceTime(500 * time.Millisecond)
				check()
			}
			sim.electLeader(0)
			sim.advanceTime(2 * time.Second)
			check()
		})
	}
}

// Guards against a task of a step that is started twice or never because its state was created or dropped.
func TestEveryTaskOfAWideStepRunsOnce(t *testing.T) {
	sim := newSimulation(1, 4)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 100 * time.Millisecond }
	}
	sim.advanceTime(time.Second)
	j := plainJob("a", 700)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	sim.submit(j)
	for n := 0; sim.phase("a") != job.Completed; n++ {
		assert.Assert(t, n < 200, "the job is not completed")
		sim.advanceTime(200 * time.Millisecond)
		if n%10 == 9 {
			sim.electLeader(0)
		}
		live := 0
		for _, o := range sim.leader.jobs["a"].occurrences {
			for _, s := range o.steps {
				for task := range s.touchedTasks() {
					if !task.waiting {
						live++
					}
					assert.Assert(t, !task.done || len(task.runs) > 0, "%v keeps its state", task)
				}
			}
		}
		assert.Assert(t, live < 200, "%d tasks without end", live)
	}
	assert.Equal(t, startedMoreThanOnce(sim), 0)
	ended := int64(0)
	for _, s := range sim.workers {
		ended += s.sequence
	}
	assert.Equal(t, ended, int64(1400))
}

// Guards against recurring jobs that together exhaust the memory of the leader, each within its own bound, and against
// occurrences that never run because of the bound.
func TestOpenOccurrencesOfAllJobsAreBounded(t *testing.T) {
	const jobs, steps = 12, 30
	sim := newSimulation(1, 4)
	sim.advanceTime(time.Second)
	for n := range jobs {
		j := sim.recurringJob(job.ID(fmt.Sprintf("a-%02d", n)), 1, 100)
		for len(j.Steps) < steps {
			j.Steps = append(j.Steps, j.Steps[0])
		}
		j.First = sim.now.Add(-time.Hour)
		if n%3 == 0 {
			j.Steps[0].Label = "none"
		}
		sim.submit(j)
	}
	for n := range 30 {
		sim.advanceTime(time.Second)
		_, open := sim.leader.taskStates()
		assert.Assert(t, open <= maxRecurringSteps+jobs*steps, "%d steps are open", open)
		if n == 4 {
			sim.electLeader(0)
			sim.advanceTime(time.Second)
			sim.leader.Cancel("a-00")
		}
	}
	sim.advanceTime(30 * time.Second)
	for n := range jobs {
		id := job.ID(fmt.Sprintf("a-%02d", n))
		want := job.Completed
		switch {
		case n == 0:
			want = job.Cancelled
		case n%3 == 0:
			want = job.Active
		}
		assert.Equal(t, sim.phase(id), want, "%s", id)
	}
	open := 0
	for _, j := range sim.leader.jobs {
		for _, o := range j.occurrences {
			open += len(o.steps)
		}
	}
	assert.Equal(t, sim.leader.recurringSteps, open)
}
