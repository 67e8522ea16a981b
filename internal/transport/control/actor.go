// Package control runs the controller as an actor: it feeds events to the controller one at a time and executes the
// resulting actions on goroutines of their own, so that the controller never waits for I/O.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
	"github.com/jujubearch/jujubearch/internal/transport/actorloop"
)

// MailboxSize is the maximum number of events queued for the control actor.
const MailboxSize = actorloop.MailboxSize

// Performer executes actions. Each call of Perform runs on a goroutine of its own and may block. It returns the event
// with the result; false means that there is none.
type Performer interface {
	Perform(ctx context.Context, action controller.Action) (controller.Event, bool)
}

// Actor is a handle to the control actor.
type Actor struct {
	*actorloop.Loop[controller.Event, controller.Action, snapshot.Snapshot]
}

// Options configure an Actor.
type Options struct {
	Settings  controller.Settings
	Performer Performer
	Random    *rand.Rand
	// Clock returns the current time; nil means time.Now.
	Clock  func() time.Time
	Logger *slog.Logger
}

// Start starts the control actor and its timer.
func Start(o Options) *Actor {
	return &Actor{actorloop.Start(actorloop.Options[controller.Event, controller.Action, snapshot.Snapshot]{
		Core: controller.New(o.Settings, o.Random), ReplyOf: replyOf, Perform: o.Performer.Perform, Clock: o.Clock,
		Tick: func() controller.Event { return controller.Tick{} }, Interval: controller.TickInterval,
	})}
}

// replyOf returns the reply that an action carries and whether the action is a reply.
func replyOf(action controller.Action) (actorloop.Reply, bool) {
	r, ok := action.(controller.Reply)
	return actorloop.Reply{To: uint64(r.To), Value: r.Value, Err: r.Err}, ok
}

// Ask sends the event that build returns and waits for its reply, as actorloop.Loop.Ask does.
func (a *Actor) Ask(ctx context.Context, build func(controller.ReplyTo) controller.Event) (any, error) {
	return a.Loop.Ask(ctx, func(to uint64) controller.Event { return build(controller.ReplyTo(to)) })
}

// ErrUnexpectedReplyType means that a reply has a type other than the expected one.
const ErrUnexpectedReplyType = actorloop.ErrUnexpectedReplyType

// AskTyped is Ask with a typed reply.
func AskTyped[T any](ctx context.Context, a *Actor, build func(controller.ReplyTo) controller.Event) (T, error) {
	return actorloop.ReplyAs[T](a.Ask(ctx, build))
}

// Status asks the control actor for the entry's status.
func (a *Actor) Status(ctx context.Context) (controller.Status, error) {
	return AskTyped[controller.Status](ctx, a, func(to controller.ReplyTo) controller.Event {
		return controller.StatusRequested{ReplyTo: to}
	})
}
