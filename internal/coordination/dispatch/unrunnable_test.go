package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// unrunnableKinds are changes of a step after which no worker of a simulation takes its tasks, now or ever.
var unrunnableKinds = []struct {
	name   string
	change func(s *job.Step)
}{
	{"accelerators", func(s *job.Step) { s.Size.Accelerators = 1 }},
	{"label", func(s *job.Step) { s.Label = "none" }},
	{"memory", func(s *job.Step) { s.Size.MemoryBytes = 1 << 40 }},
	{"cpu", func(s *job.Step) { s.Size.CPUMillis = 1 << 20 }},
	{"accelerators, three tasks", func(s *job.Step) { s.Size.Accelerators, s.Tasks = 1, 3 }},
	{"gang", func(s *job.Step) { s.Size.Accelerators, s.Gang, s.Tasks = 1, true, 2 }},
	{"gang that is too wide", func(s *job.Step) { s.Gang, s.MaxPerWorker, s.Tasks = true, 1, 9 }},
	{"best-effort, accelerators", func(s *job.Step) { s.Size.Accelerators, s.BestEffort, s.Image = 1, true, "b" }},
	{"best-effort, label", func(s *job.Step) { s.Label, s.BestEffort, s.Image = "none", true, "b" }},
	{"best-effort, memory", func(s *job.Step) { s.Size.MemoryBytes, s.BestEffort, s.Image = 1<<40, true, "b" }},
	{"long-running, label", func(s *job.Step) { s.Label, s.LongRunning = "none", true }},
	{"long-running gang", func(s *job.Step) { s.Label, s.LongRunning, s.Gang, s.Tasks = "none", true, true, 2 }},
}

// submitUnrunnable submits jobs of four independent steps that no worker takes.
func submitUnrunnable(sim *simulation, jobs int, change func(s *job.Step)) {
	for n := range jobs {
		j := plainJob(job.ID(fmt.Sprintf("h%04d", n)), 1)
		j.Steps[0].Size.CPUMillis = 2000
		change(&j.Steps[0])
		for range 3 {
			j.Steps = append(j.Steps, j.Steps[0])
		}
		sim.accept(j)
		sim.advanceTime(20 * time.Millisecond)
	}
}

// lateJobs returns jobs whose second step becomes ready when they are late: a best-effort one, a short one and a gang.
func lateJobs() []job.Job {
	var jobs []job.Job
	for _, kind := range []string{"best-effort", "short", "gang"} {
		j := plainJob(job.ID("late-"+kind), 1)
		second := j.Steps[0]
		second.After, second.Tasks, second.Image = []int{0}, 4, "b"
		second.Size.CPUMillis = 3000
		second.BestEffort, second.Gang = kind == "best-effort", kind == "gang"
		j.Steps = append(j.Steps, second)
		jobs = append(jobs, j)
	}
	return jobs
}

// startedTasks counts the runs of a step that are or were on the workers.
func startedTasks(sim *simulation, id job.ID, step int) int {
	started := 0
	for _, s := range sim.workers {
		for t := range s.highestRun {
			if t.Job == id && t.Step == step {
				started++
			}
		}
		for r := range s.runs {
			if r.Task.Job == id && r.Task.Step == step {
				started++
			}
		}
	}
	return started
}

// Guards against work that never starts on idle workers because steps that no worker can ever take use up each placement
// pass.
func TestUnrunnableStepsDoNotKeepOthersFromStarting(t *testing.T) {
	for _, kind := range unrunnableKinds {
		for _, jobs := range []int{11, 100} {
			t.Run(fmt.Sprintf("%s, %d jobs", kind.name, jobs), func(t *testing.T) {
				sim := newSimulation(1, 8)
				for _, s := range sim.workers {
					s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
						if run.Task.Step == 0 {
							return job.EndDone, 4 * time.Second
						}
						return job.EndDone, 500 * time.Millisecond
					}
				}
				sim.advanceTime(time.Second)
				submitUnrunnable(sim, jobs, kind.change)
				sim.advanceTime(4 * time.Second)
				for _, j := range lateJobs() {
					sim.submit(j)
				}
				sim.advanceTime(4*time.Second + 200*time.Millisecond + maxIdleWithRoom)
				for _, j := range lateJobs() {
					assert.Assert(t, startedTasks(sim, j.ID, 1) > 0, "%s does not start", j.ID)
				}
				assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
			})
		}
	}
}

// maxIdleWithRoom is how long a job may have nothing running while a task is ready and workers are idle.
const maxIdleWithRoom = 3 * time.Second

// Guards against work that never starts because steps that fit on no worker as long as others keep their capacity use up
// each placement pass. No property of the fleet tells them from work that can start.
func TestStepsWithoutRoomDoNotKeepOthersFromStarting(t *testing.T) {
	for _, bestEffort := range []bool{false, true} {
		t.Run(fmt.Sprint("best-effort ", bestEffort), func(t *testing.T) {
			sim := newSimulation(1, 8)
			for _, s := range sim.workers {
				s.outcome = func(run job.Run) (job.EndKind, time.Duration) {
					if run.Task.Job[0] == 'r' {
						return job.EndDone, time.Hour
					}
					if run.Task.Step == 0 {
						return job.EndDone, 4 * time.Second
					}
					return job.EndDone, 500 * time.Millisecond
				}
			}
			sim.advanceTime(time.Second)
			// One task on each worker, for good.
			resident := plainJob("r", 8)
			resident.Steps[0].LongRunning, resident.Steps[0].MaxPerWorker = true, 1
			sim.submit(resident)
			sim.advanceTime(time.Second)
			// Steps that are limited to one task on each worker, and have more: their other tasks wait for an hour.
			for n := range 400 {
				j := plainJob(job.ID(fmt.Sprintf("r%03d", n)), 10)
				j.Steps[0].Size, j.Steps[0].MaxPerWorker = model.Resources{CPUMillis: 10, MemoryBytes: 1 << 20}, 1
				j.Steps[0].BestEffort, j.Steps[0].Image = bestEffort, "r"
				sim.accept(j)
			}
			sim.advanceTime(5 * time.Second)
			for _, j := range lateJobs() {
				sim.submit(j)
			}
			sim.advanceTime(4*time.Second + 200*time.Millisecond + maxIdleWithRoom)
			for _, j := range lateJobs() {
				assert.Assert(t, startedTasks(sim, j.ID, 1) > 0, "%s does not start", j.ID)
			}
		})
	}
}

// Guards against unrunnable steps that stay so for good: they start soon after a worker has come that can run them.
func TestUnrunnableStepsStartOnceAWorkerFits(t *testing.T) {
	const (
		jobs          = 12
		maxStartDelay = 3 * time.Second
	)
	for _, kind := range unrunnableKinds {
		sim := newSimulation(1, 8)
		startedJobs := func() int {
			started := 0
			for n := range jobs {
				if startedTasks(sim, job.ID(fmt.Sprintf("h%04d", n)), 0) > 0 {
					started++
				}
			}
			return started
		}
		sim.advanceTime(time.Second)
		submitUnrunnable(sim, jobs, kind.change)
		sim.advanceTime(4 * time.Second)
		assert.Equal(t, startedJobs(), 0, kind.name)
		for i := range 2 {
			s := sim.addWorker(model.WorkerID(fmt.Sprintf("w%d", 90+i)))
			s.labels = []string{"none"}
			s.capacity = model.Resources{CPUMillis: 1 << 40, MemoryBytes: 1 << 50, Accelerators: 1 << 20}
		}
		for _, s := range sim.workers {
			s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 50 * time.Millisecond }
		}
		sim.advanceTime(maxStartDelay)
		assert.Equal(t, startedJobs(), jobs, kind.name)
	}
}

// Guards against unrunnable steps for which each pass examines the workers again.
func TestUnrunnableStepsCostNoSearch(t *testing.T) {
	for _, kind := range unrunnableKinds {
		sim := newSimulation(1, 8)
		sim.advanceTime(time.Second)
		submitUnrunnable(sim, 200, kind.change)
		sim.advanceTime(4 * time.Second)
		d := sim.leader
		work := examined(d, func() {
			d.place(sim.now)
			d.placeShort(sim.now)
		})
		assert.Equal(t, work, 0, kind.name)
	}
}

// Guards against a log that gives no reason, or a wrong one, for work that waits for workers that the fleet doesn't have.
func TestLogNamesWhatTheFleetLacks(t *testing.T) {
	want := map[string]requirement{
		"accelerators": needsAccelerators, "label": needsLabel, "memory": needsMemory, "cpu": needsCPU,
		"gang that is too wide": needsMoreWorkers, "best-effort, accelerators": needsAccelerators,
		"long-running, label": needsLabel, "long-running gang": needsLabel,
	}
	for _, kind := range unrunnableKinds {
		if want[kind.name] == fleetFits {
			continue
		}
		sim := newSimulation(1, 8)
		sim.advanceTime(time.Second)
		submitUnrunnable(sim, 30, kind.change)
		sim.advanceTime(4 * time.Second)
		lines := 0
		for _, l := range sim.logEvents {
			if l.Code == notice.TaskWaits {
				lines++
				assert.Equal(t, attrOf(l, "reason"), "fleet", kind.name)
				assert.Equal(t, attrOf(l, "needs"), string(want[kind.name]), kind.name)
			}
		}
		assert.Equal(t, lines, 4*30, "%s: one line for each step", kind.name)
	}
}

// attrOf returns an attribute of a log event, or nil.
func attrOf(l LogEvent, key string) any {
	for _, a := range l.Attrs {
		if a.Key == key {
			return a.Value
		}
	}
	return nil
}

// Guards against best-effort work that is taken as unwanted by all workers, because another step of its image found none
// for a reason of its own.
func TestFailureForOwnReasonsSaysNothingAboutOthers(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	d := sim.leader
	addBestEffort := func(id job.ID, change func(s *job.Step)) *step {
		j := plainJob(id, 1)
		j.Queue, j.Steps[0].BestEffort, j.Steps[0].Image = "q", true, "b"
		change(&j.Steps[0])
		sim.jobsByID[id] = &j
		d.AddJob(sim.now, j, nil, 1)
		return d.jobs[id].occurrences[0].steps[0]
	}
	for name, change := range map[string]func(s *job.Step){
		"label":  func(s *job.Step) { s.Label = "none" },
		"memory": func(s *job.Step) { s.Size.MemoryBytes = 1 << 40 },
	} {
		p := d.newPass(sim.now)
		route := d.routes.of("q")
		other := addBestEffort(job.ID("other-"+name), change)
		other.task(0).owner.workValue = maxJobValue
		assert.Assert(t, p.chooseWorker(other.task(0), route) == nil)
		plain := addBestEffort(job.ID("plain-"+name), func(*job.Step) {})
		assert.Assert(t, p.chooseWorker(plain.task(0), route) != nil, name)
	}
}

// Guards against a best-effort step in a large fleet whose searches always examine the same part of it, because as many
// other steps search between them as there are parts.
func TestSearchesOfAStepCoverTheFleet(t *testing.T) {
	const workers = 2 * maxBestEffortCandidates
	sim := newSimulation(1, 0)
	for i := range workers {
		sim.addWorker(model.WorkerID(fmt.Sprintf("w%03d", i)))
	}
	sim.listWorkers()
	d := sim.leader
	steps := []*step{
		{Step: &job.Step{BestEffort: true, Image: "a"}}, {Step: &job.Step{BestEffort: true, Image: "b"}},
	}
	seen := make([]map[int]bool, len(steps))
	for range 2 {
		for n, s := range steps {
			if seen[n] == nil {
				seen[n] = make(map[int]bool)
			}
			for i := range d.candidates(s) {
				seen[n][i] = true
			}
		}
	}
	for n := range steps {
		assert.Equal(t, len(seen[n]), workers, "step %d", n)
	}
}

// Guards against best-effort work that never starts on idle workers because their memory is kept free for other work: for
// steps that no worker can run, or for steps that need most of a worker's memory and little of its CPU.
func TestMemoryOfIdleWorkersIsNotKeptFreeForever(t *testing.T) {
	for _, memory := range []int64{1 << 40, 60 << 30} {
		sim := newSimulation(1, 8)
		sim.advanceTime(time.Second)
		for n := range 40 {
			j := plainJob(job.ID(fmt.Sprintf("m%03d", n)), 1)
			j.Steps[0].Size = model.Resources{CPUMillis: 100, MemoryBytes: memory}
			sim.submit(j)
		}
		sim.advanceTime(5 * time.Second)
		j := plainJob("b", 1)
		j.Steps[0].BestEffort, j.Steps[0].Image, j.Steps[0].Size.MemoryBytes = true, "b", 40<<30
		sim.submit(j)
		sim.advanceTime(maxIdleWithRoom + 200*time.Millisecond)
		assert.Assert(t, startedTasks(sim, "b", 0) > 0, "best-effort work does not start beside tasks of %d bytes", memory)
	}
}

// Guards against placement that prefers some images on a worker for the sake of work that no worker can run.
func TestUnrunnableWorkIsNoDemand(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	for id, label := range map[job.ID]string{"unrunnable": "none", "plain": ""} {
		j := plainJob(id, 4)
		j.Steps[0].BestEffort, j.Steps[0].Image, j.Steps[0].Label = true, "image-"+string(id), label
		j.Queue = "q"
		sim.leader.AddJob(sim.now, j, nil, 1)
	}
	assert.DeepEqual(t, sim.leader.bestEffortDemand(), imageShares{{"image-plain", 1}}, cmp.AllowUnexported(imageShare{}))
}
