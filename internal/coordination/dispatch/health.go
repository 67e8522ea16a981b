package dispatch

import "time"

const (
	// unhealthyAfter is the number of consecutive failures after which a worker counts as unhealthy. A few percent of
	// the runs fail because of the task itself, so three failures in a row are rare on a healthy worker.
	unhealthyAfter = 3
	// minHealthBackoff is how long an unhealthy worker gets no starts at first. The time doubles with each further
	// failure.
	minHealthBackoff = time.Second
	// maxHealthBackoff limits that time, so that a recovered worker is noticed within seconds.
	maxHealthBackoff = 4 * time.Second
)

// health counts the recent failures of a worker.
type health struct {
	consecutiveFailures int
	backoff             time.Duration
	avoidUntil          time.Time
}

// avoid keeps starts from the worker until a time.
func (h *health) avoid(until time.Time) {
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

func (h *health) succeeded() { h.consecutiveFailures, h.backoff = 0, 0 }

func (h *health) failed(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures < unhealthyAfter {
		return
	}
	h.backoff = min(max(2*h.backoff, minHealthBackoff), maxHealthBackoff)
	h.avoidUntil = now.Add(h.backoff)
}

// unhealthy reports whether the last runs on the worker have failed.
func (h *health) unhealthy() bool { return h.consecutiveFailures >= unhealthyAfter }
