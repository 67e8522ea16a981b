package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Causes of a release beside the proofs that a worker is gone and the kinds of ends.
const (
	// causeRefused means that the worker refused the start.
	causeRefused = "refused"
	// causeNotSent means that no copy of the start has left this process.
	causeNotSent = "not-sent"
	// causeForeignRefusal means that another worker refused the start.
	causeForeignRefusal = "refused-by-another"
	// causeVanished means that the worker listed neither the run nor its end.
	causeVanished = "vanished"
)

// release says why the latest run of a task is taken as over.
type release struct {
	run    job.RunNumber
	worker model.WorkerID
	cause  string
	// reported is set if the worker itself reported the end or refused the start.
	reported bool
	at       time.Time
}

// isReported reports whether a cause is the worker's own report.
func isReported(cause string) bool {
	switch cause {
	case causeRefused, job.EndDone.String(), job.EndFailed.String(), job.EndGangTimeout.String(), job.EndOther.String():
		return true
	}
	return false
}

// recordRelease keeps the release of the task's latest run.
func (t *task) recordRelease(now time.Time, run job.RunNumber, w *worker, cause string) {
	if t.released == nil || run >= t.released.run {
		t.released = &release{run: run, worker: w.ID, cause: cause, reported: isReported(cause), at: now}
	}
}

// startRefusalCause returns the cause of the release of a run whose start was refused for a reason.
func startRefusalCause(reason string) string {
	switch reason {
	case causeNotSent:
		return causeNotSent
	case job.RefusedBoot.String():
		return causeForeignRefusal
	default:
		return causeRefused
	}
}

// missingRunCause returns the cause of the release of a run that the worker's inventory does not list.
func (w *worker) missingRunCause(r *run) string {
	if r.placedAt.Before(w.restartedAt) {
		return proofRestarted
	}
	return causeVanished
}

// logPlaced logs the start of a run: with the release of the previous one if this leader knows of it, so that the line of
// a second start says what decided it.
func (d *Dispatcher) logPlaced(now time.Time, t *task, r *run) {
	w := r.worker
	attrs := []Attr{
		{Key: "job", Value: t.Job},
		{Key: "task", Value: t.String()},
		{Key: "run", Value: r.Number},
		{Key: "worker", Value: w.ID},
		{Key: "waited", Value: now.Sub(t.readySince)},
		{Key: "inventory_age", Value: now.Sub(w.answeredAt)},
		{Key: "free_cpu_millis", Value: w.free().CPUMillis},
		{Key: "epoch", Value: d.epoch},
	}
	previous := t.released
	if previous == nil {
		d.logEvent(notice.RunPlaced, attrs...)
		return
	}
	attrs = append(attrs, Attr{Key: "previous_run", Value: previous.run},
		Attr{Key: "previous_worker", Value: previous.worker}, Attr{Key: "released_by", Value: previous.cause},
		Attr{Key: "released_age", Value: now.Sub(previous.at)})
	if previous.reported {
		d.logEvent(notice.RunRetried, attrs...)
	} else {
		d.logEvent(notice.RunRepeated, attrs...)
	}
}
