package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// holdMaxWait is how long a worker may delay its answer to a hold while it has no ends to report. Tail latencies
	// are reported over half a second, and interference must be noticed well within its limit of seconds.
	holdMaxWait = time.Second
	// holdMaxWaitShort applies instead while best-effort tasks run beside serving ones, and while the leases depend on the
	// answers of the workers.
	holdMaxWaitShort = 400 * time.Millisecond
	// holdRetryInterval is the pause after a hold that got no answer.
	holdRetryInterval = 300 * time.Millisecond
	// holdIntervalUncommitted is the pause before the next hold while ends wait for their commit. A worker answers at
	// once as long as it lists ends, so holds without a pause would follow each other closely.
	holdIntervalUncommitted = 600 * time.Millisecond
	// acknowledgeWindow is shorter than the time that a worker takes to restart. A hold acknowledges ends only if the
	// last inventory and the decision to send the hold are at most this old, and if the answer with that inventory
	// took at most this much longer than the wait that the hold allowed.
	acknowledgeWindow = 150 * time.Millisecond
	// clockSkew bounds the relative rate by which a worker's monotonic clock may run slower than this process's.
	clockSkew = 0.0205
	// leaseExpiryMargin covers the rounding of clocks and the time that a worker short of CPU time takes to end runs whose
	// lease has expired.
	leaseExpiryMargin = 500 * time.Millisecond
	// leaseRequestMargin keeps a requested lease within the worker's maximum, which is counted from the arrival of
	// the request.
	leaseRequestMargin = 50 * time.Millisecond
	// drainingLease is requested instead of the longest lease while a worker drains. Once it has left, only the end of its
	// leases proves that its tasks have ended, and they start elsewhere sooner. A hold may wait for a second, and what is left
	// then outlasts the change of a failed leader.
	drainingLease = 4500 * time.Millisecond
	// maxAnswerAge is the maximum age of a worker's last answer for starts to be sent to it and its leases to be renewed.
	maxAnswerAge = 1800 * time.Millisecond
)

// proofLeaseEnded is the proof that nothing runs on a worker because no leader has renewed the leases there in time.
const proofLeaseEnded = "lease-ended"

// worker is the state of a worker. It is reset in part when the worker restarts under its id.
type worker struct {
	// Worker is what the list says. Others may write to the list: what it says of the boot and the address proves nothing.
	job.Worker
	// boot is the boot that the worker itself has named; 0 before its first answer.
	boot job.BootID
	// knownAddress is where it has answered, or where an earlier leader knew it; empty before. holdAddress is where the last
	// hold was sent, and holdFence its fence.
	knownAddress, holdAddress string
	holdFence                 model.Epoch
	// claimedAt is when a later boot seemed to be there; zero once the worker has answered since. claimedBoot is the boot, if
	// the list has named it.
	claimedBoot job.BootID
	claimedAt   time.Time
	// index is the place of the worker in sortedWorkers while the dispatcher's room is built.
	index int
	// restartedAt is when it was last noticed that the worker had restarted under its id.
	restartedAt time.Time
	// listed is set while the platform's VM list names the worker.
	listed bool
	// open is set while the worker may get starts. That requires storedOpen: the registry in the store has the worker
	// as open, and no commit in flight closes it. storedBoot is the boot in the stored entry.
	open, storedOpen bool
	storedBoot       job.BootID
	// inheritedEntry is the worker's entry in the registry as an earlier leader wrote it. It is nil once the worker is
	// accounted for.
	inheritedEntry *job.RegisteredWorker
	// fence is the number that orders to the worker carry. fenceOutdated means that orders to an earlier boot carry it, too.
	fence         model.Epoch
	fenceOutdated bool
	// fenced is set once the worker has answered an order with the present fence, so that it refuses the orders of earlier
	// leaders and those to its earlier boots. fencedBoot is the boot that did so last.
	fenced     bool
	fencedBoot job.BootID
	// answered is set once the worker has answered this leader.
	answered bool
	// dead is set once nothing can run on the worker any more.
	dead         bool
	holdInFlight bool
	// nextHold is the earliest time of the next hold.
	nextHold time.Time
	// These are sequence numbers of ends: the highest one that was processed, the highest one whose progress is
	// committed, the one that the hold in flight acknowledges, and the highest one that the worker is known to have
	// got an acknowledgement of.
	lastProcessedEnd, lastCommittedEnd, sentAcknowledgement, deliveredAcknowledgement int64
	// uncommittedEnds are the processed ends above lastCommittedEnd.
	uncommittedEnds []job.EndedTask
	// requestedWait is how long the hold in flight lets the worker delay its answer.
	requestedWait time.Duration
	// answeredPromptly is set if the last hold was answered so promptly that the worker can't have restarted since it
	// answered.
	answeredPromptly bool
	// lastHoldAnswered is set while the last hold that is over was answered. Otherwise the worker may have restarted: a lease that
	// is requested of it then may end later than this leader reckons, on the new boot's clock.
	lastHoldAnswered bool
	// clock is the newest reading of the worker's monotonic clock; it arrived at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest lease end that this or an earlier leader can have requested, on the worker's clock.
	leaseEnd time.Duration
	// heldUntil is the lease end that the last hold has requested, on the worker's clock.
	heldUntil time.Duration
	// answeredAt is when the last answer to a hold arrived, answeredHoldSentAt when that hold was sent.
	answeredAt, answeredHoldSentAt time.Time
	// heardAt is when the last response of any kind arrived.
	heardAt time.Time
	// unreachable is set while the worker has not answered recently.
	unreachable bool
	// refused is set while connections to the worker are refused. That does not show that it runs nothing: it may close its
	// listener before its tasks end, or something between may refuse.
	refused bool
	// inventories counts the inventories of the worker.
	inventories uint64
	// unanswered are the starts of which a copy got no answer lately.
	unanswered []unansweredStart
	// runs are the runs that are on the worker, or may be; orderedRuns has them in the order in which they became
	// known.
	runs        map[job.Run]*run
	orderedRuns []*run
	// used is what the runs take of the capacity, and usedLongRunning the part of it that long-running tasks take.
	used, usedLongRunning model.Resources
	// relay is the entry that carries orders to the worker; empty means the leader itself.
	relay model.EntryID
	// avoidedRelay is an entry that did not reach the worker; it is not assigned again before avoidRelayUntil.
	avoidedRelay    model.EntryID
	avoidRelayUntil time.Time
	health          health
	// forecast is nil after a report or a change of what runs on the worker.
	forecast *workerForecast
	// recentlyEnded are the best-effort tasks whose CPU use the next report still covers in part.
	recentlyEnded []endedUse
	// previousShares is the CPU use of each best-effort image at the previous report.
	previousShares imageShares
	// slopes holds for each best-effort image in demand the sum of its interference slopes to the serving tasks here.
	// totalAdvantage sums the advantages of the images on this worker, weighted by their share of the demand.
	slopes         []float64
	totalAdvantage float64
}

func (w *worker) free() model.Resources { return w.Capacity.Sub(w.used) }

// clockNow estimates the reading of the worker's clock. The estimate is ahead of that clock by at most the clock skew
// since the last reading.
func (w *worker) clockNow(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt)
}

// leasesExpiredBy returns when every lease on a fenced worker has certainly expired.
func (w *worker) leasesExpiredBy() time.Time {
	left := max(0, w.leaseEnd-w.clock)
	return w.clockAt.Add(time.Duration(float64(left)*(1+clockSkew)) + leaseExpiryMargin)
}

func (d *Dispatcher) targetOf(w *worker) Target {
	return Target{Worker: w.ID, Address: w.contactAddress(), Epoch: d.epoch, Fence: w.fence, Relay: w.relay}
}

// contactAddress returns where to reach a worker: where it answers, whatever the list says, and otherwise where it is
// listed.
func (w *worker) contactAddress() string {
	if w.answered && !w.unreachable && w.knownAddress != "" {
		return w.knownAddress
	}
	return w.Address
}

// isKnownAt reports whether an address is where the worker was known, or it was known nowhere yet. A refusal from another
// address says nothing about it.
func (w *worker) isKnownAt(address string) bool {
	return w.knownAddress == "" || w.knownAddress == address
}

// refusedByAnotherBoot handles the response of another boot at an address, and reports whether it proves that the worker is
// gone. That of a worker that drains proves nothing: a process that shuts down in an orderly way may give its address up
// before its tasks have ended.
func (d *Dispatcher) refusedByAnotherBoot(now time.Time, w *worker, address string) bool {
	if !w.isKnownAt(address) || w.Draining {
		return false
	}
	if w.knownAddress == "" {
		d.refuted[w.ID] = refutedEntry{address: address, boot: w.Boot, until: now.Add(refutedTime)}
	}
	d.markDead(now, w, proofAnotherBoot)
	return true
}

// UpdateWorkers applies the platform's VM list.
func (d *Dispatcher) UpdateWorkers(now time.Time, list []job.Worker) {
	named := make(map[model.WorkerID]bool, len(list))
	for i := range list {
		named[list[i].ID] = true
		d.updateListedWorker(now, list[i])
	}
	for _, w := range d.sortedWorkers {
		if !named[w.ID] {
			if w.listed {
				d.fleetChanged()
			}
			w.listed = false
			d.updateOpen(w)
		}
	}
	maps.DeleteFunc(d.refuted, func(id model.WorkerID, _ refutedEntry) bool { return !named[id] })
	d.passNeeded = true
}

// refutedTime is how long an entry of the list is ignored after another worker has answered at its address.
const refutedTime = 10 * time.Second

// refutedEntry is an entry of the list whose worker has never answered and is not where the entry says.
type refutedEntry struct {
	address string
	boot    job.BootID
	until   time.Time
}

// isRefuted reports whether an entry of the list was refuted lately and has not changed since.
func (d *Dispatcher) isRefuted(now time.Time, info *job.Worker) bool {
	e, known := d.refuted[info.ID]
	return known && e.address == info.Address && e.boot == info.Boot && now.Before(e.until)
}

func (d *Dispatcher) updateListedWorker(now time.Time, info job.Worker) {
	w, known := d.workers[info.ID]
	if !known {
		// The registry names every worker that may run something, so a draining worker that is not known is empty.
		if info.Draining || d.isRefuted(now, &info) {
			return
		}
		w = d.addWorker(info.ID, info.Address)
	}
	if w.dead {
		return
	}
	if w.boot != 0 && info.Boot > w.boot && info.Boot != w.claimedBoot {
		w.claimedBoot = info.Boot
		d.suspectRestart(now, w)
	}
	if info.Draining && !w.Draining {
		d.logEvent(notice.WorkerDraining, Attr{Key: "worker", Value: w.ID}, Attr{Key: "runs", Value: len(w.runs)})
	}
	if info.DataCentre != w.DataCentre {
		w.relay, d.relays.changed = "", true
	}
	if !w.sameOffer(&info) {
		d.fleetChanged()
	}
	w.Worker, w.listed = info, true
	d.updateRoom(w)
	d.updateOpen(w)
}

// closedToStarts reports whether a worker must not get starts.
func (w *worker) closedToStarts() bool {
	return w.Draining || !w.listed || w.unreachable || !w.mayRunSomething()
}

// mayRunSomething reports whether this leader or an earlier one can have started something on a worker. Before its first
// answer it can't: an entry of the list alone may come from another writer.
func (w *worker) mayRunSomething() bool { return w.inheritedEntry != nil || w.boot != 0 }

func (d *Dispatcher) addWorker(id model.WorkerID, address string) *worker {
	w := &worker{Worker: job.Worker{ID: id, Address: address}, fence: d.epoch, runs: make(map[job.Run]*run)}
	d.workers[id] = w
	d.withoutHold = append(d.withoutHold, w)
	d.relays.changed = true
	at, _ := slices.BinarySearchFunc(d.sortedWorkers, w, compareWorkers)
	d.sortedWorkers = slices.Insert(d.sortedWorkers, at, w)
	d.room = nil
	return w
}

func compareWorkers(a, b *worker) int { return strings.Compare(string(a.ID), string(b.ID)) }

func (d *Dispatcher) removeWorker(w *worker) {
	delete(d.workers, w.ID)
	if at, found := slices.BinarySearchFunc(d.sortedWorkers, w, compareWorkers); found {
		d.sortedWorkers = slices.Delete(d.sortedWorkers, at, at+1)
		d.room = nil
	}
}

// workerRestarted resets the state of a worker that was restarted under its id, as its own inventory says. The inventory
// shows which runs it has: the new process may have carried out an order that was in flight.
func (d *Dispatcher) workerRestarted(now time.Time, w *worker, boot job.BootID) {
	d.logEvent(notice.WorkerRestarted, Attr{Key: "worker", Value: w.ID}, Attr{Key: "boot", Value: boot},
		Attr{Key: "runs", Value: len(w.orderedRuns)}, Attr{Key: "epoch", Value: d.epoch})
	d.recordCrash(w, proofRestarted)
	w.boot, w.lastProcessedEnd, w.lastCommittedEnd, w.sentAcknowledgement, w.deliveredAcknowledgement,
		w.leaseEnd, w.heldUntil, w.clock = boot, 0, 0, 0, 0, 0, 0, 0
	w.uncommittedEnds = nil
	w.fenced, w.fenceOutdated, w.answeredPromptly, w.clockAt, w.restartedAt = false, true, false, now, now
}

// markDead records that nothing can run on a worker any more, and releases its runs.
func (d *Dispatcher) markDead(now time.Time, w *worker, proof string) {
	d.logEvent(notice.WorkerGone, Attr{Key: "worker", Value: w.ID}, Attr{Key: "proof", Value: proof},
		Attr{Key: "runs", Value: len(w.runs)}, Attr{Key: "epoch", Value: d.epoch})
	w.dead = true
	d.fleetChanged()
	d.recordCrash(w, proof)
	d.releaseRuns(now, w, proof)
	d.registry.dirty = d.registry.dirty || w.mayRunSomething()
	d.markAccounted(w)
}

// releaseRuns releases the runs of a worker that are proved gone though the worker has not said so.
func (d *Dispatcher) releaseRuns(now time.Time, w *worker, proof string) {
	for _, r := range slices.Clone(w.orderedRuns) {
		d.releaseLost(now, r, proof)
	}
	d.passNeeded = true
}

// releaseLost releases a run that is proved gone though its worker has not said so.
func (d *Dispatcher) releaseLost(now time.Time, r *run, proof string) {
	if !r.worker.provesCrash(proof) {
		d.logEvent(notice.RunReleased, Attr{Key: "job", Value: r.Task.Job}, Attr{Key: "task", Value: r.Task.String()},
			Attr{Key: "run", Value: r.Number}, Attr{Key: "worker", Value: r.worker.ID}, Attr{Key: "proof", Value: proof},
			Attr{Key: "epoch", Value: d.epoch})
	}
	d.releaseRun(now, r, proof)
}

// checkWorkers detects unreachable workers, releases their runs once it is proved that all leases have expired, and
// removes dead workers.
func (d *Dispatcher) checkWorkers(now time.Time) {
	for _, w := range slices.Clone(d.sortedWorkers) {
		switch {
		case w.dead:
			if !d.registered[w.ID] {
				d.removeWorker(w)
			}
		case !w.answered:
			d.checkUnfenced(now, w)
		case w.drained():
			d.markDead(now, w, "empty")
		case !d.answeredRecently(now, w) && !w.unreachable:
			w.unreachable = true
			d.updateOpen(w)
			d.logEvent(notice.WorkerUnreachable, Attr{Key: "worker", Value: w.ID},
				Attr{Key: "age", Value: now.Sub(w.answeredAt)}, Attr{Key: "refused", Value: w.refused})
		case w.unreachable:
			d.checkLeases(now, w)
		}
	}
}

// leaves reports whether a worker is leaving, or has left the list.
func (w *worker) leaves() bool { return w.Draining || !w.listed }

// drained reports whether a worker that is leaving runs nothing and has got the acknowledgements of all its ends.
func (w *worker) drained() bool {
	return w.fenced && w.leaves() && len(w.runs) == 0 && w.deliveredAcknowledgement == w.lastProcessedEnd
}
