// Package jobs is the traffic side of the job scheduler: it executes the control core's actions over the platform's
// ports, serves callers' job requests and talks to the other entries. Goroutines here hold no control state.
package jobs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// ErrCompacted means that the store has dropped the history that a watch asks for.
const ErrCompacted = errors.ConstError("the history is gone")

// Item is a key of the store with its value.
type Item struct {
	Key string
	// Value is nil when the key was deleted or does not exist.
	Value    []byte
	Revision model.Revision
	Deleted  bool
}

// Put is a key to write.
type Put struct {
	Key   string
	Value []byte
	Lease model.LeaseID
}

// Transaction is written all or nothing.
type Transaction struct {
	Expect []job.Expectation
	Puts   []Put
	Delete []string
}

// TransactionResult is the outcome of a transaction that the store has decided.
type TransactionResult struct {
	Applied  bool
	Revision model.Revision
	// Current holds the expected keys as they are, when the transaction was not applied.
	Current []Item
}

// Store is the platform's key-value store. An error carries verdict.NotRun when the call is proved to have had no
// effect, now and later.
type Store interface {
	// Get returns an item whose revision is 0 when the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items below a prefix, and the revision of the store before the first of them was read.
	List(ctx context.Context, prefix string) ([]Item, model.Revision, error)
	// Watch waits up to wait for changes below a prefix after a revision. It fails with ErrCompacted.
	Watch(ctx context.Context, prefix string, after model.Revision, wait time.Duration) ([]Item, model.Revision, error)
	Commit(ctx context.Context, tx Transaction) (TransactionResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (model.LeaseID, error)
	// KeepAlive reports whether the lease still exists.
	KeepAlive(ctx context.Context, lease model.LeaseID) (bool, error)
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, lease model.LeaseID) error
}

// Workers carries orders to workers.
type Workers interface {
	Hold(ctx context.Context, h dispatch.Hold) (job.Inventory, job.Answer)
	Start(ctx context.Context, s dispatch.Start) job.Answer
	Stop(ctx context.Context, s dispatch.Stop) job.Answer
	Pace(ctx context.Context, p dispatch.Pace) job.Answer
}

// Advisor asks the service that knows which workers may run a step.
type Advisor interface {
	// Advise returns the permits of those workers that may run the step.
	Advise(ctx context.Context, q dispatch.Advise) (map[model.WorkerID]job.Permit, error)
}

// Directory reads what the platform and the operators provide.
type Directory interface {
	// ListWorkers returns all workers that the platform lists. Unusable entries are left out and logged.
	ListWorkers(ctx context.Context) ([]job.Worker, error)
	// Configuration waits up to wait for a configuration newer than a revision; 0 returns the present one at once.
	Configuration(ctx context.Context, after model.Revision, wait time.Duration) (ConfigurationRead, error)
}

// ConfigurationRead is the outcome of Directory.Configuration.
type ConfigurationRead struct {
	Configuration job.Configuration
	// Revision is to be passed to the next call.
	Revision model.Revision
	// Changed is false when there is no newer configuration.
	Changed bool
}
