package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// The leases that a leader requests are bounded, so that its successor knows when they end on workers that it can't reach,
// even if the leader can't be asked any more. A lease ends within the lease horizon of the newest commit of its leader, which
// the successor finds in the store, or within the majority horizon of a time at which most registered workers had answered
// under the leader's epoch. The latter lets work go on through an outage of the store. It ends once a successor has reached
// half of the workers, since these and any majority share a worker, and that one refuses the earlier leader.

const (
	// confirmationInterval is the longest pause between two commits, which let the leases go on.
	confirmationInterval = 250 * time.Millisecond
	// unconfirmedAfter is the age of the newest commit from which on the answers of the workers bound the leases, too.
	unconfirmedAfter = time.Second
	// maxRequestedLease limits the leases where workers grant longer ones. Work on a failed worker must run elsewhere within
	// 7 s, which includes the time to notice that, and leases of 6 s outlast the change of a failed leader.
	maxRequestedLease = 6 * time.Second
)

// requestedLease is the longest lease that a leader requests.
func (s *Settings) requestedLease() time.Duration { return min(s.MaxLease, maxRequestedLease) }

// leaseHorizon is how long after the newest commit of a leader its leases may last. With the age of that commit it must cover
// the change of a failed leader, and a successor waits for it.
func (s *Settings) leaseHorizon() time.Duration { return s.requestedLease() * 11 / 12 }

// majorityHorizon is how long leases may last after a time at which most registered workers had answered. It is shorter,
// since a successor waits for it from its own election on.
func (s *Settings) majorityHorizon() time.Duration { return s.requestedLease() * 2 / 3 }

// minStartLease is the shortest lease with which tasks are started: a shorter one may end before it can be renewed.
func (s *Settings) minStartLease() time.Duration { return s.requestedLease() / 6 }

// leaseTimeLeft returns for how long leases may last from now on; it is negative after their bound.
func (d *Dispatcher) leaseTimeLeft(now time.Time) time.Duration {
	left := d.settings.leaseHorizon() - model.Elapsed(d.commits.writtenAfter, now)
	if !d.majorityAnsweredAt.IsZero() {
		left = max(left, d.settings.majorityHorizon()-model.Elapsed(d.majorityAnsweredAt, now))
	}
	return left
}

// mayStart reports whether tasks may be started: their leases must last until they are renewed.
func (d *Dispatcher) mayStart(now time.Time) bool {
	return d.leaseTimeLeft(now) >= d.settings.minStartLease()
}

// reliesOnMajority reports whether the answers of the workers bound the leases, as commits are not confirmed.
func (d *Dispatcher) reliesOnMajority(now time.Time) bool {
	return model.Elapsed(d.commits.writtenAfter, now) > unconfirmedAfter
}

// keepLeaseBound lets the leases go on: by commits, even if there is nothing to write, and while these are not confirmed by
// the answers of the workers.
func (d *Dispatcher) keepLeaseBound(now time.Time) {
	if model.Elapsed(d.commits.writtenAfter, now) > confirmationInterval && d.commits.inFlight == nil {
		d.RequestConfirmation()
	}
	if d.reliesOnMajority(now) {
		// A registry that is written later counts from its own commit, so that an earlier result stays valid.
		if at := d.findMajorityAnswer(); at.After(d.majorityAnsweredAt) {
			d.majorityAnsweredAt = at
		}
	}
}

// findMajorityAnswer returns the latest time from which on most workers of the registry have answered a hold, or zero. A
// commit in flight may have replaced the registry: then it takes most of the workers of either.
func (d *Dispatcher) findMajorityAnswer() time.Time {
	var answers []time.Time
	for id := range d.registered {
		if w := d.workers[id]; w != nil && !w.dead && w.boot == w.storedBoot {
			answers = append(answers, w.answeredHoldSentAt)
		}
	}
	at := majorityTime(answers, len(d.registered))
	if d.commits.inFlight == nil || d.commits.inFlight.registry == nil {
		return at
	}
	answers = answers[:0]
	for _, entry := range d.commits.inFlight.registry {
		if w := d.workers[entry.ID]; w != nil && !w.dead && w.boot == entry.Boot {
			answers = append(answers, w.answeredHoldSentAt)
		}
	}
	if other := majorityTime(answers, len(d.commits.inFlight.registry)); other.Before(at) {
		return other
	}
	return at
}

// majorityTime returns the latest time that is not after those of a majority of size, or zero if there are too few times.
func majorityTime(times []time.Time, size int) time.Time {
	majority := size/2 + 1
	if size == 0 || len(times) < majority {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1]
}

// stretched returns the longest time that may pass here while d passes on another machine's clock.
func stretched(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + clockSkew)) }

// earlierLeases is what a new leader knows of the leases that earlier leaders have requested.
type earlierLeases struct {
	// end is when those have ended whose bound is known from the store.
	end time.Time
	// majorityEnd is when those have ended that the last leader has requested because most workers had answered it. Once
	// half of the workers have answered this leader, that is at most majorityHorizon later.
	majorityEnd     time.Time
	majorityHorizon time.Duration
	// unreached are the workers of the registry that have not answered this leader, with their boots there.
	unreached   map[model.WorkerID]job.BootID
	reachedHalf bool
	registered  int
	// registryChanged is set once this leader has sent a commit that changes the registry.
	registryChanged bool
}

// newEarlierLeases returns what the commit record of the last leader says.
func newEarlierLeases(now time.Time, settings *Settings, state *RecoveryState) earlierLeases {
	e := earlierLeases{unreached: make(map[model.WorkerID]job.BootID), registered: len(state.Registry)}
	for _, r := range state.Registry {
		e.unreached[r.ID] = r.Boot
	}
	last := &state.LastCommit
	if last.LeaseHorizon == 0 {
		// A leader of an earlier release, which renewed leases for as long as it acted.
		e.end = now.Add(state.PredecessorGrace + stretched(settings.MaxLease))
		return e
	}
	e.end = state.LastCommitSeenAt.Add(stretched(max(last.LeaseHorizon, last.EarlierLeases)))
	e.majorityHorizon = stretched(last.MajorityHorizon)
	e.majorityEnd = now.Add(stretched(state.PredecessorGrace) + e.majorityHorizon)
	if before := state.LastCommitSeenAt.Add(stretched(last.EarlierMajority)); before.After(e.majorityEnd) {
		e.majorityEnd = before
	}
	return e
}

// expiredAt returns when every lease that an earlier leader requested has expired.
func (e *earlierLeases) expiredAt() time.Time {
	end := e.end
	if e.majorityEnd.After(end) {
		end = e.majorityEnd
	}
	return end.Add(leaseExpiryMargin)
}

// reached records that a worker has answered this leader, and reports whether that makes the bound of the leases known. An
// earlier boot than the one in the registry proves nothing of that one.
func (e *earlierLeases) reached(now time.Time, id model.WorkerID, boot job.BootID) bool {
	if registered, ok := e.unreached[id]; !ok || boot < registered {
		return false
	}
	delete(e.unreached, id)
	// More than half of the workers and half of them share one.
	if e.reachedHalf || 2*len(e.unreached) > e.registered {
		return false
	}
	e.reachedHalf = true
	if end := now.Add(e.majorityHorizon); end.Before(e.majorityEnd) {
		e.majorityEnd = end
		return true
	}
	return false
}

// left returns for how long the leases of earlier leaders may last from now on, apart from those that the answers of half of the
// workers to a successor bound, too. These answers prove nothing of a registry that this leader has changed before it had them.
func (e *earlierLeases) left(now time.Time) (known, majority time.Duration) {
	if e.reachedHalf || e.registryChanged {
		return e.expiredAt().Sub(now), 0
	}
	return e.end.Add(leaseExpiryMargin).Sub(now), e.majorityEnd.Add(leaseExpiryMargin).Sub(now)
}

// LeaseBounds sets in a commit record how long the leases of its writer may last, and those of earlier leaders: known whatever
// workers answer, and majority unless half of the workers have answered a successor.
func (s *Settings) LeaseBounds(r *job.CommitRecord, known, majority time.Duration) {
	r.LeaseHorizon, r.MajorityHorizon = s.leaseHorizon(), s.majorityHorizon()
	r.EarlierLeases, r.EarlierMajority = max(0, known), max(0, majority)
}

// LeasesAfter returns for how long the leases of the writer of a commit record, and of leaders before it, may last from its
// replacement on, if a leader may act for grace after that: known and majority as in LeaseBounds.
func (s *Settings) LeasesAfter(r *job.CommitRecord, grace time.Duration) (known, majority time.Duration) {
	if r == nil || r.LeaseHorizon == 0 {
		return stretched(grace + s.MaxLease), 0
	}
	return stretched(max(r.LeaseHorizon, r.EarlierLeases)), stretched(max(grace+r.MajorityHorizon, r.EarlierMajority))
}
