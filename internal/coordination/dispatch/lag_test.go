package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Pattern: a leader that is paused or short of CPU time. Guards against healthy workers that count as unreachable, and
// whose work is given up or started again, because the leader itself did not listen for 0.5 to 5 s.
func TestPausedLeaderGivesNoWorkUp(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			sim := newSimulation(2, 40)
			for _, s := range sim.workers {
				s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
			}
			sim.advanceTime(time.Second)
			j := plainJob("a", 200)
			j.Steps[0].LongRunning = true
			sim.submit(j)
			sim.advanceTime(2 * time.Second)
			for range 3 {
				sim.now = sim.now.Add(pause)
				sim.advanceTime(time.Second)
			}
			sim.advanceTime(2 * testMaxLease)
			assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
			assert.Equal(t, runningTasks(sim), 200)
			for _, e := range sim.logEvents {
				assert.Assert(t, e.Code != notice.WorkerUnreachable && e.Code != notice.WorkerLeasesExpired &&
					e.Code != notice.RunStopped, "event %d", e.Code)
			}
		})
	}
}
