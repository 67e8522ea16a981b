package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Guards against a new leader that stops waiting for a worker without a trace in the log: it then starts tasks that may
// have run there, and 7201 of these names no earlier run.
func TestWorkerThatIsAccountedForWithoutAnswerIsTold(t *testing.T) {
	sim := newSimulation(1, 2)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, 2 * time.Second }
	}
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 4))
	sim.advanceTime(100 * time.Millisecond)
	sim.workers["w00"].unreachable = true
	sim.electLeader(0)
	sim.advanceTime(5 * time.Second)
	assert.Equal(t, len(sim.eventsOf(notice.WorkerAccounted)), 0, "the leases have not ended yet")
	sim.advanceTime(8 * time.Second)
	lines := sim.eventsOf(notice.WorkerAccounted)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0]["worker"], model.WorkerID("w00"))
	assert.Equal(t, lines[0]["proof"], proofLeaseEnded)
	assert.Equal(t, lines[0]["epoch"], sim.leader.epoch)
	waited, ok := lines[0]["waited"].(time.Duration)
	assert.Assert(t, ok && waited >= testMaxLease, "waited %v", lines[0]["waited"])
}

// Guards against the same gap for a worker that has answered the new leader, but failed before it listed all its ends.
func TestWorkerThatFailsAfterAPartialAnswerIsTold(t *testing.T) {
	sim := newShortTaskSimulation(1, 2, 5)
	sim.submit(plainJob("a", 100))
	sim.advanceTime(1200 * time.Millisecond)
	sim.store.unavailable = true
	sim.advanceTime(3 * time.Second)
	sim.electLeader(0)
	sim.advanceTime(200 * time.Millisecond)
	sim.workers["w00"].unreachable = true
	sim.store.unavailable = false
	sim.advanceTime(2 * testMaxLease)
	lines := sim.eventsOf(notice.WorkerAccounted)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0]["worker"], model.WorkerID("w00"))
}

// Guards against logs of several leaders in which it can't be told which of them took a decision.
func TestDecisionsOnRunsNameTheEpoch(t *testing.T) {
	seen := make(map[notice.Code]bool)
	for _, trouble := range []func(*simulation, *simWorker){
		func(_ *simulation, s *simWorker) { s.unreachable = true; clear(s.runs) },
		func(_ *simulation, s *simWorker) { s.unreachable, s.unlisted = true, true; clear(s.runs) },
		func(sim *simulation, s *simWorker) { sim.restart(s) },
	} {
		sim, _ := secondStart(t, trouble)
		for _, e := range sim.logEvents {
			for _, a := range e.Attrs {
				seen[e.Code] = seen[e.Code] || a.Key == "epoch" && a.Value == sim.leader.epoch
			}
		}
	}
	for _, code := range []notice.Code{
		notice.RunPlaced, notice.RunReleased, notice.RunRepeated, notice.WorkerRestarted, notice.WorkerGone,
		notice.WorkerLeasesExpired,
	} {
		assert.Assert(t, seen[code], "event %d does not name the epoch", code)
	}
}
