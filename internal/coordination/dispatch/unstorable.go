package dispatch

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// HandleUnstorable handles a commit that was not sent because the record of a key can't be stored, whatever the state of
// the store, for example because it is too large. All other changes are committed without it: a record that is tried again
// for ever would block them.
func (d *Dispatcher) HandleUnstorable(now time.Time, id uint64, key string, err error) {
	c := &d.commits
	if c.inFlight == nil || c.inFlight.id != id || c.inFlight.sentAt.IsZero() {
		return
	}
	b := c.inFlight
	outcome := d.simplify(b, key)
	d.logEvent(notice.RecordUnstorable, Attr{Key: "key", Value: key}, Attr{Key: "error", Value: err.Error()},
		Attr{Key: "outcome", Value: outcome})
	if outcome == "" {
		d.retryCommit(now, err)
		return
	}
	d.takeBack(b)
	c.inFlight, c.nextAt = nil, now
}

// simplify makes the record of a key smaller from the next batch on, and returns how, or "" if that is not possible.
func (d *Dispatcher) simplify(b *batch, key string) (outcome string) {
	switch key {
	case job.KeyInterference:
		d.interference.unstorable = true
		return "not-stored"
	case job.KeyRegistry:
		if d.registry.withoutRuns {
			return ""
		}
		d.registry.withoutRuns = true
		return "without-runs"
	}
	at := slices.IndexFunc(b.jobs, func(j *jobState) bool { return job.ProgressKey(j.ID) == key })
	if at < 0 || b.phases[at].Final() {
		return ""
	}
	j := b.jobs[at]
	if !j.omitCheckpoints {
		j.omitCheckpoints = true
		return "without-checkpoints"
	}
	if !j.phase.Final() {
		d.endJob(j, job.Failed)
	}
	return "job-failed"
}

// takeBack returns the contents of a batch that was not sent to what has to be committed.
func (d *Dispatcher) takeBack(b *batch) {
	for _, j := range b.jobs {
		d.markDirty(j)
	}
	d.registry.dirty = d.registry.dirty || b.registry != nil
	d.commits.confirmationNeeded = d.commits.confirmationNeeded || b.confirmation
	d.endedJobs = append(slices.Clone(b.removedJobs), d.endedJobs...)
	var ends []uncoveredEnds
	for _, w := range d.sortedWorkers {
		if e, ok := b.processedEnds[w]; ok {
			ends = append(ends, uncoveredEnds{worker: w, ends: e, changes: d.commits.changes})
		}
	}
	d.commits.uncoveredEnds = append(ends, d.commits.uncoveredEnds...)
}
