package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// Guards against taking the next life of a worker for the former one because its clock was set back before it restarted: the
// ends that it lists were ignored, and then acknowledged by numbers of the former life.
func TestRestartWithAnEarlierBootIsARestart(t *testing.T) {
	sim := newSimulation(1, 1)
	s := sim.workers["w00"]
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 8))
	sim.advanceTime(2 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	boot := s.boot
	sim.restart(s)
	s.boot = boot - job.BootID(time.Hour.Milliseconds())
	sim.advanceTime(3 * time.Second)
	sim.submit(plainJob("b", 8))
	sim.advanceTime(4 * time.Second)
	assert.Equal(t, sim.phase("b"), job.Completed)
	assert.Equal(t, startedMoreThanOnce(sim), 0)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}
