package jobs

import (
	"context"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// ReportingStore is a Store that reports to the scheduler core whether the store answered each call (except
// RevokeLease).
type ReportingStore struct {
	store      Store
	notifyCore func(scheduler.Event) bool
}

// report tells the core whether the store answered a call that was sent at a given time, and the revision that the answer
// names, or 0. A refusal is no answer.
func (w *ReportingStore) report(sent time.Time, revision model.Revision, err error) {
	answered := err == nil || MustList(err)
	// A report may be dropped if the mailbox is full: the next call reports again.
	w.notifyCore(scheduler.StoreCallDone{Sent: sent, Responded: answered, Revision: revision})
}

// Get implements Store.
func (w *ReportingStore) Get(ctx context.Context, key string) (Item, error) {
	sent := time.Now()
	item, err := w.store.Get(ctx, key)
	w.report(sent, item.Revision, err)
	return item, err
}

// List implements Store.
func (w *ReportingStore) List(ctx context.Context, prefix string) ([]Item, model.Revision, error) {
	sent := time.Now()
	items, revision, err := w.store.List(ctx, prefix)
	w.report(sent, revision, err)
	return items, revision, err
}

// Watch implements Store. Since a watch may wait a long time, a successful one is reported with the time of its end.
func (w *ReportingStore) Watch(
	ctx context.Context, prefix string, after model.Revision, wait time.Duration,
) ([]Item, model.Revision, error) {
	sent := time.Now()
	items, revision, err := w.store.Watch(ctx, prefix, after, wait)
	if err == nil {
		sent = time.Now()
	}
	w.report(sent, revision, err)
	return items, revision, err
}

// Commit implements Store.
func (w *ReportingStore) Commit(ctx context.Context, tx Transaction) (TransactionResult, error) {
	sent := time.Now()
	result, err := w.store.Commit(ctx, tx)
	w.report(sent, result.Revision, err)
	return result, err
}

// GrantLease implements Store.
func (w *ReportingStore) GrantLease(ctx context.Context, ttl time.Duration) (model.LeaseID, error) {
	sent := time.Now()
	lease, err := w.store.GrantLease(ctx, ttl)
	w.report(sent, 0, err)
	return lease, err
}

// KeepAlive implements Store.
func (w *ReportingStore) KeepAlive(ctx context.Context, lease model.LeaseID) (bool, error) {
	sent := time.Now()
	alive, err := w.store.KeepAlive(ctx, lease)
	w.report(sent, 0, err)
	return alive, err
}

// RevokeLease implements Store.
func (w *ReportingStore) RevokeLease(ctx context.Context, lease model.LeaseID) error {
	return w.store.RevokeLease(ctx, lease)
}
