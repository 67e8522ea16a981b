package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// movesPerSecond bounds the tasks of one shard that are moved off unreachable workers in any second, and thus the
	// starts after the loss of a rack or data centre.
	movesPerSecond = 50
	// moveBurst is how many of them may move at once. The bucket is refilled at movesPerSecond less moveBurst, so that
	// burst and refill together stay within movesPerSecond.
	moveBurst = 5
	// leaseExpiryDelay is the time after which every lease has ended: the renewal horizon plus 1% for clocks that run
	// at different rates.
	leaseExpiryDelay = RenewalHorizon + RenewalHorizon/100
)

// tokenBucket limits events to rate per second, at most burst of them at once.
type tokenBucket struct {
	rate, burst, available float64
	updatedAt              time.Time
}

func (t *tokenBucket) take(now time.Time) bool {
	t.available = min(t.burst, t.available+t.rate*now.Sub(t.updatedAt).Seconds())
	t.updatedAt = now
	if t.available < 1 {
		return false
	}
	t.available--
	return true
}

// releaseUnreachable releases the tasks of workers that don't respond, urgent tasks first. An exclusive task is
// released only when it is proved to have stopped.
func (c *Controller) releaseUnreachable(s *shard) {
	var moves []model.TaskRecord
	for _, id := range s.tasks.Workers() {
		w := s.workers[id]
		if w != nil && w.isReachable() {
			continue
		}
		for _, t := range s.tasks.OnWorker(id) {
			if s.tasks.IsProposed(t.ID) {
				continue
			}
			if reason := c.moveReason(s, w, &t); reason != "" {
				moves = append(moves, model.TaskRecord{
					Kind: model.RecordReleased, Task: t.ID, Attempt: t.Attempt, Worker: id, Message: reason,
				})
			}
		}
	}
	slices.SortStableFunc(moves, func(a, b model.TaskRecord) int {
		return cmp.Compare(s.movePriority(b.Task.Job), s.movePriority(a.Task.Job))
	})
	for _, r := range moves {
		if !s.moveLimiter.take(c.now) || !c.propose(s, r) {
			return
		}
		c.notify(notice.TaskMoved, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "worker", Value: r.Worker},
			Attr{Key: "reason", Value: r.Message})
	}
}

func (s *shard) movePriority(id model.JobID) int {
	job := s.tasks.Job(id).FirstDelegation.Job
	switch {
	case job.Urgent:
		return 2
	case job.Class == model.ClassService:
		return 1
	default:
		return 0
	}
}

// moveReason returns why a task may be released to start elsewhere, or "" if it must wait. The worker is nil if this
// owner has not seen it on the VM list.
func (c *Controller) moveReason(s *shard, w *worker, t *model.Task) string {
	isListed := w != nil && !w.unlisted
	vm := model.VMID(t.Worker)
	switch {
	case c.vmListLoaded && !isListed && c.vmList.Revision > t.ListRevision:
		// The list had the VM when the task was assigned, so its absence from a newer list means that it was removed.
		return "the VM is gone"
	case w != nil && !w.suspect && !w.unlisted:
		return ""
	case !s.tasks.Job(t.ID.Job).FirstDelegation.Job.Exclusive && c.now.Sub(s.sealedAt) > workerSuspectAfter:
		return "the worker does not respond"
	case slices.Contains(c.head.head.Config.DeclaredStopped, vm) && !s.disprovedStops[vm]:
		return "an operator declared the VM as stopped"
	case c.allLeasesEnded(s, w):
		return "every lease has ended"
	}
	return ""
}

// allLeasesEnded reports whether every lease that this or an earlier owner granted on the worker has ended.
func (c *Controller) allLeasesEnded(s *shard, w *worker) bool {
	since := s.sealedAt
	if w != nil && w.lastLeaseAt.After(since) {
		since = w.lastLeaseAt
	}
	return c.now.Sub(since) > leaseExpiryDelay
}

// recordDisprovedStop records that a VM has reported although an operator declared it as stopped. The declaration is
// then no proof that tasks on it have stopped.
func (s *shard) recordDisprovedStop(declared []model.VMID, vm model.VMID) {
	if slices.Contains(declared, vm) {
		s.disprovedStops[vm] = true
	}
}
