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
	// orderRetry is the pause between attempts of an order that got no answer. The client gives up on an answer within
	// that time too.
	orderRetry = 150 * time.Millisecond
	// maxStartAttempts is how often a start is sent before its run is stopped and the task placed elsewhere.
	maxStartAttempts = 3
	// refusalPause keeps starts away from a worker that has just refused one, until its next inventory.
	refusalPause = 250 * time.Millisecond
)

// runPhase says what is known of a run.
type runPhase uint8

const (
	// starting means that the start was sent and not answered yet.
	starting runPhase = iota
	running
	// stopping means that a stop was sent; it is repeated until it is answered.
	stopping
)

// run is a run that is on a worker, or may be.
type run struct {
	job.Run
	// task is nil when the run belongs to no task that this leader knows.
	task   *task
	worker *worker
	phase  runPhase
	size   model.Resources
	// settled is when the worker confirmed the start or the stop; an inventory asked for later is right about the run.
	settled time.Time
	// retry is when an unanswered order is sent again; zero while one is on its way or none is needed.
	retry    time.Time
	attempts int
	// stopAnswered is true once the worker has taken the stop.
	stopAnswered bool
	percent      int
	progressed   time.Time
	figure       float64
	// reported is the headroom of the newest report of a serving task and reportedAt when that was; 0 before the first.
	reported   float64
	reportedAt time.Time
	// offset is by how much the headroom of a serving task differs from what its load and its neighbours explain.
	offset float64
	// overSince is since when a serving task has reported a tail over its target; zero while it has not.
	overSince time.Time
	// paced is the pace that the worker was last told, halted when that became 0.
	paced  int
	halted time.Time
	saved  job.Checkpoint
	placed time.Time
}

// counted returns what a run takes of its worker's capacity.
func counted(s *step) model.Resources {
	size := s.Size
	if s.Fills {
		size.CPUMillis = 0
	}
	return size
}

// start places a task on a worker.
func (d *Dispatcher) start(now time.Time, t *task, w *worker, number job.RunNumber) {
	r := &run{
		Run: job.Run{Task: t.Task, Number: number}, task: t, worker: w, size: counted(t.step), paced: fullPace,
		placed: now, progressed: now, saved: t.saved,
	}
	w.add(r)
	w.used = w.used.Add(r.size)
	t.runs = append(t.runs, r)
	d.report(notice.RunPlaced, Attr{Key: "job", Value: t.Job}, Attr{Key: "task", Value: t.String()}, Attr{Key: "run", Value: number}, Attr{Key: "worker", Value: w.ID},
		Attr{Key: "waited", Value: now.Sub(t.ready)}, Attr{Key: "inventory_age", Value: now.Sub(w.answered)}, Attr{Key: "free_cpu_millis", Value: w.free().CPUMillis})
	d.sendStart(now, r)
}

func (w *worker) add(r *run) {
	w.runs[r.Run] = r
	w.list = append(w.list, r)
}

func (d *Dispatcher) sendStart(now time.Time, r *run) {
	r.attempts++
	r.retry = time.Time{}
	permit, _ := r.task.step.permitFor(now, r.worker)
	d.emit(Start{
		Target: d.target(r.worker), Run: r.Run, Payload: r.task.owner.Payload,
		LeaseEnd: d.leaseFor(now, r.worker), Checkpoint: r.saved, Permit: permit,
	})
}

// Started takes in the answer to a start.
func (d *Dispatcher) Started(now time.Time, id model.WorkerID, key job.Run, answer job.Answer) {
	w, r := d.lookup(id, key)
	if r == nil || r.phase != starting {
		return
	}
	switch {
	case answer.Err != nil && verdict.Of(answer.Err) != verdict.NotRun:
		d.startUnknown(now, r)
	case answer.Err != nil:
		// The order never left, but an earlier copy of it may have.
		if r.attempts > 1 {
			d.startUnknown(now, r)
			return
		}
		d.refused(now, w, r, "not-sent")
	case answer.Refusal == job.RefusedNot:
		r.phase, r.settled = running, now
		d.started(r)
		if r.task != nil && r.task.step.Fills {
			d.adjustPace(now, w)
		}
	case answer.Refusal == job.RefusedEpoch:
		d.emit(Deposed{Why: "worker " + string(id) + " refused a start under this epoch"})
	case answer.Refusal == job.RefusedBoot:
		d.bury(now, w, "another-boot")
	case answer.Refusal == job.RefusedOldRun:
		// The run was here and has ended: its end is listed, or the next inventory shows that it is gone.
		r.phase, r.settled = running, now
	case answer.Refusal == job.RefusedInvalid:
		d.refused(now, w, r, answer.Refusal.String())
		d.end(r.task.owner, job.Failed)
	case answer.Refusal == job.RefusedPermit && r.attempts == 1:
		delete(r.task.step.permits.granted, id)
		d.refused(now, w, r, answer.Refusal.String())
	case r.attempts > 1:
		// An earlier copy may still be carried out; a stop keeps it from starting.
		d.stop(r, answer.Refusal.String())
	default:
		d.refused(now, w, r, answer.Refusal.String())
	}
}

func (d *Dispatcher) refused(now time.Time, w *worker, r *run, why string) {
	d.report(notice.StartRefused, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number}, Attr{Key: "worker", Value: w.ID}, Attr{Key: "reason", Value: why})
	w.health.avoidUntil = now.Add(refusalPause)
	d.release(now, r)
}

// startUnknown sends a start again, or stops the run when the worker stays silent.
func (d *Dispatcher) startUnknown(now time.Time, r *run) {
	if r.attempts < maxStartAttempts {
		r.retry = now.Add(orderRetry)
		return
	}
	d.stop(r, "no-answer")
}

// started notes that the first task of a job runs.
func (d *Dispatcher) started(r *run) {
	if r.task != nil {
		d.begin(r.task.owner)
	}
}

// stop ends a run, or keeps its start from being carried out.
func (d *Dispatcher) stop(r *run, why string) {
	if r.phase == stopping {
		return
	}
	d.report(notice.RunStopped, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number}, Attr{Key: "worker", Value: r.worker.ID}, Attr{Key: "reason", Value: why})
	r.phase, r.settled, r.stopAnswered = stopping, time.Time{}, false
	d.sendStop(r)
}

func (d *Dispatcher) sendStop(r *run) {
	r.retry = time.Time{}
	d.emit(Stop{Target: d.target(r.worker), Run: r.Run})
}

// Stopped takes in the answer to a stop.
func (d *Dispatcher) Stopped(now time.Time, id model.WorkerID, key job.Run, answer job.Answer) {
	w, r := d.lookup(id, key)
	if r == nil || r.phase != stopping {
		return
	}
	switch {
	case answer.Refusal == job.RefusedEpoch:
		d.emit(Deposed{Why: "worker " + string(id) + " refused a stop under this epoch"})
	case answer.Refusal == job.RefusedBoot:
		d.bury(now, w, "another-boot")
	case answer.Err != nil || answer.Refusal != job.RefusedNot:
		r.retry = now.Add(orderRetry)
	default:
		// From here on the worker refuses the run's start; an inventory without the run proves that it is gone.
		r.settled, r.stopAnswered = now, true
	}
}

func (d *Dispatcher) lookup(id model.WorkerID, key job.Run) (*worker, *run) {
	w, ok := d.workers[id]
	if !ok {
		return nil, nil
	}
	return w, w.runs[key]
}

// checkOrders repeats orders that got no answer.
func (d *Dispatcher) checkOrders(now time.Time) {
	for _, w := range d.fleet {
		for _, r := range w.list {
			if r.retry.IsZero() || now.Before(r.retry) {
				continue
			}
			switch {
			case r.phase == stopping:
				d.sendStop(r)
			case w.fenced:
				d.sendStart(now, r)
			}
		}
	}
}

// adopt takes over a run that a worker reports and that this leader doesn't know.
func (d *Dispatcher) adopt(now time.Time, w *worker, key job.Run) *run {
	r := &run{Run: key, worker: w, phase: running, settled: now, paced: unknownPace, placed: now, progressed: now}
	w.add(r)
	if j, ok := d.jobs[key.Task.Job]; ok {
		if t := j.task(key.Task.Key()); t != nil {
			r.task, r.size = t, counted(t.step)
			t.runs = append(t.runs, r)
			w.used = w.used.Add(r.size)
		}
	}
	if r.task == nil || r.task.done || r.task.owner.phase.Final() || (len(r.task.runs) > 1 && !r.task.step.Speculative) {
		d.stop(r, "not-wanted")
		return r
	}
	d.started(r)
	return r
}

// release forgets a run that is proved gone and makes its task ready again.
func (d *Dispatcher) release(now time.Time, r *run) {
	w := r.worker
	w.remember(now, r)
	delete(w.runs, r.Run)
	if at := slices.Index(w.list, r); at >= 0 {
		w.list = slices.Delete(w.list, at, at+1)
	}
	w.used = w.used.Sub(r.size)
	d.changed = true
	t := r.task
	if t == nil {
		return
	}
	if at := slices.Index(t.runs, r); at >= 0 {
		t.runs = slices.Delete(t.runs, at, at+1)
	}
	t.ready = now
}
