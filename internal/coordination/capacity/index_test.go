package capacity

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Guards against a worker with room that is passed over, and against one without room that is found.
func TestNextFindsWhatASearchOfAllFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(-1, 4)
		resources := func(name string) model.Resources {
			return model.Resources{
				CPUMillis: amount.Draw(t, name+" cpu"), MemoryBytes: amount.Draw(t, name+" memory"),
				Accelerators: amount.Draw(t, name+" accelerators"),
			}
		}
		workers := rapid.IntRange(0, 9).Draw(t, "workers")
		index, free := NewIndex(workers), make([]model.Resources, workers)
		for i := range free {
			free[i] = None
		}
		for range rapid.IntRange(0, 20).Draw(t, "changes") {
			if workers > 0 {
				i := rapid.IntRange(0, workers-1).Draw(t, "worker")
				free[i] = resources("free")
				index.Set(i, free[i])
			}
		}
		need := resources("need")
		need.CPUMillis, need.MemoryBytes = max(0, need.CPUMillis), max(0, need.MemoryBytes)
		need.Accelerators = max(0, need.Accelerators)
		for from := range workers + 1 {
			want := -1
			for i := from; i < workers && want < 0; i++ {
				if need.FitsIn(free[i]) {
					want = i
				}
			}
			assert.Equal(t, index.Next(from, need), want)
		}
	})
}
