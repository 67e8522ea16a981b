package dispatch

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// A task may crash every worker that starts it. A crash shows only which runs were on the worker, not which of them was
// the cause. It is charged to the tasks there that have been charged most often before. Charged tasks are placed on
// different workers, where few long-running tasks would be lost, so that the next crash is charged to few tasks and the
// others complete. Long-running tasks are not charged: they are restarted however often they fail.
const (
	// maxCrashes is the number of crashes charged to a task after which its job fails. For crashes soon after the start,
	// which are rare without a cause in the task, it is maxQuickCrashes.
	maxCrashes      = 5
	maxQuickCrashes = 3
	// quickCrashTime is the time after the start of a run within which its worker was last heard from if its crash was
	// quick.
	quickCrashTime = 300 * time.Millisecond
	// probationCrashes is the number from which a task starts on a worker that gets no other starts for probationTime.
	probationCrashes = 2
	probationTime    = time.Second
	// suspectPenalty makes a worker that runs another charged task the last choice for a charged task.
	suspectPenalty = 1000
	// lossPenalty, in cores, is the penalty for each long-running task of a worker that would be lost with it.
	lossPenalty = 10
	// stalePenalty, in cores, is the penalty for each second since the worker was last heard from.
	stalePenalty = 50
)

// Proofs that a worker has crashed: another process has taken its place without a drain.
const (
	proofAnotherBoot = "another-boot"
	proofRestarted   = "restarted"
)

// provesCrash reports whether a worker that is gone has crashed.
func (w *worker) provesCrash(proof string) bool {
	return !w.Draining && (proof == proofAnotherBoot || proof == proofRestarted)
}

// recordCrash charges the crash of a worker to the tasks that may have caused it.
func (d *Dispatcher) recordCrash(w *worker, proof string) {
	if !w.provesCrash(proof) {
		return
	}
	most := 0
	for _, r := range w.orderedRuns {
		if r.mayHaveCrashed() {
			most = max(most, r.task.crashes)
		}
	}
	var givenUp []*task
	for _, r := range w.orderedRuns {
		charged := r.mayHaveCrashed() && r.task.crashes == most
		crashes := 0
		if charged {
			r.task.crashes++
			if r.crashedQuickly() {
				r.task.quickCrashes++
			}
			crashes = r.task.crashes
			d.markDirty(r.task.owner)
			r.task.owner.crashUncommitted = true
		}
		d.logEvent(notice.RunLost, Attr{Key: "job", Value: r.Task.Job}, Attr{Key: "task", Value: r.Task.String()},
			Attr{Key: "run", Value: r.Number}, Attr{Key: "worker", Value: w.ID}, Attr{Key: "proof", Value: proof},
			Attr{Key: "charged", Value: charged}, Attr{Key: "crashes", Value: crashes})
		if charged && (crashes >= maxCrashes || r.task.quickCrashes >= maxQuickCrashes) {
			givenUp = append(givenUp, r.task)
		}
	}
	for _, t := range givenUp {
		d.giveUp(t)
	}
}

// probe sends the worker of a charged task an order that changes nothing, once quickCrashTime has passed since the start.
// Without it a crash of an idle worker could not be told from a quick one: it may delay its answer to a hold for longer.
func (d *Dispatcher) probe(now time.Time, r *run) {
	if r.probeAt.IsZero() || now.Before(r.probeAt) {
		return
	}
	r.probeAt = time.Time{}
	if r.phase == running && r.pace != unknownPace {
		d.emit(Pace{Target: d.targetOf(r.worker), Run: r.Run, Percent: r.pace})
	}
}

// hear records that a worker, if it is known, has responded. The response of one that was unreachable, or has restarted
// according to the list, may be that of a later boot under its id.
func (w *worker) hear(now time.Time, response job.OrderResponse) {
	if w != nil && !w.unreachable && w.claimedAt.IsZero() && response.Err == nil && response.Refusal != job.RefusedBoot {
		w.heardAt = now
	}
}

// mayHaveCrashed reports whether a run on a crashed worker may have crashed it.
func (r *run) mayHaveCrashed() bool {
	return r.task != nil && !r.task.done && !r.task.owner.phase.Final() && !r.task.step.LongRunning && !r.stopConfirmed
}

// crashedQuickly reports whether a crashed worker was last heard from soon after the start of a run. One that was not
// heard from since may have crashed before the start.
func (r *run) crashedQuickly() bool {
	heardAfter := r.worker.heardAt.Sub(r.placedAt)
	return heardAfter >= 0 && heardAfter <= quickCrashTime
}

// giveUp fails the job of a task that has crashed too many workers.
func (d *Dispatcher) giveUp(t *task) {
	if t.owner.phase.Final() {
		return
	}
	d.logEvent(notice.TaskGivenUp, Attr{Key: "job", Value: t.Job}, Attr{Key: "task", Value: t.String()},
		Attr{Key: "crashes", Value: t.crashes})
	d.endJob(t.owner, job.Failed)
}

// awaitsCrashCommit reports whether a task must not start yet because a crash that is charged to it is not committed: a
// new leader would not know of it. The change of a leader thus loses the count of one crash at most.
func (t *task) awaitsCrashCommit() bool {
	return t.crashes > 0 && t.owner.crashUncommitted
}

// suspectScore scores a worker for a charged task: the more it would lose, the lower, and the longer it has not been
// heard from. A worker that has crashed before the start would be charged to the task.
func (w *worker) suspectScore(now time.Time) float64 {
	score := float64(w.free().CPUMillis)/millisPerCore - stalePenalty*now.Sub(w.heardAt).Seconds()
	for _, r := range w.orderedRuns {
		switch {
		case r.task == nil:
		case r.task.step.LongRunning:
			score -= lossPenalty
		case r.task.crashes > 0:
			score -= suspectPenalty
		}
	}
	return score
}
