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

// maxRecurringSteps bounds the steps of the unfinished occurrences of all recurring jobs together, but for one occurrence of
// each. A placement pass looks at each of them, and each takes about half a kilobyte.
const maxRecurringSteps = 2000

// occurrence is one of the times that a job runs.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int
}

// openOccurrence creates the steps of an occurrence.
func (d *Dispatcher) openOccurrence(j *jobState, number int, now time.Time) {
	o := &occurrence{number: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		tasks := j.Steps[i].Tasks
		s := &step{
			Step: &j.Steps[i], owner: j, occurrence: number, index: i, tasksLeft: tasks, waiting: tasks, readySince: now,
		}
		j.waiting += tasks
		for _, dependency := range slices.Compact(slices.Sorted(slices.Values(s.After))) {
			s.pendingDependencies++
			o.steps[dependency].dependents = append(o.steps[dependency].dependents, s)
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences = append(j.occurrences, o)
	if j.Times > 0 {
		d.recurringSteps += len(o.steps)
	}
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
	for j.phase == job.Queued && j.opened < j.Times && d.mayOpenAnother(j) {
		if now.Round(0).Before(j.First.Add(time.Duration(j.opened) * j.Interval)) {
			break
		}
		d.openNext(j, now)
	}
}

// mayOpenAnother reports whether another occurrence keeps within maxOpenTasks and maxRecurringSteps. One may always be open.
func (d *Dispatcher) mayOpenAnother(j *jobState) bool {
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.tasksPerOccurrence() <= maxOpenTasks &&
		d.recurringSteps+len(j.Steps) <= maxRecurringSteps
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
func (d *Dispatcher) closeOccurrence(j *jobState, o *occurrence) {
	if j.Times > 0 {
		d.recurringSteps -= len(o.steps)
		j.occurrences = slices.DeleteFunc(j.occurrences, func(other *occurrence) bool { return other == o })
	}
}

// closeOccurrences drops what is left of the occurrences of a job that has ended.
func (d *Dispatcher) closeOccurrences(j *jobState) {
	if j.Times > 0 {
		d.recurringSteps -= len(j.occurrences) * len(j.Steps)
	}
	j.occurrences = nil
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
	if s == nil || key.Index < 0 || key.Index >= s.Tasks {
		return nil
	}
	return s.task(key.Index)
}
