package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/plan"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// planTTL is the time after which a plan can no longer be confirmed.
const planTTL = 24 * time.Hour

// Confirmation is the outcome of a confirmed plan.
type Confirmation struct {
	Plan model.PlanID
	// Entry is the audit entry of the accepted change.
	Entry model.AuditEntry
	// Repeated is true when the plan had been accepted before.
	Repeated bool
}

func (c *Controller) handlePlanSubmitted(e PlanSubmitted) {
	if c.head.revision == 0 && c.storeFailures > 0 {
		c.reply(e.ReplyTo, nil, verdict.NotRunError("no configuration is loaded and the store does not answer", nil))
		return
	}
	p := plan.Make(c.now, e.ID, e.Operator, e.Digest, e.Intents, c.clusterState())
	swap := StoreCall{Op: OpSwap, Key: model.PlanKey(p.ID), Value: &p}
	c.callStore(swap, func(done StoreDone) {
		if done.Err != nil {
			// NotRun holds whether or not the write took effect: a stored plan changes nothing until it is confirmed.
			c.reply(e.ReplyTo, nil, verdict.NotRunError("storing the plan failed", done.Err))
			return
		}
		c.reply(e.ReplyTo, p, nil)
	})
}

func (c *Controller) handlePlanConfirmed(e PlanConfirmed) {
	c.callStore(StoreCall{Op: OpGet, Key: model.PlanKey(e.ID)}, func(done StoreDone) {
		if done.Err != nil {
			c.reply(e.ReplyTo, nil, verdict.NotRunError("the plan can't be read", done.Err))
			return
		}
		p, ok := done.Record().Value.(*model.Plan)
		switch {
		case !ok:
			c.confirmFromAudit(e, done.Record().Err)
		case c.now.Sub(p.CreatedAt) > planTTL:
			c.confirmFromAudit(e, nil)
		default:
			c.confirm(e, *p)
		}
	})
}

// confirmFromAudit answers the confirmation of a plan that has no record or is too old to apply. The audit trail tells
// whether it was applied.
func (c *Controller) confirmFromAudit(e PlanConfirmed, cause error) {
	c.readAudit(func(entries []model.AuditEntry, err error) {
		if err != nil {
			c.reply(e.ReplyTo, nil, verdict.MayHaveRunError("the audit trail can't be read", err))
			return
		}
		if entry, applied := plan.FindAccepted(entries, e.ID); applied {
			c.reply(e.ReplyTo, Confirmation{Plan: e.ID, Entry: entry, Repeated: true}, nil)
			return
		}
		c.reply(e.ReplyTo, nil, verdict.NotRunError("plan not found or expired", cause))
	})
}

func (c *Controller) readPlan(id model.PlanID, to ReplyTo, onRead func(model.Plan)) {
	c.callStore(StoreCall{Op: OpGet, Key: model.PlanKey(id)}, func(done StoreDone) {
		if done.Err != nil {
			c.reply(to, nil, verdict.NotRunError("the plan can't be read", done.Err))
			return
		}
		record := done.Record()
		p, ok := record.Value.(*model.Plan)
		if !ok {
			c.reply(to, nil, verdict.NotRunError("plan not found", record.Err))
			return
		}
		onRead(*p)
	})
}

func (c *Controller) confirm(e PlanConfirmed, p model.Plan) {
	change := &headChange{replyTo: e.ReplyTo, plan: p.ID}
	change.replyIfDone = func(head model.Head, revision model.Revision) bool {
		entry, applied := plan.FindAccepted(head.Audit, p.ID)
		switch {
		case applied:
			c.applyHead(head, revision, c.head.source)
			c.reply(e.ReplyTo, Confirmation{Plan: p.ID, Entry: entry, Repeated: !change.mayBeWritten}, nil)
		case plan.IsRejected(head.Audit, p.ID):
			c.reply(e.ReplyTo, nil, verdict.NotRunError("the plan was rejected", nil))
		case isOlderThanAudit(head, p):
			c.confirmFromAudit(e, nil)
		default:
			return false
		}
		return true
	}
	change.update = func(head model.Head, revision model.Revision) (model.Head, error) {
		next, err := plan.Apply(c.now, head, revision, p, e.Operator)
		if err != nil {
			c.notify(notice.PlanRefused, Attr{Key: "plan", Value: p.ID}, Attr{Key: "reason", Value: err.Error()})
		}
		return next, err
	}
	change.onWritten = func(head model.Head) {
		entry := head.Audit[len(head.Audit)-1]
		c.notify(notice.PlanAccepted, Attr{Key: "plan", Value: p.ID}, Attr{Key: "version", Value: entry.VersionAfter})
		c.reply(e.ReplyTo, Confirmation{Plan: p.ID, Entry: entry}, nil)
	}
	c.attemptHeadChange(change)
}

// isOlderThanAudit reports whether the plan is so old that its audit entry, if there is one, is no longer in the head.
func isOlderThanAudit(head model.Head, p model.Plan) bool {
	return len(head.Audit) > 0 && p.BaseVersion < head.Audit[0].VersionBefore
}

func (c *Controller) handlePlansRequested(e PlansRequested) {
	if e.ID != "" {
		c.readPlan(e.ID, e.ReplyTo, func(p model.Plan) {
			c.reply(e.ReplyTo, []model.Plan{c.withStatus(p)}, nil)
		})
		return
	}
	c.callStore(StoreCall{Op: OpList, Key: model.PrefixPlan}, func(done StoreDone) {
		if done.Err != nil {
			c.reply(e.ReplyTo, nil, verdict.NotRunError("the plans can't be read", done.Err))
			return
		}
		var plans []model.Plan
		for _, r := range done.Records {
			if p, ok := r.Value.(*model.Plan); ok {
				plans = append(plans, c.withStatus(*p))
			}
		}
		slices.SortFunc(plans, func(a, b model.Plan) int { return cmp.Compare(a.ID, b.ID) })
		c.reply(e.ReplyTo, plans, nil)
	})
}

// withStatus returns the plan with its status, which for an open plan follows from the head in force.
func (c *Controller) withStatus(p model.Plan) model.Plan {
	if p.Status != model.PlanOpen {
		return p
	}
	if _, applied := plan.FindAccepted(c.head.head.Audit, p.ID); applied {
		p.Status = model.PlanApplied
	} else if plan.IsRejected(c.head.head.Audit, p.ID) {
		p.Status = model.PlanRejected
	} else if p.BaseVersion < c.head.head.Config.Version {
		p.Status = model.PlanStale
	}
	return p
}

func (c *Controller) handleAuditRequested(e AuditRequested) {
	c.readAudit(func(entries []model.AuditEntry, err error) {
		if err != nil {
			c.reply(e.ReplyTo, nil, verdict.NotRunError("the audit trail can't be read", err))
			return
		}
		c.reply(e.ReplyTo, entries, nil)
	})
}

// readAudit reads the whole audit trail, oldest entry first: the stored segments followed by the entries in the head.
// It reads the head before the segments, so that entries which leave the head meanwhile are found in a segment.
func (c *Controller) readAudit(onRead func([]model.AuditEntry, error)) {
	c.callStore(StoreCall{Op: OpGet, Key: model.KeyHead}, func(headDone StoreDone) {
		if headDone.Err != nil {
			onRead(nil, headDone.Err)
			return
		}
		c.callStore(StoreCall{Op: OpList, Key: model.PrefixAudit}, func(done StoreDone) {
			onRead(mergeAudit(headDone, done), done.Err)
		})
	})
}

func mergeAudit(headDone, segments StoreDone) []model.AuditEntry {
	var entries []model.AuditEntry
	for _, r := range segments.Records {
		if segment, ok := r.Value.(*model.AuditSegment); ok {
			entries = append(entries, segment.Entries...)
		}
	}
	if head, ok := headDone.Record().Value.(*model.Head); ok {
		entries = append(entries, head.Audit...)
	}
	slices.SortFunc(entries, func(a, b model.AuditEntry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return slices.CompactFunc(entries, func(a, b model.AuditEntry) bool { return a.Sequence == b.Sequence })
}
