package dispatch

import "time"

const (
	// minHaltedTime is how long a best-effort task must have been halted before it is moved to a worker where it can
	// run.
	minHaltedTime = 400 * time.Millisecond
	// maxChecksPerTick limits how many halted tasks are checked per tick, because each check examines all workers.
	maxChecksPerTick = 8
	// maxSearchedPerTick limits the workers that are searched for halted tasks per tick.
	maxSearchedPerTick = 256
)

// relocate stops halted best-effort tasks that lose little progress, if another worker accepts them, so that they
// start there. It continues with the worker after the one that the last call ended at.
func (d *Dispatcher) relocate(now time.Time) {
	p := d.newPass(now)
	checked := 0
	for range min(len(d.sortedWorkers), maxSearchedPerTick) {
		if checked >= maxChecksPerTick {
			return
		}
		d.relocateCursor = (d.relocateCursor + 1) % len(d.sortedWorkers)
		for _, r := range d.sortedWorkers[d.relocateCursor].orderedRuns {
			if !r.relocatable(now) {
				continue
			}
			checked++
			if p.hasAlternative(r) {
				d.stopRun(r, "halted")
			}
		}
	}
}

// relocatable reports whether a run has been halted for more than minHaltedTime and loses little when it is stopped:
// it saves checkpoints or has made no progress.
func (r *run) relocatable(now time.Time) bool {
	return r.task != nil && r.task.step.BestEffort && !r.task.step.Gang && r.phase == running && r.pace == 0 &&
		now.Sub(r.haltedAt) > minHaltedTime && (r.task.step.Checkpoints || r.progressPercent == 0)
}

// hasAlternative reports whether another worker is the best one for a halted run's task.
func (p *pass) hasAlternative(r *run) bool {
	w := p.chooseWorker(r.task, p.d.routes.of(r.task.owner.Queue))
	return w != nil && w != r.worker
}
