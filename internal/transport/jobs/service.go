package jobs

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobrecord"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

const (
	// refuseAfter is how long a submission that certainly was not stored is retried before the caller gets an error.
	// It is short because a caller can make use of a refusal only if it comes early.
	refuseAfter = 200 * time.Millisecond
	// retryDelay is the pause between attempts to serve one request.
	retryDelay = 40 * time.Millisecond
	// inspectTimeout limits a query of the leader for a job's phase.
	inspectTimeout = 350 * time.Millisecond
	// pendingTimeout limits a query of the leader for the number of pending jobs, which only the leader knows.
	pendingTimeout = time.Second
	// cancelTimeout limits a cancellation by the leader, which includes a commit to the store.
	cancelTimeout = time.Second
	// RetryAfter is the delay after which a refused caller should retry: outages of the store last seconds.
	RetryAfter = time.Second
)

// Outcome is the outcome of a request.
type Outcome uint8

// Possible outcomes of a request.
const (
	// Undecided means that the request may or may not have taken effect.
	Undecided Outcome = iota
	// Accepted means that the request was carried out.
	Accepted
	// Refused means that the request had no effect and will have none.
	Refused
	// Unknown means that the job does not exist.
	Unknown
	// Unstorable means that the request had no effect and never will, however often it is sent, because the job can't be
	// stored.
	Unstorable
	// Cancelled means that the job was cancelled before it was stored, and is not stored any more.
	Cancelled
)

// String returns the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"undecided", "accepted", "refused", "unknown", "unstorable", "cancelled"}[o]
}

// ErrStoreUnavailable means that the core considers the store unavailable.
const ErrStoreUnavailable = errors.ConstError("the store does not answer")

// Leader is the client of the entry that leads, at its address. Its methods correspond to those of ControlActor.
type Leader interface {
	Inspect(ctx context.Context, address string, id job.ID) (scheduler.Inspection, error)
	Pending(ctx context.Context, address string, queue job.Queue) (scheduler.PendingCount, error)
	Cancel(ctx context.Context, address string, id job.ID) (scheduler.CancelOutcome, error)
}

// Service serves callers' job requests at one entry. Submissions go straight to the store, all other requests to the
// leader first.
type Service struct {
	Actor         *ControlActor
	Store         Store
	Leader        Leader
	Logger        *slog.Logger
	Metrics       *Metrics
	pendingCounts pendingCache
}

// View returns the newest view that the scheduler core has published.
func (s *Service) View() *scheduler.View { return s.Actor.Snapshot() }

// Submit stores a job. Once an attempt may have taken effect, it retries until the outcome is known or ctx ends.
func (s *Service) Submit(ctx context.Context, j *job.Job) Outcome {
	start := time.Now()
	outcome, attempts, err := s.storeJob(ctx, j, start)
	s.Metrics.observeRequest("submit", outcome.String(), start)
	code := notice.JobAccepted
	switch outcome {
	case Refused, Unstorable, Cancelled:
		code = notice.JobRefused
	case Undecided:
		code = notice.JobUndecided
	case Accepted, Unknown:
	}
	attrs := []notice.Attr{
		{Key: "job", Value: j.ID},
		{Key: "queue", Value: j.Queue},
		{Key: "outcome", Value: outcome.String()},
		{Key: "config_version", Value: s.View().Configuration.Version},
		{Key: "attempts", Value: attempts},
		{Key: "took", Value: time.Since(start)},
	}
	if err != nil {
		attrs = append(attrs, notice.Attr{Key: "error", Value: err.Error()})
	}
	event.Log(s.Logger, code, attrs...)
	return outcome
}

// storeJob writes a job to the store. It also returns the number of attempts and the last error.
func (s *Service) storeJob(ctx context.Context, j *job.Job, start time.Time) (Outcome, int, error) {
	value, err := jobrecord.Encode(j)
	if err != nil {
		return Unstorable, 0, err
	}
	key := job.Key(j.ID)
	tx := Transaction{Expect: []job.Expectation{{Key: key}}, Puts: []Put{{Key: key, Value: value}}}
	mayHaveRun := false
	if s.View().StoreUnavailable {
		return Refused, 0, ErrStoreUnavailable
	}
	for attempts := 1; ; attempts++ {
		// If the transaction was not applied, the key exists: an earlier attempt has stored the job, or it was cancelled.
		result, err := s.commitOnce(ctx, tx)
		if err == nil {
			if result.holdsTombstone() {
				return Cancelled, attempts, nil
			}
			return Accepted, attempts, nil
		}
		mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
		if !mayHaveRun && time.Since(start) > refuseAfter {
			return Refused, attempts, err
		}
		if !sleep(ctx, retryDelay) {
			if mayHaveRun {
				return Undecided, attempts, err
			}
			return Refused, attempts, err
		}
	}
}

// holdsTombstone reports whether a transaction was not applied because the job that it expected not to exist was cancelled
// before it was stored.
func (r *TransactionResult) holdsTombstone() bool {
	return !r.Applied && slices.ContainsFunc(r.CurrentItems, func(item Item) bool {
		_, ok := decodeItem(item).Value.(*job.Tombstone)
		return ok
	})
}

// commitOnce makes one attempt to commit a transaction.
func (s *Service) commitOnce(ctx context.Context, tx Transaction) (TransactionResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.Store.Commit(ctx, tx)
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Inspect returns the phase of a job, from the leader or, if the leader can't be reached or doesn't know the job, from
// the store. The outcome is Accepted if the job exists, Unknown if it does not, and Refused if neither could be
// reached.
func (s *Service) Inspect(ctx context.Context, id job.ID) (job.Phase, Outcome) {
	start := time.Now()
	phase, outcome := s.inspect(ctx, id)
	s.Metrics.observeRequest("inspect", outcome.String(), start)
	return phase, outcome
}

func (s *Service) inspect(ctx context.Context, id job.ID) (job.Phase, Outcome) {
	if reply, ok := s.phaseFromLeader(ctx, id); ok && reply.Known {
		return reply.Phase, Accepted
	}
	for {
		phase, known, err := s.phaseFromStore(ctx, id)
		if err == nil && known {
			return phase, Accepted
		}
		if err == nil {
			return job.Queued, Unknown
		}
		if !sleep(ctx, retryDelay) {
			return job.Queued, Refused
		}
		if reply, ok := s.phaseFromLeader(ctx, id); ok && reply.Known {
			return reply.Phase, Accepted
		}
	}
}

// phaseFromLeader asks the leader for the phase of a job. It returns false if no entry that leads has replied.
func (s *Service) phaseFromLeader(ctx context.Context, id job.ID) (scheduler.Inspection, bool) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	view := s.View()
	var reply scheduler.Inspection
	var err error
	switch {
	case view.Leading:
		reply, err = s.Actor.Inspect(ctx, id)
	case view.LeaderAddress != "":
		reply, err = s.Leader.Inspect(ctx, view.LeaderAddress, id)
	}
	return reply, err == nil && reply.Leading
}

// phaseFromStore derives the phase of a job from its records in the store, and reports whether the job exists.
func (s *Service) phaseFromStore(ctx context.Context, id job.ID) (job.Phase, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	progressItem, err := s.Store.Get(ctx, job.ProgressKey(id))
	if err != nil {
		return job.Queued, false, err
	}
	record := decodeItem(progressItem)
	if p, ok := record.Value.(*job.Progress); ok {
		if p.Phase.Final() {
			return p.Phase, true, nil
		}
		return job.Active, true, nil
	}
	if record.Err != nil {
		return job.Queued, false, record.Err
	}
	jobItem, err := s.Store.Get(ctx, job.Key(id))
	if err != nil {
		return job.Queued, false, err
	}
	if _, ok := decodeItem(jobItem).Value.(*job.Tombstone); ok {
		return job.Queued, false, nil
	}
	return job.Queued, jobItem.Revision != 0, nil
}

// Cancel cancels a job. The outcome is Accepted if the cancellation is stored or the job had already ended, and Unknown if
// the job is not stored and no write of it that is still on its way can store it.
func (s *Service) Cancel(ctx context.Context, id job.ID) Outcome {
	start := time.Now()
	outcome, err := s.cancel(ctx, id)
	s.Metrics.observeRequest("cancel", outcome.String(), start)
	attrs := []notice.Attr{
		{Key: "job", Value: id}, {Key: "outcome", Value: outcome.String()}, {Key: "took", Value: time.Since(start)},
	}
	if err != nil {
		attrs = append(attrs, notice.Attr{Key: "error", Value: err.Error()})
	}
	event.Log(s.Logger, notice.CancelAnswered, attrs...)
	return outcome
}

// cancel also returns the last error if the outcome is Undecided.
func (s *Service) cancel(ctx context.Context, id job.ID) (Outcome, error) {
	for {
		reply, err := s.cancelAtLeader(ctx, id)
		if err == nil && !reply.NotLeader {
			if reply.Known {
				return Accepted, nil
			}
			// The leader may not have read the job yet.
			var stored bool
			if stored, err = s.storeTombstone(ctx, id); stored {
				return Unknown, nil
			}
		}
		if !sleep(ctx, retryDelay) {
			return Undecided, err
		}
	}
}

// storeTombstone stores the tombstone of a job, and reports whether the store holds it. It fails while the job is stored.
// A write of the job whose outcome is unknown may reach the store after the caller has cancelled the job; the tombstone
// keeps it from taking effect.
func (s *Service) storeTombstone(ctx context.Context, id job.ID) (bool, error) {
	value, err := jobrecord.Encode(&job.Tombstone{ID: id})
	if err != nil {
		return false, err
	}
	key := job.Key(id)
	result, err := s.commitOnce(ctx, Transaction{Expect: []job.Expectation{{Key: key}}, Puts: []Put{{Key: key, Value: value}}})
	return err == nil && (result.Applied || result.holdsTombstone()), err
}

// cancelAtLeader asks the leader to cancel a job. NotLeader is set in the result if no leader is known.
func (s *Service) cancelAtLeader(ctx context.Context, id job.ID) (scheduler.CancelOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	view := s.View()
	switch {
	case view.Leading:
		return s.Actor.Cancel(ctx, id)
	case view.LeaderAddress != "":
		return s.Leader.Cancel(ctx, view.LeaderAddress, id)
	default:
		return scheduler.CancelOutcome{NotLeader: true}, nil
	}
}

// Pending returns the number of jobs of a queue of which no task was started. While the leader can't be reached, it
// returns the leader's last count, up to an age of pendingMaxAge, or Refused if there is none.
func (s *Service) Pending(ctx context.Context, queue job.Queue) (int, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	view := s.View()
	var reply scheduler.PendingCount
	var err error
	switch {
	case view.Leading:
		reply, err = s.Actor.Pending(ctx, queue)
	case view.LeaderAddress != "":
		reply, err = s.Leader.Pending(ctx, view.LeaderAddress, queue)
	}
	if err == nil && reply.Leading {
		s.pendingCounts.store(queue, reply.Jobs)
		return reply.Jobs, Accepted
	}
	return s.pendingCounts.load(queue)
}
