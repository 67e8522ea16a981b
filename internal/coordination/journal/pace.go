package journal

import (
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// retryMinDelay is added to each retry delay, since full jitter alone may choose a delay of zero.
	retryMinDelay = 5 * time.Millisecond
	// retryInitialBound is the upper bound of the random delay after the first failed call.
	retryInitialBound = 50 * time.Millisecond
	// retryMaxBound is the highest upper bound of the random delay.
	retryMaxBound = 5 * time.Second
	// busyWindow is the time for which a journal counts as busy after a write.
	busyWindow = time.Second
	// snapshotRetryDelay is the time after which a snapshot that was too large is tried again.
	snapshotRetryDelay = 10 * time.Second
)

// pacer decides when store calls are due.
type pacer struct {
	interval    time.Duration
	random      *rand.Rand
	failures    int
	retryAt     time.Time
	lastWriteAt time.Time
	// commitIssuedAt is the time at which the newest committed write was first issued.
	commitIssuedAt time.Time
	// snapshotNotBefore is the earliest time of the next snapshot, after one that was too large.
	snapshotNotBefore time.Time
}

// recordOutcome sets the earliest time of the next call: exponential back-off with full jitter while calls fail, no
// delay otherwise.
func (p *pacer) recordOutcome(now time.Time, failed bool) {
	if !failed {
		p.failures = 0
		p.retryAt = time.Time{}
		return
	}
	limit := min(retryInitialBound<<min(p.failures, 7), retryMaxBound)
	p.failures++
	p.retryAt = now.Add(retryMinDelay + time.Duration(p.random.Int64N(int64(limit))))
}

// SetInterval sets the shortest time between two entry writes, which is at least MinCommitInterval.
func (j *Journal) SetInterval(interval time.Duration) {
	j.pacer.interval = max(interval, MinCommitInterval)
}

// IsBusy reports whether records are queued or a write was issued within busyWindow.
func (j *Journal) IsBusy(now time.Time) bool {
	return len(j.queue) > 0 || now.Sub(j.pacer.lastWriteAt) < busyWindow
}

// LastCommitIssuedAt returns the time at which the newest committed write was issued; the writer provably owned the
// shard then. It is zero if no write of this epoch is committed.
func (j *Journal) LastCommitIssuedAt() time.Time { return j.pacer.commitIssuedAt }

// DelaySnapshot postpones a snapshot that the caller found too large. Meanwhile, entries are written until the log is
// full.
func (j *Journal) DelaySnapshot(now time.Time) {
	j.pacer.snapshotNotBefore = now.Add(snapshotRetryDelay)
	j.finishCall()
}

func (j *Journal) isWriteDue(now time.Time) bool {
	if !j.sealed {
		return true
	}
	return !now.Before(j.nextWriteAt())
}

// nextWriteAt returns the time at which the next entry write is due.
func (j *Journal) nextWriteAt() time.Time {
	if len(j.queue) > 0 {
		return j.pacer.lastWriteAt.Add(j.pacer.interval)
	}
	return j.pacer.lastWriteAt.Add(IdleCommitInterval)
}

// WakeAt returns the time at which NextCall should be called again, or false if there is none: a call is in flight or
// the journal is deposed.
func (j *Journal) WakeAt() (time.Time, bool) {
	if j.deposed || j.state == stateAwaitingOutcome {
		return time.Time{}, false
	}
	at := j.pacer.retryAt
	if j.state == stateIdle && j.sealed {
		due := j.nextWriteAt()
		if j.isLogFull() {
			due = latest(due, j.pacer.snapshotNotBefore)
		}
		at = latest(at, due)
	}
	return at, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// recordBytes is the estimated size of a record or task without its strings.
	recordBytes = 48
	// jobBytes is the estimated size of a job without its strings.
	jobBytes = 96
	// claimBytes is the estimated size of a claim without its request id.
	claimBytes = 56
)

func estimateBytes(tasks []model.TaskRecord, claims []model.ClaimRecord) int {
	size := 0
	for i := range tasks {
		size += TaskRecordBytes(&tasks[i])
	}
	for i := range claims {
		size += ClaimRecordBytes(&claims[i])
	}
	return size
}

// TaskRecordBytes estimates the encoded size of a record; the estimate exceeds the size that package protocol/record
// produces.
func TaskRecordBytes(r *model.TaskRecord) int {
	size := recordBytes + len(r.Task.Job) + len(r.Worker) + len(r.Checkpoint) + len(r.Message)
	if r.Delegation != nil {
		size += JobBytes(&r.Delegation.Job)
	}
	if r.Transfer != nil {
		size += JobBytes(&r.Transfer.Job) + len(r.Transfer.ID)
		for i := range r.Transfer.Tasks {
			size += TaskBytes(&r.Transfer.Tasks[i])
		}
	}
	return size
}

// ClaimRecordBytes estimates the encoded size of a claim.
func ClaimRecordBytes(r *model.ClaimRecord) int { return claimBytes + len(r.RequestID) }

// JobBytes estimates the encoded size of a job.
func JobBytes(job *model.Job) int {
	return jobBytes + len(job.ID) + len(job.Team) + len(job.Kind) + len(job.Service)
}

// TaskBytes estimates the encoded size of a task in a snapshot.
func TaskBytes(t *model.Task) int {
	size := recordBytes + len(t.Worker) + len(t.Checkpoint)
	for _, w := range t.FailedOn {
		size += 2 + len(w)
	}
	return size
}
