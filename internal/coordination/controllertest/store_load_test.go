package controllertest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/controller"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

var (
	oneCore       = model.Resources{CPUMillis: 1000, MemoryBytes: 1 << 30}
	oneDataCentre = []model.DataCentre{"a"}
)

// writeInitialHead writes version 1 of the head record with the given delegations.
func writeInitialHead(w *Simulation, perDataCentre, claims uint32, delegations ...model.Delegation) {
	w.Put(model.KeyHead, &model.Head{
		Config:      model.Config{Version: 1, ShardsPerDataCentre: perDataCentre, ClaimShards: claims},
		Delegations: delegations,
	})
}

// updateHead applies a change to the head and writes it with the next version.
func updateHead(w *Simulation, change func(*model.Head)) {
	head := *w.Store.Get(model.KeyHead).Value.(*model.Head)
	head.Config.Version++
	change(&head)
	w.Put(model.KeyHead, &head)
}

func newDelegation(id model.JobID, shard model.ShardID, count uint32, edit func(*model.Job)) model.Delegation {
	job := model.Job{ID: id, Team: "t", Kind: "k", Tasks: count, Declared: oneCore}
	if edit != nil {
		edit(&job)
	}
	return model.Delegation{Job: job, Count: count, Shard: shard}
}

func (w *Simulation) startCount() int {
	count := 0
	for _, attempts := range w.Starts {
		for _, n := range attempts {
			count += n
		}
	}
	return count
}

// load is the store load of a run. worstSecond is the highest number of writes in one second.
type load struct {
	startsPerSecond float64
	worstSecond     int
	writesPerStart  float64
}

// measureLoad runs tasks of 8 s to 14 s in 64 shards. There are enough tasks to fill the workers, which have the given
// number of cores each.
func measureLoad(t *testing.T, cores int64) load {
	t.Helper()
	w := New(1)
	w.Build(Topology{
		DataCentres: []model.DataCentre{"a", "b", "c", "d"}, Entries: 2, Workers: 275,
		Capacity: model.Resources{CPUMillis: cores * oneCore.CPUMillis, MemoryBytes: cores * oneCore.MemoryBytes},
	})
	// Many jobs with different run times spread the starts over time.
	batch := func(name string, jobs int) []model.Delegation {
		var delegations []model.Delegation
		for shard := range model.ShardID(64) {
			for i := range jobs {
				id := model.JobID(fmt.Sprintf("%s%d-%d", name, shard, i))
				runTime := 8*time.Second + time.Duration(w.random.Int64N(int64(6*time.Second)))
				delegations = append(delegations, newDelegation(id, shard, 25, func(j *model.Job) { j.RunTime = runTime }))
			}
		}
		return delegations
	}
	writeInitialHead(w, 16, 0, batch("a", 17)...)
	// Wait until the shards have owners and the initial burst of starts has passed.
	const seconds = 4
	w.Run(9 * time.Second)
	starts, writes := w.startCount(), 0
	from := w.Now.Unix()
	w.Run(seconds * time.Second)
	result := load{startsPerSecond: float64(w.startCount()-starts) / seconds}
	for s := from; s < from+seconds; s++ {
		writes += w.Store.Writes[s]
		result.worstSecond = max(result.worstSecond, w.Store.Writes[s])
	}
	result.writesPerStart = float64(writes) / seconds / result.startsPerSecond
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	return result
}

// Guards against store writes that grow in proportion to the load: with 64 shards, 1,100 starts and as many finishes
// per second must cause at most 300 writes per second.
func TestStoreWritesStayBoundedAtPeak(t *testing.T) {
	low, peak := measureLoad(t, 1), measureLoad(t, 13)
	t.Logf("low %+v, peak %+v", low, peak)
	assert.Assert(t, peak.startsPerSecond >= 1100)
	assert.Assert(t, peak.worstSecond <= 300)
	assert.Assert(t, low.worstSecond <= 300)
	assert.Assert(t, peak.writesPerStart < low.writesPerStart/2)
}

// Guards against retrying in a tight loop while the store is down.
func TestFailingStoreIsNotCalledInALoop(t *testing.T) {
	w := New(2)
	w.Build(Topology{DataCentres: oneDataCentre, Entries: 1, Workers: 4, Capacity: oneCore})
	writeInitialHead(w, 4, 2, newDelegation("j", 0, 4, nil), newDelegation("k", 1, 4, nil), newDelegation("l", 2, 4, nil))
	w.Run(5 * time.Second)
	updateHead(w, func(h *model.Head) { h.Delegations = append(h.Delegations, newDelegation("m", 0, 4, nil)) })
	w.Store.Down = true
	before := totalCalls(w.Store.Calls)
	w.Run(60 * time.Second)
	calls := totalCalls(w.Store.Calls) - before
	t.Logf("%d calls in 60 s", calls)
	// The 6 shards, the session, the head and the plans each back off to one call every 5 s. The bound of 2 calls per
	// second leaves room for the quicker retries at the beginning.
	assert.Assert(t, calls <= 120)
}

func totalCalls(calls map[controller.StoreOp]int) int {
	sum := 0
	for _, n := range calls {
		sum += n
	}
	return sum
}
