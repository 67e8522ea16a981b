package invariant

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// process is one process of an entry.
type process struct {
	entry       model.EntryID
	incarnation model.Incarnation
}

// ConfigMonotonic checks P9: accepted versions strictly increase; a process applies only accepted versions and never
// returns to an older one; and once ConfigGrace has passed since a version was accepted, every running entry uses that
// version or a later one.
func ConfigMonotonic(h History) []Violation {
	c := checker{guarantee: "P9"}
	var newest model.Version
	acceptedAt := make(map[model.Version]time.Time)
	var accepted []model.Version
	applied := make(map[process]model.Version)
	for i, ev := range h {
		switch e := ev.(type) {
		case ConfigAccepted:
			if e.Version <= newest {
				c.add(i, "version %d was accepted after version %d", e.Version, newest)
			}
			newest = max(newest, e.Version)
			acceptedAt[e.Version] = e.At
			accepted = append(accepted, e.Version)
		case ConfigApplied:
			p := process{e.Entry, e.Incarnation}
			if _, found := acceptedAt[e.Version]; !found {
				c.add(i, "entry %s applied version %d, which was not accepted", e.Entry, e.Version)
			}
			if e.Version < applied[p] {
				c.add(i, "entry %s returned from version %d to %d", e.Entry, applied[p], e.Version)
			}
			applied[p] = e.Version
		case ConfigInForce:
			for _, v := range accepted {
				if v > e.Version && e.At.Sub(acceptedAt[v]) > ConfigGrace {
					c.add(i, "entry %s still used version %d %v after version %d was accepted", e.Entry, e.Version,
						e.At.Sub(acceptedAt[v]), v)
					break
				}
			}
		}
	}
	return c.violations
}
