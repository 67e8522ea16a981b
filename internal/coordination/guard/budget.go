package guard

import "time"

const (
	// budgetPeriod and budgetPercent limit evictions to 2% of a shard's running batch tasks per 10 min.
	budgetPeriod  = 10 * time.Minute
	budgetPercent = 2
)

// Budget limits the guard's evictions in one shard. It is not safe for concurrent use.
type Budget struct {
	running int
	// evictions holds the times of the evictions in the current period, oldest first.
	evictions []time.Time
}

// SetRunning sets the number of running batch tasks that the limit is computed from.
func (b *Budget) SetRunning(tasks int) { b.running = tasks }

// Take reports whether one more eviction is within the budget, and if so counts it. A shard that runs any batch task
// may evict at least one per period; otherwise a small shard could never protect a service.
func (b *Budget) Take(now time.Time) bool {
	for len(b.evictions) > 0 && now.Sub(b.evictions[0]) >= budgetPeriod {
		b.evictions = b.evictions[1:]
	}
	limit := max(b.running*budgetPercent/100, min(b.running, 1))
	if len(b.evictions) >= limit {
		return false
	}
	b.evictions = append(b.evictions, now)
	return true
}
