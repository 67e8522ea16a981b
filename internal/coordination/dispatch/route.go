package dispatch

import (
	"slices"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// routeTable holds the routes of the configuration in force, and those of queues that it does not have but whose jobs were
// accepted under another one.
type routeTable struct {
	known map[job.Queue]knownRoute
	// loaded is set once there is a configuration.
	loaded bool
}

// knownRoute is the newest known route of a queue, from the configuration with the given version.
type knownRoute struct {
	job.Route
	version model.Version
	// inForce means that the configuration in force has it.
	inForce bool
}

// of returns the route of a queue, or the zero value if none is known.
func (t *routeTable) of(q job.Queue) job.Route { return t.known[q].Route }

// SetRoutes applies the routes of a configuration. Removed routes are kept, because accepted jobs of their queues
// still run.
func (d *Dispatcher) SetRoutes(version model.Version, routes []job.Route) {
	for queue, r := range d.routes.known {
		r.inForce = false
		d.routes.known[queue] = r
	}
	reordered := false
	for _, r := range routes {
		reordered = reordered || d.routes.of(r.Queue).Priority != r.Priority
		d.routes.known[r.Queue] = knownRoute{r, version, true}
	}
	if !d.routes.loaded {
		d.routes.loaded = true
		for _, j := range d.openJobs {
			reordered = d.restoreRoute(&j.Job) || reordered
		}
	}
	if d.catchUpWithRoutes() || reordered {
		d.sortJobs()
	}
	d.fleetChanged()
}

// restoreRoute makes the route that is stored with a job that of its queue, unless the queue is configured or a newer
// route of it is known, and reports whether it did so. Before there is a configuration it does nothing, since the queue may
// be configured otherwise by now.
func (d *Dispatcher) restoreRoute(j *job.Job) bool {
	if j.Route == nil || !d.routes.loaded {
		return false
	}
	known, ok := d.routes.known[j.Queue]
	if ok && (known.inForce || known.version >= j.Route.Version) {
		return false
	}
	d.routes.known[j.Queue] = knownRoute{Route: j.Route.Route, version: j.Route.Version}
	d.logEvent(notice.RouteRestored, Attr{Key: "queue", Value: j.Queue}, Attr{Key: "job", Value: j.ID},
		Attr{Key: "service", Value: j.Route.Service}, Attr{Key: "config_version", Value: j.Route.Version})
	return true
}

// catchUpWithRoutes applies the routes to jobs that were added, and may have failed, before that of their queue was known.
// It reports whether due times change.
func (d *Dispatcher) catchUpWithRoutes() (reordered bool) {
	for _, j := range slices.Clone(d.openJobs) {
		if _, known := d.routes.known[j.Queue]; j.routed || !known {
			continue
		}
		j.routed, reordered = true, true
		j.due = d.dueTime(&j.Job, j.acceptedAt)
		d.failExhausted(j)
	}
	return reordered
}

// failExhausted ends a job if one of its tasks has failed as often as the route allows.
func (d *Dispatcher) failExhausted(j *jobState) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for t := range s.touchedTasks() {
				if !j.phase.Final() && d.isExhausted(t) {
					d.endJob(j, job.Failed)
				}
			}
		}
	}
}

// isExhausted reports whether a task has failed as often as the route allows.
func (d *Dispatcher) isExhausted(t *task) bool {
	attempts := d.routes.of(t.owner.Queue).Attempts
	return !t.done && attempts > 0 && len(t.failedRuns) >= attempts
}

// sortJobs restores the order of the jobs after a change of priorities.
func (d *Dispatcher) sortJobs() {
	slices.SortStableFunc(d.openJobs, d.compareJobs)
	slices.SortStableFunc(d.shortJobs, d.compareJobs)
}
