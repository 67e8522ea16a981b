package job

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Worker describes a worker as the platform's list does.
type Worker struct {
	ID         model.WorkerID
	Address    string
	Service    model.ServiceName
	DataCentre model.DataCentre
	Boot       BootID
	// Draining means that the worker must get no new tasks.
	Draining bool
	Capacity model.Resources
	Labels   []string
	// Rack is empty when the labels name none.
	Rack string
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Checkpoint is the saved state of a task, which is opaque here; empty means none.
type Checkpoint string

// RunningTask is a run that a worker reports as running.
type RunningTask struct {
	Run
	Checkpoint Checkpoint
	// Percent is the speed of the task relative to its full speed; a long-running task reports 100 once it is working.
	Percent int
	// Measurement is the tail latency in milliseconds for a serving task, and the processor use in thousandths of a core
	// for any other. It is measured over about the last half second.
	Measurement float64
}

// EndKind says how a run ended.
type EndKind uint8

// Ways in which a run ends.
const (
	// EndOther is any end that none of the other kinds describes: a stop order, an expired lease, or a gang that is no
	// longer complete.
	EndOther EndKind = iota
	EndDone
	EndFailed
	// EndGangTimeout means that a gang member waited too long for the other members. Like EndOther, it counts neither as a
	// success nor as a failure of the task.
	EndGangTimeout
)

// EndedTask is a run that has ended; the worker reports it until the end is acknowledged.
type EndedTask struct {
	Run
	// Sequence numbers the ends that one worker process reports.
	Sequence   int64
	Kind       EndKind
	Checkpoint Checkpoint
}

// Inventory is a worker's answer to a hold, the call that extends the lease of its runs and asks which they are.
type Inventory struct {
	Boot BootID
	// Clock is the reading of the worker's monotonic clock, whose zero point is arbitrary.
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
	// MoreEnds means that the worker may keep further ends, which follow those in Ended and are listed once these are
	// acknowledged. A run that is neither in Running nor in Ended may then have ended.
	MoreEnds bool
	// Unmeasured means that the percentages and measurements of Running are those of an earlier inventory.
	Unmeasured bool
}

// RefusalKind says why a worker did not carry out an order.
type RefusalKind uint8

// Reasons for a refusal. Each proves that the order had no effect.
const (
	RefusedNone RefusalKind = iota
	// RefusedEpoch means that a newer leader has fenced the worker.
	RefusedEpoch
	// RefusedOldRun means that a run with this or a higher number was stopped or has ended on the worker.
	RefusedOldRun
	// RefusedLeaseExpired means that the lease in the order had expired when the order arrived.
	RefusedLeaseExpired
	// RefusedCapacity means that the worker has too little free capacity.
	RefusedCapacity
	// RefusedBoot means that the worker has restarted since: its boot ID is not the one in the order.
	RefusedBoot
	// RefusedUnhealthy means that the worker accepts no orders at present.
	RefusedUnhealthy
	RefusedInvalid
	// RefusedPermit means that the order had no valid permit.
	RefusedPermit
)

// String returns the kind for logs.
func (r RefusalKind) String() string {
	return [...]string{"none", "epoch", "old-run", "late", "room", "boot", "unhealthy", "invalid", "permit"}[r]
}

// OrderResponse is the outcome of sending an order to a worker.
type OrderResponse struct {
	Refusal RefusalKind
	// Clock is the reading of the worker's monotonic clock, or 0 if the answer contained none.
	Clock time.Duration
	// NoListener means that the connection was refused.
	NoListener bool
	// FromRelay means that Err is what the entry that carried the order met with the worker, and not a failure between
	// that entry and the leader.
	FromRelay bool
	// Err is set if no answer arrived or the order was not sent; verdict.Of says whether the order may take effect.
	Err error
}

// String returns the kind for logs.
func (e EndKind) String() string {
	return [...]string{"other", "done", "failed", "alone"}[e]
}
