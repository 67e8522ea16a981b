package dispatch

import (
	"github.com/jujubearch/jujubearch/internal/state/job"
)

// gang places all members of a step at once, on one rack if the step asks for it, or none.
func (p *pass) gang(s *step, route job.Route) {
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || p.d.isSuspect(t) {
			return
		}
	}
	number := p.d.nextRun()
	racks := []string{""}
	if s.SameRack {
		racks = append(p.racks(route), "")
	}
	for _, rack := range racks {
		if p.gangOn(s, route, rack, number) {
			return
		}
	}
	p.ask(s.tasks[0], route)
}

func (p *pass) racks(route job.Route) []string {
	var racks []string
	known := make(map[string]bool)
	for _, w := range p.d.fleet {
		if w.Rack != "" && !known[w.Rack] && p.usable(w, route) {
			known[w.Rack] = true
			racks = append(racks, w.Rack)
		}
	}
	return racks
}

// gangOn reserves room for each member; an empty rack means any.
func (p *pass) gangOn(s *step, route job.Route, rack string, number job.RunNumber) bool {
	chosen := make([]*worker, 0, len(s.tasks))
	size := counted(s)
	taken := make(map[*worker]int64)
	for _, t := range s.tasks {
		var best *worker
		for _, w := range p.d.fleet {
			if (rack != "" && w.Rack != rack) || !p.usable(w, route) || !p.suits(t, w) || !p.permitted(s, w, route) {
				continue
			}
			if s.MaxPerWorker > 0 && taken[w] >= int64(s.MaxPerWorker) {
				continue
			}
			if !size.Times(taken[w] + 1).FitsIn(w.free()) {
				continue
			}
			if best == nil || p.rate(t, w).score > p.rate(t, best).score {
				best = w
			}
		}
		if best == nil {
			return false
		}
		taken[best]++
		chosen = append(chosen, best)
	}
	saved := s.tasks[0].saved
	for i, t := range s.tasks {
		t.saved = saved
		p.d.start(p.now, t, chosen[i], number)
	}
	return true
}
