package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// orderRetryInterval is the pause before an unanswered order is sent again. The client's timeout for the answer
	// is no longer than that.
	orderRetryInterval = 150 * time.Millisecond
	// maxStartAttempts is how often a start is sent without an answer before its run is stopped and the task placed
	// again.
	maxStartAttempts = 3
	// refusalBackoff is how long a worker gets no starts after it has refused one. Its next inventory should arrive
	// within that time.
	refusalBackoff = 250 * time.Millisecond
)

// runPhase is the state of a run as known to the leader.
type runPhase uint8

const (
	// starting means that the start was sent and not answered yet.
	starting runPhase = iota
	running
	// stopping means that a stop was sent. It is repeated until it is answered.
	stopping
)

// run is a run that is on a worker, or may be.
type run struct {
	job.Run
	// task is nil if this leader does not know the run's task.
	task   *task
	worker *worker
	phase  runPhase
	size   model.Resources
	// confirmedAt is when the worker confirmed the start or the stop. Only inventories requested after that are
	// conclusive about the run.
	confirmedAt time.Time
	// retryAt is when an unanswered order is sent again. It is zero while an order is in flight or none is needed.
	retryAt time.Time
	// retryListed is set while the run is in the dispatcher's toRetry.
	retryListed bool
	// startsSent counts the copies of the start order that were sent. A route's attempts, in contrast, are failed runs.
	startsSent int
	// sentTo is the address to which the last start or stop was sent.
	sentTo string
	// stopConfirmed is set once the worker has accepted the stop.
	stopConfirmed bool
	// lastReport is the number of the last inventory that listed the run, as counted in worker.inventories.
	lastReport uint64
	// progressPercent is the reported progress; progressedAt is when it last changed.
	progressPercent int
	progressedAt    time.Time
	// metric is the measurement in the newest report: the tail latency in milliseconds of a serving task, the CPU use in
	// thousandths of a core of any other.
	metric float64
	// lastHeadroom is the headroom in the newest report of a serving task, 0 before the first; lastHeadroomAt is when
	// it arrived.
	lastHeadroom   float64
	lastHeadroomAt time.Time
	// headroomOffset is how far the headroom of a serving task differs from the one predicted from its load and the
	// best-effort tasks beside it.
	headroomOffset float64
	// above follows for how long a serving task has been above its target.
	above aboveTarget
	// reports are the newest reports of a serving task; missLoggedAt is when a missed target was logged last.
	reports      []targetReport
	missLoggedAt time.Time
	// pace is the pace last sent to the worker; haltedAt is when it became 0.
	pace     int
	haltedAt time.Time
	// probeAt is when to check that the worker has survived the start of a charged task; zero if that is not needed.
	probeAt    time.Time
	checkpoint job.Checkpoint
	// placedAt is when the run was placed, readyAt since when its task had been ready.
	placedAt, readyAt time.Time
}

// reservedSize returns what a task of the step takes of its worker's capacity. Best-effort tasks reserve no CPU.
func reservedSize(s *job.Step) model.Resources {
	size := s.Size
	if s.BestEffort {
		size.CPUMillis = 0
	}
	return size
}

// startTask places a task on a worker.
func (d *Dispatcher) startTask(now time.Time, t *task, w *worker, number job.RunNumber) {
	r := &run{
		Run: job.Run{Task: t.Task, Number: number}, task: t, worker: w, size: reservedSize(t.step.Step), pace: fullPercent,
		placedAt: now, readyAt: t.readySince, progressedAt: now, checkpoint: t.checkpoint,
	}
	t.startedRuns++
	d.load.starts++
	w.add(r)
	d.reserve(r)
	t.runs = append(t.runs, r)
	t.updateWaiting()
	d.logPlaced(now, t, r)
	if t.crashes >= probationCrashes {
		w.health.avoid(now.Add(probationTime))
	}
	d.sendStart(now, r)
}

func (w *worker) add(r *run) {
	w.runs[r.Run] = r
	w.orderedRuns = append(w.orderedRuns, r)
	w.forecast = nil
}

func (d *Dispatcher) sendStart(now time.Time, r *run) {
	r.startsSent++
	r.retryAt = time.Time{}
	r.sentTo = r.worker.contactAddress()
	permit, _ := r.task.step.permitFor(now, r.worker)
	d.emit(Start{
		Target: d.targetOf(r.worker), Run: r.Run, Payload: r.task.owner.Payload,
		LeaseEnd: d.leaseForStart(now, r.worker), Checkpoint: r.checkpoint, Permit: permit,
	})
}

// HandleStart handles the response to a start.
func (d *Dispatcher) HandleStart(now time.Time, target Target, key job.Run, response job.OrderResponse) {
	id := target.Worker
	w, r := d.findRun(id, key)
	w.hear(now, response)
	if w != nil && !w.isOutdated(target) && d.isFromAnotherBoot(now, w, response) {
		d.logEvent(notice.RestartSuspected, Attr{Key: "worker", Value: w.ID}, Attr{Key: "clock", Value: response.Clock},
			Attr{Key: "expected", Value: w.clockNow(now)}, Attr{Key: "epoch", Value: d.epoch})
		w.addUnanswered(now, key)
		d.suspectRestart(now, w)
	}
	if r == nil || r.phase != starting {
		return
	}
	switch {
	case response.Err != nil && verdict.Of(response.Err) != verdict.NotRun:
		d.startUnanswered(now, r)
	case response.Err != nil:
		// This copy of the order was not sent, but an earlier one may have been.
		if r.startsSent > 1 {
			d.startUnanswered(now, r)
			return
		}
		d.startRefused(now, w, r, causeNotSent)
	case response.Refusal == job.RefusedNone:
		r.phase, r.confirmedAt = running, now
		if r.task != nil && r.task.crashes > 0 {
			r.probeAt = now.Add(quickCrashTime)
			d.listRetry(r)
		}
		d.markOwnerStarted(r)
		if r.task != nil && r.task.step.BestEffort {
			d.adjustPaces(now, w)
		}
	case response.Refusal == job.RefusedEpoch && !w.isOutdated(target):
		d.emit(Deposed{Reason: "worker " + string(id) + " refused a start under this epoch"})
	case response.Refusal == job.RefusedBoot && d.refusedByAnotherBoot(now, w, r.sentTo):
	case response.Refusal == job.RefusedOldRun:
		// The run was on the worker and has ended. Either its end is listed or the next inventory proves it gone.
		r.phase, r.confirmedAt = running, now
	case response.Refusal == job.RefusedInvalid:
		d.startRefused(now, w, r, response.Refusal.String())
		d.endJob(r.task.owner, job.Failed)
	case response.Refusal == job.RefusedPermit && r.startsSent == 1:
		delete(r.task.step.permits.granted, id)
		d.startRefused(now, w, r, response.Refusal.String())
	case r.startsSent > 1:
		// An earlier copy may still be carried out; the stop prevents that.
		d.stopRun(r, response.Refusal.String())
	default:
		d.startRefused(now, w, r, response.Refusal.String())
	}
}

func (d *Dispatcher) startRefused(now time.Time, w *worker, r *run, reason string) {
	d.logEvent(notice.StartRefused, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number},
		Attr{Key: "worker", Value: w.ID}, Attr{Key: "reason", Value: reason})
	w.health.avoidUntil = now.Add(refusalBackoff)
	d.releaseRun(now, r, startRefusalCause(reason))
}

// startUnanswered schedules another attempt, or stops the run after the last one.
func (d *Dispatcher) startUnanswered(now time.Time, r *run) {
	r.worker.addUnanswered(now, r.Run)
	if r.startsSent < maxStartAttempts {
		r.retryAt = now.Add(orderRetryInterval)
		d.listRetry(r)
		return
	}
	d.stopRun(r, "no-answer")
}

// markOwnerStarted marks the job of a run as started.
func (d *Dispatcher) markOwnerStarted(r *run) {
	if r.task != nil {
		d.markStarted(r.task.owner)
	}
}

// stopRun ends a run, or keeps its start from being carried out.
func (d *Dispatcher) stopRun(r *run, reason string) {
	if r.phase == stopping {
		return
	}
	d.logEvent(notice.RunStopped, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number},
		Attr{Key: "worker", Value: r.worker.ID}, Attr{Key: "reason", Value: reason})
	r.worker.forecast = nil
	r.phase, r.confirmedAt, r.stopConfirmed = stopping, time.Time{}, false
	d.sendStop(r)
}

func (d *Dispatcher) sendStop(r *run) {
	r.retryAt = time.Time{}
	r.sentTo = r.worker.contactAddress()
	d.emit(Stop{Target: d.targetOf(r.worker), Run: r.Run})
}

// HandleStop handles the response to a stop.
func (d *Dispatcher) HandleStop(now time.Time, target Target, key job.Run, response job.OrderResponse) {
	id := target.Worker
	w, r := d.findRun(id, key)
	w.hear(now, response)
	if r == nil || r.phase != stopping {
		return
	}
	switch {
	case response.Refusal == job.RefusedEpoch && !w.isOutdated(target):
		d.emit(Deposed{Reason: "worker " + string(id) + " refused a stop under this epoch"})
	case response.Refusal == job.RefusedBoot && d.refusedByAnotherBoot(now, w, r.sentTo):
	case response.Err != nil || response.Refusal != job.RefusedNone:
		r.retryAt = now.Add(orderRetryInterval)
		d.listRetry(r)
	default:
		// From now on the worker refuses the run's start, so an inventory without the run proves that it is gone.
		r.confirmedAt, r.stopConfirmed = now, true
	}
}

func (d *Dispatcher) findRun(id model.WorkerID, key job.Run) (*worker, *run) {
	w, ok := d.workers[id]
	if !ok {
		return nil, nil
	}
	return w, w.runs[key]
}

// adoptRun adds a run that a worker reports and that this leader does not know. It stops the run if it is not wanted.
func (d *Dispatcher) adoptRun(now time.Time, w *worker, key job.Run) *run {
	r := &run{
		Run: key, worker: w, phase: running, confirmedAt: now, pace: unknownPace, placedAt: now, readyAt: now,
		progressedAt: now,
	}
	w.add(r)
	r.size = d.adoptedSize(w, key.Task)
	if j, ok := d.jobs[key.Task.Job]; ok {
		d.openListed(j, key.Task.Occurrence, now)
		if t := j.findTask(key.Task.Key()); t != nil {
			t.addRun(r)
		}
	}
	if r.task == nil {
		d.unassignedRuns[key.Task.Job] = append(d.unassignedRuns[key.Task.Job], r)
	}
	d.reserve(r)
	if r.task == nil || r.task.done || r.task.owner.phase.Final() ||
		(len(r.task.runs) > 1 && !r.task.step.Speculative) {
		d.stopRun(r, "not-wanted")
		return r
	}
	d.markOwnerStarted(r)
	return r
}

func (t *task) addRun(r *run) {
	r.task = t
	t.runs = append(t.runs, r)
	t.updateWaiting()
}

// assignRuns assigns the runs that were adopted before their job was known. A replaced leader may have started tasks of a
// job that this one reads only afterwards; they must not start again until those runs are gone.
func (d *Dispatcher) assignRuns(j *jobState) {
	waiting := d.unassignedRuns[j.ID]
	if len(waiting) == 0 {
		return
	}
	delete(d.unassignedRuns, j.ID)
	for _, r := range waiting {
		t := j.findTask(r.Task.Key())
		if t == nil {
			d.unassignedRuns[j.ID] = append(d.unassignedRuns[j.ID], r)
			continue
		}
		d.release(r)
		r.size = j.sizes[r.Task.Step]
		t.addRun(r)
		d.reserve(r)
		d.markStarted(j)
	}
}

// forgetUnassigned removes a run that is gone from those whose tasks are not known.
func (d *Dispatcher) forgetUnassigned(r *run) {
	id := r.Task.Job
	left := slices.DeleteFunc(d.unassignedRuns[id], func(other *run) bool { return other == r })
	if len(left) == 0 {
		delete(d.unassignedRuns, id)
		return
	}
	d.unassignedRuns[id] = left
}

// adoptedSize returns what an adopted run takes of its worker's capacity until it is gone. If its job is not known, that
// is all that is free.
func (d *Dispatcher) adoptedSize(w *worker, t job.Task) model.Resources {
	if j, ok := d.jobs[t.Job]; ok && t.Step >= 0 && t.Step < len(j.sizes) {
		return j.sizes[t.Step]
	}
	free := w.free()
	return model.Resources{
		CPUMillis: max(0, free.CPUMillis), MemoryBytes: max(0, free.MemoryBytes), Accelerators: max(0, free.Accelerators),
	}
}

// releaseRun removes a run that is over, for a cause that is a proof or the kind of its end, and makes its task ready again.
func (d *Dispatcher) releaseRun(now time.Time, r *run, cause string) {
	d.emit(RunReleased{Proof: cause})
	w := r.worker
	w.forecast = nil
	w.recordEndedUse(now, r)
	delete(w.runs, r.Run)
	if at := slices.Index(w.orderedRuns, r); at >= 0 {
		w.orderedRuns = slices.Delete(w.orderedRuns, at, at+1)
	}
	d.release(r)
	d.passNeeded = true
	t := r.task
	if t == nil {
		d.forgetUnassigned(r)
		return
	}
	if at := slices.Index(t.runs, r); at >= 0 {
		t.runs = slices.Delete(t.runs, at, at+1)
		t.updateWaiting()
	}
	t.recordRelease(now, r.Number, w, cause)
	t.readySince = now
	t.hasRun = t.hasRun || r.phase != starting
	if t.checkpoint != "" && !t.done && !t.owner.phase.Final() {
		// No worker reports the checkpoint any more.
		d.markDirty(t.owner)
	}
}
