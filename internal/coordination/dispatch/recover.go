package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// maxOrderDelay is how long after it was sent an order is assumed to be carried out at the latest. A worker that restarts
// under its id does not recognise an order for its former boot: it knows no epoch yet, and the end of the lease in the
// order, a time on the former boot's clock, lies later on its own.
const maxOrderDelay = 12 * time.Second

// recovery is what a new leader must still wait for before it may start tasks of older jobs.
type recovery struct {
	// unaccounted are the open workers of the registry that are not accounted for. Any task may be running on them.
	unaccounted map[model.WorkerID]bool
	// possiblyRunning counts, for each task, how often closed workers that are not accounted for may be running it, or may
	// list an end of it that no leader has committed.
	possiblyRunning map[job.Task]int
	// earlier bounds the leases that earlier leaders have requested.
	earlier earlierLeases
	// predecessorsStoppedAt is when no earlier leader can start anything any more. settledRevision is a revision that the
	// store had after that; 0 while none is known.
	predecessorsStoppedAt time.Time
	settledRevision       model.Revision
	beganAt               time.Time
}

// RecoveryState is what a new leader knows of its predecessors when it takes over.
type RecoveryState struct {
	CommitRevision model.Revision
	Registry       []job.RegisteredWorker
	// PredecessorGrace is how long an earlier leader may continue without an answer from the store; 0 if it has certainly
	// stopped.
	PredecessorGrace time.Duration
	// LastCommit is the commit record that the last leader left, zero if there was none that can be read. The store is known
	// to have had it since LastCommitSeenAt at the latest.
	LastCommit       job.CommitRecord
	LastCommitSeenAt time.Time
	// ClaimedAt is a time before which this leader's claim was not in the store.
	ClaimedAt time.Time
	// Interference holds the stored interference slopes, or nil if no leader has stored any.
	Interference *job.Interference
}

// Recover begins the recovery. It is called once, before any other event.
func (d *Dispatcher) Recover(now time.Time, state RecoveryState) {
	d.commits.recordRevision, d.commits.writtenAfter = state.CommitRevision, state.ClaimedAt
	d.relays.settledAt = now.Add(relaySettleTime)
	d.recovery = recovery{
		unaccounted: make(map[model.WorkerID]bool), possiblyRunning: make(map[job.Task]int),
		earlier:               newEarlierLeases(now, &d.settings, &state),
		predecessorsStoppedAt: now.Add(state.PredecessorGrace), beganAt: now,
	}
	if state.PredecessorGrace == 0 {
		d.recovery.settledRevision = state.CommitRevision
	}
	for _, r := range state.Registry {
		w := d.addWorker(r.ID, r.Address)
		w.knownAddress = r.Address
		d.registered[r.ID] = true
		w.inheritedEntry, w.storedOpen, w.storedBoot = &r, !r.NoMoreStarts, r.Boot
		if !r.NoMoreStarts {
			d.recovery.unaccounted[r.ID] = true
		}
		for _, t := range r.Runs {
			d.recovery.possiblyRunning[t]++
		}
	}
	d.interference.restoreSlopes(now, state.Interference)
	d.logEvent(notice.RecoveryBegan, Attr{Key: "epoch", Value: d.epoch}, Attr{Key: "workers", Value: len(state.Registry)},
		Attr{Key: "blind", Value: state.PredecessorGrace},
		Attr{Key: "leases", Value: d.recovery.earlier.expiredAt().Sub(now)})
}

// markAccounted records that it is known what a worker runs.
func (d *Dispatcher) markAccounted(w *worker) {
	if w.inheritedEntry == nil {
		return
	}
	for _, t := range w.inheritedEntry.Runs {
		if d.recovery.possiblyRunning[t]--; d.recovery.possiblyRunning[t] == 0 {
			delete(d.recovery.possiblyRunning, t)
		}
	}
	w.inheritedEntry = nil
	d.updateOpen(w)
	d.passNeeded = true
	if !d.recovery.unaccounted[w.ID] {
		return
	}
	delete(d.recovery.unaccounted, w.ID)
	if len(d.recovery.unaccounted) == 0 {
		d.logEvent(notice.RecoveryEnded, Attr{Key: "epoch", Value: d.epoch})
	}
}

// accountWithoutAnswer takes a worker as accounted for that has not told this leader all it runs. Tasks of its
// predecessors that may have run there may start again.
func (d *Dispatcher) accountWithoutAnswer(now time.Time, w *worker, proof string) {
	if w.inheritedEntry == nil {
		return
	}
	d.logEvent(notice.WorkerAccounted, Attr{Key: "worker", Value: w.ID}, Attr{Key: "proof", Value: proof},
		Attr{Key: "closed", Value: w.inheritedEntry.NoMoreStarts}, Attr{Key: "closed_runs", Value: len(w.inheritedEntry.Runs)},
		Attr{Key: "waited", Value: now.Sub(d.recovery.beganAt)}, Attr{Key: "epoch", Value: d.epoch})
	d.markAccounted(w)
}

// checkUnfenced stops waiting for a worker of the registry that has not answered by the time that all leases of earlier leaders
// have expired, and that no order to its former boot can be carried out late any more, if it is listed with a later one. As in
// checkLeases, a later leader must not have renewed them.
func (d *Dispatcher) checkUnfenced(now time.Time, w *worker) {
	if w.inheritedEntry == nil {
		return
	}
	ended := d.recovery.earlier.expiredAt()
	if w.listed && w.inheritedEntry.Boot != 0 && w.Boot > w.inheritedEntry.Boot {
		if restarted := d.recovery.predecessorsStoppedAt.Add(maxOrderDelay); restarted.After(ended) {
			ended = restarted
		}
	}
	if !now.After(ended) || !d.confirmedAfter(ended) {
		return
	}
	if w.listed {
		d.accountWithoutAnswer(now, w, proofLeaseEnded)
		return
	}
	d.markDead(now, w, proofLeaseEnded)
}

// mayPlace reports whether tasks of a job may be started: either all open workers are accounted for, or the job is so
// new that no earlier leader can have started any of it.
func (d *Dispatcher) mayPlace(j *jobState) bool {
	return len(d.recovery.unaccounted) == 0 || j.sinceTakeover
}

// mayBeRunning reports whether a task may be running, or may have ended, on a closed worker that is not accounted for.
func (d *Dispatcher) mayBeRunning(t job.Task) bool {
	_, possible := d.recovery.possiblyRunning[t]
	return possible
}

// storedSinceTakeover reports whether a job that was stored at a revision can't have been started by an earlier leader. When
// it is read says nothing: an earlier leader may have read it sooner.
func (d *Dispatcher) storedSinceTakeover(revision model.Revision) bool {
	return d.recovery.settledRevision > 0 && revision > d.recovery.settledRevision
}

// settle records the revision of a commit. The first one that was sent after all earlier leaders have stopped tells new jobs
// from older ones.
func (r *recovery) settle(sent time.Time, revision model.Revision) {
	if r.settledRevision == 0 && sent.After(r.predecessorsStoppedAt) {
		r.settledRevision = revision
	}
}

// requestSettling requests a commit once all earlier leaders have stopped, so that new jobs need not wait for workers that
// are not accounted for.
func (d *Dispatcher) requestSettling(now time.Time) {
	if d.recovery.settledRevision == 0 && len(d.recovery.unaccounted) > 0 && now.After(d.recovery.predecessorsStoppedAt) {
		d.RequestConfirmation()
	}
}
