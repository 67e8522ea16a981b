package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/membership"
	"github.com/jujubearch/jujubearch/internal/coordination/plan"
	"github.com/jujubearch/jujubearch/internal/coordination/task"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/state/snapshot"
)

// Status is the status of an entry as operators see it.
type Status struct {
	Entry         model.EntryID
	DataCentre    model.DataCentre
	Region        model.Region
	Incarnation   model.Incarnation
	Ready         bool
	Draining      bool
	ConfigVersion model.Version
	ConfigSource  snapshot.Source
	StoreFailures int
	// Shards also lists the shards that the entry is acquiring or releasing.
	Shards []model.ShardID
	// SeatLeft is true when another entry of the data centre has taken this entry's slots over or none is there to do
	// so.
	SeatLeft bool
	// SeatHeld is true when this entry may use its whole share of the slots.
	SeatHeld bool
	Peers    []PeerStatus
	Workers  []WorkerStatus
	Tasks    []TaskStatus
	Config   model.Config
}

// PeerStatus is the part of a Status on one peer.
type PeerStatus struct {
	ID              model.EntryID
	DataCentre      model.DataCentre
	Status          string
	ConfigVersion   model.Version
	RoundTripMicros int64
}

// WorkerStatus is the part of a Status on one worker.
type WorkerStatus struct {
	ID         model.WorkerID
	DataCentre model.DataCentre
	Rack       string
	Shard      model.ShardID
	Usable     bool
	Capacity   model.Resources
	Reserved   model.Resources
	Runs       int
}

// TaskStatus is the part of a Status on one task.
type TaskStatus struct {
	Task  model.Task
	Kind  string
	Team  model.TeamName
	Shard model.ShardID
}

func (c *Controller) status() Status {
	st := Status{
		Entry: c.settings.Entry, DataCentre: c.settings.DataCentre, Region: c.settings.Region,
		Incarnation: c.settings.Incarnation, Ready: c.isReady(), Draining: c.draining,
		ConfigVersion: c.head.head.Config.Version, ConfigSource: c.head.source, StoreFailures: c.storeFailures,
		Shards: c.shardIDs(), SeatLeft: c.limits.HandOverDone(), SeatHeld: c.limits.SeatHeld(), Config: c.head.head.Config,
	}
	for _, p := range c.membership.Peers() {
		st.Peers = append(st.Peers, PeerStatus{
			ID: p.ID, DataCentre: p.DataCentre, Status: c.membership.Status(c.now, p.ID).String(),
			ConfigVersion: p.Last.ConfigVersion, RoundTripMicros: p.RoundTrip.Microseconds(),
		})
	}
	for _, id := range c.shardIDs() {
		if s := c.shards[id]; s.isActive() {
			st.Workers = append(st.Workers, s.workerStatus()...)
			st.Tasks = append(st.Tasks, s.taskStatus()...)
		}
	}
	return st
}

func (s *shard) workerStatus() []WorkerStatus {
	reserved := s.reservations()
	var rows []WorkerStatus
	for _, id := range s.sortedWorkers {
		w := s.workers[id]
		rows = append(rows, WorkerStatus{
			ID: id, DataCentre: w.vm.DataCentre, Rack: w.vm.Rack, Shard: s.id, Usable: w.isUsable(),
			Capacity: w.report.Capacity, Reserved: reserved[id], Runs: len(w.report.Runs),
		})
	}
	return rows
}

func (s *shard) taskStatus() []TaskStatus {
	var rows []TaskStatus
	s.tasks.ForEach(func(job *task.Job, t model.Task) {
		spec := job.FirstDelegation.Job
		rows = append(rows, TaskStatus{Task: t, Kind: spec.Kind, Team: spec.Team, Shard: s.id})
	})
	return rows
}

// readyTimeout is the time after which a new entry becomes ready even without a VM list or its share of the slots; it
// then forwards requests to other entries.
const readyTimeout = 5 * time.Second

// isReady reports whether the entry may receive requests. A new process that knows no instances yet would only refuse
// them.
func (c *Controller) isReady() bool {
	if c.head.revision == 0 || c.draining {
		return false
	}
	return (c.vmListLoaded && c.limits.SeatHeld()) || c.now.Sub(c.started) >= readyTimeout
}

func (c *Controller) handleVMsListed(e VMsListed) {
	if e.Err != nil {
		if !c.vmListFailing {
			c.vmListFailing = true
			c.notify(notice.VMListFailing, Attr{Key: "error", Value: e.Err.Error()})
		}
		return
	}
	if c.vmListFailing {
		c.vmListFailing = false
		c.notify(notice.VMListRecovered)
	}
	if c.vmListLoaded && e.List.Revision < c.vmList.Revision {
		return
	}
	c.vmList = e.List
	c.vmListLoaded = true
	c.vmListUpdates++
	c.updateListedEntries()
	c.updateLimits()
	c.snapshotStale = true
}

// Snapshot returns the immutable view of the control state for traffic goroutines. It is rebuilt only after a change.
func (c *Controller) Snapshot() *snapshot.Snapshot {
	if c.snapshotStale || c.lastSnapshot == nil {
		c.lastSnapshot = c.buildSnapshot()
		c.snapshotStale = false
	}
	return c.lastSnapshot
}

func (c *Controller) buildSnapshot() *snapshot.Snapshot {
	snap := &snapshot.Snapshot{
		Entry: c.settings.Entry, DataCentre: c.settings.DataCentre, Region: c.settings.Region,
		DataCentres: c.settings.DataCentres, Config: c.head.head.Config, HeadRevision: c.head.revision, Source: c.head.source,
		Ready: c.isReady(), Draining: c.draining, Instances: c.instances(),
		ClaimOwners: c.claimOwners(),
	}
	for _, p := range c.membership.Peers() {
		snap.Peers = append(snap.Peers, snapshot.Peer{
			ID: p.ID, Address: p.Address, DataCentre: p.DataCentre, Region: p.Region,
			Usable:          c.membership.Status(c.now, p.ID) == membership.StatusAlive,
			RoundTripMicros: p.RoundTrip.Microseconds(), FreeSlots: p.Last.FreeSlots,
		})
	}
	return snap
}

// instances returns the upstream instances of this data centre by service, with their limiters.
func (c *Controller) instances() map[model.ServiceName][]snapshot.Instance {
	instances := make(map[model.ServiceName][]snapshot.Instance)
	for _, vm := range c.vmList.VMs {
		if vm.Role != model.RoleUpstream || vm.DataCentre != c.settings.DataCentre {
			continue
		}
		if _, ok := c.head.head.Config.Service(vm.Service); !ok {
			continue
		}
		instances[vm.Service] = append(instances[vm.Service], snapshot.Instance{
			ID: model.InstanceID(vm.ID), Address: vm.Address, Leaving: vm.Leaving, Limiter: c.limiter(vm),
		})
	}
	return instances
}

func (c *Controller) limiter(vm model.VM) *snapshot.InstanceLimiter {
	id := model.InstanceID(vm.ID)
	if c.limiters[id] == nil {
		c.limiters[id] = snapshot.NewInstanceLimiter(0)
	}
	return c.limiters[id]
}

// freeSlots returns the number of free slots that this entry has on the open instances of each service.
func (c *Controller) freeSlots() map[model.ServiceName]uint32 {
	free := make(map[model.ServiceName]uint32)
	if c.lastSnapshot == nil {
		return free
	}
	for name, instances := range c.lastSnapshot.Instances {
		for _, i := range instances {
			if room := i.Limiter.Limit() - i.Limiter.InUse(); room > 0 && !i.Limiter.IsClosed() {
				free[name] += uint32(room)
			}
		}
	}
	return free
}

func (c *Controller) clusterState() plan.ClusterState {
	state := plan.ClusterState{Head: c.head.head, Revision: c.head.revision, Layout: c.layout()}
	for _, vm := range c.vmList.VMs {
		if vm.Role != model.RoleWorker || vm.Leaving {
			continue
		}
		state.Workers = append(state.Workers, plan.WorkerView{
			ID: model.WorkerID(vm.ID), DataCentre: vm.DataCentre, Capacity: vm.Capacity,
		})
	}
	return state
}
