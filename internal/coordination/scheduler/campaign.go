package scheduler

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

func (c *Core) campaign() {
	l := &c.leadership
	l.stage, l.campaignAt, l.lease, l.commitRecord = campaigning, time.Time{}, 0, nil
	l.term++
	c.emit(GrantLease{Term: l.term, TTL: c.settings.LeaderTTL})
	c.emit(ReadCommitRecord{Term: l.term})
}

// abandonCampaign ends a campaign. The next one starts after leadershipRetryDelay unless another entry leads by then.
func (c *Core) abandonCampaign(now time.Time) {
	l := &c.leadership
	l.stage, l.campaignAt = following, now.Add(leadershipRetryDelay)
	l.term++
	c.replyDrained()
}

func (ev LeaseGranted) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term {
		return
	}
	if l.reclaiming {
		c.reclaimLeadership(now, ev)
		return
	}
	if l.stage != campaigning {
		return
	}
	if ev.Err != nil {
		c.abandonCampaign(now)
		return
	}
	l.lease, l.confirmedAt = ev.Lease, ev.Sent
	c.claimLeadership(now)
}

func (ev CommitRecordRead) apply(c *Core, now time.Time) {
	c.revisions.reading = false
	c.revisions.observe(now, ev.Record.Revision)
	if ev.Term != c.leadership.term || c.leadership.stage != campaigning {
		return
	}
	if ev.Err != nil {
		c.abandonCampaign(now)
		return
	}
	c.leadership.commitRecord = &ev.Record
	c.claimLeadership(now)
}

func (c *Core) leaderRecord() *job.Leadership {
	return &job.Leadership{Entry: c.settings.Entry, Incarnation: c.settings.Incarnation, Address: c.settings.Address}
}

// claimLeadership writes the leader record and the commit record in one transaction, once the lease has been granted
// and the current commit record has been read. Rewriting the commit record makes later commits of an earlier leader
// fail.
func (c *Core) claimLeadership(now time.Time) {
	l := &c.leadership
	if l.lease == 0 || l.commitRecord == nil {
		return
	}
	expected := model.Revision(0)
	if l.leader != nil {
		if l.leader.Entry != c.settings.Entry {
			l.stage, l.term = following, l.term+1
			return
		}
		expected = l.leaderRevision
	}
	l.stage = claiming
	l.predecessorGrace, l.claimedAt = c.predecessorGraceAfter(l.commitRecord), now
	record := &job.CommitRecord{
		Incarnation: c.settings.Incarnation, PredecessorGrace: l.predecessorGrace, GraceKnown: true,
	}
	last, _ := l.commitRecord.Value.(*job.CommitRecord)
	known, majority := c.settings.Dispatch.LeasesAfter(last, l.predecessorGrace)
	c.settings.Dispatch.LeaseBounds(record, known, majority)
	c.emit(CommitLeadership{Term: l.term, Transaction: job.Transaction{
		Expect: []job.Expectation{
			{Key: job.KeyLeader, Revision: expected}, {Key: job.KeyCommit, Revision: l.commitRecord.Revision},
		},
		Puts: []job.Put{
			{Key: job.KeyLeader, Value: c.leaderRecord(), Lease: l.lease},
			{Key: job.KeyCommit, Value: record},
		},
	}})
}

// predecessorGraceAfter returns how long earlier leaders may still act, given the commit record that the last one left.
// That one has certainly stopped if it has resigned, or if it was this entry: an earlier incarnation no longer runs, and
// this one has stepped down, or led nothing if its claim had no answer. The leaders before it may act for as long as it had
// to expect.
func (c *Core) predecessorGraceAfter(r *job.Record) time.Duration {
	record, ok := r.Value.(*job.CommitRecord)
	switch {
	case r.Revision == 0:
		return 0 // There never was a leader.
	case !ok:
		return c.settings.MaxUnconfirmed
	}
	// An entry that restored its leader record has not necessarily written the commit record after that.
	leader := c.leadership.leader
	lastWasThisEntry := leader != nil && leader.Entry == c.settings.Entry && leader.Incarnation == record.Incarnation ||
		record.Incarnation == c.settings.Incarnation
	if !record.GraceKnown || !record.Resigned && !lastWasThisEntry {
		return max(c.settings.MaxUnconfirmed, record.PredecessorGrace)
	}
	return record.PredecessorGrace
}

func (ev LeadershipCommitted) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term {
		return
	}
	switch {
	case l.resignSent:
		c.completeResignation(now)
	case l.stage == leading && l.reclaiming:
		l.reclaiming = false
		if ev.Applied {
			l.confirmedAt = l.leaseRequestedAt
			// Another entry may have led, and resigned, while there was no record. Then the commit fails.
			l.dispatcher.RequestConfirmation()
		} else if ev.Err == nil {
			c.stepDown(now, "the leadership was taken over")
		}
	case l.stage != claiming:
	case ev.Err != nil || !ev.Applied:
		// If the claim was applied but the response was lost, the leader record names this incarnation; the record
		// disappears when its lease expires.
		c.abandonCampaign(now)
	default:
		c.beginLeadership(now, ev.Revision)
	}
}

// beginLeadership records a successful claim and requests the stored state.
func (c *Core) beginLeadership(now time.Time, revision model.Revision) {
	l := &c.leadership
	l.stage, l.epoch = loading, model.Epoch(revision)
	l.renewAt = now
	l.leader, l.leaderRevision = c.leaderRecord(), revision
	c.notify(notice.LeaderElected, dispatch.Attr{Key: "epoch", Value: l.epoch},
		dispatch.Attr{Key: "blind", Value: l.predecessorGrace})
	c.emit(ReadState{Term: l.term})
}
