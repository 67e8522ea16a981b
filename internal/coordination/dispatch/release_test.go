package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// eventsOf returns the attributes of all events with a code.
func (sim *simulation) eventsOf(code notice.Code) []map[string]any {
	var found []map[string]any
	for _, e := range sim.logEvents {
		if e.Code != code {
			continue
		}
		attrs := make(map[string]any)
		for _, a := range e.Attrs {
			attrs[a.Key] = a.Value
		}
		found = append(found, attrs)
	}
	return found
}

// secondStart returns a simulation in which trouble befalls the worker of the only run of a task, and the task has then
// been placed again. The worker is the one that gets the first start.
func secondStart(t *testing.T, trouble func(sim *simulation, s *simWorker)) (*simulation, *simWorker) {
	t.Helper()
	sim := newSimulation(1, 2)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Minute }
	}
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 1))
	sim.advanceTime(time.Second)
	var first *simWorker
	for _, s := range sim.workers {
		if len(s.runs) > 0 {
			first = s
		}
	}
	assert.Assert(t, first != nil)
	trouble(sim, first)
	sim.advanceTime(2 * testMaxLease)
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	return sim, first
}

// Guards against a second start whose reason can't be found: the line said only that the task was placed.
func TestSecondStartNamesTheProofOfTheRelease(t *testing.T) {
	for proof, trouble := range map[string]func(sim *simulation, s *simWorker){
		proofLeaseEnded: func(_ *simulation, s *simWorker) { s.unreachable = true; clear(s.runs) },
		proofRestarted:  func(sim *simulation, s *simWorker) { sim.restart(s) },
		proofAnotherBoot: func(sim *simulation, s *simWorker) {
			s.unlisted, s.unreachable = true, true
			clear(s.runs)
			sim.advanceTime(100 * time.Millisecond)
			sim.addWorker("w77").address = s.address
		},
		causeVanished: func(_ *simulation, s *simWorker) { clear(s.runs) },
	} {
		sim, first := secondStart(t, trouble)
		repeated := sim.eventsOf(notice.RunRepeated)
		assert.Equal(t, len(repeated), 1, proof)
		line := repeated[0]
		assert.Equal(t, line["released_by"], proof)
		assert.Equal(t, line["previous_worker"], first.id, proof)
		placed := sim.eventsOf(notice.RunPlaced)
		assert.Equal(t, len(placed), 1, proof)
		assert.Equal(t, line["previous_run"], placed[0]["run"], proof)
		assert.Equal(t, line["task"], placed[0]["task"], proof)
		assert.Equal(t, line["epoch"], sim.leader.epoch, proof)
		age, ok := line["released_age"].(time.Duration)
		assert.Assert(t, ok && age >= 0 && age < time.Second, "%s: released_age %v", proof, line["released_age"])
		assert.Equal(t, len(sim.eventsOf(notice.RunRetried)), 0, proof)
		assert.DeepEqual(t, sim.released, map[string]int{proof: 1})
	}
}

// Guards against a count of releases that misses the ends which workers report, so that the share of the others is unknown.
func TestReportedEndsAreCountedAsReleases(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 20))
	sim.advanceTime(5 * time.Second)
	assert.Equal(t, sim.phase("a"), job.Completed)
	assert.DeepEqual(t, sim.released, map[string]int{"done": 20})
}

// Guards against a log in which the restarts of failing tasks displace the second starts that were decided on a proof.
func TestSecondStartAfterTheWorkersReportIsBulk(t *testing.T) {
	sim, _ := secondStart(t, func(sim *simulation, s *simWorker) {
		for run := range s.runs {
			s.runs[run].endKind, s.runs[run].finishAt = job.EndFailed, sim.now
		}
	})
	retried := sim.eventsOf(notice.RunRetried)
	assert.Equal(t, len(retried), 1)
	assert.Equal(t, retried[0]["released_by"], "failed")
	assert.Equal(t, len(sim.eventsOf(notice.RunRepeated)), 0)
	assert.Assert(t, notice.IsBulk(notice.RunRetried) && !notice.IsBulk(notice.RunRepeated))
}

// Guards against a start that counts as not carried out, and may have been, but leaves no line beside the ordinary ones.
func TestStartThatWasNotCarriedOutIsTold(t *testing.T) {
	for cause, code := range map[string]notice.Code{causeRefused: notice.RunRetried, causeNotSent: notice.RunRepeated} {
		sim := newSimulation(1, 1)
		sim.advanceTime(time.Second)
		s := sim.workers["w00"]
		if cause == causeRefused {
			s.requiredPermit = "another"
		} else {
			s.refusing = true
		}
		sim.submit(plainJob("a", 1))
		sim.advanceTime(100 * time.Millisecond)
		s.requiredPermit, s.refusing = "", false
		sim.advanceTime(3 * time.Second)
		assert.Equal(t, sim.phase("a"), job.Completed, cause)
		lines := sim.eventsOf(code)
		assert.Assert(t, len(lines) > 0, cause)
		assert.Equal(t, lines[0]["released_by"], cause)
		assert.Equal(t, lines[0]["previous_worker"], model.WorkerID("w00"))
	}
}

// Guards against a new leader that starts a task again after an end that its predecessor had ordered, without a word on
// the earlier run.
func TestSecondStartUnderANewLeaderNamesTheListedEnd(t *testing.T) {
	sim, first := secondStart(t, func(sim *simulation, s *simWorker) {
		for run := range s.runs {
			s.runs[run].endKind, s.runs[run].finishAt = job.EndFailed, sim.now
		}
		sim.electLeader(0)
	})
	retried := sim.eventsOf(notice.RunRetried)
	assert.Equal(t, len(retried), 1)
	assert.Equal(t, retried[0]["released_by"], "failed")
	assert.Equal(t, retried[0]["previous_worker"], first.id)
	assert.Equal(t, retried[0]["epoch"], sim.leader.epoch)
}
