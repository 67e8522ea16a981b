package dispatch

import "time"

const (
	// haltedFor is how long a filling task may be halted before it is moved to a worker where it can work.
	haltedFor = 400 * time.Millisecond
	// looksPerTick bounds how many halted tasks are considered at once: for each, all workers are looked at.
	looksPerTick = 8
)

// relocate stops halted filling tasks that lose little by it and that another worker lets work, so that they start there.
// It goes on with the workers after the last one that it came to.
func (d *Dispatcher) relocate(now time.Time) {
	p := d.newPass(now)
	looks := 0
	for range d.fleet {
		if looks >= looksPerTick {
			return
		}
		d.relocated = (d.relocated + 1) % len(d.fleet)
		for _, r := range d.fleet[d.relocated].list {
			if !r.movable(now) {
				continue
			}
			looks++
			if p.hasBetter(r) {
				d.stop(r, "halted")
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
