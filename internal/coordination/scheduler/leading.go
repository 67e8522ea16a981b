package scheduler

import (
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
	takeover := dispatch.RecoveryState{CommitRevision: model.Revision(l.epoch), PredecessorGrace: l.predecessorGrace}
	if registry, ok := ev.Registry.Value.(*job.Registry); ok {
		takeover.Registry = registry.Workers
	}
	takeover.Interference, _ = ev.Interference.Value.(*job.Interference)
	if ev.Interference.Err != nil {
		// The interference slopes are lost and have to be learned again.
		c.notify(notice.RecordRefused, dispatch.Attr{Key: "key", Value: ev.Interference.Key},
			dispatch.Attr{Key: "error", Value: ev.Interference.Err.Error()})
	}
	d.SetRoutes(c.config.current.Routes)
	d.Recover(now, takeover)
	progress := make(map[job.ID]*job.Progress, len(ev.Progress))
	for _, r := range ev.Progress {
		if p, ok := r.Value.(*job.Progress); ok {
			progress[p.Job] = p
		}
	}
	c.loadJobs(now, ev.Jobs, progress, false)
	l.jobsRevision = ev.Revision
	c.watchJobs()
	l.nextWorkerList = now
	c.tickLeader(now)
}

// loadJobs passes stored jobs to the dispatcher.
func (c *Core) loadJobs(now time.Time, records []job.Record, progress map[job.ID]*job.Progress, sinceTakeover bool) {
	for _, r := range records {
		switch j := r.Value.(type) {
		case *job.Job:
			c.leadership.dispatcher.AddJob(now, *j, progress[j.ID], sinceTakeover)
		case nil:
			if r.Err != nil {
				c.notify(notice.RecordRefused, dispatch.Attr{Key: "key", Value: r.Key},
					dispatch.Attr{Key: "error", Value: r.Err.Error()})
			}
		}
	}
}

func (c *Core) watchJobs() {
	c.emit(WatchJobs{Term: c.leadership.term, After: c.leadership.jobsRevision, Wait: watchTimeout})
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
	l.jobsRevision = max(l.jobsRevision, ev.Revision)
	c.loadJobs(now, ev.Jobs, nil, !ev.Complete && l.dispatcher.AcceptedSinceTakeover(now))
	c.watchJobs()
}

func (ev WorkersRead) apply(c *Core, now time.Time) {
	l := &c.leadership
	if ev.Term != l.term || l.stage != leading {
		return
	}
	l.listingWorkers = false
	if ev.Err != nil {
		c.readFailed(now, &l.workersRetry, "worker-list", ev.Err)
		l.nextWorkerList = l.workersRetry.nextAttempt
		return
	}
	c.readSucceeded(&l.workersRetry, "worker-list")
	l.nextWorkerList = now.Add(workerListInterval)
	l.dispatcher.UpdateWorkers(now, ev.Workers)
}

// tickLeader requests the list of workers if it is due and runs the timed work of the dispatcher. While the leader is
// resigning, the dispatcher must not give any more orders.
func (c *Core) tickLeader(now time.Time) {
	l := &c.leadership
	if !l.listingWorkers && !now.Before(l.nextWorkerList) {
		l.listingWorkers = true
		c.emit(ListWorkers{Term: l.term})
	}
	if l.jobsRetry.startIfDue(now) {
		c.watchJobs()
	}
	if l.resigning {
		c.tryResign()
		return
	}
	l.dispatcher.Tick(now)
}
