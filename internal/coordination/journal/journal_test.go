package journal

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

var startTime = time.Unix(1000, 0)

func newJournal(epoch model.Epoch) *Journal {
	return New(1, epoch, "w", rand.New(rand.NewPCG(1, 1)))
}

func sealedJournal(t *testing.T) *Journal {
	t.Helper()
	j := newJournal(2)
	_, ok := j.NextCall(startTime)
	assert.Assert(t, ok)
	j.HandleOutcome(startTime, Outcome{Swapped: true, Revision: 1})
	assert.Assert(t, j.Sealed())
	return j
}

func assignment(index uint32) []model.TaskRecord {
	return []model.TaskRecord{{Kind: model.RecordAssigned, Task: model.TaskID{Job: "j", Index: index}, Attempt: 1}}
}

// Guards against a write that is retried without a delay when the store fails, and against one that is lost or repeated
// when only its response was lost.
func TestUnknownOutcomeIsReadBackAfterADelay(t *testing.T) {
	j := sealedJournal(t)
	ticket, err := j.Append(assignment(0), nil)
	assert.NilError(t, err)
	now := startTime.Add(time.Second)
	write, ok := j.NextCall(now)
	assert.Assert(t, ok)
	j.HandleOutcome(now, Outcome{Unknown: true})
	_, ok = j.NextCall(now)
	assert.Assert(t, !ok, "no call before the back-off has ended")
	now, _ = j.WakeAt()
	read, ok := j.NextCall(now)
	assert.Assert(t, ok)
	assert.Equal(t, read.Kind, CallReadEntry)
	result := j.HandleOutcome(now, Outcome{Revision: 9, Entry: &write.Entry})
	assert.DeepEqual(t, result.Tickets, []Ticket{ticket})
	assert.Equal(t, len(result.Committed), 1)
}

// Guards against a back-off that does not grow, and against one that continues after the store has recovered.
func TestBackOffGrowsToItsBoundAndEnds(t *testing.T) {
	j := sealedJournal(t)
	_, err := j.Append(assignment(0), nil)
	assert.NilError(t, err)
	now := startTime.Add(time.Second)
	var longest time.Duration
	for range 40 {
		_, ok := j.NextCall(now)
		assert.Assert(t, ok)
		j.HandleOutcome(now, Outcome{Unknown: true})
		wake, _ := j.WakeAt()
		longest = max(longest, wake.Sub(now))
		now = wake
	}
	assert.Assert(t, longest > retryMaxBound/2 && longest <= retryMaxBound+retryMinDelay)
	_, ok := j.NextCall(now)
	assert.Assert(t, ok)
	j.HandleOutcome(now, Outcome{Revision: 0})
	_, ok = j.NextCall(now)
	assert.Assert(t, ok, "the write is sent again as soon as the store responds")
}

// Guards against overwriting an entry that no snapshot covers, and against a log that has no slot left for the
// successor's seal.
func TestLogStopsBeforeUncoveredSlots(t *testing.T) {
	j := sealedJournal(t)
	now := startTime
	for {
		now = now.Add(time.Second)
		_, err := j.Append(assignment(0), nil)
		assert.NilError(t, err)
		call, ok := j.NextCall(now)
		if !ok {
			break
		}
		if call.Kind == CallWriteSnapshot {
			j.DelaySnapshot(now)
			j.pacer.snapshotNotBefore = now.Add(time.Hour)
			continue
		}
		j.HandleOutcome(now, Outcome{Swapped: true, Revision: 1})
	}
	assert.Equal(t, j.nextSequence-1, model.Sequence(SlotCount-SealReserve))
	var slots []LoadedSlot
	for i := range j.slots {
		if j.slots[i].entry != nil {
			slots = append(slots, LoadedSlot{Revision: 1, Entry: *j.slots[i].entry})
		}
	}
	successor := newJournal(3)
	entries, err := successor.Load(nil, 0, slots)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), SlotCount-SealReserve)
	call, _ := successor.NextCall(now)
	assert.Equal(t, call.Kind, CallWriteEntry)
	assert.Equal(t, call.Expect, model.Revision(0), "the seal must go to a free slot")
}

// Guards against a successor that uses a log with a missing entry, which could run a task twice.
func TestLoadRefusesAMissingEntry(t *testing.T) {
	j := newJournal(2)
	_, err := j.Load(nil, 0, []LoadedSlot{{Revision: 1, Entry: model.JournalEntry{Sequence: 2}}})
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// Guards against sealing a log that has wrapped around since it was loaded.
func TestSealGivesUpWhenTheLogWrappedAround(t *testing.T) {
	j := newJournal(3)
	_, ok := j.NextCall(startTime)
	assert.Assert(t, ok)
	newer := model.JournalEntry{Epoch: 1, Sequence: 1 + SlotCount, WriteID: "other"}
	assert.Assert(t, j.HandleOutcome(startTime, Outcome{Revision: 99, Entry: &newer}).Deposed)
}

// Guards against losing an entry that the predecessor committed after the successor loaded the log, and against taking
// it for the entry of a later owner.
func TestSealTakesOverThePredecessorsLastEntry(t *testing.T) {
	j := newJournal(3)
	_, ok := j.NextCall(startTime)
	assert.Assert(t, ok)
	late := model.JournalEntry{Epoch: 2, Sequence: 1, WriteID: "other", Tasks: assignment(0)}
	result := j.HandleOutcome(startTime, Outcome{Revision: 99, Entry: &late})
	assert.Assert(t, !result.Deposed)
	assert.Equal(t, len(result.Committed), 1)
	call, ok := j.NextCall(startTime)
	assert.Assert(t, ok)
	assert.Equal(t, call.Entry.Sequence, model.Sequence(2))
}

// Guards against an owner that keeps writing after a successor has sealed the log.
func TestOwnerIsDeposedByALaterEpoch(t *testing.T) {
	j := sealedJournal(t)
	_, err := j.Append(assignment(0), nil)
	assert.NilError(t, err)
	now := startTime.Add(time.Second)
	_, ok := j.NextCall(now)
	assert.Assert(t, ok)
	seal := model.JournalEntry{Epoch: 3, Sequence: 2, WriteID: "other"}
	assert.Assert(t, j.HandleOutcome(now, Outcome{Revision: 7, Entry: &seal}).Deposed)
	_, err = j.Append(assignment(1), nil)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// Guards against a queue without a limit and against an entry that exceeds the store's size limit.
func TestAppendRefusesWhatDoesNotFit(t *testing.T) {
	j := sealedJournal(t)
	oversized := assignment(0)
	oversized[0].Message = string(make([]byte, MaxEntryBytes))
	_, err := j.Append(oversized, nil)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	halfEntry := assignment(0)
	halfEntry[0].Message = string(make([]byte, MaxEntryBytes/2))
	for range 4 {
		_, err = j.Append(halfEntry, nil)
		assert.NilError(t, err)
	}
	call, ok := j.NextCall(startTime.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, len(call.Entry.Tasks), 1)
	for j.Queued() < MaxQueuedRecords {
		_, err = j.Append(assignment(0), nil)
		assert.NilError(t, err)
	}
	_, err = j.Append(assignment(0), nil)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}
