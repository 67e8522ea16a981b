// Package jobs connects the scheduler core to the outside: it executes the core's actions through the interfaces that
// the platform implements (Store, Workers, Advisor, Directory), serves callers' job requests and calls the leader.
//
// Guarantees: all control state is in the core, which runs in a single actor; the goroutines of this package hold none.
// A request is reported as Refused only if it had no effect and will have none.
package jobs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// ErrCompacted means that the store has compacted the revisions from which a watch was to continue.
const ErrCompacted = errors.ConstError("the requested revision has been compacted")

// ErrTooManyChanges means that the changes since a revision are too large for one response.
const ErrTooManyChanges = errors.ConstError("the changes are too large for one response")

// MustList reports whether a watch failed because the store can't return the changes, so that the items have to be listed.
func MustList(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooManyChanges)
}

// Item is a key-value pair of the store.
type Item struct {
	Key string
	// Value is nil when the key was deleted or does not exist.
	Value    []byte
	Revision model.Revision
	Deleted  bool
}

// Put is a key-value pair to write. A Lease other than 0 deletes the key when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease model.LeaseID
}

// Transaction is applied atomically, if all of Expect holds, or not at all.
type Transaction struct {
	Expect []job.Expectation
	Puts   []Put
	Delete []string
}

// TransactionResult is the result of a transaction, applied or not.
type TransactionResult struct {
	Applied  bool
	Revision model.Revision
	// CurrentItems holds the present items of the expected keys if the transaction was not applied.
	CurrentItems []Item
}

// Store is the platform's key-value store. An error carries verdict.NotRun only if the call certainly had no effect and
// will have none.
type Store interface {
	// Get returns the item of a key. Its revision is 0 if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key has a prefix, and the revision of the store before the first of them was read.
	List(ctx context.Context, prefix string) ([]Item, model.Revision, error)
	// Watch waits up to wait for changes after a revision to keys with a prefix, and returns the changed items and the
	// revision to continue from. It fails with ErrCompacted if the store no longer has the changes since after, and with
	// ErrTooManyChanges if they don't fit into one response.
	Watch(ctx context.Context, prefix string, after model.Revision, wait time.Duration) ([]Item, model.Revision, error)
	// Commit applies a transaction if its expectations hold.
	Commit(ctx context.Context, tx Transaction) (TransactionResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (model.LeaseID, error)
	// KeepAlive reports whether the lease still exists.
	KeepAlive(ctx context.Context, lease model.LeaseID) (bool, error)
	// RevokeLease revokes a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease model.LeaseID) error
}

// Workers sends orders to workers.
type Workers interface {
	// Hold renews the lease of all runs on a worker, unless LeaseEnd is 0, and returns its inventory.
	Hold(ctx context.Context, h dispatch.Hold) (job.Inventory, job.OrderResponse)
	Start(ctx context.Context, s dispatch.Start) job.OrderResponse
	Stop(ctx context.Context, s dispatch.Stop) job.OrderResponse
	// Pace throttles a run to a percentage of its speed.
	Pace(ctx context.Context, p dispatch.Pace) job.OrderResponse
}

// Advisor is the client of the advice service, which decides which workers may run a step of a job.
type Advisor interface {
	// Advise returns a permit for each of the given workers that may run the step.
	Advise(ctx context.Context, q dispatch.RequestAdvice) (map[model.WorkerID]job.Permit, error)
}

// Directory reads the platform's list of workers and the operators' configuration.
type Directory interface {
	// Workers waits up to wait for changes of the platform's list of workers after a revision. With revision 0 it returns
	// the whole list at once. Invalid records are logged, and their workers count as removed.
	Workers(ctx context.Context, after model.Revision, wait time.Duration) (WorkersResult, error)
	// Configuration waits up to wait for a configuration newer than a revision. With revision 0 it returns the present
	// one at once.
	Configuration(ctx context.Context, after model.Revision, wait time.Duration) (ConfigurationResult, error)
}

// WorkersResult is the result of Directory.Workers.
type WorkersResult struct {
	// Changed are the workers whose records have changed, and Removed those without a valid record.
	Changed []job.Worker
	Removed []model.WorkerID
	// Complete means that Changed lists all workers.
	Complete bool
	// Revision is the one to pass to the next call.
	Revision model.Revision
}

// ConfigurationResult is the result of Directory.Configuration.
type ConfigurationResult struct {
	Configuration job.Configuration
	// Revision is the one to pass to the next call.
	Revision model.Revision
	// Changed is false if the wait ended without a newer configuration.
	Changed bool
	// Newest means that there was no newer version when the call was made. It is false if the store may have returned only
	// a part of the changes.
	Newest bool
	// Versions is the number of versions that the response held; all but the newest are superseded.
	Versions int
	// Bytes is the size of the response, and Transfer the time from its head to its end.
	Bytes    int
	Transfer time.Duration
}
