package controller

import (
	"github.com/jujubearch/jujubearch/internal/coordination/plan"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// maxHeadChangeAttempts bounds the attempts of a change whose store calls fail or conflict.
const maxHeadChangeAttempts = 5

// headChange is the progress of a change that an operator makes to the head. All such changes replace the same record
// by compare-and-swap, so that of two concurrent changes the later one sees the result of the earlier one.
type headChange struct {
	replyTo ReplyTo
	plan    model.PlanID
	// replyIfDone replies and returns true when the head shows that there is nothing to write.
	replyIfDone func(model.Head, model.Revision) bool
	// update returns the head to write.
	update func(model.Head, model.Revision) (model.Head, error)
	// onWritten replies after a successful write.
	onWritten func(model.Head)
	// mayBeWritten is set once a write with an unknown outcome may have taken effect.
	mayBeWritten bool
	attempts     int
}

// attemptHeadChange reads the head and tries to replace it. It is called again after each failed attempt.
func (c *Controller) attemptHeadChange(change *headChange) {
	change.attempts++
	if change.attempts > maxHeadChangeAttempts {
		c.failHeadChange(change)
		return
	}
	c.callStore(StoreCall{Op: OpGet, Key: model.KeyHead}, func(done StoreDone) {
		if done.Err != nil {
			c.attemptHeadChange(change)
			return
		}
		c.changeHeadRecord(change, done.Record())
	})
}

// failHeadChange replies after the last attempt. The verdict is MayHaveRun if one of the writes may have taken effect.
func (c *Controller) failHeadChange(change *headChange) {
	if change.mayBeWritten {
		c.notify(notice.OutcomeUnknown, Attr{Key: "plan", Value: change.plan})
		c.reply(change.replyTo, nil, verdict.MayHaveRunError(
			"the store's response was lost and the change may have been applied; repeat the request to learn the outcome", nil,
		))
		return
	}
	c.reply(change.replyTo, nil, verdict.NotRunError("the store does not answer", nil))
}

func (c *Controller) changeHeadRecord(change *headChange, record StoredRecord) {
	if record.Err != nil {
		c.reply(change.replyTo, nil, verdict.NotRunError("the configuration record can't be decoded", record.Err))
		return
	}
	var head model.Head
	if stored, ok := record.Value.(*model.Head); ok {
		head = *stored
	}
	if change.replyIfDone(head, record.Revision) {
		return
	}
	if segment, full := plan.NextSegment(head); full {
		c.storeSegment(change, segment, func() { c.writeHead(change, plan.TrimAudit(head, segment), record.Revision) })
		return
	}
	c.writeHead(change, head, record.Revision)
}

func (c *Controller) writeHead(change *headChange, head model.Head, revision model.Revision) {
	next, err := change.update(head, revision)
	if err != nil {
		c.reply(change.replyTo, nil, err)
		return
	}
	c.callStore(StoreCall{Op: OpSwap, Key: model.KeyHead, Expect: revision, Value: &next}, func(done StoreDone) {
		if done.Err != nil && verdict.Of(done.Err) != verdict.NotRun {
			change.mayBeWritten = true
		}
		if done.Err != nil || !done.Swapped {
			c.attemptHeadChange(change)
			return
		}
		c.applyHead(next, done.Revision, c.head.source)
		change.onWritten(next)
	})
}

// storeSegment writes audit entries to a record of their own before they are removed from the head. The content of a
// segment depends only on the head, so a conflict means that the same segment is already stored.
func (c *Controller) storeSegment(change *headChange, segment model.AuditSegment, onStored func()) {
	key := model.AuditKey(segment.Entries[0].Sequence)
	c.callStore(StoreCall{Op: OpSwap, Key: key, Value: &segment}, func(done StoreDone) {
		if done.Err != nil {
			c.attemptHeadChange(change)
			return
		}
		c.removeOldSegment(segment.Entries[0].Sequence)
		onStored()
	})
}

// removeOldSegment deletes the audit segment that lies plan.MaxSegments before the one whose first entry has the given
// sequence number.
func (c *Controller) removeOldSegment(first uint64) {
	const retainedEntries = plan.MaxSegments * plan.SegmentEntries
	if first <= retainedEntries {
		return
	}
	key := model.AuditKey(first - retainedEntries)
	c.callStore(StoreCall{Op: OpGet, Key: key}, func(done StoreDone) {
		if done.Err != nil || done.Record().Revision == 0 {
			return
		}
		c.notify(notice.AuditSegmentRemoved, Attr{Key: "key", Value: key})
		c.callStore(StoreCall{Op: OpSwap, Key: key, Expect: done.Record().Revision}, func(StoreDone) {})
	})
}
