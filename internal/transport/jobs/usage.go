package jobs

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// processUsage is what the process has used since its start.
type processUsage struct {
	cpu time.Duration
	// collections counts the garbage collections.
	collections uint64
}

const collectionsMetric = "/gc/cycles/total:gc-cycles"

// readProcessUsage returns what the process has used. CPU time that can't be read counts as 0: it is only logged.
func readProcessUsage() processUsage {
	var u processUsage
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	sample := []metrics.Sample{{Name: collectionsMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindUint64 {
		u.collections = sample[0].Value.Uint64()
	}
	return u
}

// since returns the difference to an earlier reading.
func (u processUsage) since(earlier processUsage) processUsage {
	return processUsage{u.cpu - earlier.cpu, u.collections - earlier.collections}
}
