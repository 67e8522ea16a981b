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

// registerInput is one operation on the register: a compare-and-swap, or a read if write is false.
type registerInput struct {
	write  bool
	expect uint64
	value  string
}

// registerOutput is the response to an operation. With unknown set, the operation may or may not have taken effect.
type registerOutput struct {
	unknown  bool
	swapped  bool
	revision uint64
	value    string
}

type registerState struct {
	revision uint64
	value    string
}

// casRegisterModel is a register with compare-and-swap on its revision. The store counts revisions over all keys; the
// test writes a single key, so the model expects each write to raise the revision by one.
var casRegisterModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		switch {
		case !in.write || (!out.swapped && !out.unknown):
			unchanged := !in.write || in.expect != s.revision
			if unchanged && out.revision == s.revision && out.value == s.value {
				return []any{s}
			}
			return nil
		case out.unknown:
			// Both states are possible; later operations show which one holds.
			successors := []any{s}
			if in.expect == s.revision {
				successors = append(successors, registerState{s.revision + 1, in.value})
			}
			return successors
		case in.expect == s.revision && out.revision == s.revision+1:
			return []any{registerState{out.revision, in.value}}
		}
		return nil
	},
}

// Guards against a stand-in store whose compare-and-swap is not atomic; tests that use such a store prove nothing.
func TestCompareAndSwapIsLinearizable(t *testing.T) {
	store := NewStore()
	store.SetFaults(StoreFaults{LoseResponses: 8})
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	began := time.Now()
	for client := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(7, uint64(client)))
			var known uint64
			for i := range 40 {
				in := registerInput{write: random.IntN(3) > 0, expect: known, value: fmt.Sprintf("%d-%d", client, i)}
				call := time.Since(began).Nanoseconds()
				out := execute(store, in)
				op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: time.Since(began).Nanoseconds()}
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
	assert.Assert(t, porcupine.CheckOperations(casRegisterModel.ToModel(), history))
	// The checker must reject a history with a forged response; otherwise its acceptance above means nothing.
	for i, op := range history {
		if out := op.Output.(registerOutput); out.swapped {
			out.revision++
			history[i].Output = out
			break
		}
	}
	assert.Assert(t, !porcupine.CheckOperations(casRegisterModel.ToModel(), history))
}

func execute(store *Store, in registerInput) registerOutput {
	ctx := context.Background()
	if !in.write {
		got, err := store.Get(ctx, &platformpb.GetRequest{Key: "k"})
		return registerOutput{
			unknown: err != nil, revision: got.GetRecord().GetRevision(), value: string(got.GetRecord().GetValue()),
		}
	}
	got, err := store.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{
		Key: "k", ExpectRevision: in.expect, Value: []byte(in.value),
	})
	if err != nil {
		return registerOutput{unknown: true}
	}
	if got.GetSwapped() {
		return registerOutput{swapped: true, revision: got.GetRevision()}
	}
	return registerOutput{revision: got.GetRecord().GetRevision(), value: string(got.GetRecord().GetValue())}
}
