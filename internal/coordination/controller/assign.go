package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// holdTime bounds how long capacity is held for a task after evictions for it have begun. A worker that has not
// confirmed the stops by then is not expected to.
const holdTime = 10 * time.Second

// hold reserves capacity on a worker for an urgent task or a service instance while evictions free it.
type hold struct {
	worker model.WorkerID
	need   model.Resources
	until  time.Time
}

// assignPending runs one scheduling round: it assigns the pending tasks for which a worker has room, and runs the
// guards when they are due. A task that finds no worker does not block other jobs.
func (c *Controller) assignPending(s *shard) {
	sched := c.schedulingOf(s)
	sched.expireHolds(c.now, s)
	isGuardDue := !c.now.Before(sched.nextGuard)
	if !isGuardDue && !c.hasPending(s) {
		return
	}
	r := c.newRound(s, sched)
	if isGuardDue {
		sched.nextGuard = c.now.Add(guardInterval)
		c.runGuards(s, sched, r)
	}
	if len(r.groups) == 0 || len(r.workers) == 0 {
		return
	}
	c.assignProbes(s, sched, r)
	fleet := placement.NewFleet(c.now, c.head.head.Config.Weights, sched.slowdown, r.workers)
	queue := placement.NewQueue(c.now, r.totalCapacity, c.teams(s, sched, r), r.groups)
	for g, t, ok := queue.Next(); ok; g, t, ok = queue.Next() {
		if s.tasks.IsProposed(t.ID) || !c.assignOne(s, sched, r, fleet, g, t) {
			queue.SkipGroup()
			continue
		}
		queue.MarkPlaced()
	}
}

func (c *Controller) hasPending(s *shard) bool {
	found := false
	s.tasks.ForEachPending(c.now, func(*task.Job, model.Task) task.IterationControl {
		found = true
		return task.Stop
	})
	return found
}

// assignOne assigns one task. It returns false if the task stays pending.
func (c *Controller) assignOne(
	s *shard, sched *schedulingState, r *round, fleet *placement.Fleet, g *placement.Group, t model.Task,
) bool {
	request := placement.Request{
		Kind: g.Job.Kind, Class: g.Job.Class, Service: g.Job.Service, Need: g.Need, Urgent: g.Job.Urgent,
	}
	if h, held := sched.holds[t.ID]; held {
		return c.assignHeld(s, sched, r, h, t, request)
	}
	choice, found := fleet.Choose(c.now, request, c.random)
	if !found {
		c.handleUnplaced(s, sched, r, g, t)
		return false
	}
	if !c.assign(s, t, choice.Worker, g.Need) {
		return false
	}
	fleet.Reserve(c.now, choice.Worker, request)
	return true
}

// assign proposes an assignment to the journal. It returns false if the record was not queued.
func (c *Controller) assign(s *shard, t model.Task, id model.WorkerID, need model.Resources) bool {
	return c.propose(s, model.TaskRecord{
		Kind: model.RecordAssigned, Task: t.ID, Attempt: t.Attempt + 1, Worker: id, Resources: need,
		Checkpoint: t.Checkpoint,
	})
}

// assignHeld assigns a task to the worker on which capacity is held for it, once the evicted tasks have ended.
func (c *Controller) assignHeld(
	s *shard, sched *schedulingState, r *round, h hold, t model.Task, request placement.Request,
) bool {
	i := r.workerIndex(h.worker)
	if i < 0 {
		delete(sched.holds, t.ID)
		return false
	}
	// The worker's free capacity in the round excludes all held capacity, so the task's own hold is added back.
	if !request.Need.FitsIn(r.workers[i].Free.Add(h.need)) || !c.assign(s, t, h.worker, request.Need) {
		return false
	}
	delete(sched.holds, t.ID)
	return true
}

// handleUnplaced handles a task for which no worker has room. It evicts batch tasks for an urgent task or a service
// instance, and logs once if the job's tasks can never run.
func (c *Controller) handleUnplaced(s *shard, sched *schedulingState, r *round, g *placement.Group, t model.Task) {
	if g.Job.Urgent || g.Job.Class == model.ClassService {
		c.evictForTask(s, sched, r, g.Need, t)
	}
	if sched.reportedUnrunnable[g.Job.ID] {
		return
	}
	team, _ := c.head.head.Config.Team(g.Job.Team)
	if reason, never := placement.UnrunnableReason(*g.Job, team, r.capacities()); never {
		sched.reportedUnrunnable[g.Job.ID] = true
		c.notify(notice.JobNeverRuns, Attr{Key: "job", Value: g.Job.ID}, Attr{Key: "shard", Value: s.id},
			Attr{Key: "reason", Value: reason})
	}
}

// evictForTask evicts the batch tasks with the least unsaved work to make room for an urgent task or a service
// instance, for example after the loss of a rack. They stop at once and later resume from their newest checkpoints,
// because a new checkpoint could take longer than an urgent task may wait.
func (c *Controller) evictForTask(s *shard, sched *schedulingState, r *round, need model.Resources, t model.Task) {
	var candidates []placement.EvictionCandidate
	for i := range r.workers {
		w := &r.workers[i]
		candidate := placement.EvictionCandidate{Worker: w.ID, Capacity: w.Capacity, Free: w.Free}
		for _, p := range r.placed[w.ID] {
			obs := sched.runs[p.task.ID]
			if p.job.Class != model.ClassBatch || p.job.Urgent || obs == nil || obs.evicting || obs.attempt != p.task.Attempt {
				continue
			}
			candidate.Tasks = append(candidate.Tasks, placement.EvictableTask{
				Task: p.task.ID, Reserved: p.task.Reserved, Unsaved: obs.unsaved(c.now),
			})
		}
		candidates = append(candidates, candidate)
	}
	id, victims, ok := placement.CheapestEviction(need, candidates)
	if !ok {
		return
	}
	for _, v := range victims {
		c.evictTask(s, sched, v.Task, 0)
	}
	sched.holds[t.ID] = hold{worker: id, need: need, until: c.now.Add(holdTime)}
	if i := r.workerIndex(id); i >= 0 {
		r.workers[i].Free = r.workers[i].Free.Sub(need)
	}
}

func (sched *schedulingState) expireHolds(now time.Time, s *shard) {
	for id, h := range sched.holds {
		t, known := s.tasks.Task(id)
		if !known || t.Phase != model.PhasePending || now.After(h.until) {
			delete(sched.holds, id)
		}
	}
}

// assignProbes assigns a batch task that is neither exclusive nor urgent to each quarantined worker whose probe is due.
func (c *Controller) assignProbes(s *shard, sched *schedulingState, r *round) {
	for _, id := range s.sortedWorkers {
		w := s.workers[id]
		if !w.isUsable() || !sched.quarantine.ProbeDue(c.now, id) {
			continue
		}
		free := r.placementWorker(c, s, sched, w).Free
		for _, g := range r.groups {
			if g.Job.Exclusive || g.Job.Urgent || g.Job.Class != model.ClassBatch || !g.Need.FitsIn(free) {
				continue
			}
			if c.assign(s, g.Tasks[0], id, g.Need) {
				sched.quarantine.RecordProbe(c.now, id)
			}
			break
		}
	}
}

// cachedShare caches the shard's part of the installation's capacity, as of one revision of the VM list.
type cachedShare struct {
	listRevision uint64
	valid        bool
	share        placement.CapacityShare
}

// teams returns the teams with this shard's share of their quotas.
func (c *Controller) teams(s *shard, sched *schedulingState, r *round) []placement.Team {
	share := c.quotaShareOf(s, sched)
	teams := make([]placement.Team, 0, len(c.head.head.Config.Teams))
	for _, t := range c.head.head.Config.Teams {
		teams = append(teams, placement.Team{
			Name: t.Name, Weight: float64(t.Weight), Quota: share.QuotaPortion(t.Quota), Used: r.used[t.Name],
		})
	}
	return teams
}

func (c *Controller) quotaShareOf(s *shard, sched *schedulingState) placement.CapacityShare {
	if sched.quotaShare.valid && sched.quotaShare.listRevision == c.vmList.Revision {
		return sched.quotaShare.share
	}
	var share placement.CapacityShare
	layout := c.layout()
	for _, vm := range c.vmList.VMs {
		shardID, ok := layout.ShardOfWorker(model.WorkerID(vm.ID), vm.DataCentre)
		if vm.Role != model.RoleWorker || !ok {
			continue
		}
		share.All = share.All.Add(vm.Capacity)
		switch {
		case shardID < s.id:
			share.Before = share.Before.Add(vm.Capacity)
		case shardID == s.id:
			share.Own = share.Own.Add(vm.Capacity)
		}
	}
	sched.quotaShare = cachedShare{listRevision: c.vmList.Revision, valid: true, share: share}
	return share
}

// reservations returns what the tasks on each worker reserve, including queued assignments and stray runs.
func (s *shard) reservations() map[model.WorkerID]model.Resources {
	reserved := make(map[model.WorkerID]model.Resources)
	for id, w := range s.workers {
		reserved[id] = s.tasks.Reserved(id).Add(w.strayResources)
	}
	return reserved
}
