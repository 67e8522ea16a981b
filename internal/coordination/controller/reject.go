package controller

import (
	"github.com/jujubearch/jujubearch/internal/coordination/plan"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

func (c *Controller) handlePlanRejected(e PlanRejected) {
	c.readPlan(e.ID, e.ReplyTo, func(p model.Plan) { c.reject(e, p) })
}

func (c *Controller) reject(e PlanRejected, p model.Plan) {
	rejected := func(model.Head) {
		p.Status = model.PlanRejected
		c.reply(e.ReplyTo, p, nil)
	}
	c.attemptHeadChange(&headChange{
		replyTo: e.ReplyTo, plan: p.ID, onWritten: rejected,
		replyIfDone: func(head model.Head, _ model.Revision) bool {
			if _, applied := plan.FindAccepted(head.Audit, p.ID); applied {
				c.reply(e.ReplyTo, nil, verdict.NotRunError("the plan was already confirmed", nil))
				return true
			}
			if plan.IsRejected(head.Audit, p.ID) {
				rejected(head)
				return true
			}
			return false
		},
		update: func(head model.Head, revision model.Revision) (model.Head, error) {
			return plan.Reject(c.now, head, revision, p, e.Operator), nil
		},
	})
}
