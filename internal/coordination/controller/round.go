package controller

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// headroomDivisor sets the part of a shard's capacity that is kept free for urgent work: one fiftieth. All of it is
	// on one worker, since no task would fit into small pieces on many workers.
	headroomDivisor = 50
	// minWorkersForHeadroom is the smallest number of workers at which capacity is kept free. In a smaller shard one
	// fiftieth would be too small for a task; eviction makes room for urgent work there.
	minWorkersForHeadroom = 8
)

// round is the state of a shard that one scheduling round decides on.
type round struct {
	// workers may take tasks; paused and quarantined ones are left out.
	workers []placement.Worker
	// placed holds the tasks on each worker, including workers that are paused, quarantined or unusable.
	placed map[model.WorkerID][]placedTask
	// groups are the pending tasks of each job.
	groups []*placement.Group
	// used is what the placed tasks of each team reserve.
	used map[model.TeamName]model.Resources
	// totalCapacity is the capacity of the usable workers, including paused and quarantined ones.
	totalCapacity    model.Resources
	placedBatchTasks int
}

type placedTask struct {
	job  *model.Job
	task model.Task
}

// newRound returns the state of a shard. Queued assignments count as placed.
func (c *Controller) newRound(s *shard, sched *schedulingState) *round {
	r := &round{placed: make(map[model.WorkerID][]placedTask), used: make(map[model.TeamName]model.Resources)}
	for _, id := range s.tasks.Workers() {
		for _, t := range s.tasks.OnWorker(id) {
			r.addPlaced(&s.tasks.Job(t.ID.Job).FirstDelegation.Job, t)
		}
	}
	var group *placement.Group
	s.tasks.ForEachPending(c.now, func(job *task.Job, t model.Task) task.IterationControl {
		spec := &job.FirstDelegation.Job
		if group == nil || group.Job != spec {
			group = sched.newGroup(spec)
			r.groups = append(r.groups, group)
		}
		group.Tasks = append(group.Tasks, t)
		return task.Continue
	})
	for _, p := range s.tasks.Proposals() {
		if job := s.tasks.Job(p.Task.Job); p.Kind == model.RecordAssigned && job != nil {
			t := model.Task{ID: p.Task, Phase: model.PhaseAssigned, Attempt: p.Attempt, Worker: p.Worker, Reserved: p.Resources}
			r.addPlaced(&job.FirstDelegation.Job, t)
		}
	}
	r.addWorkers(c, s, sched)
	r.limitUnknownKinds(c.now, sched)
	r.estimateRemaining()
	return r
}

func (r *round) addPlaced(job *model.Job, t model.Task) {
	r.placed[t.Worker] = append(r.placed[t.Worker], placedTask{job, t})
	r.used[job.Team] = r.used[job.Team].Add(t.Reserved)
	if job.Class == model.ClassBatch {
		r.placedBatchTasks++
	}
}

// limitUnknownKinds limits how many batch tasks of a kind start before workers have reported how much such tasks use.
// Urgent tasks are not limited. Tasks that fit on no worker don't start and leave the limit to others of the kind.
func (r *round) limitUnknownKinds(now time.Time, sched *schedulingState) {
	running := make(map[string]int)
	for _, tasks := range r.placed {
		for _, p := range tasks {
			running[p.job.Kind]++
		}
	}
	for _, g := range r.groups {
		if g.Job.Class != model.ClassBatch || g.Job.Urgent || !r.fitsAnyWorker(g.Need) {
			continue
		}
		count := min(len(g.Tasks), sched.estimates.StartLimit(now, g.Job.Kind, running[g.Job.Kind]))
		g.Tasks = g.Tasks[:count]
		running[g.Job.Kind] += count
	}
	r.groups = slices.DeleteFunc(r.groups, func(g *placement.Group) bool { return len(g.Tasks) == 0 })
}

// fitsAnyWorker reports whether a task fits on one of the workers if nothing else runs there.
func (r *round) fitsAnyWorker(need model.Resources) bool {
	return slices.ContainsFunc(r.workers, func(w placement.Worker) bool { return need.FitsIn(w.Capacity) })
}

func (sched *schedulingState) newGroup(job *model.Job) *placement.Group {
	return &placement.Group{
		Job: job, Need: sched.estimates.Size(job.Kind, job.Declared).Reserve,
		Remaining: sched.estimates.RunTime(job.Kind, job.RunTime).RunTime,
	}
}

// estimateRemaining multiplies the run time of one task by the number of waves that a job's pending tasks need if as
// many run at once as now.
func (r *round) estimateRemaining() {
	running := make(map[model.JobID]int)
	for _, tasks := range r.placed {
		for _, p := range tasks {
			running[p.job.ID]++
		}
	}
	const maxWaves = 1000
	for _, g := range r.groups {
		if g.Job.FinishBy.IsZero() {
			continue
		}
		waves := 1 + len(g.Tasks)/max(running[g.Job.ID], 1)
		g.Remaining *= time.Duration(min(waves, maxWaves))
	}
}

func (r *round) addWorkers(c *Controller, s *shard, sched *schedulingState) {
	for _, id := range s.sortedWorkers {
		w := s.workers[id]
		if !w.isUsable() {
			continue
		}
		r.totalCapacity = r.totalCapacity.Add(w.report.Capacity)
		if sched.quarantine.IsQuarantined(id) || slices.Contains(c.head.head.Config.PausedWorkers, id) {
			continue
		}
		r.workers = append(r.workers, r.placementWorker(c, s, sched, w))
	}
	for _, h := range sched.holds {
		if i := r.workerIndex(h.worker); i >= 0 {
			r.workers[i].Free = r.workers[i].Free.Sub(h.need)
		}
	}
	r.reserveHeadroom()
}

func (r *round) placementWorker(c *Controller, s *shard, sched *schedulingState, w *worker) placement.Worker {
	candidate := placement.Worker{
		ID: w.id(), DataCentre: w.vm.DataCentre, Rack: w.vm.Rack, Capacity: w.report.Capacity,
		Free: w.report.Capacity.Sub(s.tasks.Reserved(w.id())).Sub(w.strayResources), Mix: r.mix(sched, w.id()),
	}
	for _, p := range r.placed[w.id()] {
		if p.job.Class == model.ClassService {
			instance := placement.ServiceInstance{Kind: p.job.Kind, Service: p.job.Service, Band: placement.BandMiddle}
			instance.WithoutLatencyTarget = c.latencyTarget(p.job) <= 0
			if obs := sched.runs[p.task.ID]; obs != nil && !obs.measuredAt.IsZero() {
				instance.Band = obs.band
			}
			candidate.Services = append(candidate.Services, instance)
		}
	}
	return candidate
}

// mix returns the number of tasks on a worker by kind; a throttled task counts as the share of processor time left to
// it.
func (r *round) mix(sched *schedulingState, id model.WorkerID) placement.Mix {
	var mix placement.Mix
	for _, p := range r.placed[id] {
		weight := 1.0
		if obs := sched.runs[p.task.ID]; obs != nil && obs.attempt == p.task.Attempt {
			weight = float64(obs.throttle) / 100
		}
		mix = mix.Add(p.job.Kind, weight)
	}
	return mix
}

func (r *round) workerIndex(id model.WorkerID) int {
	return slices.IndexFunc(r.workers, func(w placement.Worker) bool { return w.ID == id })
}

// reserveHeadroom reserves capacity for urgent work on the worker with the fewest service instances. It reserves at
// most half of that worker's processors and memory.
func (r *round) reserveHeadroom() {
	if len(r.workers) < minWorkersForHeadroom {
		return
	}
	best := 0
	for i := range r.workers {
		if len(r.workers[i].Services) < len(r.workers[best].Services) {
			best = i
		}
	}
	headroom := model.Resources{
		CPUMillis: r.totalCapacity.CPUMillis / headroomDivisor, MemoryBytes: r.totalCapacity.MemoryBytes / headroomDivisor,
	}
	capacity := r.workers[best].Capacity
	headroom.CPUMillis = min(headroom.CPUMillis, capacity.CPUMillis/2)
	headroom.MemoryBytes = min(headroom.MemoryBytes, capacity.MemoryBytes/2)
	r.workers[best].UrgentReserve = headroom
}

func (r *round) capacities() []model.Resources {
	capacities := make([]model.Resources, len(r.workers))
	for i := range r.workers {
		capacities[i] = r.workers[i].Capacity
	}
	return capacities
}
