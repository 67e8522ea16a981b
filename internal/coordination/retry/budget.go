package retry

import "sync/atomic"

const (
	// requestsPerExtraAttempt is the number of requests that allow one retry or hedge, so that attempts stay at or
	// below 1.1 times the requests.
	requestsPerExtraAttempt = 10
	// maxSavedAttempts is the maximum number of extra attempts saved up for a burst.
	maxSavedAttempts = 100
)

// Budget limits the extra attempts, retries and hedges together, of one service or destination. It starts empty and
// grants no minimum: with few requests there are no retries. It is safe for concurrent use.
type Budget struct {
	// credit is the number of requests not yet spent on an extra attempt.
	credit atomic.Int64
}

// CountRequest adds a first attempt to the credit.
func (b *Budget) CountRequest() {
	for {
		old := b.credit.Load()
		if old >= maxSavedAttempts*requestsPerExtraAttempt || b.credit.CompareAndSwap(old, old+1) {
			return
		}
	}
}

// TryAcquire takes an extra attempt from the budget and reports whether one was left.
func (b *Budget) TryAcquire() bool {
	for {
		old := b.credit.Load()
		if old < requestsPerExtraAttempt {
			return false
		}
		if b.credit.CompareAndSwap(old, old-requestsPerExtraAttempt) {
			return true
		}
	}
}

// refund returns an extra attempt that was taken and not used.
func (b *Budget) refund() { b.credit.Add(requestsPerExtraAttempt) }

// TryAcquireBoth takes an extra attempt from both budgets or from neither.
func TryAcquireBoth(service, destination *Budget) bool {
	if !service.TryAcquire() {
		return false
	}
	if destination.TryAcquire() {
		return true
	}
	service.refund()
	return false
}
