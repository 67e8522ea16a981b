package placement_test

import (
	"fmt"
	"slices"

	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// assign places pending tasks. All policies place them in the same order.
func (h *harness) assign() {
	queue := placement.NewQueue(h.now(),
		model.Resources{CPUMillis: 32_000 * fleetWorkers, MemoryBytes: 125 * gigabyte * fleetWorkers}, nil, h.groups())
	byTask := make(map[model.TaskID]*simulatedTask)
	for _, sim := range h.tasks {
		byTask[sim.task.ID] = sim
	}
	workers := h.workers()
	fleet := placement.NewFleet(h.now(), model.Weights{}, h.slowdown, workers)
	for g, t, ok := queue.Next(); ok; g, t, ok = queue.Next() {
		r := placement.Request{Kind: g.Job.Kind, Class: g.Job.Class, Service: g.Job.Service, Need: g.Need}
		id, found := h.choose(fleet, workers, r)
		if !found {
			if g.Job.Class == model.ClassService && h.policy.serviceWorkers == 0 {
				h.evictForService(workers, g.Need)
			}
			queue.SkipGroup()
			continue
		}
		fleet.Reserve(h.now(), id, r)
		queue.MarkPlaced()
		sim := byTask[t.ID]
		sim.worker = workerNumber(id)
		sim.startedAt, sim.checkpointedAt = h.elapsed, h.elapsed
		sim.task.Phase, sim.task.Reserved = model.PhaseRunning, g.Need
		sim.task.Attempt++
	}
}

// evictForService evicts batch tasks to free capacity for a service instance, which starts in a later round.
func (h *harness) evictForService(workers []placement.Worker, need model.Resources) {
	if h.elapsed < h.nextEvictionAt {
		return
	}
	tasksByWorker := h.tasksByWorker()
	var candidates []placement.EvictionCandidate
	for i := range workers {
		candidate := placement.EvictionCandidate{
			Worker: workers[i].ID, Capacity: workers[i].Capacity, Free: workers[i].Free,
		}
		for _, sim := range tasksByWorker[workerNumber(candidate.Worker)] {
			if sim.job.Class == model.ClassBatch && sim.stopAt == 0 {
				candidate.Tasks = append(candidate.Tasks, placement.EvictableTask{
					Task: sim.task.ID, Reserved: sim.task.Reserved, Unsaved: h.elapsed - sim.checkpointedAt,
				})
			}
		}
		candidates = append(candidates, candidate)
	}
	id, victims, ok := placement.CheapestEviction(need, candidates)
	if !ok {
		return
	}
	for _, sim := range tasksByWorker[workerNumber(id)] {
		if slices.ContainsFunc(victims, func(v placement.EvictableTask) bool { return v.Task == sim.task.ID }) {
			h.result.evictions++
			h.endAttempt(sim)
		}
	}
	h.nextEvictionAt = h.elapsed + tick
}

func (h *harness) groups() []*placement.Group {
	running := make(map[string]int)
	for _, sim := range h.tasks {
		if sim.worker >= 0 {
			running[sim.job.Kind]++
		}
	}
	var groups []*placement.Group
	var last *placement.Group
	for _, sim := range h.tasks {
		if sim.worker >= 0 {
			continue
		}
		if last == nil || last.Job != sim.job {
			last = &placement.Group{Job: sim.job, Need: sim.job.Declared, Remaining: sim.job.RunTime}
			if h.policy.learns {
				last.Need = h.estimates.Size(sim.job.Kind, sim.job.Declared).Reserve
				last.Remaining = h.estimates.RunTime(sim.job.Kind, sim.job.RunTime).RunTime
			}
			groups = append(groups, last)
		}
		if h.policy.learns && sim.job.Class == model.ClassBatch {
			if h.estimates.StartLimit(h.now(), sim.job.Kind, running[sim.job.Kind]) == 0 {
				continue
			}
			running[sim.job.Kind]++
		}
		last.Tasks = append(last.Tasks, sim.task)
	}
	return slices.DeleteFunc(groups, func(g *placement.Group) bool { return len(g.Tasks) == 0 })
}

func (h *harness) workers() []placement.Worker {
	var workers []placement.Worker
	capacity := model.Resources{CPUMillis: 32_000, MemoryBytes: 125 * gigabyte}
	for w, tasks := range h.tasksByWorker() {
		if h.scenario.rackDown(h.elapsed, w) {
			continue
		}
		worker := placement.Worker{
			ID: workerID(w), Rack: fmt.Sprint(w % racks), Capacity: capacity, Free: capacity, Mix: mixOf(tasks),
		}
		for _, sim := range tasks {
			worker.Free = worker.Free.Sub(sim.task.Reserved)
			if sim.job.Class == model.ClassService {
				instance := placement.ServiceInstance{Kind: serviceKind, Service: serviceKind, Band: placement.BandMiddle}
				if sim.measuredAt > 0 {
					instance.Band = sim.band
				}
				worker.Services = append(worker.Services, instance)
			}
		}
		workers = append(workers, worker)
	}
	return workers
}

// choose applies the policy. First fit places service instances like the other policies, so that only the placement of
// batch work is compared.
func (h *harness) choose(f *placement.Fleet, workers []placement.Worker, r placement.Request) (model.WorkerID, bool) {
	isService := r.Class == model.ClassService
	if h.policy.serviceWorkers > 0 || (h.policy.firstFit && !isService) {
		for i := range workers {
			forServices := workerNumber(workers[i].ID) < h.policy.serviceWorkers
			if r.Need.FitsIn(workers[i].Free) && (h.policy.serviceWorkers == 0 || forServices == isService) {
				return workers[i].ID, true
			}
		}
		return "", false
	}
	choice, ok := f.Choose(h.now(), r, h.random)
	return choice.Worker, ok
}
