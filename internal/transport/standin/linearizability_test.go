package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/protocol/platformpb"
)

// swapInput is one operation on the register; a read has write false.
type swapInput struct {
	write  bool
	expect uint64
	value  string
}

// swapOutput is its response; an unknown outcome may have taken effect or not.
type swapOutput struct {
	unknown  bool
	swapped  bool
	revision uint64
	value    string
}

type register struct {
	revision uint64
	value    string
}

// casModel is a register with compare-and-swap on its revision. The revision is the store's own, so the model accepts
// any that grows.
var casModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(swapInput), output.(swapOutput)
		switch {
		case !in.write || (!out.swapped && !out.unknown):
			fails := !in.write || in.expect != s.revision
			if fails && out.revision == s.revision && out.value == s.value {
				return []any{s}
			}
			return nil
		case out.unknown:
			// A later read shows the revision of a write that took effect; the counter is the only key's here.
			after := []any{s}
			if in.expect == s.revision {
				after = append(after, register{s.revision + 1, in.value})
			}
			return after
		case in.expect == s.revision && out.revision == s.revision+1:
			return []any{register{out.revision, in.value}}
		}
		return nil
	},
}

// Guards against a stand-in store whose compare-and-swap is not atomic: tests on top of it would prove nothing.
func TestCompareAndSwapIsLinearizable(t *testing.T) {
	store := NewStore()
	store.SetFaults(StoreFaults{LoseAnswers: 8})
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	begin := time.Now()
	for client := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(7, uint64(client)))
			var known uint64
			for i := range 40 {
				in := swapInput{write: random.IntN(3) > 0, expect: known, value: fmt.Sprintf("%d-%d", client, i)}
				call := time.Since(begin).Nanoseconds()
				out := perform(store, in)
				op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: time.Since(begin).Nanoseconds()}
				if out.unknown {
					op.Return = int64(1) << 62
				} else {
					known = out.revision
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	assert.Assert(t, porcupine.CheckOperations(casModel.ToModel(), history))
	// A history with a forged response must be rejected, or the check shows nothing.
	for i, op := range history {
		if out := op.Output.(swapOutput); out.swapped {
			out.revision++
			history[i].Output = out
			break
		}
	}
	assert.Assert(t, !porcupine.CheckOperations(casModel.ToModel(), history))
}

func perform(store *Store, in swapInput) swapOutput {
	ctx := context.Background()
	if !in.write {
		got, err := store.Get(ctx, &platformpb.GetRequest{Key: "k"})
		return swapOutput{
			unknown: err != nil, revision: got.GetRecord().GetRevision(), value: string(got.GetRecord().GetValue()),
		}
	}
	got, err := store.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{
		Key: "k", ExpectRevision: in.expect, Value: []byte(in.value),
	})
	if err != nil {
		return swapOutput{unknown: true}
	}
	if got.GetSwapped() {
		return swapOutput{swapped: true, revision: got.GetRevision()}
	}
	return swapOutput{revision: got.GetRecord().GetRevision(), value: string(got.GetRecord().GetValue())}
}
