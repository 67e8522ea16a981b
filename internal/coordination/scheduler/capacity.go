package scheduler

const (
	// workersPerCore and workersPerMbps are the numbers of workers whose orders and reports an entry can carry with a
	// core and with a megabit per second of its link, each with half of it to spare.
	workersPerCore = 400
	workersPerMbps = 17
)

// MaxWorkers returns the number of workers that an entry can send orders to. It is 0, which means any number, if neither
// the cores nor the bandwidth of its link, in megabits per second, are known.
func MaxWorkers(cores, linkMbps float64) int {
	limit := 0
	if cores > 0 {
		limit = max(1, int(cores*workersPerCore))
	}
	if linkMbps > 0 {
		byLink := max(1, int(linkMbps*workersPerMbps))
		if limit == 0 || byLink < limit {
			limit = byLink
		}
	}
	return limit
}
