package dispatch

import (
	"iter"

	"github.com/jujubearch/jujubearch/internal/coordination/capacity"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// reserve takes the size of a run from the free capacity of its worker.
func (d *Dispatcher) reserve(r *run) {
	w := r.worker
	w.used = w.used.Add(r.size)
	if r.longRunning() {
		w.usedLongRunning = w.usedLongRunning.Add(r.size)
	}
	d.updateRoom(w)
}

// release gives back what reserve took.
func (d *Dispatcher) release(r *run) {
	w := r.worker
	w.used = w.used.Sub(r.size)
	if r.longRunning() {
		w.usedLongRunning = w.usedLongRunning.Sub(r.size)
	}
	d.updateRoom(w)
}

func (r *run) longRunning() bool { return r.task != nil && r.task.step.LongRunning }

// updateRoom records a change of the free capacity of a worker.
func (d *Dispatcher) updateRoom(w *worker) {
	if d.room != nil {
		d.room.Set(w.index, w.free())
	}
}

// workersWithRoom returns the workers that have room for a size, with their indexes in sortedWorkers.
func (d *Dispatcher) workersWithRoom(size model.Resources) iter.Seq2[int, *worker] {
	if d.room == nil {
		d.room = capacity.NewIndex(len(d.sortedWorkers))
		for i, w := range d.sortedWorkers {
			w.index = i
			d.room.Set(i, w.free())
		}
	}
	return func(yield func(int, *worker) bool) {
		for i := d.room.Next(0, size); i >= 0; i = d.room.Next(i+1, size) {
			if !yield(i, d.sortedWorkers[i]) {
				return
			}
		}
	}
}
