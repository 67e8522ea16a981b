package dispatch

import "time"

const (
	// stalledAfter is how long a run may make no progress before it is stopped and its task placed again. Workers report
	// progress in percent several times a second, and short tasks are done within a second or two.
	stalledAfter = 1200 * time.Millisecond
	// stalledBackoff is how long a worker gets no starts after one of its runs has stalled.
	stalledBackoff = 2 * time.Second
)

// stopStalled stops the runs of a worker that make no progress according to its newest inventory. Best-effort tasks are
// exempt because they may get no CPU, and long-running ones because they have no progress to report.
func (d *Dispatcher) stopStalled(now time.Time, w *worker) {
	if w.closedToStarts() {
		return
	}
	for _, r := range w.orderedRuns {
		if r.lastReport == w.inventories && r.stalled(now) {
			d.stopRun(r, "stalled")
			w.health.avoidUntil = now.Add(stalledBackoff)
		}
	}
}

func (r *run) stalled(now time.Time) bool {
	if r.phase != running || r.task == nil || r.task.step.BestEffort || r.task.step.LongRunning || r.task.step.Gang {
		return false
	}
	return r.progressPercent < fullPercent && r.worker.answeredAt.Sub(r.progressedAt) > stalledAfter &&
		now.Sub(r.placedAt) > stalledAfter
}
