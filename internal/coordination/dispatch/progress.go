package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// progress returns the part of a job's state that must survive a change of the leader.
func (j *jobState) progress() *job.Progress {
	p := &job.Progress{Job: j.ID, Phase: j.phase}
	if j.phase.Final() {
		return p
	}
	p.Tasks = make(map[job.TaskKey]job.TaskProgress)
	if j.Times > 0 {
		p.Opened = j.opened
	}
	for _, o := range j.occurrences {
		if j.Times > 0 {
			p.Unfinished = append(p.Unfinished, o.number)
		}
		for _, s := range o.steps {
			for i, t := range s.tasks {
				if t == nil {
					p.Tasks[s.keyOf(i).Key()] = job.TaskProgress{Done: true}
				} else if stored := t.progress(); !stored.IsZero() {
					p.Tasks[t.Key()] = stored
				}
			}
		}
	}
	return p
}

// progress returns the state of a task to store. The checkpoint of a task with a run is left out, since its worker
// reports it to the next leader.
func (t *task) progress() job.TaskProgress {
	if t.done {
		return job.TaskProgress{Done: true}
	}
	p := job.TaskProgress{FailedRuns: slices.Clone(t.failedRuns), Crashes: t.crashes, QuickCrashes: t.quickCrashes}
	if len(t.runs) == 0 && !t.owner.omitCheckpoints {
		p.Checkpoint = t.checkpoint
	}
	return p
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
