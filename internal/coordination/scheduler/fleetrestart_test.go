package scheduler

import (
	"testing"
	"time"
)

// fleetRestartTime is the time between the restarts of restartAndCutOff, which covers the longest cut.
const fleetRestartTime = 18 * time.Second

// Guards against two runs of a task after workers have restarted under their ids and are cut off soon after. Orders to their
// earlier boots are carried out by the new ones, and lengthen leases of which the leader knows nothing. On odd seeds a leader
// is killed around the restart.
func TestNoTaskRunsTwiceAfterRestartsAndCuts(t *testing.T) {
	first, last := fleetSeedRange(t)
	starts, broken := 0, 0
	for seed := first; seed <= last; seed++ {
		f := newFleet(seed)
		f.lateCrossesRestarts, f.withoutRareFaults = true, true
		f.submitJobs(fleetFaultTime)
		for at := 6 * time.Second; at < fleetFaultTime; at += fleetRestartTime {
			f.after(at, func() { f.restartAndCutOff(seed%2 == 1) })
		}
		f.run(fleetFaultTime + fleetQuietTime)
		starts += f.starts
		if len(f.violations) > 0 {
			broken++
			t.Error(f.report(f.violations[0]))
		}
	}
	t.Logf("%d of %d seeds break a guarantee; %d starts", broken, last-first+1, starts)
}

// restartAndCutOff restarts a third of the workers while some of their orders are late, and cuts them off from all entries for
// longer than a lease soon after they are back.
func (f *fleet) restartAndCutOff(killLeader bool) {
	late, down := f.between(time.Second, 3*time.Second), f.between(400*time.Millisecond, 1200*time.Millisecond)
	untilCut, cut := f.between(300*time.Millisecond, 2600*time.Millisecond), f.between(7*time.Second, 11*time.Second)
	f.noteFault("a third of the workers restarts in %v, is back %v later, and is cut off %v after that for %v", late, down, untilCut, cut)
	for i, w := range f.workers {
		if i%3 != 0 || w.process == nil {
			continue
		}
		id := w.process.id
		for _, e := range f.entries {
			f.during(late, &e.link(w.address).late)
		}
		f.after(late, func() {
			if w.process != nil {
				w.process.kill()
			}
		})
		f.after(late+down, func() { w.bootProcess(id) })
		f.after(late+down+untilCut, func() {
			for _, e := range f.entries {
				f.during(cut, &e.link(w.address).silent)
			}
		})
	}
	if e := f.leader(); killLeader && e != nil {
		f.after(late+down+f.between(0, 2*time.Second), func() { f.killEntry(e, nil) })
	}
}
