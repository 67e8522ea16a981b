package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// maxOpenTasks bounds the tasks of the unfinished occurrences of a recurring job. Further occurrences wait, though they are
// due, until earlier ones are done, so that neither the leader's memory nor the stored progress grows with their number.
const maxOpenTasks = job.MaxTasksPerStep

// occurrence is one of the times that a job runs.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int
}

// openOccurrence creates the steps and tasks of an occurrence.
func (d *Dispatcher) openOccurrence(j *jobState, number int, now time.Time) {
	o := &occurrence{number: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], index: i, tasksLeft: j.Steps[i].Tasks}
		for n := range s.Tasks {
			t := &task{
				Task: job.Task{Job: j.ID, Occurrence: number, Step: i, Index: n}, step: s, owner: j,
				readySince: now, firstReadyAt: now,
			}
			s.tasks = append(s.tasks, t)
			t.updateWaiting()
		}
		for _, dependency := range slices.Compact(slices.Sorted(slices.Values(s.After))) {
			s.pendingDependencies++
			o.steps[dependency].dependents = append(o.steps[dependency].dependents, s)
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences = append(j.occurrences, o)
	j.opened = max(j.opened, number+1)
	d.assignRuns(j)
	d.passNeeded = true
}

// openNext opens the next occurrence of a job.
func (d *Dispatcher) openNext(j *jobState, now time.Time) { d.openOccurrence(j, j.opened, now) }

// openListed opens the occurrences up to one that a worker lists. An earlier leader has opened them, whose clock may be
// ahead of this one's.
func (d *Dispatcher) openListed(j *jobState, number int, now time.Time) {
	for !j.phase.Final() && j.opened <= number && number < j.Times {
		d.openNext(j, now)
	}
}

// openDueOccurrences opens the scheduled occurrences that are due.
func (d *Dispatcher) openDueOccurrences(now time.Time) {
	for _, j := range d.openJobs {
		d.openDueOccurrencesOf(j, now)
	}
}

func (d *Dispatcher) openDueOccurrencesOf(j *jobState, now time.Time) {
	for j.phase == job.Queued && j.opened < j.Times && j.mayOpenAnother() {
		if now.Round(0).Before(j.First.Add(time.Duration(j.opened) * j.Interval)) {
			break
		}
		d.openNext(j, now)
	}
}

// mayOpenAnother reports whether another occurrence keeps within maxOpenTasks. One may always be open.
func (j *jobState) mayOpenAnother() bool {
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.tasksPerOccurrence() <= maxOpenTasks
}

func (j *jobState) tasksPerOccurrence() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
	}
	return tasks
}

// closeOccurrence drops an occurrence whose tasks are done. That of a job that does not recur stays until the final phase
// is committed.
func (j *jobState) closeOccurrence(o *occurrence) {
	if j.Times > 0 {
		j.occurrences = slices.DeleteFunc(j.occurrences, func(other *occurrence) bool { return other == o })
	}
}

// allDone reports whether all occurrences of a job were opened and their tasks are done.
func (j *jobState) allDone() bool {
	return j.opened >= j.Times &&
		!slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o.stepsLeft > 0 })
}

// findOccurrence returns an open occurrence, or nil.
func (j *jobState) findOccurrence(number int) *occurrence {
	at, found := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, n int) int {
		return cmp.Compare(o.number, n)
	})
	if !found {
		return nil
	}
	return j.occurrences[at]
}

// findStep returns a step of an open occurrence, or nil.
func (j *jobState) findStep(occurrence, number int) *step {
	o := j.findOccurrence(occurrence)
	if o == nil || number < 0 || number >= len(o.steps) {
		return nil
	}
	return o.steps[number]
}

// findTask returns a task of an open occurrence, or nil.
func (j *jobState) findTask(key job.TaskKey) *task {
	s := j.findStep(key.Occurrence, key.Step)
	if s == nil || key.Index < 0 || key.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[key.Index]
}

// restoreProgress applies progress that an earlier leader committed.
func (d *Dispatcher) restoreProgress(j *jobState, p *job.Progress, now time.Time) {
	d.restoreOccurrences(j, p, now)
	for key, stored := range p.Tasks {
		t := j.findTask(key)
		if t == nil {
			continue
		}
		d.markStarted(j)
		t.failedRuns, t.checkpoint = stored.FailedRuns, stored.Checkpoint
		t.crashes, t.quickCrashes = stored.Crashes, stored.QuickCrashes
		if stored.Done {
			d.finishTask(now, t)
		}
	}
	j.dirty = false
}

// restoreOccurrences opens the unfinished occurrences of a recurring job that an earlier leader had opened.
func (d *Dispatcher) restoreOccurrences(j *jobState, p *job.Progress, now time.Time) {
	if j.Times == 0 {
		return
	}
	unfinished, opened := p.Unfinished, min(p.Opened, j.Times)
	if opened == 0 {
		unfinished, opened = j.unfinishedOccurrences(p)
	}
	for _, number := range unfinished {
		if number < opened {
			d.openOccurrence(j, number, now)
		}
	}
	j.opened = opened
	if len(j.occurrences) < j.opened {
		d.markStarted(j)
	}
	if j.opened > 0 && j.allDone() {
		d.endJob(j, job.Completed)
	}
}

// unfinishedOccurrences returns which occurrences are unfinished, and how many have been opened, by a record of an earlier
// release, which lists each task that is done.
func (j *jobState) unfinishedOccurrences(p *job.Progress) (unfinished []int, opened int) {
	tasksPerOccurrence, done := j.tasksPerOccurrence(), make(map[int]int)
	for key, stored := range p.Tasks {
		opened = max(opened, key.Occurrence+1)
		if stored.Done {
			done[key.Occurrence]++
		}
	}
	opened = min(opened, j.Times)
	for number := range opened {
		if done[number] < tasksPerOccurrence {
			unfinished = append(unfinished, number)
		}
	}
	return unfinished, opened
}
