package jobs

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/protocol/jobrecord"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// countingStore counts the transactions that reach it.
type countingStore struct {
	Store
	transactions int
}

func (s *countingStore) Commit(context.Context, Transaction) (TransactionResult, error) {
	s.transactions++
	return TransactionResult{Applied: true, Revision: 7}, nil
}

// Guards against a record that can't be stored and is reported like a store that does not respond, which is tried again.
func TestCommitNamesTheRecordThatCannotBeStored(t *testing.T) {
	store := &countingStore{}
	e := &Executor{Store: store, Metrics: NewMetrics()}
	progress := func(checkpoint string) *job.Progress {
		return &job.Progress{Job: "a", Tasks: map[job.TaskKey]job.TaskProgress{{}: {Checkpoint: job.Checkpoint(checkpoint)}}}
	}
	commit := func(checkpoint string) scheduler.Committed {
		result, ok := e.Perform(t.Context(), scheduler.Dispatch{Epoch: 3, Action: dispatch.Commit{ID: 5, Transaction: job.Transaction{
			Puts: []job.Put{
				{Key: job.KeyCommit, Value: &job.CommitRecord{Commit: 5}},
				{Key: job.ProgressKey("a"), Value: progress(checkpoint)},
			},
		}}})
		assert.Assert(t, ok)
		return result.(scheduler.Committed)
	}
	refused := commit(strings.Repeat("x", jobrecord.MaxBytes))
	assert.Equal(t, refused.UnstorableKey, job.ProgressKey("a"))
	assert.ErrorIs(t, refused.Err, jobrecord.ErrTooLarge)
	assert.Equal(t, verdict.Of(refused.Err), verdict.NotRun)
	assert.Equal(t, store.transactions, 0)
	applied := commit("short")
	assert.Assert(t, applied.Applied && applied.UnstorableKey == "")
	assert.Equal(t, store.transactions, 1)
}
