package plan

import (
	"fmt"
	"slices"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// validate returns the intents that conflict with the current configuration or with the one that would result.
func validate(intents []model.Intent, state ClusterState) []model.Unmet {
	next := model.Head{Config: cloneConfig(state.Head.Config)}
	for _, intent := range intents {
		applyIntent(&next, intent)
	}
	var unmet []model.Unmet
	for _, intent := range intents {
		if reason := unmetReason(intent, state, next.Config); reason != "" {
			unmet = append(unmet, model.Unmet{Subject: intentSubject(intent), Reason: reason})
		}
	}
	return append(unmet, routesWithoutService(next.Config)...)
}

func intentSubject(intent model.Intent) string {
	if intent.Name == "" {
		return string(intent.Kind)
	}
	return string(intent.Kind) + " " + intent.Name
}

// unmetReason returns why an intent can't be met, or an empty string if it can. next is the configuration that would
// result from all intents of the plan.
func unmetReason(intent model.Intent, state ClusterState, next model.Config) string {
	current := state.Head.Config
	switch intent.Kind {
	case model.IntentBatch:
		return teamUnmetReason(next, intent.Job.Team)
	case model.IntentService:
		return serviceUnmetReason(intent, current, next)
	case model.IntentRemoveService:
		return notFoundReason(hasService(current, model.ServiceName(intent.Name)), "service")
	case model.IntentRemoveRoute:
		return notFoundReason(
			slices.ContainsFunc(current.Routes, func(r model.Route) bool { return r.Name == intent.Name }), "route")
	case model.IntentRemoveTeam:
		_, found := current.Team(model.TeamName(intent.Name))
		return notFoundReason(found, "team")
	case model.IntentPauseWorker, model.IntentResumeWorker:
		known := slices.ContainsFunc(state.Workers, func(w WorkerView) bool { return string(w.ID) == intent.Name })
		return notFoundReason(known || slices.Contains(current.PausedWorkers, model.WorkerID(intent.Name)), "worker")
	case model.IntentSetShardNumbers:
		return shardsUnmetReason(intent, current)
	default:
		return ""
	}
}

func notFoundReason(found bool, kind string) string {
	if found {
		return ""
	}
	return "there is no such " + kind
}

func hasService(c model.Config, name model.ServiceName) bool {
	_, found := c.Service(name)
	return found
}

func teamUnmetReason(c model.Config, team model.TeamName) string {
	if _, found := c.Team(team); !found {
		return fmt.Sprintf("team %q is not configured", team)
	}
	return ""
}

// serviceUnmetReason rejects a change of the instances of a running service, because replacing all of them at once
// would interrupt it.
func serviceUnmetReason(intent model.Intent, current, next model.Config) string {
	service := *intent.Service
	previous, _ := current.Service(service.Name)
	changes := service.Instances != previous.Instances || service.Declared != previous.Declared
	switch {
	case previous.Instances > 0 && changes:
		return "the instances of a running service can't be changed; add a service under another name and move its routes"
	case service.Instances > 0 && service.Declared.IsZero():
		return "instances need cpu, memory or accelerators"
	}
	return teamUnmetReason(next, service.Team)
}

// shardsUnmetReason rejects a change of shard numbers that are already set, because two mappings of workers or keys to
// shards must never be in use at the same time.
func shardsUnmetReason(intent model.Intent, current model.Config) string {
	changesWorkers := current.ShardsPerDataCentre != 0 && current.ShardsPerDataCentre != intent.ShardsPerDataCentre
	changesClaims := current.ClaimShards != 0 && current.ClaimShards != intent.ClaimShards
	if changesWorkers || changesClaims {
		return "the shard numbers are fixed once they are set"
	}
	return ""
}

// routesWithoutService returns the routes whose service is not configured.
func routesWithoutService(next model.Config) []model.Unmet {
	var unmet []model.Unmet
	for _, route := range next.Routes {
		if !hasService(next, route.Service) {
			unmet = append(unmet, model.Unmet{
				Subject: "route " + route.Name, Reason: fmt.Sprintf("service %q is not configured", route.Service),
			})
		}
	}
	return unmet
}
