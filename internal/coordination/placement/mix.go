package placement

import (
	"cmp"
	"slices"
)

// MixEntry is the number of tasks of one kind. A throttled task counts as the share of CPU time that it may use.
type MixEntry struct {
	Kind   string
	Weight float64
}

// Mix is the number of tasks of each kind that run together on a worker, sorted by kind.
type Mix []MixEntry

func (m Mix) find(kind string) (int, bool) {
	return slices.BinarySearchFunc(m, kind, func(e MixEntry, k string) int { return cmp.Compare(e.Kind, k) })
}

// Add returns the mix with weight added to a kind. It may modify m.
func (m Mix) Add(kind string, weight float64) Mix {
	i, found := m.find(kind)
	if found {
		m[i].Weight += weight
		return m
	}
	return slices.Insert(m, i, MixEntry{kind, weight})
}

// Weight returns the weight of a kind, or 0 if the mix does not contain it.
func (m Mix) Weight(kind string) float64 {
	if i, found := m.find(kind); found {
		return m[i].Weight
	}
	return 0
}
