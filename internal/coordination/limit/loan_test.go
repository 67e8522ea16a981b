package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// applyLoad starts as many requests of two seconds on the instance as the node accepts, for a duration, and returns the
// highest number that ran at once.
func (s *simulation) applyLoad(index int, id model.InstanceID, d time.Duration) int {
	peak := 0
	for end := s.now + d; s.now < end; s.advance(100 * time.Millisecond) {
		for s.acquire(index, id, 2*time.Second) {
		}
		peak = max(peak, len(s.nodes[index].runs[id]))
		s.round()
	}
	return peak
}

// Guards against slots that stay idle while one seat has all the load; the target is to use 7 of 8.
func TestOneSidedLoadUsesSevenOfEightSlots(t *testing.T) {
	s := newSimulation(2, constantRate(1))
	s.settle(35 * time.Second)
	peak := s.applyLoad(0, "i1", 10*time.Second)
	assert.Assert(t, peak*8 >= 7*testSlots, "%d of %d", peak, testSlots)
	peak = s.applyLoad(1, "i1", 10*time.Second)
	assert.Assert(t, peak*8 >= 7*testSlots, "after the load moved: %d of %d", peak, testSlots)
}

// Guards against a lender that does not get its slots back when its own load rises while they are on loan.
func TestLenderGetsItsSlotsBack(t *testing.T) {
	s := newSimulation(2, constantRate(1))
	s.settle(35 * time.Second)
	s.applyLoad(0, "i1", 10*time.Second)
	for end := s.now + 10*time.Second; s.now < end; s.advance(100 * time.Millisecond) {
		for s.acquire(0, "i1", 2*time.Second) || s.acquire(1, "i1", 2*time.Second) {
		}
		s.round()
	}
	assert.Equal(t, s.nodes[0].limiters["i1"].Limit(), int32(4))
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(4))
}

// Guards against slots that stay unavailable for longer than one loan period after the borrower died.
func TestSlotsOfDeadBorrowerReturnAfterOneLoanPeriod(t *testing.T) {
	s := newSimulation(2, constantRate(1))
	s.settle(35 * time.Second)
	s.applyLoad(0, "i1", 10*time.Second)
	assert.Assert(t, s.nodes[1].limiters["i1"].Limit() < 4)
	s.stop(s.nodes[0])
	s.settle(withClockMargin(LoanDuration) + time.Second)
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(4))
}

// Guards against slots of a dead entry that stay unused, or are used while its requests may still run.
func TestDeadSeatIsTakenOverAndReturned(t *testing.T) {
	s := newSimulation(2, constantRate(1))
	s.settle(35 * time.Second)
	s.stop(s.nodes[0])
	s.settle(time.Minute)
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(4), "the VM is still on the list")
	s.nodes[0].absentSince = s.now
	s.settle(DefaultMaxRequestDuration - time.Second)
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(4), "a request may still run")
	s.settle(3 * time.Second)
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(8))
	s.start(0)
	s.settle(DefaultMaxRequestDuration + 5*time.Second)
	assert.Equal(t, s.nodes[0].limiters["i1"].Limit(), int32(4))
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(4))
}

// Guards against a planned restart that halves the capacity: the peer must get the slots at once, and so must the new
// process when it starts.
func TestHandedOverSeatMovesAtOnce(t *testing.T) {
	s := newSimulation(2, constantRate(1))
	s.settle(35 * time.Second)
	s.nodes[0].limits.StartHandOver()
	s.settle(time.Second)
	assert.Assert(t, s.nodes[0].limits.HandOverDone())
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(8))
	s.stop(s.nodes[0])
	s.start(0)
	s.settle(time.Second)
	assert.Equal(t, s.nodes[0].limiters["i1"].Limit(), int32(4))
	assert.Equal(t, s.nodes[1].limiters["i1"].Limit(), int32(4))
}

// Guards against a network partition that leaves an entry with less than half of the slots.
func TestPartitionLeavesHalfTheSlots(t *testing.T) {
	s := newSimulation(2, constantRate(1))
	s.settle(35 * time.Second)
	s.applyLoad(0, "i1", 10*time.Second)
	for end := s.now + 2*LoanDuration; s.now < end; s.advance(100 * time.Millisecond) {
		s.tick(0)
		s.tick(1)
		for _, m := range s.messages {
			s.fail(m)
		}
		s.messages = nil
	}
	assert.Assert(t, 2*s.nodes[0].limiters["i1"].Limit() >= testSlots)
	assert.Assert(t, 2*s.nodes[1].limiters["i1"].Limit() >= testSlots)
}
