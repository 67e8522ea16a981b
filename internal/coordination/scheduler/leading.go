package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

func (ev StateRead) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term || l.stage != loading {
		return
	}
	if ev.Err != nil {
		c.readFailed(now, &l.stateRetry, "state", ev.Err)
		return
	}
	c.readSucceeded(&l.stateRetry, "state")
	d := dispatch.New(c.settings.Dispatch, l.epoch)
	l.dispatcher, l.stage = d, leading
	takeover := dispatch.RecoveryState{
		CommitRevision: model.Revision(l.epoch), PredecessorGrace: l.predecessorGrace, ClaimedAt: l.claimedAt,
		LastCommitSeenAt: c.revisions.firstSeen(now, l.commitRecord.Revision),
	}
	if last, ok := l.commitRecord.Value.(*job.CommitRecord); ok {
		takeover.LastCommit = *last
	}
	if registry, ok := ev.Registry.Value.(*job.Registry); ok {
		takeover.Registry = registry.Workers
	}
	takeover.Interference, _ = ev.Interference.Value.(*job.Interference)
	if ev.Interference.Err != nil {
		// The interference slopes are lost and have to be learned again.
		c.refuseRecord(ev.Interference)
	}
	if c.config.loaded {
		d.SetRoutes(c.config.current.Version, c.config.current.Routes)
	}
	d.Recover(now, takeover)
	progress := make(map[job.ID]*job.Progress, len(ev.Progress))
	l.unreadableJobs = make(map[job.ID]bool)
	for _, r := range ev.Progress {
		switch p := r.Value.(type) {
		case *job.Progress:
			progress[p.Job] = p
		case nil:
			if r.Err != nil {
				l.unreadableJobs[job.IDOf(r.Key)] = true
				c.refuseRecord(r)
			}
		}
	}
	c.loadJobs(now, ev.Jobs, progress)
	l.jobsRevision = ev.Revision
	c.watchJobs(now)
	c.watchWorkers()
	l.resigning = c.draining
	c.tickLeader(now)
}

// refuseRecord logs that a record can't be decoded.
func (c *Core) refuseRecord(r job.Record) {
	c.notify(notice.RecordRefused, dispatch.Attr{Key: "key", Value: r.Key},
		dispatch.Attr{Key: "error", Value: r.Err.Error()})
}

// loadJobs passes stored jobs to the dispatcher, but for those whose progress can't be read: their tasks may be done.
func (c *Core) loadJobs(now time.Time, records []job.Record, progress map[job.ID]*job.Progress) {
	for _, r := range records {
		switch j := r.Value.(type) {
		case *job.Job:
			if !c.leadership.unreadableJobs[j.ID] {
				c.leadership.dispatcher.AddJob(now, *j, progress[j.ID], r.Revision)
			}
		case *job.Tombstone:
			c.leadership.dispatcher.AddTombstone(now, j.ID)
		case nil:
			if r.Err != nil {
				c.refuseRecord(r)
			}
		}
	}
}

func (c *Core) watchJobs(now time.Time) {
	c.leadership.jobsWatchedAt = now
	c.emit(WatchJobs{Term: c.leadership.term, After: c.leadership.jobsRevision, Wait: c.leadership.jobsRetry.waitTime()})
}

func (ev JobsRead) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term || l.stage != leading {
		return
	}
	if ev.Err != nil {
		c.readFailed(now, &l.jobsRetry, "jobs", ev.Err)
		return
	}
	c.readSucceeded(&l.jobsRetry, "jobs")
	if ev.Complete {
		// Older jobs have been read before. This leader may have removed some of them since the list was read.
		ev.Jobs = slices.DeleteFunc(ev.Jobs, func(r job.Record) bool { return r.Revision <= l.jobsRevision })
	}
	l.jobsRevision = max(l.jobsRevision, ev.Revision)
	c.loadJobs(now, ev.Jobs, nil)
	l.dispatcher.JobsRead(l.jobsWatchedAt)
	c.watchJobs(now)
}

func (c *Core) watchWorkers() {
	l := &c.leadership
	c.emit(WatchWorkers{Term: l.term, After: l.workersRevision, Wait: l.workersRetry.waitTime()})
}

func (ev WorkersRead) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term || l.stage != leading {
		return
	}
	if ev.Err != nil {
		if model.Elapsed(l.workersReadAt, now) > maxWorkerHistory {
			l.workersRevision = 0
		}
		c.readFailed(now, &l.workersRetry, "worker-list", ev.Err)
		return
	}
	c.readSucceeded(&l.workersRetry, "worker-list")
	l.workersReadAt = now
	if ev.Complete {
		l.workers, l.resyncWorkersAt = make(map[model.WorkerID]job.Worker, len(ev.Workers)), now.Add(workerResyncInterval)
	}
	for _, w := range ev.Workers {
		l.workers[w.ID] = w
	}
	for _, id := range ev.Removed {
		delete(l.workers, id)
	}
	if ev.Complete || len(ev.Workers)+len(ev.Removed) > 0 {
		l.dispatcher.UpdateWorkers(now, l.listedWorkers())
	}
	l.workersRevision = max(l.workersRevision, ev.Revision)
	if now.After(l.resyncWorkersAt) {
		l.workersRevision = 0
	}
	if len(ev.Workers)+len(ev.Removed) >= manyWorkerChanges && !ev.Complete {
		c.watchWorkers()
		return
	}
	l.nextWorkerRead = now.Add(workerReadInterval)
}

// listedWorkers returns the workers in the order of their ids, so that equal inputs lead to equal decisions.
func (l *leadershipState) listedWorkers() []job.Worker {
	list := make([]job.Worker, 0, len(l.workers))
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		list = append(list, l.workers[id])
	}
	return list
}

// tickLeader retries failed reads and runs the timed work of the dispatcher. While the leader is resigning, the
// dispatcher must not give any more orders.
func (c *Core) tickLeader(now time.Time) {
	l := &c.leadership
	if l.workersRetry.startIfDue(now) || !l.nextWorkerRead.IsZero() && !now.Before(l.nextWorkerRead) {
		l.nextWorkerRead = time.Time{}
		c.watchWorkers()
	}
	if l.jobsRetry.startIfDue(now) {
		c.watchJobs(now)
	}
	if l.resigning {
		c.tryResign(now)
		return
	}
	l.dispatcher.Tick(now)
}

// stepDown ends the leadership of this entry and logs the reason.
func (c *Core) stepDown(now time.Time, reason string) {
	l := &c.leadership
	c.notify(notice.LeaderDeposed, dispatch.Attr{Key: "epoch", Value: l.epoch},
		dispatch.Attr{Key: "reason", Value: reason})
	// Revoking the lease deletes the leader record, so that other entries need not wait until the lease expires.
	c.emit(RevokeLease{Lease: l.lease})
	c.resetLeadership()
	// If another entry leads, its record stays and there is no campaign until that record is gone.
	if l.leader == nil || l.leader.Incarnation == c.settings.Incarnation {
		l.leader = nil
		l.campaignAt = now.Add(leadershipRetryDelay)
	}
}

// resetLeadership returns to the following stage. Callers that wait for a cancellation are told that its outcome is
// unknown, and callers that wait for a drain that it is complete.
func (c *Core) resetLeadership() {
	l := &c.leadership
	l.stage, l.dispatcher, l.term = following, nil, l.term+1
	l.reclaiming, l.renewing, l.resigning, l.resignSent = false, false, false, false
	l.workers, l.workersRevision, l.nextWorkerRead = nil, 0, time.Time{}
	l.jobsRetry, l.workersRetry, l.stateRetry = readRetry{}, readRetry{}, readRetry{}
	for id := range c.cancelWaiters {
		c.replyCancel(id, CancelOutcome{NotLeader: true})
	}
	c.replyDrained()
}
