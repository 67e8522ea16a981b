package dispatch

import "time"

// evacuate stops the long-running tasks of draining workers if another worker has room for them, so that they start
// elsewhere before their worker is gone. Other tasks continue, because most of them end before that.
func (d *Dispatcher) evacuate(now time.Time) {
	for _, w := range d.sortedWorkers {
		if !w.Draining || w.dead || !w.fenced {
			continue
		}
		p := d.newPass(now)
		for _, r := range w.orderedRuns {
			if r.task != nil && r.task.step.LongRunning && r.phase == running &&
				p.chooseWorker(r.task, d.routes.of(r.task.owner.Queue)) != nil {
				d.stopRun(r, "worker-draining")
			}
		}
	}
}
