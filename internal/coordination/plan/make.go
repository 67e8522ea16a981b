package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/ownership"
	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// WorkerView is the state of a worker that a plan is made from.
type WorkerView struct {
	ID         model.WorkerID
	DataCentre model.DataCentre
	Capacity   model.Resources
	Reserved   model.Resources
	Tasks      int
}

// ClusterState is the state that a plan is made from.
type ClusterState struct {
	Head     model.Head
	Revision model.Revision
	Layout   ownership.Layout
	Workers  []WorkerView
}

// Make returns the plan for intents. It does not modify its arguments.
func Make(
	now time.Time, id model.PlanID, operator, digest string, intents []model.Intent, state ClusterState,
) model.Plan {
	p := model.Plan{
		ID: id, Operator: operator, CreatedAt: now, BaseVersion: state.Head.Config.Version, BaseRevision: state.Revision,
		Intents: intents, IntentDigest: digest, Status: model.PlanOpen,
	}
	p.Unmet = validate(intents, state)
	p.Blocked = len(p.Unmet) > 0
	p.Intents = slices.Clone(intents)
	for i := range p.Intents {
		planIntent(&p, &p.Intents[i], state)
	}
	return p
}

func planIntent(p *model.Plan, intent *model.Intent, state ClusterState) {
	switch intent.Kind {
	case model.IntentBatch:
		job := *intent.Job
		job.ID = model.NewJobID(intent.Name, p.BaseVersion+1)
		planJob(p, job, state)
	case model.IntentService:
		planService(p, intent, state)
	case model.IntentCancel:
		p.Steps = append(p.Steps, model.PlanStep{Kind: model.StepStop, Target: intent.Name, Detail: "cancel all tasks"})
	case model.IntentPauseWorker:
		p.Steps = append(p.Steps, model.PlanStep{
			Kind: model.StepMove, Target: intent.Name, Detail: "checkpoint and move its tasks",
		})
	default:
		p.Steps = append(p.Steps, model.PlanStep{
			Kind: model.StepConfigure, Target: intent.Name, Detail: string(intent.Kind),
		})
	}
}

// planService plans the configuration of a service and, if it had no instances so far, a job that runs them. It stores
// the job's id in the intent's copy of the service.
func planService(p *model.Plan, intent *model.Intent, state ClusterState) {
	service := *intent.Service
	intent.Service = &service
	p.Steps = append(p.Steps, model.PlanStep{Kind: model.StepConfigure, Target: intent.Name, Detail: string(intent.Kind)})
	previous, _ := state.Head.Config.Service(service.Name)
	service.Job = previous.Job
	if service.Instances == 0 || previous.Instances > 0 {
		return
	}
	service.Job = model.NewJobID(intent.Name, p.BaseVersion+1)
	planJob(p, model.Job{
		ID: service.Job, Team: service.Team, Class: model.ClassService, Kind: intent.Name, Service: service.Name,
		Tasks: service.Instances, Declared: service.Declared,
	}, state)
}

// planJob delegates a job to the shards, or records why the job can't run.
func planJob(p *model.Plan, job model.Job, state ClusterState) {
	if len(state.Workers) == 0 {
		p.Unmet = append(p.Unmet, model.Unmet{Subject: string(job.ID), Reason: "no worker is on the VM list"})
		return
	}
	team, _ := state.Head.Config.Team(job.Team)
	if reason, never := placement.UnrunnableReason(job, team, capacities(state.Workers)); never {
		p.Unmet = append(p.Unmet, model.Unmet{Subject: string(job.ID), Reason: reason + "; the job can never run"})
		return
	}
	shards := state.Layout.WorkerShards()
	if shards == 0 {
		p.Unmet = append(p.Unmet, model.Unmet{Subject: string(job.ID), Reason: "no shards are configured"})
		return
	}
	for _, d := range delegate(job, state) {
		p.Delegations = append(p.Delegations, d)
		p.Steps = append(p.Steps, model.PlanStep{
			Kind: model.StepStart, Target: string(job.ID),
			Detail: fmt.Sprintf("%d tasks in %s, shard %d", d.Count, state.Layout.DataCentre(d.Shard), d.Shard),
		})
	}
}

func capacities(workers []WorkerView) []model.Resources {
	all := make([]model.Resources, len(workers))
	for i, w := range workers {
		all[i] = w.Capacity
	}
	return all
}

// delegate divides a job's tasks over the shards in proportion to the number of tasks that fit their free capacity.
func delegate(job model.Job, state ClusterState) []model.Delegation {
	weights := make(map[model.ShardID]int64)
	var totalWeight int64
	for _, w := range state.Workers {
		shard, ok := state.Layout.ShardOfWorker(w.ID, w.DataCentre)
		if !ok || !job.Declared.FitsIn(w.Capacity) {
			continue
		}
		// Every worker that is large enough for a task counts at least 1, so that the job is delegated even if no
		// worker has free capacity.
		weight := 1 + tasksThatFit(job.Declared, w.Capacity.Sub(w.Reserved))
		weights[shard] += weight
		totalWeight += weight
	}
	return divideByWeight(job, weights, totalWeight, state.Layout.WorkerShards())
}

func tasksThatFit(need, free model.Resources) int64 {
	// The initial value is the result if need is zero.
	count := int64(1 << 20)
	if need.CPUMillis > 0 {
		count = min(count, free.CPUMillis/need.CPUMillis)
	}
	if need.MemoryBytes > 0 {
		count = min(count, free.MemoryBytes/need.MemoryBytes)
	}
	if need.Accelerators > 0 {
		count = min(count, free.Accelerators/need.Accelerators)
	}
	return max(count, 0)
}

// divideByWeight divides a job's tasks into one contiguous range per shard, in proportion to the shards' weights.
func divideByWeight(job model.Job, weights map[model.ShardID]int64, total int64, shards uint32) []model.Delegation {
	var delegations []model.Delegation
	var first uint32
	var cumulative int64
	for shard := model.ShardID(0); uint32(shard) < shards; shard++ {
		if weights[shard] == 0 {
			continue
		}
		cumulative += weights[shard]
		end := uint32(int64(job.Tasks) * cumulative / total)
		if end > first {
			delegations = append(delegations, model.Delegation{Job: job, First: first, Count: end - first, Shard: shard})
			first = end
		}
	}
	return delegations
}
