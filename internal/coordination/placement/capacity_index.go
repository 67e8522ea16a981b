package placement

import "github.com/jujubearch/jujubearch/internal/state/model"

// capacityIndex finds workers with enough free capacity without visiting all of them. It is a complete binary tree in
// an array; each node holds, for each resource, the largest free amount among the leaves below it.
type capacityIndex struct {
	leaves int
	nodes  []model.Resources
}

func newCapacityIndex(workers int) *capacityIndex {
	leaves := 1
	for leaves < workers {
		leaves *= 2
	}
	x := &capacityIndex{leaves: leaves, nodes: make([]model.Resources, 2*leaves)}
	for i := range x.nodes {
		x.nodes[i] = noCapacity
	}
	return x
}

// noCapacity fits no request, not even an empty one.
var noCapacity = model.Resources{CPUMillis: -1, MemoryBytes: -1, Accelerators: -1}

func (x *capacityIndex) set(leaf int, free model.Resources) {
	i := x.leaves + leaf
	x.nodes[i] = free
	for i /= 2; i >= 1; i /= 2 {
		x.nodes[i] = maxPerResource(x.nodes[2*i], x.nodes[2*i+1])
	}
}

// maxPerResource returns the larger amount of each resource.
func maxPerResource(a, b model.Resources) model.Resources {
	return model.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// next returns the first leaf at or after from with enough free capacity, or -1.
func (x *capacityIndex) next(from int, need model.Resources) int {
	if from >= x.leaves {
		return -1
	}
	return x.search(1, 0, x.leaves, from, need)
}

// search is next for the subtree of node, which covers the leaves [low, low+width).
func (x *capacityIndex) search(node, low, width, from int, need model.Resources) int {
	if low+width <= from || !need.FitsIn(x.nodes[node]) {
		return -1
	}
	if width == 1 {
		return low
	}
	half := width / 2
	if found := x.search(2*node, low, half, from, need); found >= 0 {
		return found
	}
	return x.search(2*node+1, low+half, half, from, need)
}
