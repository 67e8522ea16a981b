package dispatch

import (
	"github.com/jujubearch/jujubearch/internal/state/job"
)

// placeGang places all tasks of a gang step at once, or none. If the step asks for one rack, it tries each rack
// before it spreads the tasks over several.
func (p *pass) placeGang(s *step, route job.Route) {
	if s.waiting < s.Tasks {
		return
	}
	for i := range s.Tasks {
		if p.d.mayBeRunning(s.keyOf(i)) {
			return
		}
	}
	for t := range s.touchedTasks() {
		if t.awaitsCrashCommit() {
			return
		}
	}
	number := p.d.nextRun()
	racks := []string{""}
	if s.SameRack {
		racks = append(p.usableRacks(route), "")
	}
	p.searches++
	for _, rack := range racks {
		if p.placeGangOn(s, route, rack, number) {
			return
		}
	}
	p.unplacedSteps++
	p.fruitlessSearches++
	p.logLongWait(s.task(0), route)
	p.wantAdvice(s, route)
}

func (p *pass) usableRacks(route job.Route) []string {
	var racks []string
	known := make(map[string]bool)
	for _, w := range p.d.sortedWorkers {
		if w.Rack != "" && !known[w.Rack] && p.acceptsStarts(w, route) {
			known[w.Rack] = true
			racks = append(racks, w.Rack)
		}
	}
	return racks
}

// placeGangOn finds room for every task and starts all of them, or none; an empty rack means any.
func (p *pass) placeGangOn(s *step, route job.Route, rack string, number job.RunNumber) bool {
	chosen := make([]*worker, 0, s.Tasks)
	size := reservedSize(s.Step)
	taken := make(map[*worker]int64)
	// One task stands for all that have no state.
	untouched := s.newTask(len(s.tasks))
	for i := range s.Tasks {
		t := untouched
		if i < len(s.tasks) {
			t = s.tasks[i]
		}
		var best *worker
		for _, w := range p.d.sortedWorkers {
			if (rack != "" && w.Rack != rack) || !p.acceptsStarts(w, route) || !p.meetsConstraints(t, w) ||
				!p.hasPermit(s, w, route) {
				continue
			}
			if s.MaxPerWorker > 0 && taken[w] >= int64(s.MaxPerWorker) {
				continue
			}
			if !size.Times(taken[w] + 1).FitsIn(w.free()) {
				continue
			}
			if best == nil || p.scoreWorker(t, w).score > p.scoreWorker(t, best).score {
				best = w
			}
		}
		if best == nil {
			return false
		}
		taken[best]++
		chosen = append(chosen, best)
	}
	checkpoint := s.task(0).checkpoint
	for i := range s.Tasks {
		t := s.task(i)
		t.checkpoint = checkpoint
		p.d.startTask(p.now, t, chosen[i], number)
	}
	return true
}
