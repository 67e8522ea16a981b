package dispatch

import (
	"slices"

	"github.com/jujubearch/jujubearch/internal/coordination/capacity"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// requirement names what the tasks of a step need and no worker of the fleet offers, whatever else runs there.
type requirement string

const (
	// fleetFits means that there is a worker, or for a gang that there are enough, on which the tasks can run.
	fleetFits requirement = ""
	// needsWorker means that the service has no workers.
	needsWorker requirement = "service"
	// needsLabel means that no worker of the service has the label.
	needsLabel requirement = "label"
	// needsCPU, needsMemory and needsAccelerators mean that no worker with the label has that much.
	needsCPU          requirement = "cpu"
	needsMemory       requirement = "memory"
	needsAccelerators requirement = "accelerators"
	// needsCombination means that some workers have enough of each resource, but none has enough of all.
	needsCombination requirement = "combination"
	// needsMoreWorkers means that the tasks of a gang fit on workers, but not all at the same time.
	needsMoreWorkers requirement = "gang-width"
)

// unmetRequirement returns what a step needs that the fleet does not offer. The answer is kept until the fleet changes.
func (d *Dispatcher) unmetRequirement(s *step, service model.ServiceName) requirement {
	if s.fitCheckedAt != d.fleetVersion {
		s.fitCheckedAt, s.unmet = d.fleetVersion, d.checkFit(s.Step, service)
	}
	return s.unmet
}

// fleetChanged makes the dispatcher check again which steps the fleet can run. It is called after each change of the
// workers that are listed, and of their capacities and labels.
func (d *Dispatcher) fleetChanged() {
	d.fleetVersion++
	d.passNeeded = true
}

func (d *Dispatcher) checkFit(s *job.Step, service model.ServiceName) requirement {
	size, missing := reservedSize(s), needsWorker
	var largest model.Resources
	places, wanted := int64(0), int64(1)
	if s.Gang {
		wanted = int64(s.Tasks)
	}
	for _, w := range d.sortedWorkers {
		if w.dead || !w.listed || w.Draining || w.Service != service {
			continue
		}
		if s.Label != "" && !w.HasLabel(s.Label) {
			if missing == needsWorker {
				missing = needsLabel
			}
			continue
		}
		missing = fleetFits
		largest = capacity.Largest(largest, w.Capacity)
		if places += placesFor(s, size, w.Capacity); places >= wanted {
			return fleetFits
		}
	}
	switch {
	case missing != fleetFits:
		return missing
	case places > 0:
		return needsMoreWorkers
	case size.Accelerators > largest.Accelerators:
		return needsAccelerators
	case size.MemoryBytes > largest.MemoryBytes:
		return needsMemory
	case size.CPUMillis > largest.CPUMillis:
		return needsCPU
	}
	return needsCombination
}

// placesFor returns how many tasks of a step an empty worker takes at the same time.
func placesFor(s *job.Step, size, total model.Resources) int64 {
	limit := s.Tasks
	if s.MaxPerWorker > 0 {
		limit = min(limit, s.MaxPerWorker)
	}
	return size.CountIn(total, int64(limit))
}

// sameOffer reports whether an entry of the list offers the same to tasks as the worker did before.
func (w *worker) sameOffer(info *job.Worker) bool {
	return w.listed && w.Service == info.Service && w.Capacity == info.Capacity && w.Draining == info.Draining &&
		slices.Equal(w.Labels, info.Labels)
}
