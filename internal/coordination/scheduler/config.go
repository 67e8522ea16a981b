package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// watchTimeout bounds a long-polling read of the store. A dead connection is noticed only when the response is
	// overdue, and a new configuration must take effect within seconds.
	watchTimeout = 1500 * time.Millisecond
	// readBackoffMin and readBackoffMax bound the delay before a failed read is retried.
	readBackoffMin = 50 * time.Millisecond
	readBackoffMax = 400 * time.Millisecond
	// Changes of the configuration less than configBurstGap apart are a burst. A watch returns every version in full, so
	// that during a burst the newest one is read every configBurstPause instead. For the same reason the newest one is
	// read after a failure, and when a watch has returned only a part of the versions since.
	configBurstGap   = time.Second
	configBurstPause = 500 * time.Millisecond
)

// readRetry tracks the retries of one recurring read, with exponential back-off.
type readRetry struct {
	backoff time.Duration
	// nextAttempt is when the retry is due; zero while the read is in flight.
	nextAttempt time.Time
	failing     bool
}

// recordFailure schedules the next attempt and reports whether this is the first of consecutive failures.
func (r *readRetry) recordFailure(now time.Time) bool {
	r.backoff = min(max(2*r.backoff, readBackoffMin), readBackoffMax)
	r.nextAttempt = now.Add(r.backoff)
	first := !r.failing
	r.failing = true
	return first
}

// recordSuccess resets the back-off and reports whether the previous attempt had failed.
func (r *readRetry) recordSuccess() bool {
	wasFailing := r.failing
	*r = readRetry{}
	return wasFailing
}

// waitTime returns how long the next read may block in the store. After a failure it is 0: an immediate response shows
// sooner that the store has recovered.
func (r *readRetry) waitTime() time.Duration {
	if r.failing {
		return 0
	}
	return watchTimeout
}

// startIfDue reports whether a failed read is to be retried now, and if so marks it as in flight.
func (r *readRetry) startIfDue(now time.Time) bool {
	if r.nextAttempt.IsZero() || now.Before(r.nextAttempt) {
		return false
	}
	r.nextAttempt = time.Time{}
	return true
}

// configState is the latest configuration set by the operators.
type configState struct {
	current job.Configuration
	loaded  bool
	// revision is where the next watch continues; 0 for a read of the newest version.
	revision model.Revision
	retry    readRetry
	// confirmedAt is the latest time at which the current version was certainly the newest.
	confirmedAt time.Time
	// readNumber is the number of the read whose result is waited for.
	readNumber uint64
	// resumedAt is when the process ran again after its last pause. confirming is set while a read that was sent because
	// of a pause is in flight.
	resumedAt  time.Time
	confirming bool
	// waiters are requests that wait for a confirmation.
	waiters []ReplyTo
	// changedAt is when the configuration last changed here.
	changedAt time.Time
	// readNewestAt is when to read the newest configuration during a burst; zero otherwise.
	readNewestAt time.Time
}

func (Start) apply(c *Core, now time.Time) {
	c.watchConfig(now)
	c.watchLeader()
}

// watchConfig reads the configuration, or watches it for so long that the store confirms it before half of its maximum
// age has passed.
func (c *Core) watchConfig(now time.Time) {
	s := &c.config
	wait := min(s.retry.waitTime(), max(0, c.settings.ConfigMaxAge/2-model.Elapsed(s.confirmedAt, now)))
	s.readNumber++
	c.emit(WatchConfig{Number: s.readNumber, After: s.revision, Wait: wait})
}

// confirmConfigAfterPause reads the configuration at once after a pause of the process. What a read that was sent before
// the pause returns proves nothing about the time since.
func (c *Core) confirmConfigAfterPause(now time.Time) {
	s := &c.config
	s.confirmedAt, s.resumedAt = time.Time{}, now
	if s.confirming || !s.retry.nextAttempt.IsZero() {
		return
	}
	if model.Elapsed(c.steppedAt, now) > configBurstGap || !s.readNewestAt.IsZero() {
		// There may be several versions since.
		s.revision, s.readNewestAt = 0, time.Time{}
	}
	s.confirming = true
	c.watchConfig(now)
}

func (ev ConfigRead) apply(c *Core, now time.Time) {
	s := &c.config
	if ev.Number != s.readNumber {
		if ev.Err == nil {
			c.applyConfig(now, ev)
		}
		return
	}
	s.confirming = false
	if ev.Err != nil {
		s.revision = 0
		c.readFailed(now, &s.retry, "configuration", ev.Err)
		c.replyConfirmation(false)
		return
	}
	c.readSucceeded(&s.retry, "configuration")
	s.revision = 0
	if ev.Newest {
		s.revision = ev.Revision
		c.revisions.observe(now, ev.Revision)
		c.configConfirmed(now, ev)
	}
	inBurst := c.applyConfig(now, ev)
	if c.configCurrent(now) {
		c.replyConfirmation(true)
	}
	if inBurst {
		s.readNewestAt = now.Add(configBurstPause)
		return
	}
	c.watchConfig(now)
}

// applyConfig puts the configuration that was read in force if it is newer, and reports whether it follows the one
// before within configBurstGap.
func (c *Core) applyConfig(now time.Time, ev ConfigRead) (inBurst bool) {
	s := &c.config
	if !ev.Changed || s.loaded && ev.Config.Version <= s.current.Version {
		return false
	}
	c.notify(notice.ConfigApplied, dispatch.Attr{Key: "version", Value: ev.Config.Version},
		dispatch.Attr{Key: "before", Value: s.current.Version}, dispatch.Attr{Key: "revision", Value: ev.Revision},
		dispatch.Attr{Key: "took", Value: now.Sub(ev.Sent)}, dispatch.Attr{Key: "transfer", Value: ev.Transfer},
		dispatch.Attr{Key: "versions_read", Value: ev.Versions}, dispatch.Attr{Key: "bytes", Value: ev.Bytes})
	s.current, s.loaded = ev.Config, true
	if d := c.leadership.dispatcher; d != nil {
		d.SetRoutes(ev.Config.Version, ev.Config.Routes)
	}
	inBurst = now.Sub(s.changedAt) < configBurstGap
	s.changedAt = now
	return inBurst
}

// configCurrent reports whether the configuration in force can be taken for the newest one.
func (c *Core) configCurrent(now time.Time) bool {
	return model.Elapsed(c.config.confirmedAt, now) <= c.settings.ConfigMaxAge
}

// configConfirmed records that the response to a read shows the newest version. A store that reports no change has
// waited for one as long as it was allowed to, unless it has responded early.
func (c *Core) configConfirmed(now time.Time, ev ConfigRead) {
	s := &c.config
	at := ev.Sent
	if waited := ev.Sent.Add(ev.Wait); !ev.Changed && !now.Before(waited) {
		at = waited
	}
	if at.After(s.confirmedAt) && !at.Before(s.resumedAt) {
		s.confirmedAt = at
	}
}

// maxConfirmWaiters bounds the requests that wait for a confirmation of the configuration; further ones are told at once
// that it is not current.
const maxConfirmWaiters = 1000

func (ev ConfirmConfigRequested) apply(c *Core, now time.Time) {
	s := &c.config
	current := c.configCurrent(now)
	if current || s.retry.failing || len(s.waiters) >= maxConfirmWaiters {
		c.reply(ev.ReplyTo, ConfigConfirmation{Current: current})
		return
	}
	s.waiters = append(s.waiters, ev.ReplyTo)
}

// replyConfirmation answers the requests that wait for a confirmation of the configuration.
func (c *Core) replyConfirmation(current bool) {
	for _, to := range c.config.waiters {
		c.reply(to, ConfigConfirmation{Current: current})
	}
	c.config.waiters = nil
}

// readNewestConfig reads the newest configuration during a burst of changes, when that is due.
func (c *Core) readNewestConfig(now time.Time) {
	s := &c.config
	if s.readNewestAt.IsZero() || now.Before(s.readNewestAt) {
		return
	}
	s.readNewestAt, s.revision = time.Time{}, 0
	c.watchConfig(now)
}

// readFailed schedules a retry of a failed read and logs the first of consecutive failures.
func (c *Core) readFailed(now time.Time, r *readRetry, name string, err error) {
	if r.recordFailure(now) {
		c.notify(notice.DependencyLost, dispatch.Attr{Key: "dependency", Value: name},
			dispatch.Attr{Key: "error", Value: err.Error()})
	}
}

// readSucceeded resets the back-off of a read and logs its recovery if it had failed before.
func (c *Core) readSucceeded(r *readRetry, name string) {
	if r.recordSuccess() {
		c.notify(notice.DependencyRecovered, dispatch.Attr{Key: "dependency", Value: name})
	}
}

func (ev Tick) apply(c *Core, now time.Time) {
	if d := c.leadership.dispatcher; d != nil && !ev.Queued.IsZero() {
		d.ObserveLag(now.Sub(ev.Queued))
	}
	if c.config.retry.startIfDue(now) {
		c.watchConfig(now)
	}
	c.readNewestConfig(now)
	if c.leadership.watchRetry.startIfDue(now) {
		c.watchLeader()
	}
	c.tickLeadership(now)
}
