package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/guard"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// maxDrainEvictions bounds the concurrent evictions from a paused worker, so that their checkpoints do not compete for
// its disk and network.
const maxDrainEvictions = 4

// guardInterval is the time between two runs of the guards; workers report no more often than that.
const guardInterval = time.Second

// evictionCheckpointTimeout bounds how long an eviction by the guard or from a paused worker waits for a new
// checkpoint.
const evictionCheckpointTimeout = 30 * time.Second

// runGuards quarantines workers that fail tasks, drains paused workers, and throttles or evicts batch tasks that slow
// services down.
func (c *Controller) runGuards(s *shard, sched *schedulingState, r *round) {
	sched.budget.SetRunning(r.placedBatchTasks)
	for _, id := range s.sortedWorkers {
		sched.history.Record(c.now, id, r.mix(sched, id))
	}
	sched.prune(s, r)
	for _, change := range sched.quarantine.Update(c.now) {
		c.notify(notice.WorkerQuarantined, Attr{Key: "worker", Value: change.Worker}, Attr{Key: "shard", Value: s.id})
	}
	for _, id := range s.sortedWorkers {
		if slices.Contains(c.head.head.Config.PausedWorkers, id) {
			c.drainWorker(s, sched, r.placed[id])
			continue
		}
		if action, ok := sched.guard.Step(c.now, c.guardView(sched, r, id)); ok {
			c.applyGuardAction(s, sched, action)
		}
	}
}

func (c *Controller) guardView(sched *schedulingState, r *round, id model.WorkerID) guard.WorkerView {
	view := guard.WorkerView{Worker: id, Mix: r.mix(sched, id)}
	for _, p := range r.placed[id] {
		obs := sched.runs[p.task.ID]
		if obs == nil || obs.attempt != p.task.Attempt || obs.ended || obs.evicting {
			continue
		}
		if p.job.Class == model.ClassService {
			view.Instances = append(view.Instances, guard.Instance{
				Kind: p.job.Kind, Band: obs.band, Ratio: obs.ratio, MeasuredAt: obs.measuredAt,
			})
			continue
		}
		view.Neighbours = append(view.Neighbours, guard.Neighbour{
			Task: p.task.ID, Kind: p.job.Kind, CPUPercent: obs.throttle, Unsaved: obs.unsaved(c.now),
			Urgent: p.job.Urgent,
		})
	}
	return view
}

func (c *Controller) applyGuardAction(s *shard, sched *schedulingState, a guard.Action) {
	switch a.Kind {
	case guard.Throttle, guard.Unthrottle:
		c.throttleTask(s, sched, a.Task, a.CPUPercent)
	case guard.Evict:
		c.evictTask(s, sched, a.Task, evictionCheckpointTimeout)
	}
	c.notify(notice.GuardActed, Attr{Key: "worker", Value: a.Worker}, Attr{Key: "task", Value: a.Task.String()},
		Attr{Key: "percent", Value: a.CPUPercent}, Attr{Key: "ratio", Value: a.Ratio})
}

// drainWorker evicts the tasks of a paused worker. Service instances are evicted last, because a replacement starts
// only after the instance has stopped.
func (c *Controller) drainWorker(s *shard, sched *schedulingState, placed []placedTask) {
	evicting, batch := 0, 0
	for _, p := range placed {
		if obs := sched.runs[p.task.ID]; obs != nil && obs.evicting {
			evicting++
		}
		if p.job.Class == model.ClassBatch {
			batch++
		}
	}
	for _, p := range placed {
		obs := sched.runs[p.task.ID]
		if evicting >= maxDrainEvictions || obs == nil || obs.evicting || obs.ended || obs.attempt != p.task.Attempt {
			continue
		}
		if p.job.Class == model.ClassService && batch > 0 {
			continue
		}
		c.evictTask(s, sched, p.task.ID, evictionCheckpointTimeout)
		evicting++
	}
}

func (c *Controller) throttleTask(s *shard, sched *schedulingState, id model.TaskID, percent uint32) {
	if obs := sched.runs[id]; obs != nil && c.Throttle(s.id, id, percent) {
		obs.throttle = percent
	}
}

// evictTask stops a task once it has a new checkpoint, or after wait without one.
func (c *Controller) evictTask(s *shard, sched *schedulingState, id model.TaskID, wait time.Duration) {
	if obs := sched.runs[id]; obs != nil && c.Evict(s.id, id, wait) {
		obs.evicting = true
	}
}

// prune drops the observations of attempts that are no longer placed.
func (sched *schedulingState) prune(s *shard, r *round) {
	placed := 0
	for _, tasks := range r.placed {
		placed += len(tasks)
	}
	// Pruning only above twice the number of placed tasks bounds the memory without visiting all runs in each round.
	if len(sched.runs) <= 2*placed+64 {
		return
	}
	for id, obs := range sched.runs {
		if t, known := s.tasks.Task(id); !known || t.Attempt != obs.attempt || !t.Phase.IsPlaced() {
			delete(sched.runs, id)
		}
	}
}
