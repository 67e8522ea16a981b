package job

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Worker is what the platform's list says of a worker.
type Worker struct {
	ID         model.WorkerID
	Address    string
	Service    model.ServiceName
	DataCentre model.DataCentre
	Boot       Boot
	Draining   bool
	Capacity   model.Resources
	Labels     []string
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

// Checkpoint is an opaque saved state of a task; empty means none.
type Checkpoint string

// RunningTask is a run that a worker reports as present.
type RunningTask struct {
	Run
	Saved Checkpoint
	// Percent is the share of its speed at which the task works; 100 once a lasting task is at work.
	Percent int
	// Figure is the tail latency in milliseconds of a serving task, and thousandths of a core in use otherwise. It
	// describes about the last half second.
	Figure float64
}

// EndKind says how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	// EndOther is any end that is neither a success nor a fault of the task: stopped, lease lapsed, gang broken.
	EndOther EndKind = iota
	EndDone
	EndFailed
	// EndAlone means that a gang member waited for the others for too long.
	EndAlone
)

// EndedTask is a run that has ended and that the worker lists until it is acknowledged.
type EndedTask struct {
	Run
	// Sequence numbers the ends of one life of the worker.
	Sequence int64
	Kind     EndKind
	Saved    Checkpoint
}

// Inventory is a worker's answer to a hold.
type Inventory struct {
	Boot Boot
	// Clock is the time since some fixed point on the worker's steady clock.
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
}

// RefusalKind says why a worker did not carry out an order.
type RefusalKind uint8

// Kinds of refusals. Each proves that the worker did nothing.
const (
	RefusedNot RefusalKind = iota
	// RefusedEpoch means that a newer leader has fenced the worker.
	RefusedEpoch
	// RefusedOldRun means that a run with this or a higher number has been stopped or has ended there.
	RefusedOldRun
	// RefusedLate means that the lease of the order had ended on arrival.
	RefusedLate
	RefusedRoom
	// RefusedBoot means that another life of the worker answered.
	RefusedBoot
	// RefusedUnhealthy means that the worker takes no orders now.
	RefusedUnhealthy
	RefusedInvalid
	// RefusedPermit means that the order had no valid permit.
	RefusedPermit
)

// String returns the kind for logs.
func (r RefusalKind) String() string {
	return [...]string{"none", "epoch", "old-run", "late", "room", "boot", "unhealthy", "invalid", "permit"}[r]
}

// Answer is the outcome of an order to a worker.
type Answer struct {
	Refusal RefusalKind
	// Clock is the worker's steady clock, or 0 when the answer had none.
	Clock time.Duration
	// NoListener means that nothing listens at the worker's address.
	NoListener bool
	// Err is not nil when no answer came or the order was not sent; verdict.Of tells whether it may take effect.
	Err error
}

// String returns the kind for logs.
func (e EndKind) String() string {
	return [...]string{"other", "done", "failed", "alone"}[e]
}
