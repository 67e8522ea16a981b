package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	// commitInterval is the minimum time between two commits. Each costs a call to the store, and ends that arrive
	// meanwhile share the next one. On average, half of the interval is added to the time until a job is shown as
	// completed.
	commitInterval = 40 * time.Millisecond
	// fullCommitInterval applies instead after a commit that had no room for all changes.
	fullCommitInterval = 10 * time.Millisecond
	// commitBackoffMin and commitBackoffMax bound the pause after a commit without a definite answer.
	commitBackoffMin = 50 * time.Millisecond
	commitBackoffMax = 400 * time.Millisecond
	// maxCommitJobs is the number of jobs in one commit: the rows of a transaction less the expectation and the puts
	// of the commit record, the registry and the interference slopes.
	maxCommitJobs = job.MaxTransactionRows - 4
	// slopeStoreInterval is the minimum time between two commits that store the interference slopes. The slopes are
	// learned within seconds and change little afterwards.
	slopeStoreInterval = 5 * time.Second
	// maxRemovedJobs is the number of ended jobs that one commit removes from the store; each has two keys.
	maxRemovedJobs = 4
)

// committer writes progress as a chain of transactions, one at a time, each expecting the revision of the one before.
type committer struct {
	// recordRevision is the revision of the newest commit.
	recordRevision model.Revision
	nextID         uint64
	// dirtyJobs are the jobs with changes that no batch holds yet, in the order in which they were changed first.
	dirtyJobs []*jobState
	// changes counts the jobs that were added to dirtyJobs.
	changes uint64
	// unknownAt is the value for the next of uncoveredEnds.
	unknownAt time.Time
	// uncoveredEnds are processed ends that no batch covers yet, in the order in which they were processed.
	uncoveredEnds []uncoveredEnds
	inFlight      *batch
	nextAt        time.Time
	backoff       time.Duration
	// writtenAfter is a time before which the newest commit of this leader was not in the store.
	writtenAfter time.Time
	// confirmedAt is when the newest commit that took effect was sent. No other leader was elected before that: an election
	// rewrites the commit record, which makes the commits of all other leaders fail.
	confirmedAt time.Time
	// confirmationNeeded requests a commit even if nothing has to be written.
	confirmationNeeded bool
}

// uncoveredEnds are ends that a worker has listed. They are covered once all jobs are committed that were changed up to
// the moment at which they were processed, which is when committer.changes was changes.
type uncoveredEnds struct {
	worker  *worker
	ends    processedEnds
	changes uint64
	// unknownAt is when an end of an unknown job among them was processed; zero if there is none. They are not covered
	// before the jobs have been read after that.
	unknownAt time.Time
}

// processedEnds are the ends up to a sequence number that one boot of a worker has listed.
type processedEnds struct {
	sequence int64
	boot     job.BootID
}

// batch is a commit in flight.
type batch struct {
	id          uint64
	transaction job.Transaction
	jobs        []*jobState
	phases      []job.Phase
	// processedEnds holds for each worker the highest sequence number of an end that may be acknowledged once the
	// batch is committed.
	processedEnds map[*worker]processedEnds
	registry      []job.RegisteredWorker
	removedJobs   []*jobState
	// confirmation is set if something waits for the batch because it proves that no other leader was elected before.
	confirmation bool
	// sentAt is zero while the batch waits to be sent again. firstSentAt is when it was sent first.
	sentAt, firstSentAt time.Time
}

func (d *Dispatcher) markDirty(j *jobState) {
	if !j.dirty {
		d.commits.changes++
		j.dirty, j.changedAt = true, d.commits.changes
		d.commits.dirtyJobs = append(d.commits.dirtyJobs, j)
	}
}

// recordUncovered records that ends of a worker were processed.
func (d *Dispatcher) recordUncovered(w *worker) {
	d.commits.uncoveredEnds = append(d.commits.uncoveredEnds, uncoveredEnds{
		worker: w, ends: processedEnds{w.lastProcessedEnd, w.boot}, changes: d.commits.changes, unknownAt: d.commits.unknownAt,
	})
	d.commits.unknownAt = time.Time{}
}

// takeDirtyJobs removes up to limit jobs from dirtyJobs and returns them: first those that have reached a final phase, for
// which callers wait, then those that were changed first.
func (c *committer) takeDirtyJobs(limit int) []*jobState {
	if len(c.dirtyJobs) <= limit {
		taken := c.dirtyJobs
		c.dirtyJobs = nil
		return taken
	}
	isTaken := make(map[*jobState]bool, limit)
	taken := make([]*jobState, 0, limit)
	for _, final := range []bool{true, false} {
		for _, j := range c.dirtyJobs {
			if j.phase.Final() == final && len(taken) < limit {
				isTaken[j] = true
				taken = append(taken, j)
			}
		}
	}
	c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(j *jobState) bool { return isTaken[j] })
	return taken
}

// takeCoveredEnds removes the ends from uncoveredEnds that are covered once the batches up to now are committed, and
// returns the highest one of each worker.
func (c *committer) takeCoveredEnds() map[*worker]processedEnds {
	covered := make(map[*worker]processedEnds)
	for len(c.uncoveredEnds) > 0 {
		e := c.uncoveredEnds[0]
		if !e.unknownAt.IsZero() || len(c.dirtyJobs) > 0 && c.dirtyJobs[0].changedAt <= e.changes {
			break
		}
		covered[e.worker] = e.ends
		c.uncoveredEnds = c.uncoveredEnds[1:]
	}
	return covered
}

// commit sends the next batch, or sends the last one again if its outcome is unknown.
func (d *Dispatcher) commit(now time.Time) {
	c := &d.commits
	if now.Before(c.nextAt) || (c.inFlight != nil && !c.inFlight.sentAt.IsZero()) {
		return
	}
	if c.inFlight == nil {
		b := d.nextBatch(now)
		if b == nil {
			return
		}
		c.inFlight = b
	}
	d.sendBatch(now, c.inFlight)
}

func (d *Dispatcher) sendBatch(now time.Time, b *batch) {
	c := &d.commits
	b.sentAt = now
	if b.firstSentAt.IsZero() {
		b.firstSentAt = now
	}
	c.nextAt = now.Add(commitInterval)
	if len(c.dirtyJobs) > 0 {
		c.nextAt = now.Add(fullCommitInterval)
	}
	d.emit(Commit{ID: b.id, Transaction: b.transaction})
}

// nextBatch collects what has to be written, and returns nil if there is nothing.
func (d *Dispatcher) nextBatch(now time.Time) *batch {
	c := &d.commits
	b := &batch{}
	if len(c.dirtyJobs) > 0 || d.registry.dirty {
		b.removedJobs = d.takeExpiredJobs(now)
	}
	b.jobs = c.takeDirtyJobs(maxCommitJobs - 2*len(b.removedJobs))
	d.trackLeftOver(now, b.jobs)
	b.processedEnds = c.takeCoveredEnds()
	if len(b.jobs) == 0 && !d.registry.dirty && !c.confirmationNeeded {
		// Ends that changed nothing durable need no commit.
		d.acknowledgeEnds(b)
		return nil
	}
	c.nextID++
	b.id = c.nextID
	b.confirmation, c.confirmationNeeded = c.confirmationNeeded, false
	b.transaction = d.buildTransaction(now, b)
	if slopes := d.interference.slopesToStore(now); slopes != nil {
		b.transaction.Puts = append(b.transaction.Puts, job.Put{Key: job.KeyInterference, Value: slopes})
	}
	return b
}

// commitRecord returns the commit record to write with a commit.
func (d *Dispatcher) commitRecord(now time.Time, commit uint64, resigned bool) *job.CommitRecord {
	r := &job.CommitRecord{
		Incarnation: d.settings.Incarnation, Commit: commit, Resigned: resigned,
		PredecessorGrace: max(0, d.recovery.predecessorsStoppedAt.Sub(now)), GraceKnown: true,
	}
	known, majority := d.recovery.earlier.left(now)
	d.settings.LeaseBounds(r, known, majority)
	return r
}

func (d *Dispatcher) buildTransaction(now time.Time, b *batch) job.Transaction {
	d.recovery.earlier.registryChanged = d.recovery.earlier.registryChanged || d.registry.dirty
	tx := job.Transaction{
		Expect: []job.Expectation{{Key: job.KeyCommit, Revision: d.commits.recordRevision}},
		Puts:   []job.Put{{Key: job.KeyCommit, Value: d.commitRecord(now, b.id, false)}},
	}
	if d.registry.dirty {
		tx.Puts = append(tx.Puts, job.Put{Key: job.KeyRegistry, Value: d.storedRegistry(b)})
	}
	for _, j := range b.jobs {
		j.dirty = false
		b.phases = append(b.phases, j.phase)
		tx.Puts = append(tx.Puts, job.Put{Key: job.ProgressKey(j.ID), Value: j.progress()})
	}
	for _, j := range b.removedJobs {
		tx.Delete = append(tx.Delete, job.Key(j.ID), job.ProgressKey(j.ID))
	}
	return tx
}

// takeExpiredJobs removes from endedJobs, and returns, jobs whose final phase has been kept for StatusRetention.
func (d *Dispatcher) takeExpiredJobs(now time.Time) []*jobState {
	var found []*jobState
	for len(d.endedJobs) > 0 && len(found) < maxRemovedJobs &&
		now.Sub(d.endedJobs[0].endedAt) > d.settings.StatusRetention {
		found = append(found, d.endedJobs[0])
		d.endedJobs = d.endedJobs[1:]
	}
	return found
}

// HandleCommit handles the response to a commit. applied is true if the transaction took effect; if it did not,
// current is the commit record in the store.
func (d *Dispatcher) HandleCommit(
	now time.Time, id uint64, revision model.Revision, applied bool, current job.Record, err error,
) {
	c := &d.commits
	if c.inFlight == nil || c.inFlight.id != id || c.inFlight.sentAt.IsZero() {
		return
	}
	if err != nil {
		d.retryCommit(now, err)
		return
	}
	if !applied {
		record, ok := current.Value.(*job.CommitRecord)
		if !ok || record.Incarnation != d.settings.Incarnation || record.Commit != id {
			d.emit(Deposed{Reason: "another leader has committed"})
			return
		}
		// An earlier copy of this commit took effect and its answer was lost.
		revision = current.Revision
	}
	b := c.inFlight
	c.recordRevision, c.backoff, c.confirmedAt, c.writtenAfter = revision, 0, b.sentAt, b.firstSentAt
	c.inFlight = nil
	if applied {
		// The revision of an earlier copy may be from before this one was sent.
		c.writtenAfter = b.sentAt
		d.recovery.settle(b.sentAt, revision)
	}
	d.applyBatch(now, b)
	if b.confirmation {
		d.checkWorkers(now)
	}
}

// confirmedAfter reports whether no other leader was elected before a time that has passed, as a commit proves that was
// sent after it. If that is not proved yet, such a commit is requested; checkWorkers is called once it has taken effect.
func (d *Dispatcher) confirmedAfter(t time.Time) bool {
	if d.commits.confirmedAt.After(t) {
		return true
	}
	d.RequestConfirmation()
	return false
}

// RequestConfirmation requests a commit that shows whether another leader was elected meanwhile, even if there is nothing to
// write.
func (d *Dispatcher) RequestConfirmation() { d.commits.confirmationNeeded = true }

func (d *Dispatcher) retryCommit(now time.Time, err error) {
	c := &d.commits
	c.inFlight.sentAt = time.Time{}
	if c.backoff == 0 {
		d.logEvent(notice.CommitDelayed, Attr{Key: "commit", Value: c.inFlight.id},
			Attr{Key: "verdict", Value: verdict.Of(err).String()}, Attr{Key: "error", Value: err.Error()})
	}
	c.backoff = min(max(2*c.backoff, commitBackoffMin), commitBackoffMax)
	c.nextAt = now.Add(c.backoff)
}

func (d *Dispatcher) applyBatch(now time.Time, b *batch) {
	d.acknowledgeEnds(b)
	for i, j := range b.jobs {
		if !j.dirty && j.crashUncommitted {
			j.crashUncommitted, d.passNeeded = false, true
		}
		if b.phases[i].Final() {
			j.committedPhase, j.endedAt = b.phases[i], now
			// Only the phase is needed from now on. Runs that are being stopped keep their tasks.
			d.closeOccurrences(j)
			j.Steps, j.Payload = nil, ""
			d.endedJobs = append(d.endedJobs, j)
			if j.cancelPending {
				j.cancelPending = false
				d.emit(CancelCommitted{Job: j.ID})
			}
		}
	}
	for _, j := range b.removedJobs {
		delete(d.jobs, j.ID)
	}
	if b.registry != nil {
		d.registered = make(map[model.WorkerID]bool, len(b.registry))
		for _, entry := range b.registry {
			d.registered[entry.ID] = true
			if w := d.workers[entry.ID]; w != nil {
				w.storedOpen, w.storedBoot = !entry.NoMoreStarts, entry.Boot
				d.updateOpen(w)
			}
		}
		d.passNeeded = true
	}
}

// acknowledgeEnds lets the next holds acknowledge the ends whose progress is committed.
func (d *Dispatcher) acknowledgeEnds(b *batch) {
	if len(b.processedEnds) > 0 {
		d.recheckHolds()
	}
	for w, ends := range b.processedEnds {
		if !w.dead && ends.boot == w.boot {
			w.lastCommittedEnd = max(w.lastCommittedEnd, ends.sequence)
			w.uncommittedEnds = slices.DeleteFunc(w.uncommittedEnds, func(e job.EndedTask) bool {
				return e.Sequence <= w.lastCommittedEnd
			})
		}
	}
}

// Resign returns the transaction that gives up the leadership, or false while a commit is in flight, which is sent again if its
// outcome is unknown. Nothing may be sent to workers afterwards.
func (d *Dispatcher) Resign(now time.Time) (job.Transaction, bool) {
	if b := d.commits.inFlight; b != nil {
		if b.sentAt.IsZero() && !now.Before(d.commits.nextAt) {
			d.sendBatch(now, b)
		}
		return job.Transaction{}, false
	}
	return job.Transaction{
		Expect: []job.Expectation{{Key: job.KeyCommit, Revision: d.commits.recordRevision}},
		Puts:   []job.Put{{Key: job.KeyCommit, Value: d.commitRecord(now, 0, true)}},
		Delete: []string{job.KeyLeader},
	}, true
}
