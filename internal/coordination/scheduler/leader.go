package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// The lease is renewed every LeaderTTL/renewDivisor, so that two renewals may fail before it expires.
	renewDivisor = 4
	// campaignJitter is the upper bound of the random delay before an election campaign; it makes collisions rare.
	campaignJitter = 30 * time.Millisecond
	// smallVMDelay is how much later an entry on the smallest VM campaigns than one with sufficient resources. It is
	// longer than an election takes, so that a small VM becomes leader only if no other entry campaigns.
	smallVMDelay = 400 * time.Millisecond
	// sufficientCores and sufficientMbps are what a leader of several hundred workers needs, with headroom: it uses
	// about 0.3 cores for 350 workers and 900 task starts per second.
	sufficientCores = 0.6
	sufficientMbps  = 100
	// roundTripFactor times the round trip to the store is added to the campaign delay, which favours entries close to
	// the store: they commit faster.
	roundTripFactor = 4
	// leadershipRetryDelay is the delay after a failed campaign, a failed renewal of the lease or a lost leadership.
	leadershipRetryDelay = 250 * time.Millisecond
	// workerReadInterval is the pause between two reads of changes to the list of workers, of which there are always
	// some, since workers renew their records. Longer pauses would not read less, but in larger pieces, which delay
	// orders on a slow link.
	workerReadInterval = 200 * time.Millisecond
	// manyWorkerChanges is the number of changes in one read after which the next one follows without a pause: the store
	// may return only some hundred at a time, and the list must not fall behind.
	manyWorkerChanges = 200
	// maxWorkerHistory is the age of the last read up to which the changes since are read after a failure. Workers renew
	// their records about every 1.5 s, so that the changes of a longer time are more than the whole list.
	maxWorkerHistory = 1500 * time.Millisecond
	// workerResyncInterval is the time between two reads of the whole list of workers. Changes in between are watched.
	workerResyncInterval = 30 * time.Second
)

// stage is the progress of an entry towards leadership.
type stage uint8

const (
	following stage = iota
	// campaigning: a lease and the commit record have been requested.
	campaigning
	// claiming: the transaction that claims the leadership has been sent.
	claiming
	// loading: the leader record is written and the state is being read.
	loading
	leading
)

// leadershipState is what an entry knows about the current leader, itself or another entry.
type leadershipState struct {
	stage stage
	// term is incremented whenever a campaign starts or fails and whenever a leadership ends, so that late responses to
	// an earlier one are ignored.
	term uint64
	// leader is the leader record as last read from the store, or as this entry wrote it; nil if there is none.
	leader         *job.Leadership
	leaderRevision model.Revision
	// storeRevision is where the next watch of the leader record continues; 0 for an immediate read.
	storeRevision model.Revision
	watchRetry    readRetry
	// roundTrip is the shortest round trip to the store measured so far.
	roundTrip time.Duration

	// campaignAt is when to campaign next; zero if no campaign is scheduled.
	campaignAt   time.Time
	lease        model.LeaseID
	commitRecord *job.Record
	// confirmedAt is when the last successful grant or renewal of the lease was sent.
	confirmedAt time.Time
	// leaseRequestedAt is when the replacement for an expired lease was requested.
	leaseRequestedAt time.Time
	renewing         bool
	renewAt          time.Time
	// reclaiming is true while the leader record is being written again after its lease expired.
	reclaiming bool

	epoch      model.Epoch
	dispatcher *dispatch.Dispatcher
	// predecessorGrace is how long an earlier leader may still act; 0 if all have certainly stopped.
	predecessorGrace time.Duration
	// claimedAt is when the claim was decided.
	claimedAt time.Time
	// jobsRevision is where the next watch of the jobs continues, jobsWatchedAt when the last one was requested.
	jobsRevision  model.Revision
	jobsWatchedAt time.Time
	jobsRetry     readRetry
	// unreadableJobs are the jobs whose progress can't be decoded.
	unreadableJobs map[job.ID]bool
	// workers are the workers that the platform lists. workersRevision is where the next watch continues, 0 for a read
	// of the whole list, which is made again at resyncWorkersAt.
	workers         map[model.WorkerID]job.Worker
	workersRevision model.Revision
	resyncWorkersAt time.Time
	// workersReadAt is when the last read of the list or of its changes returned.
	workersReadAt time.Time
	// nextWorkerRead is when the next watch of the workers is due; zero while one is in flight.
	nextWorkerRead time.Time
	workersRetry   readRetry
	stateRetry     readRetry
	// resigning is true from the drain request on; resignSent once the resignation has been sent to the store.
	resigning  bool
	resignSent bool
}

func (l *leadershipState) address() string {
	if l.leader == nil {
		return ""
	}
	return l.leader.Address
}

func (c *Core) watchLeader() {
	c.emit(WatchLeader{After: c.leadership.storeRevision, Wait: c.leadership.watchRetry.waitTime()})
}

func (ev LeaderRead) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Err != nil {
		// Read the record itself next time: the store may have compacted the history needed to continue the watch.
		l.storeRevision = 0
		c.readFailed(now, &l.watchRetry, "leadership", ev.Err)
		return
	}
	c.readSucceeded(&l.watchRetry, "leadership")
	if l.roundTrip == 0 || (ev.RoundTrip > 0 && ev.RoundTrip < l.roundTrip) {
		l.roundTrip = ev.RoundTrip
	}
	l.storeRevision = ev.Revision
	c.revisions.observe(now, ev.Revision)
	if ev.Changed {
		c.leaderChanged(now, ev.Leader)
	}
	c.watchLeader()
}

func (c *Core) leaderChanged(now time.Time, r job.Record) {
	l := &c.leadership
	l.leaderRevision = r.Revision
	leader, ok := r.Value.(*job.Leadership)
	if !ok {
		l.leader = nil
		if l.stage == following && l.campaignAt.IsZero() {
			l.campaignAt = now.Add(c.campaignDelay())
			c.emit(SetTimer{Delay: l.campaignAt.Sub(now)})
		}
		return
	}
	if l.leader == nil || *l.leader != *leader {
		c.notify(notice.LeaderFollowed, dispatch.Attr{Key: "leader", Value: leader.Entry},
			dispatch.Attr{Key: "revision", Value: r.Revision})
	}
	l.leader = leader
	ownRecord := leader.Entry == c.settings.Entry && leader.Incarnation == c.settings.Incarnation
	switch {
	case ownRecord && l.stage == following:
		// This process led until the store did not answer, or the answer to its claim was lost.
		l.campaignAt = now
		c.emit(SetTimer{})
	case ownRecord:
		l.campaignAt = time.Time{}
	case l.stage >= loading && r.Revision > model.Revision(l.epoch):
		c.stepDown(now, "another entry leads")
	case leader.Entry == c.settings.Entry && l.stage == following:
		// The record was written by an earlier incarnation of this entry, which no longer runs.
		l.campaignAt = now
		c.emit(SetTimer{})
	default:
		l.campaignAt = time.Time{}
	}
}

// campaignDelay returns how long to wait before campaigning. Entries with more resources or a shorter round trip to the
// store campaign earlier.
func (c *Core) campaignDelay() time.Duration {
	delay := time.Duration(c.random.Int64N(int64(campaignJitter))) + roundTripFactor*c.leadership.roundTrip
	capacityShare := 1.0
	if c.settings.Cores > 0 {
		capacityShare = min(capacityShare, c.settings.Cores/sufficientCores)
	}
	if c.settings.LinkMbps > 0 {
		capacityShare = min(capacityShare, c.settings.LinkMbps/sufficientMbps)
	}
	return delay + time.Duration((1-capacityShare)*float64(smallVMDelay))
}

// tickLeadership starts a campaign, renews the lease, retries failed reads and runs the dispatcher's timed work, each
// when it is due.
func (c *Core) tickLeadership(now time.Time) {
	l := &c.leadership
	if l.stage == following && !l.campaignAt.IsZero() && !now.Before(l.campaignAt) && !c.draining {
		c.campaign()
	}
	c.observeRevision(now)
	if l.stage >= loading {
		c.keepLeadership(now)
	}
	if l.stage == loading && l.stateRetry.startIfDue(now) {
		c.emit(ReadState{Term: l.term})
	}
	if l.stage == leading {
		c.tickLeader(now)
	}
}

// leadershipExpired reports whether the store has not confirmed the leadership for Settings.MaxUnconfirmed. The time
// counts while the process or its VM is suspended.
func (c *Core) leadershipExpired(now time.Time) bool {
	return model.Elapsed(c.leadership.confirmedAt, now) > c.settings.MaxUnconfirmed
}

// keepLeadership renews the lease. It steps down if the store has not confirmed the leadership for
// Settings.MaxUnconfirmed.
func (c *Core) keepLeadership(now time.Time) {
	l := &c.leadership
	if c.leadershipExpired(now) {
		c.stepDown(now, "the store did not confirm the leadership in time")
		return
	}
	if l.renewing || l.reclaiming || now.Before(l.renewAt) {
		return
	}
	l.renewing = true
	c.emit(RenewLease{Term: l.term, Lease: l.lease})
}

func (ev LeaseRenewed) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term || l.stage < loading {
		return
	}
	l.renewing = false
	switch {
	case ev.Err != nil:
		l.renewAt = now.Add(leadershipRetryDelay)
	case ev.Alive:
		l.confirmedAt = ev.Sent
		l.renewAt = now.Add(c.settings.LeaderTTL / renewDivisor)
	case l.stage == leading:
		// The lease expired, for example during a store outage. As long as the leader record is absent, no other entry
		// has taken over, and this entry may write it again.
		l.reclaiming = true
		c.emit(GrantLease{Term: l.term, TTL: c.settings.LeaderTTL})
	default:
		c.stepDown(now, "the lease expired while the state was being read")
	}
}

// reclaimLeadership writes the leader record again under a new lease, on condition that there is none.
func (c *Core) reclaimLeadership(now time.Time, ev LeaseGranted) {
	l := &c.leadership
	if ev.Err != nil {
		l.reclaiming, l.renewAt = false, now.Add(leadershipRetryDelay)
		return
	}
	l.lease, l.leaseRequestedAt, l.renewAt = ev.Lease, ev.Sent, now
	c.emit(CommitLeadership{Term: l.term, Transaction: job.Transaction{
		Expect: []job.Expectation{{Key: job.KeyLeader}},
		Puts:   []job.Put{{Key: job.KeyLeader, Value: c.leaderRecord(), Lease: l.lease}},
	}})
}
