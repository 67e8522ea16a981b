package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// A worker that restarts under its id can't tell orders to its earlier boots from others: it knows no number yet, and the end
// of a lease in such an order, a time on the earlier boot's clock, lies far ahead on its own. So a leader that learns of a
// restart gives its further orders to the worker a higher number. From the first of them on, the worker refuses the orders
// to its earlier boots, and the inventory in the answer lists all that it has carried out before.
//
// The number is the revision of the leader's newest commit. It is below the epoch of any successor, whose election is a later
// revision, and above all earlier numbers of the worker, for which the leader waits for a commit if necessary.

// raiseFence gives the orders to a worker a number above those of the orders to its earlier boots.
func (d *Dispatcher) raiseFence(w *worker) {
	if !w.fenceOutdated {
		return
	}
	revision := model.Epoch(d.commits.recordRevision)
	if revision <= w.fence {
		d.RequestConfirmation()
		return
	}
	w.fence, w.fenceOutdated = revision, false
	d.logEvent(notice.FenceRaised, Attr{Key: "worker", Value: w.ID}, Attr{Key: "boot", Value: w.boot},
		Attr{Key: "fence", Value: w.fence}, Attr{Key: "epoch", Value: d.epoch})
}

// suspectRestart handles a sign that a worker has restarted. The worker is asked at once, even if the last hold, which its
// earlier boot may have got, has no answer yet.
func (d *Dispatcher) suspectRestart(now time.Time, w *worker) {
	w.claimedAt, w.nextHold = now, now
	w.fenced, w.fenceOutdated = false, true
	if d.raiseFence(w); !w.fenceOutdated && w.holdInFlight {
		w.holdInFlight = false
		d.withoutHold = append(d.withoutHold, w)
	}
	d.recheckHolds()
}

// clockTolerance covers responses that overtake each other, and the rounding of clocks.
const clockTolerance = time.Second

// isFromAnotherBoot reports whether the clock in the response to a start can't be that of the boot that has answered last: a
// boot that was not asked for its inventory yet has carried the start out. A refusal for another reason may lack the clock.
func (d *Dispatcher) isFromAnotherBoot(now time.Time, w *worker, response job.OrderResponse) bool {
	if !w.answered || !w.claimedAt.IsZero() || w.unreachable || response.Err != nil || response.Refusal != job.RefusedNone {
		return false
	}
	latest := w.clockNow(now) + time.Duration(float64(now.Sub(w.clockAt))*clockSkew) + clockTolerance
	return response.Clock < w.clock-clockTolerance || response.Clock > latest
}

// isOutdated reports whether an order to a worker has a number below that of the present orders, so that a refusal of the
// number does not show that another leader has been elected.
func (w *worker) isOutdated(order Target) bool { return w != nil && order.Fence < w.fence }

// startsEndBy returns when no copy of the start of a run can be carried out any more by a later boot of its worker, or zero
// if no copy can be on its way. Of a run that an earlier leader has started, this one does not know which copies were answered.
func (d *Dispatcher) startsEndBy(r *run) time.Time {
	var end time.Time
	if r.startsSent == 0 {
		end = d.recovery.predecessorsStoppedAt.Add(maxOrderDelay)
	}
	for _, u := range r.worker.unanswered {
		if arrived := u.at.Add(maxOrderDelay); u.run == r.Run && arrived.After(end) {
			end = arrived
		}
	}
	return end
}

// mayStartLate reports whether a copy of the start of a run may still be carried out on a worker that has restarted and does
// not refuse the orders to its earlier boots yet.
func (d *Dispatcher) mayStartLate(now time.Time, r *run) bool {
	return !r.worker.fenced && d.startsEndBy(r).After(now)
}

// wholeLease is the longest time that a lease may last, with the time that the worker takes to end its runs.
func (d *Dispatcher) wholeLease() time.Duration {
	return stretched(d.settings.MaxLease) + leaseExpiryMargin
}

// leasesExpiredOn returns when every run on an unreachable worker has ended by its leases, if no copy of its start is
// carried out later. A boot that does not refuse the orders to earlier ones may get a whole lease from each of them.
func (d *Dispatcher) leasesExpiredOn(w *worker) time.Time {
	ended := w.leasesExpiredBy()
	if w.boot == w.fencedBoot {
		return ended
	}
	if late := w.restartedAt.Add(maxOrderDelay + d.wholeLease()); late.After(ended) {
		return late
	}
	return ended
}

// runEndedBy returns when a run on an unreachable worker has certainly ended. If the list says that the worker has restarted,
// the new boot may carry out a copy of the start, which then has a whole lease.
func (d *Dispatcher) runEndedBy(r *run) time.Time {
	ended := d.leasesExpiredOn(r.worker)
	if r.worker.claimedAt.IsZero() || !r.worker.listed {
		return ended
	}
	if starts := d.startsEndBy(r); !starts.IsZero() && starts.Add(d.wholeLease()).After(ended) {
		return starts.Add(d.wholeLease())
	}
	return ended
}

// runsEndedBy returns when every run on an unreachable worker has certainly ended.
func (d *Dispatcher) runsEndedBy(w *worker) time.Time {
	ended := d.leasesExpiredOn(w)
	for _, r := range w.orderedRuns {
		if end := d.runEndedBy(r); end.After(ended) {
			ended = end
		}
	}
	return ended
}

// checkLeases releases the runs of an unreachable worker once their leases have expired, and marks one that is no longer
// listed as dead. This leader knows only the leases that it or an earlier leader has requested, so it must not have been
// replaced before they expired: its successor, who may reach the worker, would have renewed them.
func (d *Dispatcher) checkLeases(now time.Time, w *worker) {
	ended := d.leasesExpiredOn(w)
	pending := !w.listed || len(w.runs) > 0 || w.inheritedEntry != nil
	if !pending || !now.After(ended) || !d.confirmedAfter(ended) {
		return
	}
	if all := d.runsEndedBy(w); now.After(all) && d.confirmedAfter(all) {
		d.leasesExpired(now, w, all)
		return
	}
	for _, r := range slices.Clone(w.orderedRuns) {
		if end := d.runEndedBy(r); now.After(end) && d.confirmedAfter(end) {
			d.releaseLost(now, r, proofLeaseEnded)
		}
	}
}

// leasesExpired handles an unreachable worker all of whose runs have ended.
func (d *Dispatcher) leasesExpired(now time.Time, w *worker, ended time.Time) {
	if !w.listed {
		d.markDead(now, w, proofLeaseEnded)
		return
	}
	d.logEvent(notice.WorkerLeasesExpired, Attr{Key: "worker", Value: w.ID}, Attr{Key: "runs", Value: len(w.runs)},
		Attr{Key: "unconfirmed", Value: now.Sub(ended)}, Attr{Key: "epoch", Value: d.epoch})
	d.releaseRuns(now, w, proofLeaseEnded)
	d.accountWithoutAnswer(now, w, proofLeaseEnded)
}
