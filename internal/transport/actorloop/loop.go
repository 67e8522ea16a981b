// Package actorloop runs a control core as an actor: it feeds events to the core one at a time, publishes an immutable
// view of the core's state for other goroutines and executes the core's actions on goroutines of their own.
//
// Guarantees: only the actor's goroutine calls the core, and it never blocks. The number of queued events is bounded.
// Events are passed to the core in the order in which they were queued.
package actorloop

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// MailboxSize is the maximum number of events queued for the actor.
const MailboxSize = 4096

// Core makes the decisions. Only the actor calls its methods. The view that Snapshot returns must never change
// afterwards, since other goroutines read it.
type Core[E, A, V any] interface {
	Step(now time.Time, event E) []A
	Snapshot() *V
}

// Reply answers a caller of Ask. To is the id that Ask passed to build.
type Reply struct {
	To    uint64
	Value any
	Err   error
}

// Options configure a Loop.
type Options[E, A, V any] struct {
	Core Core[E, A, V]
	// ReplyOf returns the reply that an action carries and whether the action is a reply.
	ReplyOf func(A) (Reply, bool)
	// Inline, if not nil, may execute an action on the actor's goroutine and reports whether it did. It must not block.
	Inline func(A) bool
	// Perform executes an action on a goroutine of its own and may block. It returns the event with the result; false
	// means that there is none.
	Perform func(ctx context.Context, action A) (E, bool)
	// Merge, if not nil, returns one event that stands for several queued ones, so that the core makes its decisions
	// once for all of them. It gets at least two events.
	Merge func([]E) E
	// Observe, if not nil, is told how long the first of the queued events had waited when they were taken, and how long
	// it took to process them and to start their actions. It must not block.
	Observe func(queued, took time.Duration)
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Tick returns the event to send every Interval.
	Tick     func() E
	Interval time.Duration
}

// Loop is a running actor with its core.
type Loop[E, A, V any] struct {
	options Options[E, A, V]
	system  *actor.ActorSystem
	pid     *actor.PID
	view    atomic.Pointer[V]
	// mailboxSlots holds an element for each queued event and so bounds the mailbox. Protoactor's own bounded mailbox
	// would busy-wait while it is full.
	mailboxSlots chan struct{}
	queueMu      sync.Mutex
	// queue holds the events that the actor has not taken yet. While it is not empty, an eventsQueued message is on its
	// way to the actor.
	queue []E
	// queuedSince is when the first event of the queue was added.
	queuedSince time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	stopOnce    sync.Once

	repliesMu   sync.Mutex
	replies     map[uint64]chan Reply
	lastReplyID uint64
}

// eventsQueued is the message that tells the actor to take the queued events.
type eventsQueued struct{}

// Start starts the actor and its timer.
func Start[E, A, V any](o Options[E, A, V]) *Loop[E, A, V] {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop[E, A, V]{
		options: o, mailboxSlots: make(chan struct{}, MailboxSize), ctx: ctx, cancel: cancel,
		replies: make(map[uint64]chan Reply),
	}
	l.view.Store(o.Core.Snapshot())
	discardLogs := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })
	l.system = actor.NewActorSystem(discardLogs)
	l.pid = l.system.Root.Spawn(actor.PropsFromFunc(l.receive))
	l.goroutines.Add(1)
	go l.tick()
	return l
}

// Stop stops the actor and waits for the actions in flight, whose contexts it cancels. Further calls do nothing.
func (l *Loop[E, A, V]) Stop() {
	l.stopOnce.Do(func() {
		l.cancel()
		_ = l.system.Root.StopFuture(l.pid).Wait()
		l.goroutines.Wait()
		l.system.Shutdown()
	})
}

// Snapshot returns the newest view. It may be called from any goroutine.
func (l *Loop[E, A, V]) Snapshot() *V { return l.view.Load() }

// Send queues an event, waiting while the mailbox is full. It fails if ctx ends or the loop is stopped.
func (l *Loop[E, A, V]) Send(ctx context.Context, ev E) error {
	select {
	case l.mailboxSlots <- struct{}{}:
	case <-ctx.Done():
		return verdict.NotRunError("control mailbox is full", ctx.Err())
	case <-l.ctx.Done():
		return verdict.NotRunError("the process is stopping", l.ctx.Err())
	}
	l.enqueue(ev)
	return nil
}

// enqueue queues an event, for which a slot is taken, and wakes the actor if the queue was empty.
func (l *Loop[E, A, V]) enqueue(ev E) {
	l.queueMu.Lock()
	wasEmpty := len(l.queue) == 0
	if wasEmpty {
		l.queuedSince = time.Now()
	}
	l.queue = append(l.queue, ev)
	l.queueMu.Unlock()
	if wasEmpty {
		l.system.Root.Send(l.pid, eventsQueued{})
	}
}

// takeQueue returns the queued events, and since when the first was queued, and frees their slots.
func (l *Loop[E, A, V]) takeQueue() ([]E, time.Time) {
	l.queueMu.Lock()
	events, since := l.queue, l.queuedSince
	l.queue = nil
	l.queueMu.Unlock()
	for range events {
		<-l.mailboxSlots
	}
	return events, since
}

// TrySend queues an event unless the mailbox is full, and reports whether it did.
func (l *Loop[E, A, V]) TrySend(ev E) bool {
	select {
	case l.mailboxSlots <- struct{}{}:
		l.enqueue(ev)
		return true
	default:
		return false
	}
}

// Ask sends the event that build returns and waits for its reply. If ctx ends after the event was queued, the outcome
// is unknown and the error carries verdict.MayHaveRun.
func (l *Loop[E, A, V]) Ask(ctx context.Context, build func(to uint64) E) (any, error) {
	id, ch := l.registerReply()
	defer l.unregisterReply(id)
	if err := l.Send(ctx, build(id)); err != nil {
		return nil, err
	}
	select {
	case r := <-ch:
		return r.Value, r.Err
	case <-ctx.Done():
		return nil, verdict.MayHaveRunError("no reply from the control actor in time", ctx.Err())
	case <-l.ctx.Done():
		return nil, verdict.MayHaveRunError("the process is stopping", l.ctx.Err())
	}
}

// ErrUnexpectedReplyType means that a reply has a type other than the expected one.
const ErrUnexpectedReplyType = errors.ConstError("reply has an unexpected type")

// ReplyAs converts the result of Ask to a T.
func ReplyAs[T any](value any, err error) (T, error) {
	var zero T
	if err != nil {
		return zero, err
	}
	typed, ok := value.(T)
	if !ok {
		return zero, errors.Annotatef(ErrUnexpectedReplyType, "%T", value)
	}
	return typed, nil
}

// registerReply returns the id of a new reply and the channel on which it is delivered.
func (l *Loop[E, A, V]) registerReply() (uint64, chan Reply) {
	l.repliesMu.Lock()
	defer l.repliesMu.Unlock()
	l.lastReplyID++
	ch := make(chan Reply, 1)
	l.replies[l.lastReplyID] = ch
	return l.lastReplyID, ch
}

func (l *Loop[E, A, V]) unregisterReply(id uint64) {
	l.repliesMu.Lock()
	defer l.repliesMu.Unlock()
	delete(l.replies, id)
}

// deliverReply passes a reply to the Ask that waits for it, or drops it if that has returned.
func (l *Loop[E, A, V]) deliverReply(r Reply) {
	l.repliesMu.Lock()
	ch := l.replies[r.To]
	l.repliesMu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// tick sends a tick event every interval. Ticks are dropped while the mailbox is full.
func (l *Loop[E, A, V]) tick() {
	defer l.goroutines.Done()
	ticker := time.NewTicker(l.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.TrySend(l.options.Tick())
		case <-l.ctx.Done():
			return
		}
	}
}

// receive processes the queued events. Once the loop is running, only receive uses the core.
func (l *Loop[E, A, V]) receive(ctx actor.Context) {
	if _, ok := ctx.Message().(eventsQueued); !ok {
		return
	}
	events, queuedSince := l.takeQueue()
	began := time.Now()
	if l.options.Merge != nil && len(events) > 1 {
		events = []E{l.options.Merge(events)}
	}
	for _, ev := range events {
		actions := l.options.Core.Step(l.options.Clock(), ev)
		l.view.Store(l.options.Core.Snapshot())
		for _, action := range actions {
			l.perform(action)
		}
	}
	if l.options.Observe != nil {
		l.options.Observe(began.Sub(queuedSince), time.Since(began))
	}
}

// perform delivers a reply, or executes an action inline or on a new goroutine that sends the result to the core. After
// Stop, it executes no actions.
func (l *Loop[E, A, V]) perform(action A) {
	if r, ok := l.options.ReplyOf(action); ok {
		l.deliverReply(r)
		return
	}
	if l.ctx.Err() != nil || (l.options.Inline != nil && l.options.Inline(action)) {
		return
	}
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		if result, ok := l.options.Perform(l.ctx, action); ok {
			// Send fails only if the loop is stopped, when nobody waits for the result.
			_ = l.Send(l.ctx, result)
		}
	}()
}
