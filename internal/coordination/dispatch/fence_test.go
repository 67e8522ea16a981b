package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/job"
)

// restarted returns a simulation in which a worker has restarted under its id, as soon as its leader knows that.
func restarted(t *testing.T) (*simulation, *simWorker, *worker) {
	sim := newSimulation(1, 2)
	sim.advanceTime(2 * time.Second)
	s := sim.sortedWorkers()[0]
	w := sim.leader.workers[s.id]
	assert.Assert(t, w.fenced && w.storedBoot == s.boot)
	sim.restart(s)
	for w.boot != s.boot {
		sim.advanceTime(5 * time.Millisecond)
	}
	return sim, s, w
}

// Guards against orders to the earlier boot of a worker that are carried out after its new boot has answered: they make
// leases longer than the leader knows.
func TestRestartRaisesTheFence(t *testing.T) {
	sim, s, w := restarted(t)
	old := Target{Worker: s.id, Epoch: sim.leader.epoch, Fence: sim.leader.epoch}
	sim.advanceTime(500 * time.Millisecond)
	assert.Assert(t, w.fenced && w.fence > sim.leader.epoch)
	late := sim.start(s, Start{Target: old, Run: job.Run{Task: job.Task{Job: "a"}, Number: 1}, LeaseEnd: time.Hour})
	assert.Equal(t, late.Refusal, job.RefusedEpoch)
	sim.electLeader(0)
	assert.Assert(t, sim.leader.epoch > w.fence, "a successor has a higher number")
}

// Guards against a leader that takes the refusal of an order from before it raised the fence for a sign of another leader.
func TestRefusalOfAnOutdatedFenceDeposesNobody(t *testing.T) {
	sim, s, w := restarted(t)
	sim.submit(plainJob("a", 1))
	sim.advanceTime(500 * time.Millisecond)
	old := Target{Worker: s.id, Epoch: sim.leader.epoch, Fence: sim.leader.epoch}
	refusal := job.OrderResponse{Refusal: job.RefusedEpoch, Clock: s.clock(sim.now)}
	for _, r := range w.orderedRuns {
		r.phase = starting
		sim.leader.HandleStart(sim.now, old, r.Run, refusal)
	}
	sim.leader.HandleStop(sim.now, old, job.Run{Task: job.Task{Job: "a"}, Number: 1}, refusal)
	sim.leader.HandleHold(sim.now, sim.now, old, job.Inventory{}, refusal)
	sim.advance(sim.leader)
	assert.Assert(t, !sim.deposed)
	sim.leader.HandleHold(sim.now, sim.now, sim.leader.targetOf(w), job.Inventory{}, refusal)
	sim.advance(sim.leader)
	assert.Assert(t, sim.deposed)
}

// Guards against a successor that takes the leases on a worker for bounded by what its predecessor knew, though the worker
// did not refuse the orders to its earlier boots when the predecessor was lost.
func TestRegistryNamesABootOnlyOnceItIsFenced(t *testing.T) {
	sim, s, w := restarted(t)
	former := w.fencedBoot
	assert.Assert(t, !w.fenced && former != s.boot)
	assert.Equal(t, w.registryEntry().Boot, former)
	for !w.fenced {
		sim.advanceTime(5 * time.Millisecond)
		assert.Assert(t, w.fenced || w.storedBoot == former)
	}
	sim.advanceTime(500 * time.Millisecond)
	assert.Equal(t, w.storedBoot, s.boot)
	assert.Assert(t, w.open)
}

// Guards against starts, and leases, on a worker that does not refuse the orders to its earlier boots yet, and against holds
// that follow each other without a pause while no commit gives its orders a higher number.
func TestRestartedWorkerWaitsForACommit(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.advanceTime(2 * time.Second)
	s := sim.sortedWorkers()[0]
	w := sim.leader.workers[s.id]
	sim.store.unavailable = true
	sim.advanceTime(300 * time.Millisecond)
	w.fence = w.fence + 1000
	before := w.inventories
	sim.restart(s)
	sim.advanceTime(3 * time.Second)
	assert.Assert(t, !w.fenced && !w.open && w.leaseEnd == 0)
	assert.Assert(t, w.inventories-before <= 14, "%d inventories in 3 s", w.inventories-before)
	assert.Assert(t, w.inventories-before >= 5)
}

// Guards against two runs of a task: a restarted worker carries a start out and answers it before the leader has asked for its
// inventory. The leader took the run for one of the earlier boot, whose leases end sooner.
func TestClockInTheAnswerToAStartTellsARestart(t *testing.T) {
	for _, c := range []struct {
		clock     time.Duration
		restarted bool
	}{{20 * time.Second, false}, {19500 * time.Millisecond, false}, {100 * time.Millisecond, true}, {time.Hour, true}} {
		sim := newSimulation(1, 1)
		s := sim.sortedWorkers()[0]
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
		sim.advanceTime(10 * time.Second)
		sim.submit(plainJob("a", 1))
		sim.advanceTime(10 * time.Second)
		d, w := sim.leader, sim.leader.workers[s.id]
		assert.Equal(t, len(w.orderedRuns), 1)
		r := w.orderedRuns[0]
		r.phase = starting
		assert.Assert(t, w.holdInFlight)
		earlier := Target{Worker: w.ID, Epoch: d.epoch, Fence: w.holdFence}
		d.HandleStart(sim.now, d.targetOf(w), r.Run, job.OrderResponse{Clock: c.clock})
		d.Advance(sim.now)
		holds := 0
		for _, a := range d.Actions() {
			if h, ok := a.(Hold); ok && h.Fence > d.epoch && h.LeaseEnd == 0 {
				holds++
			}
		}
		assert.Equal(t, holds == 1, c.restarted, "clock %v: %d holds", c.clock, holds)
		assert.Equal(t, !w.claimedAt.IsZero(), c.restarted)
		assert.Equal(t, d.startsEndBy(r).IsZero(), !c.restarted)
		if c.restarted {
			before := w.inventories
			d.HandleHold(sim.now, sim.now, earlier, job.Inventory{Boot: w.boot, Clock: w.clock}, job.OrderResponse{})
			assert.Equal(t, w.inventories, before, "the answer to the earlier hold counts")
		}
	}
}

// Guards against a run that is released by the leases of an earlier boot though a copy of its start may still be carried out
// by the boot that the list names, and against other runs there that wait as long.
func TestOnlyRunsWithLateStartsOutlastTheLeasesOfAnEarlierBoot(t *testing.T) {
	sim := newSimulation(1, 2)
	for _, s := range sim.workers {
		s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	}
	sim.advanceTime(time.Second)
	sim.submit(plainJob("a", 4))
	sim.advanceTime(time.Second)
	s := sim.sortedWorkers()[0]
	w := sim.leader.workers[s.id]
	if len(w.orderedRuns) < 2 {
		s = sim.sortedWorkers()[1]
		w = sim.leader.workers[s.id]
	}
	assert.Assert(t, len(w.orderedRuns) >= 2)
	late, other := w.orderedRuns[0], w.orderedRuns[1]
	w.addUnanswered(sim.now, late.Run)
	began := sim.now
	sim.restart(s)
	s.unreachable = true
	sim.listWorkers()
	sim.advance(sim.leader)
	assert.Assert(t, !w.claimedAt.IsZero())
	for w.runs[other.Run] == other {
		sim.advanceTime(50 * time.Millisecond)
	}
	assert.Assert(t, sim.now.Sub(began) < testMaxLease+2*time.Second, "released after %v", sim.now.Sub(began))
	for w.runs[late.Run] == late {
		sim.advanceTime(50 * time.Millisecond)
	}
	assert.Assert(t, sim.now.Sub(began) >= maxOrderDelay+testMaxLease, "released after %v", sim.now.Sub(began))
}

// Guards against lost work that waits as if its worker had just restarted, because the list names a further boot of a worker
// whose last one was fenced.
func TestLeasesOfAFencedBootEndThoughAnotherIsListed(t *testing.T) {
	sim, s, w := restarted(t)
	s.outcome = func(job.Run) (job.EndKind, time.Duration) { return job.EndDone, time.Hour }
	sim.sortedWorkers()[1].unreachable = true
	sim.advanceTime(2500 * time.Millisecond)
	sim.submit(plainJob("a", 1))
	sim.advanceTime(time.Second)
	assert.Equal(t, len(w.orderedRuns), 1)
	began := sim.now
	sim.restart(s)
	s.unreachable = true
	sim.listWorkers()
	sim.advance(sim.leader)
	assert.Assert(t, !w.fenced && w.boot == w.fencedBoot)
	for len(w.orderedRuns) > 0 {
		sim.advanceTime(50 * time.Millisecond)
	}
	assert.Assert(t, sim.now.Sub(began) < testMaxLease+2*time.Second, "released after %v", sim.now.Sub(began))
}
