package placement

import (
	"fmt"

	"github.com/jujubearch/jujubearch/internal/coordination/capacity"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// UnrunnableReason reports whether no worker can ever run a task of the job, because the task is larger than every
// worker or exceeds the quota of its team, and returns the reason. If capacities is empty, nothing is known about the
// workers, and only the quota is checked.
func UnrunnableReason(job model.Job, team model.Team, capacities []model.Resources) (string, bool) {
	if !job.Declared.FitsIn(effectiveQuota(job.Declared, team.Quota)) {
		return fmt.Sprintf("one task needs %s, more than the quota of team %s", formatResources(job.Declared), job.Team), true
	}
	if len(capacities) == 0 {
		return "", false
	}
	var largest model.Resources
	for _, c := range capacities {
		if job.Declared.FitsIn(c) {
			return "", false
		}
		largest = capacity.Largest(largest, c)
	}
	if job.Declared.FitsIn(largest) {
		return fmt.Sprintf("one task needs %s; no single worker has all of it", formatResources(job.Declared)), true
	}
	return fmt.Sprintf("one task needs %s and is larger than every worker (at most %s)",
		formatResources(job.Declared), formatResources(largest)), true
}

// effectiveQuota returns the quota with fields that have no limit set to the need.
func effectiveQuota(need, quota model.Resources) model.Resources {
	effective := quota
	if quota.CPUMillis == 0 {
		effective.CPUMillis = need.CPUMillis
	}
	if quota.MemoryBytes == 0 {
		effective.MemoryBytes = need.MemoryBytes
	}
	if quota.Accelerators == 0 {
		effective.Accelerators = need.Accelerators
	}
	return effective
}

func formatResources(r model.Resources) string {
	const megabyte = 1_000_000
	return fmt.Sprintf("%.1f cores, %d MB and %d accelerators", float64(r.CPUMillis)/1000, r.MemoryBytes/megabyte,
		r.Accelerators)
}
