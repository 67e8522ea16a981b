package dispatch

import "time"

const (
	// haltedFor is how long a filling task may be halted before it is moved to a worker where it can work.
	haltedFor = 400 * time.Millisecond
	// movesPerTick bounds how many tasks are moved at once: each move looks at all workers.
	movesPerTick = 4
)

// relocate stops halted filling tasks that lose little by it and that another worker lets work, so that they start there.
func (d *Dispatcher) relocate(now time.Time) {
	p := d.newPass(now)
	moved := 0
	for _, w := range d.fleet {
		for _, r := range w.list {
			if moved >= movesPerTick {
				return
			}
			if r.movable(now) && p.hasBetter(r) {
				d.stop(r, "halted")
				moved++
			}
		}
	}
}

// movable reports whether a run has been halted for long and keeps its progress when it is stopped.
func (r *run) movable(now time.Time) bool {
	return r.task != nil && r.task.step.Fills && !r.task.step.Gang && r.phase == running && r.paced == 0 &&
		now.Sub(r.halted) > haltedFor && (r.task.step.Checkpoints || r.percent == 0)
}

// hasBetter reports whether a worker accepts a halted run's task.
func (p *pass) hasBetter(r *run) bool {
	w := p.choose(r.task, p.d.routes[r.task.owner.Queue])
	return w != nil && w != r.worker
}
