package scheduler

import (
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// revisionInterval is the precision with which revisions are remembered, revisionHistoryTime for how long.
	revisionInterval    = 50 * time.Millisecond
	revisionHistoryTime = 20 * time.Second
	// revisionMaxAge is the age of the newest response of the store after which a follower reads the commit record. As the next
	// leader, it counts the leases of this one from the first response with the last commit on.
	revisionMaxAge = 600 * time.Millisecond
)

// revisionHistory remembers since when the store has been known to have reached its revisions. Responses of the store are
// seen after it has reached the revision that they name, and never before.
type revisionHistory struct {
	// seen is in the order of the times and of the revisions. began is when the newest one was entered.
	seen  []seenRevision
	began time.Time
	// observedAt is when the last response was observed. reading is set while the commit record is read for lack of one.
	observedAt time.Time
	reading    bool
}

type seenRevision struct {
	at       time.Time
	revision model.Revision
}

// observe records that the store has reached a revision.
func (h *revisionHistory) observe(now time.Time, revision model.Revision) {
	if revision > 0 {
		h.observedAt = now
	}
	last := len(h.seen) - 1
	switch {
	case last >= 0 && revision <= h.seen[last].revision || revision == 0:
	case last >= 0 && now.Sub(h.began) < revisionInterval:
		h.seen[last] = seenRevision{now, revision}
	default:
		h.began = now
		h.seen = slices.DeleteFunc(h.seen, func(s seenRevision) bool { return now.Sub(s.at) > revisionHistoryTime })
		h.seen = append(h.seen, seenRevision{now, revision})
	}
}

// observeRevision reads the commit record if the store has not been heard of for some time.
func (c *Core) observeRevision(now time.Time) {
	h := &c.revisions
	if c.leadership.stage != following || h.reading || c.storeHealth.unavailable || now.Sub(h.observedAt) < revisionMaxAge {
		return
	}
	h.reading = true
	c.emit(ReadCommitRecord{Term: c.leadership.term})
}

// firstSeen returns the earliest time at which the store is known to have reached a revision; now if none is remembered.
func (h *revisionHistory) firstSeen(now time.Time, revision model.Revision) time.Time {
	for _, s := range h.seen {
		if s.revision >= revision {
			return s.at
		}
	}
	return now
}
