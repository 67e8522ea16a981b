package model

import "time"

// Service is the configuration of a latency-critical service.
type Service struct {
	Name ServiceName
	Team TeamName
	// LatencyTarget is the response time that Percentile percent of the requests must meet.
	LatencyTarget time.Duration
	Percentile    float64
	// Instances is the number of instances that jujubearch starts as tasks; 0 if the platform runs them.
	Instances uint32
	// Job is the job whose tasks are the instances; empty if the platform runs them.
	Job JobID
	// Declared is the declared size of one instance.
	Declared Resources
	// Slots is the number of requests that one upstream instance may run concurrently.
	Slots uint32
	// Connections is the number of connections that one upstream instance accepts.
	Connections uint32
}

// Route maps callers' requests to a service.
type Route struct {
	Name string
	// Host must equal the request's host; empty matches every host.
	Host string
	// PathPrefix matches whole path segments.
	PathPrefix string
	Service    ServiceName
	// Timeout applies when the caller sends no Request-Timeout.
	Timeout time.Duration
	// RequireKey refuses requests without an Idempotency-Key.
	RequireKey bool
	// Idempotent declares that requests may be retried whatever their method.
	Idempotent bool
	// Urgent requests are served before others of the same service.
	Urgent bool
}

// Team is the configuration of a team.
type Team struct {
	Name TeamName
	// Quota limits the total resources that the team's tasks reserve; a zero field means no limit.
	Quota Resources
	// Weight is the team's share relative to the other teams; at least 1.
	Weight uint32
}

// Weights sets how much each objective counts in placement decisions.
type Weights struct {
	Latency    float64
	Throughput float64
	Evictions  float64
}

// Config is the whole configuration of an installation. Slices are sorted by name.
type Config struct {
	Version  Version
	Services []Service
	Routes   []Route
	Teams    []Team
	Weights  Weights
	// PausedWorkers get no new tasks, and their tasks are evicted.
	PausedWorkers []WorkerID
	// DeclaredStopped lists the VMs that an operator declared as stopped.
	DeclaredStopped []VMID
	// ShardsPerDataCentre is the number of worker shards of each data centre. It never changes once it is set: two
	// mappings of workers to shards must not be in use together.
	ShardsPerDataCentre uint32
	// ClaimShards is the number of shards of idempotency-key claims. It too never changes once it is set.
	ClaimShards uint32
}

// Service returns the named service and whether it exists.
func (c *Config) Service(name ServiceName) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Team returns the named team and whether it exists.
func (c *Config) Team(name TeamName) (Team, bool) {
	for _, t := range c.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
