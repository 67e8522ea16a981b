// Package placement decides in which order pending tasks start and on which worker each of them runs. It learns
// resource usage, run times and the latency impact of neighbours from delayed worker reports.
//
// Guarantees: it never chooses a worker whose free capacity is below the task's reservation in any resource. It does no
// I/O: workers, tasks, reports, the time and the random source are arguments, and equal inputs give equal decisions.
package placement

import "github.com/jujubearch/jujubearch/internal/state/model"

// LatencyLimit is the largest predicted ratio of a service's latency to its target at which batch work may be placed on
// the same worker. The remaining 15% absorb the noise of single measurement windows.
const LatencyLimit = 0.85

// Request is a task that needs a worker.
type Request struct {
	Kind    string
	Class   model.TaskClass
	Service model.ServiceName
	Need    model.Resources
	// Urgent requests may use the capacity that is kept free for them.
	Urgent bool
}

// ServiceInstance is a service instance on a worker.
type ServiceInstance struct {
	Kind    string
	Service model.ServiceName
	Band    LoadBand
	// WithoutLatencyTarget is true for a service without a latency target. Such a service never keeps batch work off its
	// worker.
	WithoutLatencyTarget bool
}

// Worker is a worker that accepts tasks.
type Worker struct {
	ID         model.WorkerID
	DataCentre model.DataCentre
	Rack       string
	Capacity   model.Resources
	// Free is the capacity minus all reservations, including those that are not yet committed.
	Free     model.Resources
	Services []ServiceInstance
	// Mix counts all tasks on the worker by kind, including service instances.
	Mix Mix
	// UrgentReserve is the part of Free that only urgent tasks and service instances may use.
	UrgentReserve model.Resources
}
