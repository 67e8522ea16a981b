// Package scheduler is the control core of an entry, a process that accepts jobs and may schedule them. It watches the
// operators' configuration and the leader record in the store, campaigns for leadership when there is no leader, and
// drives a dispatch.Dispatcher while it leads. The core does no I/O: Step turns one event into a list of actions.
//
// Guarantees: an entry dispatches only after one transaction has written both its leader record and the commit record,
// and for no longer than Settings.MaxUnconfirmed after the store last confirmed its leadership. The configuration in
// force never goes back to a lower version. An event that can't be processed costs at most the leadership of this entry,
// not the process.
//
// The leader record names the leader and is attached to its lease. The commit record is rewritten by every commit of a
// leader, which expects the revision that the previous commit left; a leader that was replaced can't commit any more.
package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// TickInterval is the time between two Ticks. Only timeouts and retries depend on it; decisions are made on events.
const TickInterval = 100 * time.Millisecond

// pausedAfter is the time without a step after which the process counts as paused. The view is published, and a Tick is
// due, every TickInterval; the rest allows for a busy machine.
const pausedAfter = 4 * TickInterval

// Settings are fixed for the life of a process.
type Settings struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	// Address is where this entry serves requests of other entries.
	Address string
	// Cores and LinkMbps are the CPU and network capacity available to the process; 0 means unknown.
	Cores    float64
	LinkMbps float64
	// LeaderTTL is the TTL of the leader's lease: a leader that does not renew it within this time is replaced.
	LeaderTTL time.Duration
	// MaxUnconfirmed is how long a leader keeps acting while the store does not confirm its leadership.
	MaxUnconfirmed time.Duration
	// ConfigMaxAge is how long a configuration counts as current after the store has confirmed it.
	ConfigMaxAge time.Duration
	Dispatch     dispatch.Settings
}

// View is the part of the control state that traffic goroutines read. It is immutable.
type View struct {
	Configuration job.Configuration
	// Configured is true once a configuration is in force.
	Configured bool
	// ConfirmedAt is the latest time at which Configuration was certainly the newest, and ConfigMaxAge how long it counts
	// as current from then on.
	ConfirmedAt  time.Time
	ConfigMaxAge time.Duration
	// SteppedAt is when the control thread was last seen running. It is updated every TickInterval.
	SteppedAt time.Time
	// Leading is true while this entry is the leader and has loaded the jobs.
	Leading bool
	// Epoch is that of this entry's leadership; 0 unless Leading.
	Epoch model.Epoch
	// NeedsRelays is true while this entry leads a fleet in which other entries carry its orders.
	NeedsRelays bool
	// LeaderAddress is where the leader serves requests of other entries; empty while no leader is known.
	LeaderAddress string
	Draining      bool
	// StoreUnavailable is true while the store does not respond; requests that need it are refused immediately.
	StoreUnavailable bool
}

// ConfigCurrent reports whether the configuration can be taken for the newest one. Only then does the lack of a queue in
// it prove that the queue does not exist. The time counts while the process or its VM is suspended. A view from before a
// pause is not current: a request that waited meanwhile may be newer than the configuration.
func (v *View) ConfigCurrent(now time.Time) bool {
	return model.Elapsed(v.ConfirmedAt, now) <= v.ConfigMaxAge && model.Elapsed(v.SteppedAt, now) <= pausedAfter
}

// Core is the control state of an entry. It is not safe for concurrent use: one goroutine calls Step and publishes the
// Snapshot to the others.
type Core struct {
	settings      Settings
	random        *rand.Rand
	view          *View
	config        configState
	leadership    leadershipState
	storeHealth   storeHealth
	revisions     revisionHistory
	cancelWaiters map[job.ID][]ReplyTo
	draining      bool
	drainWaiters  []ReplyTo
	actions       []Action
	// steppedAt is when the last step was made.
	steppedAt time.Time
}

// New returns a core without configuration or leader; it starts with the Start event.
func New(s Settings, random *rand.Rand) *Core {
	c := &Core{settings: s, random: random, view: &View{}, cancelWaiters: make(map[job.ID][]ReplyTo)}
	c.settings.Dispatch.Incarnation = s.Incarnation
	return c
}

// Snapshot returns the view after the last Step.
func (c *Core) Snapshot() *View { return c.view }

// Step processes an event and returns the actions to carry out.
func (c *Core) Step(now time.Time, ev Event) []Action {
	if !c.steppedAt.IsZero() && model.Elapsed(c.steppedAt, now) > pausedAfter {
		c.confirmConfigAfterPause(now)
	}
	c.steppedAt = now
	c.guard(now, func() { ev.apply(c, now) })
	c.guard(now, func() { c.runDispatcher(now) })
	c.publish()
	actions := c.actions
	c.actions = nil
	return actions
}

// maxStackBytes bounds the stack in the log event of a panic.
const maxStackBytes = 2048

// guard runs a part of a step. After a panic the state of the dispatcher may be inconsistent: it is given up together
// with the leadership, and the entry goes on as a follower.
func (c *Core) guard(now time.Time, part func()) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		stack := debug.Stack()
		c.notify(notice.StepPanicked, dispatch.Attr{Key: "error", Value: fmt.Sprint(reason)},
			dispatch.Attr{Key: "stack", Value: string(stack[:min(len(stack), maxStackBytes)])})
		if c.leadership.stage != following {
			c.stepDown(now, "internal error")
		}
	}()
	part()
}

// runDispatcher lets the dispatcher make decisions after an event and converts its actions to actions of the core.
func (c *Core) runDispatcher(now time.Time) {
	d := c.leadership.dispatcher
	if d == nil {
		return
	}
	if c.leadershipExpired(now) {
		c.stepDown(now, "the store did not confirm the leadership in time")
		return
	}
	if !c.leadership.resigning {
		d.Advance(now)
	}
	for _, a := range d.Actions() {
		switch a := a.(type) {
		case dispatch.Deposed:
			c.stepDown(now, a.Reason)
			return
		case dispatch.CancelCommitted:
			c.replyCancel(a.Job, CancelOutcome{Known: true})
		case dispatch.LogEvent:
			c.emit(LogEvent{Code: a.Code, Attrs: a.Attrs})
		default:
			c.emit(Dispatch{Epoch: c.leadership.epoch, Action: a, DecidedAt: now})
		}
	}
}

// publish replaces the view if it has changed.
func (c *Core) publish() {
	v := View{
		Configuration: c.config.current, Configured: c.config.loaded, ConfirmedAt: c.config.confirmedAt,
		ConfigMaxAge: c.settings.ConfigMaxAge, SteppedAt: c.steppedAt, Leading: c.leadership.dispatcher != nil,
		LeaderAddress: c.leadership.address(), Draining: c.draining, StoreUnavailable: c.storeHealth.unavailable,
	}
	if v.Leading {
		v.Epoch, v.NeedsRelays = c.leadership.epoch, c.leadership.dispatcher.NeedsRelays()
	}
	if v.Configuration.Version != c.view.Configuration.Version || v.Configured != c.view.Configured ||
		!v.ConfirmedAt.Equal(c.view.ConfirmedAt) || model.Elapsed(c.view.SteppedAt, v.SteppedAt) >= TickInterval ||
		v.Leading != c.view.Leading || v.Epoch != c.view.Epoch ||
		v.NeedsRelays != c.view.NeedsRelays || v.LeaderAddress != c.view.LeaderAddress || v.Draining != c.view.Draining ||
		v.StoreUnavailable != c.view.StoreUnavailable {
		c.view = &v
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// notify logs an event.
func (c *Core) notify(code notice.Code, attrs ...dispatch.Attr) {
	c.emit(LogEvent{Code: code, Attrs: attrs})
}

func (c *Core) reply(to ReplyTo, value any) { c.emit(Reply{To: to, Value: value}) }
