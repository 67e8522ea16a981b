package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// loadInterval is the time between two LoadSamples.
const loadInterval = time.Second

// LoadSample describes what the leader had to do since the last sample, and what waits and is free now.
type LoadSample struct {
	// Since is the time since the last sample.
	Since time.Duration
	// Inventories, Starts and Candidates count the inventories handled, the starts sent and the workers that were examined
	// for a task; Passes counts the placement passes over all work.
	Inventories, Starts, Candidates, Passes int
	// UnreachedSteps is the largest number of steps with ready tasks that one pass did not look at, because others before
	// them found no worker. UnrunnableSteps are those that need what no worker of the fleet offers.
	UnreachedSteps, UnrunnableSteps int
	// OpenJobs is the number of jobs that have not ended.
	OpenJobs int
	// WaitingShort, WaitingBestEffort and WaitingLongRunning are the tasks that could start but have no run.
	WaitingShort, WaitingBestEffort, WaitingLongRunning int
	// HeldBack are those of them that a new leader does not start yet, because they may be running on a worker that has not
	// answered it.
	HeldBack int
	// LargestShort is the size of the largest waiting short task, and RoomForLargest the number of workers that have room
	// for it.
	LargestShort   model.Resources
	RoomForLargest int
	// FreeCPUMillis is the CPU, in thousandths of a core, that no task reserves on the workers that may get starts.
	FreeCPUMillis int64
	// UncommittedJobs are the jobs with progress that no commit covers yet. LongestUncommitted is the longest time by which
	// the commit of one was delayed since the last sample, because others had to be committed first.
	// UnacknowledgedWorkers are the workers with ends that the leader has handled but may not acknowledge yet.
	UncommittedJobs, UnacknowledgedWorkers int
	LongestUncommitted                     time.Duration
}

// loadCounters count the work since the last LoadSample.
type loadCounters struct {
	sampledAt                               time.Time
	inventories, starts, candidates, passes int
	unreachedSteps                          int
	longestUncommitted                      time.Duration
}

// sampleLoad emits a LoadSample when it is due.
func (d *Dispatcher) sampleLoad(now time.Time) {
	since := now.Sub(d.load.sampledAt)
	if d.load.sampledAt.IsZero() {
		d.load.sampledAt = now
		return
	}
	if since < loadInterval {
		return
	}
	s := LoadSample{
		Since: since, Inventories: d.load.inventories, Starts: d.load.starts, Candidates: d.load.candidates,
		Passes: d.load.passes, UnreachedSteps: d.load.unreachedSteps, OpenJobs: len(d.openJobs),
		UncommittedJobs: len(d.commits.dirtyJobs), LongestUncommitted: d.load.longestUncommitted,
	}
	d.load = loadCounters{sampledAt: now}
	for _, j := range d.openJobs {
		if j.waiting > 0 {
			d.addWaiting(&s, j)
		}
	}
	for _, w := range d.sortedWorkers {
		if w.lastProcessedEnd > w.lastCommittedEnd {
			s.UnacknowledgedWorkers++
		}
		if !w.open || w.dead || !w.fenced {
			continue
		}
		s.FreeCPUMillis += max(0, w.free().CPUMillis)
		if s.WaitingShort > 0 && s.LargestShort.FitsIn(w.free()) {
			s.RoomForLargest++
		}
	}
	d.emit(s)
}

func (d *Dispatcher) addWaiting(s *LoadSample, j *jobState) {
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			if step.ready() {
				s.HeldBack += d.heldBack(j, step)
			}
			switch {
			case !step.ready():
			case d.unmetRequirement(step, d.routes.of(j.Queue).Service) != fleetFits:
				s.UnrunnableSteps++
			case step.LongRunning:
				s.WaitingLongRunning += step.waiting
			case step.BestEffort:
				s.WaitingBestEffort += step.waiting
			default:
				s.WaitingShort += step.waiting
				if step.Size.CPUMillis > s.LargestShort.CPUMillis {
					s.LargestShort = step.Size
				}
			}
		}
	}
}

// heldBack counts the waiting tasks of a step that may be running on workers that are not accounted for.
func (d *Dispatcher) heldBack(j *jobState, s *step) int {
	if !d.mayPlace(j) {
		return s.waiting
	}
	count := 0
	for t := range d.recovery.possiblyRunning {
		if t == s.keyOf(t.Index) && t.Index < s.Tasks && s.isWaiting(t.Index) {
			count++
		}
	}
	return count
}

// trackLeftOver records how long jobs that are committed now were left over by earlier commits.
func (d *Dispatcher) trackLeftOver(now time.Time, committed []*jobState) {
	for _, j := range committed {
		if !j.leftOverSince.IsZero() {
			d.load.longestUncommitted = max(d.load.longestUncommitted, now.Sub(j.leftOverSince))
			j.leftOverSince = time.Time{}
		}
	}
	for _, j := range d.commits.dirtyJobs {
		if j.leftOverSince.IsZero() {
			j.leftOverSince = now
		}
	}
}

// JobStages says where a completed job spent its time, along its critical path: for each step, the task that ended last.
type JobStages struct {
	Job   job.ID
	Queue job.Queue
	// Total is the time from the acceptance to the end of the last task, as the leader saw it. Overdue is how much later
	// than its due time the job was completed; 0 if it was in time.
	Total, Overdue time.Duration
	// Learned is the time until the leader knew of the job.
	Learned time.Duration
	pathStages
}

// pathStages are the stages of a path of tasks.
type pathStages struct {
	// Repeated is the time that was lost to earlier runs of a task, Waited the time until its last run was placed, Ordered
	// that until the worker confirmed the start, and Ran that until the leader saw the end.
	Repeated, Waited, Ordered, Ran time.Duration
	// Runs is the number of runs of the tasks.
	Runs int
}

// addEnd adds the stages of a task whose last run has ended.
func (s *pathStages) addEnd(now time.Time, t *task, r *run) {
	s.Runs += t.startedRuns
	s.Repeated += r.readyAt.Sub(t.firstReadyAt)
	s.Waited += r.placedAt.Sub(r.readyAt)
	confirmed := r.placedAt
	if r.phase == running {
		confirmed = r.confirmedAt
	}
	s.Ordered += confirmed.Sub(r.placedAt)
	s.Ran += now.Sub(confirmed)
}

// recordStages emits the stages of a job that has just completed.
func (d *Dispatcher) recordStages(now time.Time, j *jobState) {
	if j.LongRunning() || j.Times > 0 {
		return
	}
	d.emit(JobStages{
		Job: j.ID, Queue: j.Queue, Total: now.Sub(j.acceptedAt), Overdue: max(0, now.Sub(j.due)),
		Learned: j.learnedAt.Sub(j.acceptedAt), pathStages: j.path,
	})
}
