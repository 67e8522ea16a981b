package model

import "time"

// OrderKind is the kind of a command to a worker.
type OrderKind uint8

const (
	// OrderFence raises the shard's epoch on the worker, which then refuses orders of earlier epochs, and asks for its
	// whole inventory.
	OrderFence OrderKind = iota + 1
	// OrderStart starts an attempt of a task.
	OrderStart
	// OrderRenew extends the lease of a running attempt.
	OrderRenew
	// OrderCheckpoint asks for a checkpoint.
	OrderCheckpoint
	// OrderThrottle limits the processor time of a task.
	OrderThrottle
	// OrderStop stops an attempt.
	OrderStop
	// OrderForget discards the result of an ended attempt after the journal has recorded it.
	OrderForget
)

// Order is one command to a worker.
type Order struct {
	Kind       OrderKind
	Task       TaskID
	Attempt    Attempt
	Resources  Resources
	Lease      time.Duration
	Checkpoint string
	// ThrottlePercent is the share of processor time that the task may use; 100 removes the throttle.
	ThrottlePercent uint32
	TaskKind        string
	Exclusive       bool
	// RunTime is the declared run time; 0 means that the task runs until stopped.
	RunTime time.Duration
}

// RunPhase is the phase of an attempt, as its worker reports it.
type RunPhase uint8

const (
	// RunRunning means that the attempt is in progress.
	RunRunning RunPhase = iota + 1
	// RunFinished means that the attempt succeeded.
	RunFinished
	// RunFailed means that the attempt failed.
	RunFailed
	// RunStopped means that an order or an expired lease ended the attempt.
	RunStopped
)

// RunStatus is a worker's report on one attempt.
type RunStatus struct {
	Task     TaskID
	Attempt  Attempt
	Phase    RunPhase
	Reserved Resources
	// Used was measured UsageAge ago.
	Used            Resources
	UsageAge        time.Duration
	Checkpoint      string
	ThrottlePercent uint32
	Message         string
	// LatencyP99 is the 99th percentile of a service instance's latency in the measured window; 0 means not measured.
	LatencyP99 time.Duration
	// ProgressPermille is the completed part of a batch task, in thousandths.
	ProgressPermille uint32
}

// RefusalReason says why a worker refused an order.
type RefusalReason string

// Reasons for which a worker refuses an order.
const (
	RefusedEpoch    RefusalReason = "epoch"
	RefusedAttempt  RefusalReason = "attempt"
	RefusedCapacity RefusalReason = "capacity"
	RefusedUnknown  RefusalReason = "unknown-task"
	RefusedFault    RefusalReason = "worker-fault"
)

// OrderResult is a worker's response to one order. An empty Refused means that it was accepted.
type OrderResult struct {
	Order   Order
	Refused RefusalReason
}

// WorkerReport is a worker's response to a batch of orders; Runs is its whole inventory.
type WorkerReport struct {
	Worker       WorkerID
	Incarnation  string
	HighestEpoch Epoch
	Capacity     Resources
	Results      []OrderResult
	Runs         []RunStatus
}

// VMRole is the role of a VM on the platform's list.
type VMRole string

// Roles of VMs.
const (
	RoleWorker   VMRole = "worker"
	RoleUpstream VMRole = "upstream"
	RoleEntry    VMRole = "entry"
)

// VM is a row of the platform's VM list.
type VM struct {
	ID         VMID
	Address    string
	DataCentre DataCentre
	Rack       string
	Role       VMRole
	Service    ServiceName
	// Leaving means that the VM is about to be stopped and must get no new work.
	Leaving  bool
	Capacity Resources
}

// VMList is one version of the platform's VM list; a higher Revision is newer.
type VMList struct {
	Revision uint64
	VMs      []VM
}
