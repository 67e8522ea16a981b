package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// jobState is a job with its tasks.
type jobState struct {
	job.Job
	// due orders jobs of one priority: the time by which the job should be completed.
	due time.Time
	// fresh tells that the job was accepted after this leader took over; earlier jobs may have runs that this
	// leader does not know yet.
	fresh       bool
	occurrences []*occurrence
	phase       job.Phase
	// shown is the phase that the store holds.
	shown job.Phase
	begun bool
	// late means that the job can't be completed by its due time any more, and value is what its work counts for, both as
	// of the last pass of placing.
	late  bool
	value float64
	// ended is when the final phase was committed.
	ended time.Time
	dirty bool
	// cancelWaits means that a caller waits for the commit of the cancellation.
	cancelWaits bool
}

type occurrence struct {
	number int
	steps  []*step
	left   int
}

type step struct {
	*job.Step
	index int
	tasks []*task
	left  int
	// blocked counts earlier steps that are not done.
	blocked int
	// next are the steps that wait for this one.
	next []*step
	// waits is set once it was reported that a task has waited for long.
	waits bool
	// load is that of the tasks of a serving step.
	load loadTrack
	// permits count where the queue's tasks need advice.
	permits permits
}

// task is one task and what is known of its runs.
type task struct {
	job.Task
	step  *step
	owner *jobState
	done  bool
	// failed lists the runs that failed by the ends that workers listed. The ends of one task may be on several
	// workers, which a new leader asks in any order.
	failed []job.RunNumber
	saved  job.Checkpoint
	runs   []*run
	ready  time.Time
	// avoid is the worker on which the last run failed.
	avoid *worker
}

// visible returns the phase that callers see: final phases only once they are committed.
func (j *jobState) visible() job.Phase {
	if j.shown.Final() {
		return j.shown
	}
	if j.begun {
		return job.Active
	}
	return job.Queued
}

// JobStored takes in an accepted job. fresh tells that it was accepted after this leader took over.
func (d *Dispatcher) JobStored(now time.Time, j job.Job, progress *job.Progress, fresh bool) {
	if _, known := d.jobs[j.ID]; known {
		return
	}
	state := &jobState{Job: j, fresh: fresh}
	d.jobs[j.ID] = state
	if progress != nil && progress.Phase.Final() {
		state.phase, state.shown, state.ended = progress.Phase, progress.Phase, now
		d.final = append(d.final, state)
		return
	}
	state.due, state.value = d.dueTime(&j, now), 1
	d.noteSizes(&j)
	d.insert(state)
	d.pending[j.Queue]++
	if j.Times == 0 {
		d.open(state, 0, now)
	}
	if progress != nil {
		d.restore(state, progress, now)
	}
	d.openOccurrences(now)
	d.changed = true
}

// memoryRate is the weight of a new job in the mean of the memory that tasks need for their processors.
const memoryRate = 0.05

// noteSizes keeps how much memory tasks need for their processors.
func (d *Dispatcher) noteSizes(j *job.Job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Fills || s.Lasting || s.Size.CPUMillis == 0 {
			continue
		}
		ratio := float64(s.Size.MemoryBytes) / float64(s.Size.CPUMillis)
		if d.memoryPerCPU == 0 {
			d.memoryPerCPU = ratio
		}
		d.memoryPerCPU += memoryRate * (ratio - d.memoryPerCPU)
	}
}

// dueTime returns when a job should be completed. The time of acceptance is another entry's time of day, so it counts
// only within a minute of now.
func (d *Dispatcher) dueTime(j *job.Job, now time.Time) time.Time {
	accepted := now
	if age := now.Sub(j.Accepted); age > 0 && age < time.Minute {
		accepted = now.Add(-age)
	}
	r := d.routes[j.Queue]
	slack := max(r.Slack, 1)
	return accepted.Add(time.Duration(slack*float64(j.Chain())) + r.TargetLatency)
}

// insert keeps the jobs ordered by priority and then by due time. Lasting jobs come last within a priority: they take
// room for long, and a job that ends soon loses more by waiting for it.
func (d *Dispatcher) insert(j *jobState) {
	at, _ := slices.BinarySearchFunc(d.order, j, func(a, b *jobState) int { return d.compare(a, b) })
	d.order = slices.Insert(d.order, at, j)
}

func (d *Dispatcher) compare(a, b *jobState) int {
	if pa, pb := d.routes[a.Queue].Priority, d.routes[b.Queue].Priority; pa != pb {
		return pa - pb
	}
	if la, lb := b.Lasting(), a.Lasting(); la != lb {
		if la {
			return -1
		}
		return 1
	}
	return a.due.Compare(b.due)
}

func (d *Dispatcher) open(j *jobState, number int, now time.Time) {
	o := &occurrence{number: number, left: len(j.Steps)}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], index: i, left: j.Steps[i].Tasks}
		for n := range s.Tasks {
			t := &task{Task: job.Task{Job: j.ID, Occurrence: number, Step: i, Index: n}, step: s, owner: j, ready: now}
			s.tasks = append(s.tasks, t)
		}
		for _, before := range slices.Compact(slices.Sorted(slices.Values(s.After))) {
			s.blocked++
			o.steps[before].next = append(o.steps[before].next, s)
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences = append(j.occurrences, o)
	d.changed = true
}

// openOccurrences opens the occurrences that are due.
func (d *Dispatcher) openOccurrences(now time.Time) {
	for _, j := range d.order {
		for j.phase == job.Queued && len(j.occurrences) < j.Times {
			number := len(j.occurrences)
			if now.Round(0).Before(j.First.Add(time.Duration(number) * j.Interval)) {
				break
			}
			d.open(j, number, now)
		}
	}
}

// restore applies progress that an earlier leader committed.
func (d *Dispatcher) restore(j *jobState, p *job.Progress, now time.Time) {
	for key := range p.Tasks {
		for len(j.occurrences) <= key.Occurrence && len(j.occurrences) < max(1, j.Times) {
			d.open(j, len(j.occurrences), now)
		}
	}
	for key, saved := range p.Tasks {
		t := j.task(key)
		if t == nil {
			continue
		}
		d.begin(j)
		t.failed, t.saved = saved.Failed, saved.Saved
		if saved.Done {
			d.finish(now, t)
		}
	}
	j.dirty = false
}

// task returns a task of an opened occurrence, or nil.
func (j *jobState) task(key job.TaskKey) *task {
	s := j.step(key.Occurrence, key.Step)
	if s == nil || key.Index < 0 || key.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[key.Index]
}

// step returns a step of an opened occurrence, or nil.
func (j *jobState) step(occurrence, number int) *step {
	if occurrence < 0 || occurrence >= len(j.occurrences) {
		return nil
	}
	steps := j.occurrences[occurrence].steps
	if number < 0 || number >= len(steps) {
		return nil
	}
	return steps[number]
}

// working reports whether a task of the job is on a worker.
func (j *jobState) working() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

func (d *Dispatcher) begin(j *jobState) {
	if !j.begun {
		j.begun = true
		d.pending[j.Queue]--
	}
}

// Cancel cancels a job. It reports whether the job is known; CancelSettled follows once that is committed, at once if
// the job has already ended.
func (d *Dispatcher) Cancel(id job.ID) bool {
	j, ok := d.jobs[id]
	if !ok {
		return false
	}
	if j.shown.Final() {
		d.emit(CancelSettled{Job: id})
		return true
	}
	j.cancelWaits = true
	if !j.phase.Final() {
		d.end(j, job.Cancelled)
	}
	return true
}

// end gives a job its final phase and stops what still runs.
func (d *Dispatcher) end(j *jobState, phase job.Phase) {
	j.phase = phase
	d.begin(j)
	d.markDirty(j)
	d.report(notice.JobEnded, Attr{Key: "job", Value: j.ID}, Attr{Key: "queue", Value: j.Queue}, Attr{Key: "phase", Value: phase.String()})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					d.stop(r, "job-"+phase.String())
				}
			}
		}
	}
	if at := slices.Index(d.order, j); at >= 0 {
		d.order = slices.Delete(d.order, at, at+1)
	}
}
