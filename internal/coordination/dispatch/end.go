package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// recordEnd handles the end of a run when the worker first lists it to this leader.
func (d *Dispatcher) recordEnd(now time.Time, w *worker, end *job.EndedTask) {
	r, known := w.runs[end.Run]
	if known {
		d.releaseRun(now, r, end.Kind.String())
	}
	j, ok := d.jobs[end.Task.Job]
	if !ok {
		d.keepUnknownEnd(now, w, end)
		return
	}
	d.openListed(j, end.Task.Occurrence, now)
	t := j.findTask(end.Task.Key())
	if t == nil {
		return
	}
	d.logEvent(notice.RunEnded, Attr{Key: "job", Value: j.ID}, Attr{Key: "task", Value: t.String()},
		Attr{Key: "run", Value: end.Number}, Attr{Key: "worker", Value: w.ID},
		Attr{Key: "end", Value: end.Kind.String()})
	if !known {
		t.recordRelease(now, end.Number, w, end.Kind.String())
	}
	if end.Checkpoint != "" && end.Checkpoint != t.checkpoint && !t.done {
		t.checkpoint = end.Checkpoint
		d.markDirty(j)
	}
	switch end.Kind {
	case job.EndDone:
		w.health.succeeded()
		d.taskDone(now, t, r)
	case job.EndFailed:
		d.taskFailed(now, t, w, end.Number)
	case job.EndGangTimeout, job.EndOther:
	}
	d.markStarted(j)
}

// unknownEnd is an end whose job this leader does not know.
type unknownEnd struct {
	worker *worker
	end    job.EndedTask
}

// keepUnknownEnd keeps the end of a run that another leader has started until the jobs have been read again: that leader
// may have read a job before this one. It is not acknowledged before, since a successor would know nothing of it either.
func (d *Dispatcher) keepUnknownEnd(now time.Time, w *worker, end *job.EndedTask) {
	if model.Epoch(end.Number>>runBits) >= d.epoch {
		return
	}
	d.unknownEnds[end.Task.Job] = append(d.unknownEnds[end.Task.Job], unknownEnd{w, *end})
	d.commits.unknownAt = now
}

// recordUnknownEnds handles the ends of a job that were listed before it was known.
func (d *Dispatcher) recordUnknownEnds(now time.Time, j *jobState) {
	ends := d.unknownEnds[j.ID]
	delete(d.unknownEnds, j.ID)
	for i := range ends {
		d.recordEnd(now, ends[i].worker, &ends[i].end)
	}
}

// JobsRead records that all jobs are known that were stored before a time.
func (d *Dispatcher) JobsRead(before time.Time) {
	c, waiting := &d.commits, false
	for i := range c.uncoveredEnds {
		e := &c.uncoveredEnds[i]
		if !e.unknownAt.IsZero() && !before.Before(e.unknownAt) {
			e.unknownAt, e.changes = time.Time{}, c.changes
		}
		waiting = waiting || !e.unknownAt.IsZero()
	}
	if !waiting {
		clear(d.unknownEnds)
	}
}

func (d *Dispatcher) taskDone(now time.Time, t *task, r *run) {
	if t.done || t.step.LongRunning || t.owner.phase.Final() {
		return
	}
	d.markDirty(t.owner)
	t.step.path = t.step.pathBefore
	if r != nil && r.task == t {
		t.step.path.addEnd(now, t, r)
	}
	if !t.step.Gang {
		d.finishTask(now, t)
		return
	}
	// The end of one member counts for the whole gang.
	for i := range t.step.Tasks {
		if member := t.step.task(i); !member.done {
			d.finishTask(now, member)
		}
	}
}

// finishTask marks a task as done, unblocks the steps that waited for its step, and completes the job after its last
// task.
func (d *Dispatcher) finishTask(now time.Time, t *task) {
	t.done, t.released = true, nil
	t.updateWaiting()
	for _, r := range t.runs {
		d.stopRun(r, "task-done")
	}
	s := t.step
	s.tasksLeft--
	if s.tasksLeft > 0 {
		return
	}
	for _, dependent := range s.dependents {
		dependent.pendingDependencies--
		dependent.pathBefore, dependent.readySince = s.path, now
		for waiting := range dependent.touchedTasks() {
			waiting.readySince, waiting.firstReadyAt = now, now
		}
	}
	d.passNeeded = true
	j := t.owner
	j.path = s.path
	o := j.findOccurrence(t.Occurrence)
	o.stepsLeft--
	if o.stepsLeft > 0 {
		return
	}
	d.closeOccurrence(j, o)
	if j.allDone() && !j.phase.Final() {
		d.recordStages(now, j)
		d.endJob(j, job.Completed)
	}
}

// taskFailed counts a failed run of a task. It ends the job if the route allows no further attempt.
func (d *Dispatcher) taskFailed(now time.Time, t *task, w *worker, number job.RunNumber) {
	if t.done || t.owner.phase.Final() || slices.Contains(t.failedRuns, number) {
		return
	}
	w.health.failed(now)
	t.lastFailedOn = w
	if t.step.LongRunning {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	d.markDirty(t.owner)
	if d.isExhausted(t) {
		d.endJob(t.owner, job.Failed)
	}
}
