package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// jobState is a job with its tasks.
type jobState struct {
	job.Job
	// due is the time by which the job should be completed. It orders jobs of equal priority.
	due time.Time
	// acceptedAt is when the job was accepted, and learnedAt when this leader learned of it.
	acceptedAt, learnedAt time.Time
	// path holds the stages of the critical path to the step that ended last.
	path pathStages
	// routed is set once the route of the queue is known.
	routed bool
	// sinceTakeover is set if no earlier leader can have started any of the job. Other jobs may have runs that this
	// leader does not know yet.
	sinceTakeover bool
	// sizes holds what a task of each step takes of its worker's capacity. They are kept after the job has ended: its runs
	// count until they are gone.
	sizes []model.Resources
	// occurrences are those that have been opened and, if the job recurs, have tasks left, in the order of their numbers.
	// opened is the number of those that have been opened; the next one has this number.
	occurrences []*occurrence
	opened      int
	phase       job.Phase
	// committedPhase is the phase that the store holds.
	committedPhase job.Phase
	started        bool
	// late means that the job can no longer be completed by its due time. workValue is the weight of its best-effort
	// work against the harm to serving tasks. Both are updated at each placement pass.
	late      bool
	workValue float64
	// waiting counts the tasks, also of steps that wait for others, that are neither done nor have a run.
	waiting int
	// endedAt is when the final phase was committed.
	endedAt time.Time
	dirty   bool
	// changedAt is the value of committer.changes when the job became dirty.
	changedAt uint64
	// leftOverSince is when a commit first had no room for the job's progress; zero otherwise.
	leftOverSince time.Time
	// crashUncommitted is set while a crash that is charged to one of the tasks is not committed.
	crashUncommitted bool
	// omitCheckpoints is set if the job's progress is too large to be stored with the checkpoints.
	omitCheckpoints bool
	// cancelPending means that a caller is waiting for the cancellation to be committed.
	cancelPending bool
	// tombstone means that the job was cancelled before it was stored, so that callers do not see it.
	tombstone bool
}

type step struct {
	*job.Step
	owner             *jobState
	occurrence, index int
	// tasks holds the tasks with the lowest indices, up to the highest one that was looked at for a start. An entry is nil
	// if the task is done and has no run. Those behind were never started and have no state, so that the leader's memory
	// grows with the work that it does and not with the work that is submitted.
	tasks []*task
	// readySince is since when the tasks that were never started have been ready.
	readySince time.Time
	tasksLeft  int
	// waiting counts the tasks that are neither done nor have a run.
	waiting int
	// kind is the index of the estimates for best-effort tasks of this step, plus 1; 0 before the first use.
	kind int
	// imageNumber is the number of the step's image, plus 1; 0 before the first use.
	imageNumber int
	// pendingDependencies counts the earlier steps that are not done.
	pendingDependencies int
	// pathBefore holds the stages of the critical path to the end of the last dependency.
	pathBefore pathStages
	// path holds those to the end of this step, once a task has ended: of the task that ended last so far.
	path pathStages
	// dependents are the steps that wait for this one.
	dependents []*step
	// lastTurn is the number of the last pass that looked at the step, or at first of the one for which it was ready.
	lastTurn uint64
	// candidateCursor is the index in sortedWorkers, plus 1, at which the candidates for the next search of a best-effort
	// step in a large fleet begin; 0 before the first.
	candidateCursor int
	// waitLogged is set once a long wait of one of the tasks was logged.
	waitLogged bool
	// load estimates the load of the tasks of a serving step.
	load loadFilter
	// unmet is what the step needs that the fleet did not offer when the dispatcher's fleetVersion was fitCheckedAt.
	unmet        requirement
	fitCheckedAt uint64
	// permits are used where the queue's policy requires advice.
	permits stepPermits
}

// task is one task with its known runs.
type task struct {
	job.Task
	step  *step
	owner *jobState
	done  bool
	// failedRuns lists the runs that workers reported as failed. It holds all of them and not only the newest,
	// because the ends of one task may be on several workers, which a new leader asks in any order.
	failedRuns []job.RunNumber
	checkpoint job.Checkpoint
	runs       []*run
	// waiting is set while the task is neither done nor has a run; it is counted in its step and job.
	waiting bool
	// readySince is since when the task has been ready after its last run; firstReadyAt is when it became ready first.
	readySince, firstReadyAt time.Time
	// startedRuns counts the runs that this leader has started.
	startedRuns int
	// hasRun is set once a run of the task has ended that its worker had confirmed.
	hasRun bool
	// released says why the latest run that is over was taken as over; nil if there was none under this leader, or the task
	// is done.
	released *release
	// crashes is the number of crashes of workers that are charged to the task.
	crashes int
	// quickCrashes is the number of them soon after the start.
	quickCrashes int
	// lastFailedOn is the worker of the latest run that failed, or nil.
	lastFailedOn *worker
}

// visiblePhase returns the phase that callers see: a final phase only once it is committed.
func (j *jobState) visiblePhase() job.Phase {
	if j.committedPhase.Final() {
		return j.committedPhase
	}
	if j.started {
		return job.Active
	}
	return job.Queued
}

// AddJob adds an accepted job that was stored at a revision.
func (d *Dispatcher) AddJob(now time.Time, j job.Job, progress *job.Progress, revision model.Revision) {
	if _, known := d.jobs[j.ID]; known {
		return
	}
	state := &jobState{Job: j, sinceTakeover: d.storedSinceTakeover(revision)}
	for i := range j.Steps {
		state.sizes = append(state.sizes, reservedSize(&j.Steps[i]))
	}
	d.jobs[j.ID] = state
	if progress != nil && progress.Phase.Final() {
		state.phase, state.committedPhase, state.endedAt = progress.Phase, progress.Phase, now
		d.endedJobs = append(d.endedJobs, state)
		return
	}
	if d.restoreRoute(&j) {
		d.catchUpWithRoutes()
		d.sortJobs()
		d.fleetChanged()
	}
	_, state.routed = d.routes.known[j.Queue]
	state.acceptedAt, state.learnedAt = acceptedAt(&j, now), now
	state.due, state.workValue = d.dueTime(&j, state.acceptedAt), 1
	d.updateMemoryPerCPU(&j)
	d.insertJob(state)
	d.pendingJobs[j.Queue]++
	if j.Times == 0 {
		d.openNext(state, now)
	}
	if progress != nil {
		d.restoreProgress(state, progress, now)
		d.failExhausted(state)
	}
	d.openDueOccurrencesOf(state, now)
	d.recordUnknownEnds(now, state)
	d.passNeeded = true
}

// AddTombstone adds the tombstone of a job, which is removed from the store like a job that has ended, but not before the
// store has carried out all writes of the job.
func (d *Dispatcher) AddTombstone(now time.Time, id job.ID) {
	if _, known := d.jobs[id]; known {
		return
	}
	state := &jobState{
		Job: job.Job{ID: id}, phase: job.Cancelled, committedPhase: job.Cancelled, tombstone: true,
		endedAt: now.Add(max(0, maxOrderDelay-d.settings.StatusRetention)),
	}
	d.jobs[id] = state
	d.endedJobs = append(d.endedJobs, state)
}

// memoryRatioWeight is the weight of a new job in the moving average of the tasks' ratio of memory to CPU.
const memoryRatioWeight = 0.05

// updateMemoryPerCPU updates the moving average of how much memory tasks need per CPU. Tasks that the fleet can't run need
// none; a new leader does not know the fleet yet.
func (d *Dispatcher) updateMemoryPerCPU(j *job.Job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.BestEffort || s.LongRunning || s.Size.CPUMillis == 0 {
			continue
		}
		if unmet := d.checkFit(s, d.routes.of(j.Queue).Service); unmet != fleetFits && unmet != needsWorker {
			continue
		}
		ratio := float64(s.Size.MemoryBytes) / float64(s.Size.CPUMillis)
		if d.memoryPerCPU == 0 {
			d.memoryPerCPU = ratio
		}
		d.memoryPerCPU += memoryRatioWeight * (ratio - d.memoryPerCPU)
	}
}

// acceptedAt returns when a job was accepted. The time may have been read from the clock of another machine, so it is
// used only if it lies within the last minute.
func acceptedAt(j *job.Job, now time.Time) time.Time {
	if age := now.Sub(j.Accepted); age > 0 && age < time.Minute {
		return now.Add(-age)
	}
	return now
}

// dueTime returns when a job should be completed that was accepted at a time.
func (d *Dispatcher) dueTime(j *job.Job, accepted time.Time) time.Time {
	r := d.routes.of(j.Queue)
	slack := max(r.Slack, 1)
	return accepted.Add(time.Duration(slack*float64(j.CriticalPath())) + r.TargetLatency)
}

// insertJob inserts a job into openJobs and, where it belongs there, into shortJobs.
func (d *Dispatcher) insertJob(j *jobState) {
	d.openJobs = d.insertSorted(d.openJobs, j)
	if j.hasShortTasks() {
		d.shortJobs = d.insertSorted(d.shortJobs, j)
	}
}

func (d *Dispatcher) insertSorted(list []*jobState, j *jobState) []*jobState {
	at, _ := slices.BinarySearchFunc(list, j, func(a, b *jobState) int { return d.compareJobs(a, b) })
	return slices.Insert(list, at, j)
}

// removeJob removes a job from openJobs and shortJobs.
func (d *Dispatcher) removeJob(j *jobState) {
	isJob := func(other *jobState) bool { return other == j }
	d.openJobs = slices.DeleteFunc(d.openJobs, isJob)
	if j.hasShortTasks() {
		d.shortJobs = slices.DeleteFunc(d.shortJobs, isJob)
	}
}

// hasShortTasks reports whether placeShort may place tasks of a job.
func (j *jobState) hasShortTasks() bool {
	return !j.LongRunning() && slices.ContainsFunc(j.Steps, func(s job.Step) bool { return !s.BestEffort && !s.Gang })
}

// compareJobs orders jobs by priority and then by due time. Long-running jobs come last within a priority: they hold
// their resources for long, and a short job loses more by waiting for them.
func (d *Dispatcher) compareJobs(a, b *jobState) int {
	if pa, pb := d.routes.of(a.Queue).Priority, d.routes.of(b.Queue).Priority; pa != pb {
		return pa - pb
	}
	if bLong, aLong := b.LongRunning(), a.LongRunning(); bLong != aLong {
		if bLong {
			return -1
		}
		return 1
	}
	return a.due.Compare(b.due)
}

// updateWaiting updates the counts of waiting tasks. It is called after each change of whether the task is done or has
// runs.
func (t *task) updateWaiting() {
	t.step.dropDone(t)
	waiting := !t.done && len(t.runs) == 0
	if waiting == t.waiting {
		return
	}
	t.waiting = waiting
	change := -1
	if waiting {
		change = 1
	}
	t.step.waiting += change
	t.owner.waiting += change
}

// hasRuns reports whether a task of the job is, or may be, on a worker.
func (j *jobState) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for t := range s.touchedTasks() {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// ready reports whether the step has tasks that could start.
func (s *step) ready() bool { return s.waiting > 0 && s.pendingDependencies == 0 }

func (d *Dispatcher) markStarted(j *jobState) {
	if !j.started {
		j.started = true
		d.pendingJobs[j.Queue]--
	}
}

// Cancel cancels a job and reports whether the job is known. CancelCommitted follows once the cancellation is
// committed, or at once if the final phase of the job is already committed.
func (d *Dispatcher) Cancel(id job.ID) bool {
	j, ok := d.jobs[id]
	if !ok || j.tombstone {
		return false
	}
	if j.committedPhase.Final() {
		d.emit(CancelCommitted{Job: id})
		return true
	}
	j.cancelPending = true
	if !j.phase.Final() {
		d.endJob(j, job.Cancelled)
	}
	return true
}

// endJob sets the final phase of a job and stops its remaining runs.
func (d *Dispatcher) endJob(j *jobState, phase job.Phase) {
	j.phase = phase
	d.markStarted(j)
	d.markDirty(j)
	d.logEvent(notice.JobEnded, Attr{Key: "job", Value: j.ID}, Attr{Key: "queue", Value: j.Queue},
		Attr{Key: "phase", Value: phase.String()})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for t := range s.touchedTasks() {
				for _, r := range t.runs {
					d.stopRun(r, "job-"+phase.String())
				}
			}
		}
	}
	d.removeJob(j)
}
