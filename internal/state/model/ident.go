// Package model defines the data types that all layers share: configuration, plans, jobs and tasks, workers, and the
// records and keys of the store. It contains simple arithmetic on them, but no decisions and no I/O.
package model

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// EntryID identifies an entry: the jujubearch process on a VM of role entry.
	EntryID string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Region names a region, a group of data centres with a fast network between them.
	Region string
	// VMID identifies a VM on the platform's VM list.
	VMID string
	// WorkerID identifies a worker; it equals the id of its VM.
	WorkerID string
	// InstanceID identifies one upstream instance of a service; it equals the id of its VM.
	InstanceID string
	// ServiceName names a latency-critical service.
	ServiceName string
	// TeamName names a team with a quota.
	TeamName string
	// JobID identifies a job; see NewJobID.
	JobID string
	// PlanID identifies a plan of configuration changes.
	PlanID string
	// ShardID identifies a shard of workers or of idempotency-key claims.
	ShardID uint32
	// Epoch is the fencing token of a shard's ownership; it only grows.
	Epoch uint64
	// Sequence numbers the entries of a shard's journal.
	Sequence uint64
	// Incarnation distinguishes successive processes that have the same EntryID.
	Incarnation uint64
	// Attempt numbers the runs of one task; it only grows.
	Attempt uint64
	// Version is the version of a configuration; it only grows.
	Version uint64
	// Revision is the store's revision of one key; 0 means that the key does not exist.
	Revision uint64
	// LeaseID names a lease of the store; 0 means none.
	LeaseID uint64
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID
	Index uint32
}

// String returns the id as "job/index".
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// NewJobID returns the id of a job: its name and the configuration version that creates it. At most one plan is
// accepted per version, so no two jobs have the same id, and no two shards hold the same task.
func NewJobID(name string, version Version) JobID {
	return JobID(fmt.Sprintf("%s@%d", name, version))
}

// Version returns the configuration version that created the job, or 0 if the id has none.
func (j JobID) Version() Version {
	_, text, _ := strings.Cut(string(j), "@")
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return Version(version)
}
