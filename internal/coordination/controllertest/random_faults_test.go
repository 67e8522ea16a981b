package controllertest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// injectFault injects one random fault and returns a function that ends it.
func (w *Simulation) injectFault() func() {
	e := w.Entries[w.random.IntN(len(w.Entries))]
	wk := w.Workers[model.WorkerID(fmt.Sprintf("a-w%d", w.random.IntN(len(w.Workers))))]
	switch w.random.IntN(9) {
	case 0:
		e.Pause()
		return e.Resume
	case 1:
		w.Restart(e)
	case 2:
		e.CutStore = true
		return func() { e.CutStore = false }
	case 3:
		e.CutPeers = true
		return func() { e.CutPeers = false }
	case 4:
		e.CutWorkers = true
		return func() { e.CutWorkers = false }
	case 5:
		w.Store.Down = true
		return func() { w.Store.Down = false }
	case 6:
		w.Store.LoseResponses, w.Store.LoseResponsesFor = 3, ""
	case 7:
		wk.Down = true
		return func() { wk.Down = false }
	case 8:
		wk.Restart()
	}
	return func() {}
}

// Guards against combinations of faults that no other test covers: no attempt starts twice, no exclusive task runs on
// two workers, and all tasks finish once the faults have ended.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		w := New(seed)
		w.Build(Topology{
			DataCentres: oneDataCentre, Entries: 3, Workers: 6,
			Capacity: model.Resources{CPUMillis: 2 * oneCore.CPUMillis, MemoryBytes: 2 * oneCore.MemoryBytes},
		})
		runTime := func(j *model.Job) { j.Exclusive, j.RunTime = true, 20*time.Second }
		writeInitialHead(w, 2, 0, newDelegation("a", 0, 30, runTime), newDelegation("b", 1, 30, runTime))
		w.Run(5 * time.Second)
		for range 30 {
			end := w.injectFault()
			w.Run(time.Duration(w.random.Int64N(int64(15 * time.Second))))
			if w.random.IntN(3) > 0 {
				end()
			} else {
				w.schedule(time.Duration(w.random.Int64N(int64(40*time.Second))), end)
			}
		}
		w.Run(time.Minute)
		done := w.RunUntil(30*time.Minute, func() bool {
			return w.eachShardOwned(2) && len(w.allTasks()) == 0 && len(w.storedHead().Delegations) == 0
		})
		assert.Equal(t, len(w.Violations), 0, "seed %d: %v", seed, w.Violations)
		assert.Assert(t, done, "seed %d: %d tasks have not finished", seed, len(w.allTasks()))
	}
}

func (w *Simulation) allTasks() []model.Task {
	var tasks []model.Task
	for _, e := range w.Entries {
		for _, row := range e.Status().Tasks {
			tasks = append(tasks, row.Task)
		}
	}
	return tasks
}
