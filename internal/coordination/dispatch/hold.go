package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// sendDueHolds sends a hold to each worker that has none in flight, if it is due.
func (d *Dispatcher) sendDueHolds(now time.Time) {
	if !d.relaysSettled(now) {
		return
	}
	if len(d.laterHolds) > 0 && !now.Before(d.nextLaterHold) {
		d.recheckHolds()
	}
	for _, w := range d.withoutHold {
		due := w.nextHold
		if w.lastProcessedEnd > w.lastCommittedEnd && w.answeredAt.Add(holdIntervalUncommitted).After(due) {
			due = w.answeredAt.Add(holdIntervalUncommitted)
		}
		switch {
		case w.dead:
		case now.Before(due):
			if len(d.laterHolds) == 0 || due.Before(d.nextLaterHold) {
				d.nextLaterHold = due
			}
			d.laterHolds = append(d.laterHolds, w)
		default:
			d.sendHold(now, w)
		}
	}
	clear(d.withoutHold)
	d.withoutHold = d.withoutHold[:0]
}

// recheckHolds makes sendDueHolds look again at workers whose hold was not due.
func (d *Dispatcher) recheckHolds() {
	d.withoutHold = append(d.withoutHold, d.laterHolds...)
	clear(d.laterHolds)
	d.laterHolds = d.laterHolds[:0]
}

func (d *Dispatcher) sendHold(now time.Time, w *worker) {
	d.raiseFence(w)
	h := Hold{Target: d.targetOf(w)}
	// After an unanswered hold, or some time after the last answer, the worker may have restarted under its id. Its
	// sequence numbers then start anew, and an acknowledgement would drop ends that no leader has seen.
	if w.answeredPromptly && now.Sub(w.answeredAt) <= acknowledgeWindow {
		h.Acknowledged = w.lastCommittedEnd
	}
	// The lease is not renewed after an unanswered hold: if the worker has failed, or the hold arrives late, that would
	// postpone the time at which its leases are known to have expired.
	if w.fenced && w.lastHoldAnswered && d.answeredRecently(now, w) {
		if d.leaseTimeLeft(now) > 0 {
			h.LeaseEnd = d.extendLease(now, w)
			w.heldUntil = h.LeaseEnd
		}
		// The answer to the last acknowledgement shows that a leaving worker is done with.
		isLast := w.leaves() && len(w.runs) == 0 && h.Acknowledged > w.deliveredAcknowledgement
		if w.lastProcessedEnd == w.lastCommittedEnd && !w.unreachable && w.claimedAt.IsZero() && !isLast {
			h.Wait = w.holdWaitLimit()
			if d.reliesOnMajority(now) {
				h.Wait = holdMaxWaitShort
			}
		}
	}
	w.holdInFlight, w.sentAcknowledgement, w.requestedWait = true, h.Acknowledged, h.Wait
	w.holdAddress, w.holdFence = h.Address, h.Fence
	h.DecidedAt = now
	d.emit(h)
}

// holdWaitLimit returns how long a worker may delay its answer to a hold. It is shorter while best-effort tasks run
// beside serving ones, because the tail latencies of these must be watched closely.
func (w *worker) holdWaitLimit() time.Duration {
	serving, bestEffort := false, false
	for _, r := range w.orderedRuns {
		if r.task != nil {
			serving = serving || r.task.step.TailLatencyTarget > 0
			bestEffort = bestEffort || r.task.step.BestEffort
		}
	}
	if serving && bestEffort {
		return holdMaxWaitShort
	}
	return holdMaxWait
}

// extendLease returns the end of the lease to request of a worker now, and records it as requested.
func (d *Dispatcher) extendLease(now time.Time, w *worker) time.Duration {
	lease := d.settings.requestedLease()
	if w.Draining {
		lease = min(lease, drainingLease)
	}
	// The worker's clock may be slow, and must not reach the end after the bound of the leases.
	bound := w.clock + time.Duration(float64(now.Sub(w.clockAt)+d.leaseTimeLeft(now))*(1-clockSkew))
	end := min(w.clockNow(now)+lease-leaseRequestMargin, bound)
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// leaseForStart returns the end of the lease to request with a start: that of the last hold, unless it ends soon. Starts may be
// sent to a worker that has failed, and must not put off the time at which its leases are known to have ended.
func (d *Dispatcher) leaseForStart(now time.Time, w *worker) time.Duration {
	if w.heldUntil-w.clockNow(now) >= d.settings.minStartLease() {
		return w.heldUntil
	}
	return d.extendLease(now, w)
}

// HandleHold handles the response to a hold. sent is when the hold was sent.
func (d *Dispatcher) HandleHold(now, sent time.Time, target Target, inv job.Inventory, response job.OrderResponse) {
	id := target.Worker
	w, ok := d.workers[id]
	if !ok || w.dead || target.Fence != w.holdFence {
		// A later hold with a higher fence has been sent.
		return
	}
	if w.holdInFlight {
		d.withoutHold = append(d.withoutHold, w)
	}
	w.holdInFlight, w.answeredPromptly, w.lastHoldAnswered = false, false, false
	w.refused = response.NoListener
	w.nextHold = now.Add(holdRetryInterval)
	switch {
	case response.Refusal == job.RefusedEpoch && w.holdFence < w.fence:
		w.nextHold = now
	case response.Refusal == job.RefusedEpoch:
		d.emit(Deposed{Reason: "worker " + string(id) + " is fenced by a newer epoch"})
	case response.Refusal == job.RefusedBoot:
		d.refusedByAnotherBoot(now, w, w.holdAddress)
	case response.Err != nil && response.FromRelay:
		d.avoidRelay(now, w)
	case response.Err != nil || response.Refusal != job.RefusedNone:
		return
	default:
		w.nextHold = now
		d.applyInventory(now, sent, w, inv)
	}
}

func (d *Dispatcher) applyInventory(now, sent time.Time, w *worker, inv job.Inventory) {
	d.load.inventories++
	if w.boot != 0 && inv.Boot != w.boot {
		d.workerRestarted(now, w, inv.Boot)
		d.stopUnansweredStarts(now, w)
	} else {
		w.deliveredAcknowledgement = max(w.deliveredAcknowledgement, w.sentAcknowledgement)
	}
	w.boot, w.answered = inv.Boot, true
	w.knownAddress = w.holdAddress
	if sent.After(w.claimedAt) {
		w.claimedAt = time.Time{}
	}
	w.clock, w.clockAt, w.answeredAt, w.heardAt = inv.Clock, now, now, now
	w.answeredHoldSentAt = sent
	w.lastHoldAnswered = true
	if !inv.Unmeasured {
		w.forecast = nil
	}
	// An answer that was read late, because this process was paused, does not show that the worker has not restarted
	// since.
	w.answeredPromptly = model.Elapsed(sent, now) <= w.requestedWait+acknowledgeWindow
	if w.unreachable {
		w.unreachable = false
		d.updateOpen(w)
		d.passNeeded = true
		d.logEvent(notice.WorkerReachable, Attr{Key: "worker", Value: w.ID})
	}
	processed := w.lastProcessedEnd
	for i := range inv.Ended {
		if e := &inv.Ended[i]; e.Sequence > w.lastProcessedEnd {
			w.lastProcessedEnd = e.Sequence
			w.uncommittedEnds = append(w.uncommittedEnds, *e)
			d.recordEnd(now, w, e)
		}
	}
	if w.lastProcessedEnd > processed {
		d.recordUncovered(w)
	}
	if d.raiseFence(w); w.fenceOutdated {
		// The holds go on at a slower pace until there is a commit.
		w.nextHold = now.Add(holdRetryInterval)
	}
	if !w.fenced && !w.fenceOutdated && w.holdFence == w.fence {
		d.markFenced(now, w, &inv)
	}
	d.reconcileRuns(now, sent, w, &inv)
	d.stopStalled(now, w)
	if !inv.MoreEnds {
		d.markAccounted(w)
	}
	if !inv.Unmeasured {
		d.learnFromReports(now, w)
		d.trackTargets(now, w)
		d.adjustPaces(now, w)
	}
}

// markFenced handles the first answer of a worker to an order with the present fence: it refuses earlier leaders, and orders
// to its earlier boots, from now on.
func (d *Dispatcher) markFenced(now time.Time, w *worker, inv *job.Inventory) {
	// An earlier leader may have renewed the leases up to the moment at which the worker was fenced. On another boot than the
	// one that it knew, its bounds mean nothing.
	lease := d.settings.MaxLease
	if inv.Boot == w.storedBoot {
		lease = min(lease, max(0, stretched(d.recovery.earlier.expiredAt().Sub(now))))
	}
	w.leaseEnd = max(w.leaseEnd, inv.Clock+lease)
	w.fenced, w.fencedBoot = true, inv.Boot
	if d.recovery.earlier.reached(now, w.ID, inv.Boot) {
		d.logEvent(notice.LeasesBounded, Attr{Key: "epoch", Value: d.epoch},
			Attr{Key: "leases", Value: d.recovery.earlier.expiredAt().Sub(now)},
			Attr{Key: "waited", Value: now.Sub(d.recovery.beganAt)})
		// The commit spares a successor the wait for leases that this leader knows to end sooner.
		d.RequestConfirmation()
	}
	d.updateOpen(w)
	d.passNeeded = true
	d.logEvent(notice.WorkerFirstResponse, Attr{Key: "worker", Value: w.ID}, Attr{Key: "epoch", Value: d.epoch},
		Attr{Key: "runs", Value: len(inv.Running)}, Attr{Key: "ends", Value: len(inv.Ended)},
		Attr{Key: "more_ends", Value: inv.MoreEnds})
}

// reconcileRuns compares the runs that a worker reports with those that this leader knows.
func (d *Dispatcher) reconcileRuns(now, sent time.Time, w *worker, inv *job.Inventory) {
	w.inventories++
	for i := range inv.Running {
		entry := &inv.Running[i]
		r, known := w.runs[entry.Run]
		if !known {
			r = d.adoptRun(now, w, entry.Run)
		}
		r.lastReport = w.inventories
		d.updateRun(now, r, entry)
	}
	if inv.MoreEnds {
		// A run that is not listed may have ended; its end is yet to come.
		return
	}
	for _, r := range slices.Clone(w.orderedRuns) {
		if r.lastReport == w.inventories {
			continue
		}
		// The inventory is conclusive only if its hold was sent after the worker confirmed the last order about the
		// run.
		if !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent) && !d.mayStartLate(now, r) {
			d.logEvent(notice.RunVanished, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number},
				Attr{Key: "worker", Value: w.ID})
			d.releaseRun(now, r, w.missingRunCause(r))
		}
	}
}

func (d *Dispatcher) updateRun(now time.Time, r *run, entry *job.RunningTask) {
	if r.phase == starting {
		r.phase = running
		r.confirmedAt = now
		d.markOwnerStarted(r)
	}
	if entry.Percent != r.progressPercent {
		r.progressPercent = entry.Percent
		r.progressedAt = now
	}
	r.metric = entry.Measurement
	if entry.Checkpoint != "" && r.task != nil {
		r.task.checkpoint = entry.Checkpoint
	}
}
