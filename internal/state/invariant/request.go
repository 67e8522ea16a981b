package invariant

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// OneOwnResponse checks P4: a caller gets exactly one response, which belongs to its own request and is either complete
// or recognisably truncated.
func OneOwnResponse(h History) []Violation {
	c := checker{guarantee: "P4"}
	answered := make(map[string]bool)
	for i, ev := range h {
		e, ok := ev.(ResponseReceived)
		if !ok {
			continue
		}
		switch {
		case answered[e.Request]:
			c.add(i, "request %s was answered twice", e.Request)
		case e.ResponseTo != "" && e.ResponseTo != e.Request:
			c.add(i, "request %s got the response to request %s", e.Request, e.ResponseTo)
		case e.Truncated:
			c.add(i, "request %s got a truncated response that looked complete", e.Request)
		}
		answered[e.Request] = true
	}
	return c.violations
}

// NotRunNeverRuns checks P5: a request that was refused with verdict not-run runs neither before nor after the refusal.
func NotRunNeverRuns(h History) []Violation {
	c := checker{guarantee: "P5"}
	ran := make(map[string]bool)
	refused := make(map[string]bool)
	for i, ev := range h {
		switch e := ev.(type) {
		case RequestRan:
			ran[e.Request] = true
			if refused[e.Request] {
				c.add(i, "request %s ran after its caller got the verdict not-run", e.Request)
			}
		case RefusedNotRun:
			refused[e.Request] = true
			if ran[e.Request] {
				c.add(i, "the caller of request %s got the verdict not-run after the request ran", e.Request)
			}
		}
	}
	return c.violations
}

// AtMostOnce checks P6: a request that must not run twice runs at most once per idempotency key.
func AtMostOnce(h History) []Violation {
	c := checker{guarantee: "P6"}
	ran := make(map[string]string)
	for i, ev := range h {
		e, ok := ev.(RequestRan)
		if !ok || e.Key == "" {
			continue
		}
		if first, found := ran[e.Key]; found {
			c.add(i, "key %s ran for request %s and again for request %s", e.Key, first, e.Request)
			continue
		}
		ran[e.Key] = e.Request
	}
	return c.violations
}

// NoRequestsToLeavingInstance checks P7: an instance gets no new request later than LeavingGrace after it was marked as
// leaving.
func NoRequestsToLeavingInstance(h History) []Violation {
	c := checker{guarantee: "P7"}
	leaving := make(map[model.InstanceID]time.Time)
	for i, ev := range h {
		switch e := ev.(type) {
		case LeavingMarked:
			if _, found := leaving[e.Instance]; !found {
				leaving[e.Instance] = e.At
			}
		case RequestSent:
			since, found := leaving[e.Instance]
			if found && e.At.Sub(since) > LeavingGrace {
				c.add(i, "instance %s got request %s %v after it was marked as leaving", e.Instance, e.Request, e.At.Sub(since))
			}
		}
	}
	return c.violations
}

// DrainAbortsNoRequest checks P8: a graceful shutdown cuts off no request that the entry accepted.
func DrainAbortsNoRequest(h History) []Violation {
	c := checker{guarantee: "P8"}
	inFlight := make(map[model.EntryID]map[string]bool)
	for i, ev := range h {
		switch e := ev.(type) {
		case RequestAccepted:
			if inFlight[e.Entry] == nil {
				inFlight[e.Entry] = make(map[string]bool)
			}
			inFlight[e.Entry][e.Request] = true
		case RequestEnded:
			delete(inFlight[e.Entry], e.Request)
		case ShutdownDone:
			if n := len(inFlight[e.Entry]); n > 0 {
				c.add(i, "entry %s shut down with %d requests in flight", e.Entry, n)
			}
		case ShutdownCut:
			if e.Requests > 0 {
				c.add(i, "entry %s cut off %d requests", e.Entry, e.Requests)
			}
		}
	}
	return c.violations
}
