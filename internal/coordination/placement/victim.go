package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// EvictableTask is a task that may be evicted to free capacity.
type EvictableTask struct {
	Task     model.TaskID
	Reserved model.Resources
	// Unsaved is the work that an eviction loses: the time since the newest checkpoint, or since the start if there is
	// none.
	Unsaved time.Duration
}

// EvictionCandidate is a worker with the tasks on it that may be evicted.
type EvictionCandidate struct {
	Worker   model.WorkerID
	Capacity model.Resources
	Free     model.Resources
	Tasks    []EvictableTask
}

// cost is the work lost by an eviction, weighted by the task's dominant share of the worker.
func (e EvictableTask) cost(capacity model.Resources) float64 {
	return (e.Unsaved.Seconds() + 1) * e.Reserved.DominantShare(capacity)
}

// CheapestEviction returns the worker and the tasks whose eviction frees enough capacity for the need at the lowest
// cost. It returns false if no worker can free enough.
func CheapestEviction(need model.Resources, workers []EvictionCandidate) (model.WorkerID, []EvictableTask, bool) {
	var bestWorker model.WorkerID
	var victims []EvictableTask
	bestCost := -1.0
	for _, w := range workers {
		chosen, cost, ok := cheapestOn(need, w)
		if ok && (bestCost < 0 || cost < bestCost) {
			bestWorker, victims, bestCost = w.Worker, chosen, cost
		}
	}
	return bestWorker, victims, bestCost >= 0
}

// cheapestOn picks tasks by increasing cost until the need fits, then drops the picked tasks that are not needed, the
// most expensive first. The result is a heuristic, not an optimum.
func cheapestOn(need model.Resources, w EvictionCandidate) ([]EvictableTask, float64, bool) {
	tasks := slices.Clone(w.Tasks)
	slices.SortFunc(tasks, func(a, b EvictableTask) int {
		return cmp.Or(cmp.Compare(a.cost(w.Capacity), b.cost(w.Capacity)), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	free := w.Free
	taken := 0
	for taken < len(tasks) && !need.FitsIn(free) {
		free = free.Add(tasks[taken].Reserved)
		taken++
	}
	if !need.FitsIn(free) {
		return nil, 0, false
	}
	var chosen []EvictableTask
	cost := 0.0
	for i := taken - 1; i >= 0; i-- {
		if freeWithout := free.Sub(tasks[i].Reserved); need.FitsIn(freeWithout) {
			free = freeWithout
			continue
		}
		chosen = append(chosen, tasks[i])
		cost += tasks[i].cost(w.Capacity)
	}
	return chosen, cost, true
}
