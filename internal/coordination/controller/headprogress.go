package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/journal"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// dropInterval is the minimum time between two searches for jobs that have ended.
const dropInterval = 5 * time.Second

// headProgress tells up to which head a shard has accepted the work that the head delegates to it.
type headProgress struct {
	// settled is the revision of the newest head whose delegations, cancellations and resumptions are all in the
	// shard's committed state, and version its configuration version.
	settled  model.Revision
	version  model.Version
	nextDrop time.Time
}

// acceptFromHead proposes journal records for the delegations, cancellations and resumptions that the head holds for a
// shard, and once they are all committed, for the jobs to drop.
func (c *Controller) acceptFromHead(s *shard) {
	if c.layout().IsClaim(s.id) || c.head.revision == 0 || c.head.revision < s.tasks.HeadRevision() {
		// A head older than the one at which the shard last dropped jobs may still delegate those jobs.
		return
	}
	if s.headProgress.settled != c.head.revision {
		accepted := c.acceptDelegations(s)
		cancelled := c.acceptCancels(s)
		resumed := c.acceptResumes(s)
		if !accepted || !cancelled || !resumed {
			return
		}
		s.headProgress.settled, s.headProgress.version = c.head.revision, c.head.head.Config.Version
	}
	c.dropEndedJobs(s)
}

// acceptDelegations proposes records for the delegations that the shard has not accepted yet, as far as its snapshot
// has room. Like acceptCancels and acceptResumes, it returns true when there was nothing left to accept.
func (c *Controller) acceptDelegations(s *shard) bool {
	done := true
	for _, d := range c.head.head.Delegations {
		if d.Shard != s.id || s.tasks.HasAccepted(d) {
			continue
		}
		done = false
		if s.snapshotBytes()+journal.JobBytes(&d.Job) > maxBytesToAccept {
			continue
		}
		c.propose(s, model.TaskRecord{
			Kind: model.RecordAccepted, Task: model.TaskID{Job: d.Job.ID, Index: d.First}, Delegation: &d,
		})
	}
	return done
}

func (c *Controller) acceptCancels(s *shard) bool {
	done := true
	for _, id := range c.head.head.Cancels {
		if job := s.tasks.Job(id); job != nil && !job.Cancelled {
			done = false
			c.propose(s, model.TaskRecord{Kind: model.RecordCancelled, Task: model.TaskID{Job: id}})
		}
	}
	return done
}

func (c *Controller) acceptResumes(s *shard) bool {
	done := true
	version := c.head.head.Config.Version
	for _, id := range c.head.head.Resumes {
		if s.tasks.HasSetAside(id) && s.tasks.Job(id).Resumed < version {
			done = false
			c.propose(s, model.TaskRecord{Kind: model.RecordResumed, Task: model.TaskID{Job: id}, Version: version})
		}
	}
	return done
}

// dropEndedJobs proposes to drop the jobs that have ended and that the head no longer delegates.
func (c *Controller) dropEndedJobs(s *shard) {
	if c.now.Before(s.headProgress.nextDrop) {
		return
	}
	s.headProgress.nextDrop = c.now.Add(dropInterval)
	for _, id := range s.tasks.EndedJobs() {
		if c.head.head.Config.Version < id.Version() {
			// This head is older than the job. A newer head may still delegate the job, and it would then run again.
			continue
		}
		isDelegated := slices.ContainsFunc(c.head.head.Delegations, func(d model.Delegation) bool {
			return d.Job.ID == id && d.Shard == s.id
		})
		if !isDelegated {
			c.propose(s, model.TaskRecord{
				Kind: model.RecordDropped, Task: model.TaskID{Job: id}, HeadRevision: c.head.revision,
			})
		}
	}
}

// recordSettled records in the head which shards have accepted its cancellations and resumptions, and removes these
// once all shards have. It reports whether the head changed.
func (c *Controller) recordSettled(head *model.Head) bool {
	if len(head.Cancels)+len(head.Resumes) == 0 {
		return false
	}
	version := head.Config.Version
	settled := slices.DeleteFunc(slices.Clone(head.Settled), func(v model.ShardVersion) bool {
		return v.Version != version
	})
	countBefore := len(settled)
	shards := c.layout().WorkerShards()
	for id := model.ShardID(0); uint32(id) < shards; id++ {
		s := c.shards[id]
		mark := model.ShardVersion{Shard: id, Version: version}
		isSettled := s != nil && s.isActive() && s.headProgress.settled != 0 && s.headProgress.version == version
		if isSettled && !slices.Contains(settled, mark) {
			settled = append(settled, mark)
		}
	}
	if len(settled) == countBefore {
		return false
	}
	head.Settled = settled
	if uint32(len(settled)) == shards {
		head.Cancels, head.Resumes, head.Settled = nil, nil, nil
	}
	return true
}
