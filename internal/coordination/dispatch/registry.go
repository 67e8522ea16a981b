package dispatch

import (
	"slices"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// registryState says how the registry is to be written.
type registryState struct {
	// dirty is set after a worker was added, closed, opened or removed.
	dirty bool
	// withoutRuns is set if a registry that lists the tasks of closed workers can't be stored. They are then stored as open.
	withoutRuns bool
}

// storedRegistry returns the registry to write and records it in the batch.
func (d *Dispatcher) storedRegistry(b *batch) *job.Registry {
	d.registry.dirty = false
	// An empty registry is written as well, unlike none.
	b.registry = make([]job.RegisteredWorker, 0, len(d.sortedWorkers))
	for _, w := range d.sortedWorkers {
		if !w.mayRunSomething() {
			w.storedOpen = false
			continue
		}
		if w.dead {
			continue
		}
		entry := w.registryEntry()
		if d.registry.withoutRuns {
			// A new leader then waits for the worker before it starts any older task.
			entry.NoMoreStarts, entry.Runs = false, nil
		}
		w.storedOpen = w.storedOpen && !entry.NoMoreStarts
		b.registry = append(b.registry, entry)
	}
	return &job.Registry{Workers: slices.Clone(b.registry)}
}

// updateOpen closes a worker at once, but opens it only if the stored registry has it, with its present boot, as open: a
// worker that has restarted no longer refuses the orders of a leader that was replaced, and the commit shows that this one
// was not. If the stored entry differs, the registry is written; that of a worker which is not accounted for can't change.
// It names a boot only once that refuses orders to earlier ones, since a successor takes its leases for bounded.
func (d *Dispatcher) updateOpen(w *worker) {
	storedOpen := w.storedOpen && w.bootStored()
	w.open = storedOpen && !w.closedToStarts()
	if !storedOpen && w.boot != w.fencedBoot {
		return
	}
	if w.inheritedEntry == nil && storedOpen == w.closedToStarts() && (!storedOpen || !d.registry.withoutRuns) {
		d.registry.dirty = true
	}
}

// bootStored reports whether the stored registry has the worker with its present boot, or that is not known yet.
func (w *worker) bootStored() bool { return w.boot == 0 || w.storedBoot == w.boot }

// registryEntry returns the worker's entry for the registry. The entry of an earlier leader is kept unchanged until
// the worker is accounted for.
func (w *worker) registryEntry() job.RegisteredWorker {
	if w.inheritedEntry != nil {
		return *w.inheritedEntry
	}
	r := job.RegisteredWorker{ID: w.ID, Address: w.knownAddress, Boot: w.fencedBoot, NoMoreStarts: w.closedToStarts()}
	if r.NoMoreStarts {
		for _, run := range w.orderedRuns {
			r.Runs = append(r.Runs, run.Task)
		}
		// A new leader knows nothing of these ends before the worker has listed them to it.
		for _, end := range w.uncommittedEnds {
			r.Runs = append(r.Runs, end.Task)
		}
	}
	return r
}
