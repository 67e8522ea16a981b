package jobs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// WatchedStore is a Store that reports to the scheduler core whether the store answered each call (except EndLease).
type WatchedStore struct {
	store      Store
	notifyCore func(scheduler.Event) bool
}

// report tells the core whether the store answered a call that was sent at a given time.
func (w *WatchedStore) report(sent time.Time, err error) {
	answered := err == nil || errors.Is(err, ErrCompacted)
	// A report may be dropped if the mailbox is full: the next call reports again.
	w.notifyCore(scheduler.StoreTried{Sent: sent, Answered: answered})
}

// Get implements Store.
func (w *WatchedStore) Get(ctx context.Context, key string) (Item, error) {
	sent := time.Now()
	item, err := w.store.Get(ctx, key)
	w.report(sent, err)
	return item, err
}

// List implements Store.
func (w *WatchedStore) List(ctx context.Context, prefix string) ([]Item, model.Revision, error) {
	sent := time.Now()
	items, revision, err := w.store.List(ctx, prefix)
	w.report(sent, err)
	return items, revision, err
}

// Watch implements Store. Since a watch may wait a long time, a successful one is reported with the time of its end.
func (w *WatchedStore) Watch(
	ctx context.Context, prefix string, after model.Revision, wait time.Duration,
) ([]Item, model.Revision, error) {
	sent := time.Now()
	items, revision, err := w.store.Watch(ctx, prefix, after, wait)
	if err == nil {
		sent = time.Now()
	}
	w.report(sent, err)
	return items, revision, err
}

// Commit implements Store.
func (w *WatchedStore) Commit(ctx context.Context, tx Transaction) (TransactionResult, error) {
	sent := time.Now()
	result, err := w.store.Commit(ctx, tx)
	w.report(sent, err)
	return result, err
}

// GrantLease implements Store.
func (w *WatchedStore) GrantLease(ctx context.Context, ttl time.Duration) (model.LeaseID, error) {
	sent := time.Now()
	lease, err := w.store.GrantLease(ctx, ttl)
	w.report(sent, err)
	return lease, err
}

// KeepAlive implements Store.
func (w *WatchedStore) KeepAlive(ctx context.Context, lease model.LeaseID) (bool, error) {
	sent := time.Now()
	alive, err := w.store.KeepAlive(ctx, lease)
	w.report(sent, err)
	return alive, err
}

// EndLease implements Store.
func (w *WatchedStore) EndLease(ctx context.Context, lease model.LeaseID) error {
	return w.store.EndLease(ctx, lease)
}
