package guard

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// A worker is quarantined after minBurstFailures failures of at least minBurstJobs different jobs within
	// maxBurstSpan.
	minBurstFailures = 4
	minBurstJobs     = 3
	maxBurstSpan     = time.Minute
	// evidenceRetention is how long failures and successes count. It leaves a job that failed on one worker enough time
	// to succeed on another.
	evidenceRetention = 10 * time.Minute
	// maxEvidence bounds the failures kept for one worker and the workers kept for one job.
	maxEvidence = 64
	// MinHealthyRunTime is the time after which a run counts as a success of its job on its worker even before it
	// finishes.
	MinHealthyRunTime = 30 * time.Second
	// minProbeInterval and maxProbeInterval bound the time between two probes of a quarantined worker.
	minProbeInterval = time.Minute
	maxProbeInterval = 30 * time.Minute
)

// Quarantine distinguishes workers on which all jobs fail from jobs that fail on all workers, and quarantines the
// former. A quarantined worker gets single tasks as probes and returns once one succeeds. Quarantine is not safe for
// concurrent use.
type Quarantine struct {
	workers map[model.WorkerID]*workerHealth
	// succeeded holds the last success of a job on each worker.
	succeeded map[model.JobID]map[model.WorkerID]time.Time
}

type workerHealth struct {
	failures    []failure
	quarantined bool
	// probeAt is when the next probe is due, or while probing is set, when the current one counts as lost.
	probeAt       time.Time
	probeInterval time.Duration
	probing       bool
	lastSuccess   time.Time
}

type failure struct {
	at  time.Time
	job model.JobID
}

// QuarantineChange reports that a worker entered or left quarantine.
type QuarantineChange struct {
	Worker      model.WorkerID
	Quarantined bool
}

// NewQuarantine returns a Quarantine without evidence.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		workers:   make(map[model.WorkerID]*workerHealth),
		succeeded: make(map[model.JobID]map[model.WorkerID]time.Time),
	}
}

func (q *Quarantine) worker(id model.WorkerID) *workerHealth {
	w := q.workers[id]
	if w == nil {
		w = &workerHealth{}
		q.workers[id] = w
	}
	return w
}

// RecordFailure records a failed attempt. On a quarantined worker it ends the probe and doubles the probe interval.
func (q *Quarantine) RecordFailure(now time.Time, id model.WorkerID, job model.JobID) {
	w := q.worker(id)
	if w.quarantined {
		w.probing = false
		w.probeInterval = min(2*w.probeInterval, maxProbeInterval)
		w.probeAt = now.Add(w.probeInterval)
		return
	}
	w.failures = append(w.failures, failure{now, job})
	if len(w.failures) > maxEvidence {
		w.failures = slices.Delete(w.failures, 0, 1)
	}
}

// RecordSuccess records an attempt that has finished or has run for MinHealthyRunTime. It reports whether the worker
// thereby left quarantine.
func (q *Quarantine) RecordSuccess(now time.Time, id model.WorkerID, job model.JobID) bool {
	if q.succeeded[job] == nil {
		q.succeeded[job] = make(map[model.WorkerID]time.Time)
	}
	if _, known := q.succeeded[job][id]; known || len(q.succeeded[job]) < maxEvidence {
		q.succeeded[job][id] = now
	}
	w := q.worker(id)
	w.lastSuccess = now
	returned := w.quarantined
	if returned {
		*w = workerHealth{lastSuccess: now}
	}
	return returned
}

// IsQuarantined reports whether the worker gets no tasks except probes.
func (q *Quarantine) IsQuarantined(id model.WorkerID) bool {
	w := q.workers[id]
	return w != nil && w.quarantined
}

// ProbeDue reports whether a quarantined worker may now get one task as a probe. Exclusive tasks must not be used for
// it.
func (q *Quarantine) ProbeDue(now time.Time, id model.WorkerID) bool {
	w := q.workers[id]
	return w != nil && w.quarantined && !w.probing && !now.Before(w.probeAt)
}

// RecordProbe records that a worker was assigned a probe. If its outcome is never reported, the next probe is due after
// the current probe interval.
func (q *Quarantine) RecordProbe(now time.Time, id model.WorkerID) {
	w := q.worker(id)
	w.probing = true
	w.probeAt = now.Add(w.probeInterval)
}

// Update drops old evidence, quarantines workers and returns the changes sorted by worker.
func (q *Quarantine) Update(now time.Time) []QuarantineChange {
	q.dropOldEvidence(now)
	var changes []QuarantineChange
	for id, w := range q.workers {
		if w.quarantined {
			if w.probing && !now.Before(w.probeAt) {
				w.probing = false
			}
			continue
		}
		if q.failsEverything(id, w) {
			*w = workerHealth{quarantined: true, probeInterval: minProbeInterval, probeAt: now.Add(minProbeInterval)}
			changes = append(changes, QuarantineChange{Worker: id, Quarantined: true})
		}
	}
	slices.SortFunc(changes, func(a, b QuarantineChange) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes
}

// failsEverything reports whether the worker had a burst of failures of jobs that succeed on other workers, and no
// success since.
func (q *Quarantine) failsEverything(id model.WorkerID, w *workerHealth) bool {
	var burst []failure
	for _, f := range w.failures {
		if f.at.Before(w.lastSuccess) || !q.succeedsElsewhere(f.job, id) {
			continue
		}
		burst = append(burst, f)
		for f.at.Sub(burst[0].at) > maxBurstSpan {
			burst = burst[1:]
		}
		jobs := make(map[model.JobID]bool)
		for _, b := range burst {
			jobs[b.job] = true
		}
		if len(burst) >= minBurstFailures && len(jobs) >= minBurstJobs {
			return true
		}
	}
	return false
}

func (q *Quarantine) succeedsElsewhere(job model.JobID, except model.WorkerID) bool {
	for id := range q.succeeded[job] {
		if id != except {
			return true
		}
	}
	return false
}

// dropOldEvidence removes failures and successes older than evidenceRetention.
func (q *Quarantine) dropOldEvidence(now time.Time) {
	for _, w := range q.workers {
		for len(w.failures) > 0 && now.Sub(w.failures[0].at) > evidenceRetention {
			w.failures = w.failures[1:]
		}
	}
	for job, workers := range q.succeeded {
		for id, at := range workers {
			if now.Sub(at) > evidenceRetention {
				delete(workers, id)
			}
		}
		if len(workers) == 0 {
			delete(q.succeeded, job)
		}
	}
}

// Forget removes the state of a worker.
func (q *Quarantine) Forget(id model.WorkerID) { delete(q.workers, id) }
