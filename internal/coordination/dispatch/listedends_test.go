package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// newShortTaskSimulation returns a simulation with workers that list a few ends at a time, and whose runs take 500 ms.
func newShortTaskSimulation(seed uint64, workers, maxListedEnds int) *simulation {
	sim := newSimulation(seed, workers)
	for _, s := range sim.workers {
		s.maxListedEnds = maxListedEnds
	}
	sim.advanceTime(time.Second)
	return sim
}

// isPlacement reports whether an event is the placement of a first or a later run.
func isPlacement(code notice.Code) bool {
	return code == notice.RunPlaced || code == notice.RunRepeated || code == notice.RunRetried
}

// startedMoreThanOnce returns the number of runs beyond the first one of each task.
func startedMoreThanOnce(sim *simulation) int {
	starts := make(map[any]int)
	again := 0
	for _, e := range sim.logEvents {
		if !isPlacement(e.Code) {
			continue
		}
		for _, a := range e.Attrs {
			if a.Key == "task" {
				starts[a.Value]++
				again += min(1, starts[a.Value]-1)
			}
		}
	}
	return again
}

// Guards against starting tasks again whose ends a worker has not listed yet: while the store was down, it kept more ends
// than it lists at a time.
func TestEndsThatAreNotListedYetAreNotLost(t *testing.T) {
	sim := newShortTaskSimulation(1, 2, 5)
	sim.submit(plainJob("a", 100))
	sim.advanceTime(1200 * time.Millisecond)
	sim.store.unavailable = true
	sim.advanceTime(4500 * time.Millisecond)
	sim.store.unavailable = false
	sim.advanceTime(12 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, startedMoreThanOnce(sim), 0)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against a new leader that takes the ends which a worker lists first for all of them, and starts the tasks again
// whose ends follow.
func TestSuccessorReadsAllEndsBeforeItStartsTasks(t *testing.T) {
	sim := newShortTaskSimulation(1, 2, 5)
	sim.submit(plainJob("a", 40))
	sim.advanceTime(100 * time.Millisecond)
	sim.store.unavailable = true
	sim.advanceTime(1500 * time.Millisecond)
	sim.store.unavailable = false
	sim.electLeader(0)
	sim.advanceTime(10 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.Equal(t, startedMoreThanOnce(sim), 0)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// Guards against a new leader that waits for ever for the remaining ends of a worker that has failed meanwhile.
func TestWorkerThatFailsBeforeAllEndsAreListedIsGivenUp(t *testing.T) {
	sim := newShortTaskSimulation(1, 2, 5)
	sim.submit(plainJob("a", 40))
	sim.advanceTime(100 * time.Millisecond)
	sim.store.unavailable = true
	sim.advanceTime(1500 * time.Millisecond)
	sim.electLeader(0)
	sim.advanceTime(100 * time.Millisecond)
	sim.workers["w00"].unreachable = true
	sim.store.unavailable = false
	sim.advanceTime(20 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
}

// Guards against violations of the guarantees by lists of ends that come in parts, in combination with other faults.
func TestGuaranteesHoldWhileEndsAreListedInParts(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(seed, 5)
			for _, s := range sim.workers {
				s.maxListedEnds = 2
			}
			checkUnderFaults(t, sim)
		})
	}
}
