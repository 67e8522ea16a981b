package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// led returns the dispatcher if this entry still leads under an epoch.
func (c *Core) led(epoch model.Epoch) *dispatch.Dispatcher {
	if c.lead.stage != leading || c.lead.epoch != epoch {
		return nil
	}
	return c.lead.dispatcher
}

func (ev Held) apply(c *Core, now time.Time) {
	if d := c.led(ev.Target.Epoch); d != nil {
		d.Held(now, ev.Sent, ev.Target.Worker, ev.Inventory, ev.Answer)
	}
}

func (ev Ordered) apply(c *Core, now time.Time) {
	switch o := ev.Order.(type) {
	case dispatch.Start:
		if d := c.led(o.Epoch); d != nil {
			d.Started(now, o.Worker, o.Run, ev.Answer)
		}
	case dispatch.Stop:
		if d := c.led(o.Epoch); d != nil {
			d.Stopped(now, o.Worker, o.Run, ev.Answer)
		}
	case dispatch.Pace:
		if d := c.led(o.Epoch); d != nil {
			d.Paced(o.Target, o, ev.Answer.Err == nil && ev.Answer.Refusal == job.RefusedNot)
		}
	}
}

func (ev Advised) apply(c *Core, now time.Time) {
	if d := c.led(ev.Question.Epoch); d != nil {
		d.Advised(now, ev.Question, ev.Granted, ev.Err)
	}
}

func (ev Committed) apply(c *Core, now time.Time) {
	if d := c.led(ev.Epoch); d != nil {
		d.Committed(now, ev.ID, ev.Revision, ev.Applied, ev.Chain, ev.Err)
	}
}

func (ev InspectRequested) apply(c *Core, _ time.Time) {
	answer := Inspection{Leading: c.lead.dispatcher != nil}
	if answer.Leading {
		answer.Phase, answer.Known = c.lead.dispatcher.Inspect(ev.Job)
	}
	c.reply(ev.ReplyTo, answer)
}

func (ev PendingRequested) apply(c *Core, _ time.Time) {
	answer := PendingCount{Leading: c.lead.dispatcher != nil}
	if answer.Leading {
		answer.Jobs = c.lead.dispatcher.Pending(ev.Queue)
	}
	c.reply(ev.ReplyTo, answer)
}

func (ev CancelRequested) apply(c *Core, _ time.Time) {
	if c.lead.dispatcher == nil || c.lead.resigning {
		c.reply(ev.ReplyTo, CancelOutcome{Lost: true})
		return
	}
	c.cancels[ev.Job] = append(c.cancels[ev.Job], ev.ReplyTo)
	if !c.lead.dispatcher.Cancel(ev.Job) {
		c.settleCancel(ev.Job, CancelOutcome{})
	}
}

func (c *Core) settleCancel(id job.ID, outcome CancelOutcome) {
	for _, to := range c.cancels[id] {
		c.reply(to, outcome)
	}
	delete(c.cancels, id)
}

func (ev DrainRequested) apply(c *Core, _ time.Time) {
	c.draining = true
	c.drained = append(c.drained, ev.ReplyTo)
	if c.lead.stage != leading {
		c.settleDrain()
		return
	}
	c.lead.resigning = true
	c.tryResign()
}

// tryResign hands the leadership over once no commit is on its way.
func (c *Core) tryResign() {
	l := &c.lead
	if l.resignSent {
		return
	}
	if tx, ok := l.dispatcher.Resign(); ok {
		l.resignSent = true
		c.emit(Claim{Term: l.term, Transaction: tx})
	}
}

func (c *Core) resigned(now time.Time) {
	c.depose(now, "resigned")
}

func (c *Core) settleDrain() {
	if !c.draining {
		return
	}
	for _, to := range c.drained {
		c.reply(to, Drained{})
	}
	c.drained = nil
}
