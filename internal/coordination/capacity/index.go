// Package capacity finds workers with room for a task without visiting all of them.
package capacity

import "github.com/jujubearch/jujubearch/internal/state/model"

// Index holds the free capacity of workers, which are numbered from 0. It is a complete binary tree in an array; each
// node holds, for each resource, the largest free amount among the leaves below it.
type Index struct {
	leaves int
	nodes  []model.Resources
}

// NewIndex returns an index of workers that have no capacity yet.
func NewIndex(workers int) *Index {
	leaves := 1
	for leaves < workers {
		leaves *= 2
	}
	x := &Index{leaves: leaves, nodes: make([]model.Resources, 2*leaves)}
	for i := range x.nodes {
		x.nodes[i] = None
	}
	return x
}

// None fits no request, not even an empty one.
var None = model.Resources{CPUMillis: -1, MemoryBytes: -1, Accelerators: -1}

// Set records the free capacity of a worker.
func (x *Index) Set(worker int, free model.Resources) {
	i := x.leaves + worker
	x.nodes[i] = free
	for i /= 2; i >= 1; i /= 2 {
		x.nodes[i] = Largest(x.nodes[2*i], x.nodes[2*i+1])
	}
}

// Largest returns the larger amount of each resource.
func Largest(a, b model.Resources) model.Resources {
	return model.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Next returns the first worker at or after from with enough free capacity, or -1.
func (x *Index) Next(from int, need model.Resources) int {
	if from >= x.leaves {
		return -1
	}
	return x.search(1, 0, x.leaves, from, need)
}

// search is Next for the subtree of node, which covers the leaves [low, low+width).
func (x *Index) search(node, low, width, from int, need model.Resources) int {
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
