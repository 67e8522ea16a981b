package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubearch/jujubearch/internal/state/fixedseed"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

var dataCentres = []model.DataCentre{"dc-a", "dc-b", "dc-c"}

func drawLayout(t *rapid.T) Layout {
	return Layout{
		DataCentres:         dataCentres[:rapid.IntRange(1, 3).Draw(t, "data centres")],
		ShardsPerDataCentre: rapid.Uint32Range(1, 16).Draw(t, "shards"),
		ClaimShards:         rapid.Uint32Range(0, 16).Draw(t, "claims"),
	}
}

// Guards against a worker without a shard, and against one in a claim shard or in a shard of another data centre.
func TestEveryWorkerHasOneShardOfItsDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layout := drawLayout(t)
		worker := model.WorkerID(rapid.String().Draw(t, "worker"))
		for _, dc := range layout.DataCentres {
			shard, ok := layout.ShardOfWorker(worker, dc)
			again, _ := layout.ShardOfWorker(worker, dc)
			if !ok || shard != again || layout.IsClaim(shard) || layout.DataCentre(shard) != dc {
				t.Fatalf("worker %q of %s is in shard %d", worker, dc, shard)
			}
		}
		key := model.KeyHash(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key"))
		shard, ok := layout.ClaimShardOfKey(key)
		if ok != (layout.ClaimShards > 0) || (ok && (!layout.IsClaim(shard) || uint32(shard) >= layout.Shards())) {
			t.Fatalf("key %x is in shard %d", key, shard)
		}
	})
}

// Guards against shards that move between two entries when a third one joins, which would interrupt work needlessly.
func TestPreferenceIsStableUnderUnrelatedJoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layout := drawLayout(t)
		var live []Candidate
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			dc := rapid.SampledFrom(dataCentres).Draw(t, "data centre")
			live = append(live, Candidate{Entry: model.EntryID(fmt.Sprint("e", i)), DataCentre: dc, Region: "r"})
		}
		joined := Candidate{Entry: "new", DataCentre: rapid.SampledFrom(dataCentres).Draw(t, "joins in"), Region: "r"}
		for shard := range model.ShardID(layout.Shards()) {
			before := RankOwners(layout, shard, live, "r")
			after := RankOwners(layout, shard, append(slices.Clone(live), joined), "r")
			if after[0] != before[0] && after[0] != joined.Entry {
				t.Fatalf("shard %d moves from %s to %s when %s joins", shard, before[0], after[0], joined.Entry)
			}
		}
	})
}
