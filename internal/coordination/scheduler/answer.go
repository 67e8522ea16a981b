package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// dispatcherFor returns the dispatcher if this entry still leads in the given epoch, otherwise nil: results of actions
// from an earlier epoch are dropped.
func (c *Core) dispatcherFor(epoch model.Epoch) *dispatch.Dispatcher {
	if c.leadership.stage != leading || c.leadership.epoch != epoch {
		return nil
	}
	return c.leadership.dispatcher
}

func (ev HoldDone) apply(c *Core, now time.Time) {
	if d := c.dispatcherFor(ev.Target.Epoch); d != nil {
		d.HandleHold(now, ev.Sent, ev.Target, ev.Inventory, ev.Response)
	}
}

func (ev OrderDone) apply(c *Core, now time.Time) {
	switch o := ev.Order.(type) {
	case dispatch.Start:
		if d := c.dispatcherFor(o.Epoch); d != nil {
			d.HandleStart(now, o.Target, o.Run, ev.Response)
		}
	case dispatch.Stop:
		if d := c.dispatcherFor(o.Epoch); d != nil {
			d.HandleStop(now, o.Target, o.Run, ev.Response)
		}
	case dispatch.Pace:
		if d := c.dispatcherFor(o.Epoch); d != nil {
			d.HandlePace(now, o.Target, o, ev.Response)
		}
	}
}

func (ev RelayOffered) apply(c *Core, _ time.Time) {
	if d := c.dispatcherFor(ev.Epoch); d != nil {
		d.OfferRelay(ev.Relay)
	}
}

func (ev RelayLost) apply(c *Core, now time.Time) {
	if d := c.dispatcherFor(ev.Epoch); d != nil {
		d.LoseRelay(now, ev.Entry)
	}
}

func (ev AdviceReceived) apply(c *Core, now time.Time) {
	if d := c.dispatcherFor(ev.Request.Epoch); d != nil {
		d.HandleAdvice(now, ev.Request, ev.Granted, ev.Err)
	}
}

func (ev Committed) apply(c *Core, now time.Time) {
	d := c.dispatcherFor(ev.Epoch)
	switch {
	case d == nil:
	case ev.UnstorableKey != "":
		d.HandleUnstorable(now, ev.ID, ev.UnstorableKey, ev.Err)
	default:
		d.HandleCommit(now, ev.ID, ev.Revision, ev.Applied, ev.Record, ev.Err)
	}
}

func (ev InspectRequested) apply(c *Core, _ time.Time) {
	inspection := Inspection{Leading: c.leadership.dispatcher != nil}
	if inspection.Leading {
		inspection.Phase, inspection.Known = c.leadership.dispatcher.Inspect(ev.Job)
	}
	c.reply(ev.ReplyTo, inspection)
}

func (ev PendingRequested) apply(c *Core, _ time.Time) {
	count := PendingCount{Leading: c.leadership.dispatcher != nil}
	if count.Leading {
		count.Jobs = c.leadership.dispatcher.Pending(ev.Queue)
	}
	c.reply(ev.ReplyTo, count)
}

func (ev CancelRequested) apply(c *Core, _ time.Time) {
	if c.leadership.dispatcher == nil || c.leadership.resigning {
		c.reply(ev.ReplyTo, CancelOutcome{NotLeader: true})
		return
	}
	c.cancelWaiters[ev.Job] = append(c.cancelWaiters[ev.Job], ev.ReplyTo)
	if !c.leadership.dispatcher.Cancel(ev.Job) {
		c.replyCancel(ev.Job, CancelOutcome{})
	}
}

func (c *Core) replyCancel(id job.ID, outcome CancelOutcome) {
	for _, to := range c.cancelWaiters[id] {
		c.reply(to, outcome)
	}
	delete(c.cancelWaiters, id)
}

func (ev DrainRequested) apply(c *Core, now time.Time) {
	c.draining = true
	c.drainWaiters = append(c.drainWaiters, ev.ReplyTo)
	switch c.leadership.stage {
	case following:
		c.replyDrained()
	case campaigning:
		c.abandonCampaign(now)
	case claiming, loading:
		// A claim that succeeds is resigned once the state is read: a successor need not wait for this entry then.
	case leading:
		c.leadership.resigning = true
		c.tryResign(now)
	}
}

// tryResign resigns the leadership unless a commit is in flight; the next tick then tries again.
func (c *Core) tryResign(now time.Time) {
	l := &c.leadership
	if l.resignSent {
		return
	}
	if tx, ok := l.dispatcher.Resign(now); ok {
		l.resignSent = true
		c.emit(CommitLeadership{Term: l.term, Transaction: tx})
	}
}

func (c *Core) completeResignation(now time.Time) {
	c.stepDown(now, "resigned")
}

func (c *Core) replyDrained() {
	if !c.draining {
		return
	}
	for _, to := range c.drainWaiters {
		c.reply(to, Drained{})
	}
	c.drainWaiters = nil
}
