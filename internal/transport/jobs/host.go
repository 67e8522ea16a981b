package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/transport/actorloop"
)

// ControlActor runs the scheduler core as an actor.
type ControlActor struct {
	*actorloop.Loop[scheduler.Event, scheduler.Action, scheduler.View]
}

// NewControlActor starts the control actor. It wraps executor.Store so that the core learns the outcome of each store
// call.
func NewControlActor(
	ctx context.Context, settings scheduler.Settings, executor *Executor, random *rand.Rand) (*ControlActor, error,
) {
	a := &ControlActor{}
	executor.Store = &ReportingStore{store: executor.Store, notifyCore: a.notifyCore}
	a.Loop = actorloop.Start(actorloop.Options[scheduler.Event, scheduler.Action, scheduler.View]{
		Core: scheduler.New(settings, random), ReplyOf: replyOf, Inline: executor.Inline, Perform: executor.Perform,
		Observe: executor.Metrics.observeStep,
		Merge:   func(events []scheduler.Event) scheduler.Event { return scheduler.Batch(events) },
		Tick:    func() scheduler.Event { return scheduler.Tick{Queued: time.Now()} }, Interval: scheduler.TickInterval,
	})
	return a, a.Send(ctx, scheduler.Start{})
}

// notifyCore sends an event to the core and reports whether it was queued. The event is dropped if the mailbox is full
// or the actor has not been started.
func (a *ControlActor) notifyCore(ev scheduler.Event) bool { return a.Loop != nil && a.TrySend(ev) }

// replyOf returns the reply that an action carries and whether the action is a reply.
func replyOf(action scheduler.Action) (actorloop.Reply, bool) {
	r, ok := action.(scheduler.Reply)
	return actorloop.Reply{To: uint64(r.To), Value: r.Value}, ok
}

// Inspect asks the core for the phase of a job.
func (a *ControlActor) Inspect(ctx context.Context, id job.ID) (scheduler.Inspection, error) {
	return actorloop.ReplyAs[scheduler.Inspection](a.Ask(ctx, func(to uint64) scheduler.Event {
		return scheduler.InspectRequested{ReplyTo: scheduler.ReplyTo(to), Job: id}
	}))
}

// Pending asks the core for the number of jobs of a queue of which no task was started.
func (a *ControlActor) Pending(ctx context.Context, queue job.Queue) (scheduler.PendingCount, error) {
	return actorloop.ReplyAs[scheduler.PendingCount](a.Ask(ctx, func(to uint64) scheduler.Event {
		return scheduler.PendingRequested{ReplyTo: scheduler.ReplyTo(to), Queue: queue}
	}))
}

// Cancel asks the core to cancel a job and waits until the cancellation is stored.
func (a *ControlActor) Cancel(ctx context.Context, id job.ID) (scheduler.CancelOutcome, error) {
	return actorloop.ReplyAs[scheduler.CancelOutcome](a.Ask(ctx, func(to uint64) scheduler.Event {
		return scheduler.CancelRequested{ReplyTo: scheduler.ReplyTo(to), Job: id}
	}))
}

// ConfirmConfig waits until the core knows whether the configuration in force is current.
func (a *ControlActor) ConfirmConfig(ctx context.Context) (scheduler.ConfigConfirmation, error) {
	return actorloop.ReplyAs[scheduler.ConfigConfirmation](a.Ask(ctx, func(to uint64) scheduler.Event {
		return scheduler.ConfirmConfigRequested{ReplyTo: scheduler.ReplyTo(to)}
	}))
}

// Drain makes the core give up the leadership, if it holds it, and waits until that is done.
func (a *ControlActor) Drain(ctx context.Context) error {
	_, err := a.Ask(ctx, func(to uint64) scheduler.Event {
		return scheduler.DrainRequested{ReplyTo: scheduler.ReplyTo(to)}
	})
	return err
}
