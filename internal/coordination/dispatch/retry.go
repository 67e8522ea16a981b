package dispatch

import "time"

// listRetry adds a run to those that retryOrders looks at, after retryAt or probeAt was set.
func (d *Dispatcher) listRetry(r *run) {
	if !r.retryListed {
		r.retryListed = true
		d.toRetry = append(d.toRetry, r)
	}
}

// retryOrders sends unanswered orders again, and probes, when they are due.
func (d *Dispatcher) retryOrders(now time.Time) {
	listed := d.toRetry
	d.toRetry = nil
	for _, r := range listed {
		r.retryListed = false
		if r.worker.runs[r.Run] != r {
			continue
		}
		d.probe(now, r)
		if !r.retryAt.IsZero() && !now.Before(r.retryAt) {
			switch {
			case r.phase == stopping:
				d.sendStop(r)
			case r.worker.fenced && r.worker.bootStored() && r.worker.lastHoldAnswered && d.mayStart(now):
				d.sendStart(now, r)
			}
		}
		if !r.retryAt.IsZero() || !r.probeAt.IsZero() {
			d.listRetry(r)
		}
	}
}
