package jobrecord

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// sortedTaskKeys returns the keys of the tasks, sorted by occurrence, step and index.
func sortedTaskKeys(tasks map[job.TaskKey]job.TaskProgress) []job.TaskKey {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b job.TaskKey) int {
		return cmp.Or(a.Occurrence-b.Occurrence, a.Step-b.Step, a.Index-b.Index)
	})
}
