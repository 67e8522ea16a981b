package placement

import "github.com/jujubearch/jujubearch/internal/state/model"

// CapacityShare is a shard's share of the capacity of an installation: the capacity of the shards with smaller ids, its
// own, and that of all shards. Each shard owner derives it from the VM list, so quotas need no messages between shards.
type CapacityShare struct {
	Before, Own, All model.Resources
}

// Portion returns the shard's portion of count. The portions of all shards of an installation add up to count.
func (p CapacityShare) Portion(count int64) int64 {
	if p.All.CPUMillis <= 0 {
		return 0
	}
	end := count * (p.Before.CPUMillis + p.Own.CPUMillis) / p.All.CPUMillis
	return end - count*p.Before.CPUMillis/p.All.CPUMillis
}

// QuotaPortion returns the shard's portion of a quota. Fields without a limit stay without one; all others are at least
// 1, since 0 means no limit.
func (p CapacityShare) QuotaPortion(quota model.Resources) model.Resources {
	share := func(limit int64) int64 {
		if limit == 0 {
			return 0
		}
		return max(p.Portion(limit), 1)
	}
	return model.Resources{
		CPUMillis: share(quota.CPUMillis), MemoryBytes: share(quota.MemoryBytes), Accelerators: share(quota.Accelerators),
	}
}
