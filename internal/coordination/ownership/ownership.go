// Package ownership decides which entry should own which shard. Its result depends only on its arguments, and it is
// only a preference: safety relies on the compare-and-swap of the ownership record and on the epoch in every order to a
// worker.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Candidate is a live entry that may own shards.
type Candidate struct {
	Entry      model.EntryID
	DataCentre model.DataCentre
	Region     model.Region
}

// Layout maps workers and claim keys to shards. Worker shards come first, grouped by data centre, claim shards follow.
type Layout struct {
	// DataCentres is sorted.
	DataCentres         []model.DataCentre
	ShardsPerDataCentre uint32
	ClaimShards         uint32
}

// WorkerShards returns the number of worker shards.
func (l Layout) WorkerShards() uint32 {
	return uint32(len(l.DataCentres)) * l.ShardsPerDataCentre
}

// Shards returns the number of all shards.
func (l Layout) Shards() uint32 { return l.WorkerShards() + l.ClaimShards }

// IsClaim reports whether the shard holds claims.
func (l Layout) IsClaim(shard model.ShardID) bool { return uint32(shard) >= l.WorkerShards() }

// DataCentre returns the data centre of a worker shard; it is empty for a claim shard.
func (l Layout) DataCentre(shard model.ShardID) model.DataCentre {
	if l.IsClaim(shard) || l.ShardsPerDataCentre == 0 {
		return ""
	}
	return l.DataCentres[uint32(shard)/l.ShardsPerDataCentre]
}

// ShardOfWorker returns the shard of a worker, or false if the layout does not contain the data centre.
func (l Layout) ShardOfWorker(worker model.WorkerID, dc model.DataCentre) (model.ShardID, bool) {
	index, found := slices.BinarySearch(l.DataCentres, dc)
	if !found || l.ShardsPerDataCentre == 0 {
		return 0, false
	}
	offset := uint32(xxhash.Sum64String(string(worker)) % uint64(l.ShardsPerDataCentre))
	return model.ShardID(uint32(index)*l.ShardsPerDataCentre + offset), true
}

// ClaimShardOfKey returns the claim shard of a key, or false if the layout has no claim shards.
func (l Layout) ClaimShardOfKey(key model.KeyHash) (model.ShardID, bool) {
	if l.ClaimShards == 0 {
		return 0, false
	}
	offset := uint32(xxhash.Sum64(key[:]) % uint64(l.ClaimShards))
	return model.ShardID(l.WorkerShards() + offset), true
}

// RankOwners returns the live entries in order of preference as owners of the shard. Entries in the data centre of a
// worker shard, or in the region of the store for a claim shard, come first; each group is ordered by rendezvous
// hashing.
func RankOwners(layout Layout, shard model.ShardID, live []Candidate, storeRegion model.Region) []model.EntryID {
	shardDataCentre := layout.DataCentre(shard)
	distance := func(c Candidate) int {
		isNear := c.DataCentre == shardDataCentre
		if layout.IsClaim(shard) {
			isNear = c.Region == storeRegion
		}
		if isNear {
			return 0
		}
		return 1
	}
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvousScore(shard, b.Entry), rendezvousScore(shard, a.Entry)),
			cmp.Compare(a.Entry, b.Entry),
		)
	})
	entries := make([]model.EntryID, 0, len(ranked))
	for _, c := range ranked {
		entries = append(entries, c.Entry)
	}
	return entries
}

func rendezvousScore(shard model.ShardID, entry model.EntryID) uint64 {
	return xxhash.Sum64String(string(entry) + "/" + strconv.FormatUint(uint64(shard), 10))
}
