package scheduler

import (
	"fmt"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

var fleetConfig = job.Configuration{Version: 1, Routes: []job.Route{{
	Queue: "q", Service: "s", Attempts: 3, Slack: 2, TargetLatency: time.Second,
}}}

// submitJobs stores jobs at random times, the long-running ones at the beginning, and cancels some of them.
func (f *fleet) submitJobs(until time.Duration) {
	for range 2 + f.random.IntN(3) {
		f.after(f.between(time.Second, 6*time.Second), func() {
			f.storeJob(job.Step{Tasks: 2 + f.random.IntN(5), LongRunning: true})
		})
	}
	var next func()
	next = func() {
		if f.elapsed() > until {
			return
		}
		switch f.random.IntN(8) {
		case 0:
			f.storeJob(job.Step{Tasks: 1 + f.random.IntN(6), Estimate: f.between(2*time.Second, 8*time.Second)})
		case 1:
			f.storeJob(job.Step{Tasks: 1 + f.random.IntN(2), Estimate: f.between(50*time.Millisecond, 900*time.Millisecond)},
				job.Step{Tasks: 1 + f.random.IntN(2), Estimate: f.between(50*time.Millisecond, 2*time.Second), After: []int{0}})
		case 2:
			f.storeRecurringJob()
		default:
			f.storeJob(job.Step{Tasks: 1 + f.random.IntN(4), Estimate: f.between(50*time.Millisecond, 900*time.Millisecond)})
		}
		if f.withProbability(0.05) {
			f.cancelJob(f.jobIDs[f.random.IntN(len(f.jobIDs))])
		}
		f.after(f.between(100*time.Millisecond, 900*time.Millisecond), next)
	}
	f.after(2*time.Second, next)
}

func (f *fleet) storeJob(steps ...job.Step) { f.submit(job.Schedule{}, steps) }

// storeRecurringJob stores a job whose occurrences fall due on the clocks of the entries, which differ.
func (f *fleet) storeRecurringJob() {
	f.submit(job.Schedule{
		Times: 1 + f.random.IntN(6), First: f.now.Add(f.between(0, 3*time.Second)),
		Interval: f.between(300*time.Millisecond, 2*time.Second),
	}, []job.Step{{Tasks: 1 + f.random.IntN(3), Estimate: f.between(50*time.Millisecond, 2*time.Second)}})
}

func (f *fleet) submit(schedule job.Schedule, steps []job.Step) {
	if f.store.downs > 0 {
		return
	}
	for i := range steps {
		steps[i].Size = model.Resources{CPUMillis: 1000, MemoryBytes: 1 << 30}
	}
	j := &job.Job{
		ID: job.ID(fmt.Sprintf("j%03d", len(f.jobIDs))), Queue: "q", Steps: steps, Schedule: schedule, Accepted: f.now,
	}
	f.jobs[j.ID], f.jobIDs = j, append(f.jobIDs, j.ID)
	f.store.put(job.Key(j.ID), j)
}

func (f *fleet) cancelJob(id job.ID) {
	if e := f.leader(); e != nil {
		e.life.deliver(CancelRequested{ReplyTo: 1, Job: id})
	}
}

// outcome returns how long a run takes and how it ends.
func (f *fleet) outcome(r *fleetRun) (time.Duration, job.EndKind) {
	step := &f.jobs[r.Task.Job].Steps[r.Task.Step]
	kind := job.EndDone
	if f.withProbability(0.04) {
		kind = job.EndFailed
	}
	if !step.LongRunning {
		return time.Duration((0.7 + 0.6*f.random.Float64()) * float64(step.Estimate)), kind
	}
	if f.withProbability(0.1) {
		return f.between(5*time.Second, 40*time.Second), kind
	}
	return time.Hour, job.EndDone
}

// injectFaults begins series of faults until a time. Those of a series mostly have the same targets, and all may overlap.
func (f *fleet) injectFaults(until time.Duration) {
	faults := []func(*fleetEntry, *fleetWorker){
		f.pauseEntry, f.pauseEntryShortly, f.killEntry, f.drainEntry, f.cutFromStore, f.cutFromStore, f.loseStoreAnswers, f.delayWrites,
		f.cutLinks, f.cutLinks, f.cutLinks, f.isolateDataCentre, f.isolateDataCentre, f.delayOrders, f.restartWorker,
		f.restartWorker, f.drainWorker, f.cutWorkerFromStore, f.silenceWorker, f.takeStoreDown, f.compactHistory,
		f.splitAround, f.restartAfterLateOrders,
	}
	longestGap := f.between(time.Second, 6*time.Second)
	var begin func()
	begin = func() {
		if f.elapsed() > until {
			return
		}
		fault := faults[f.random.IntN(len(faults))]
		e, w := f.anyEntry(), f.workers[f.random.IntN(len(f.workers))]
		at := time.Duration(0)
		for range 1 + f.random.IntN(4) {
			current, entry := fault, e
			f.after(at, func() { current(entry, w) })
			at += f.between(100*time.Millisecond, 4*time.Second)
			if f.withProbability(0.3) {
				e = f.anyEntry()
			}
			if f.withProbability(0.5) {
				fault = faults[f.random.IntN(len(faults))]
			}
		}
		f.after(f.between(200*time.Millisecond, longestGap), begin)
	}
	f.after(4*time.Second, begin)
}

// anyEntry returns the leader more often than another entry.
func (f *fleet) anyEntry() *fleetEntry {
	if e := f.leader(); e != nil && f.withProbability(0.6) {
		return e
	}
	return f.entries[f.random.IntN(len(f.entries))]
}

// during increases counters of faults for some time.
func (f *fleet) during(d time.Duration, counters ...*int) {
	for _, c := range counters {
		*c++
	}
	f.after(d, func() {
		for _, c := range counters {
			*c--
		}
	})
}

func (f *fleet) noteFault(format string, args ...any) { f.note("----", "", "", format, args...) }

func (f *fleet) pauseEntry(e *fleetEntry, _ *fleetWorker) {
	l := e.life
	if l == nil || l.pauses > 0 {
		return
	}
	l.pause()
	f.after(f.between(500*time.Millisecond, 9*time.Second), l.resume)
}

// pauseEntryShortly delays an entry as a busy machine does.
func (f *fleet) pauseEntryShortly(e *fleetEntry, _ *fleetWorker) {
	for i := range 1 + f.random.IntN(10) {
		f.after(time.Duration(i)*f.between(200*time.Millisecond, time.Second), func() {
			if l := e.life; l != nil && l.pauses == 0 {
				l.pause()
				f.after(f.between(10*time.Millisecond, 500*time.Millisecond), l.resume)
			}
		})
	}
}

func (f *fleet) killEntry(e *fleetEntry, _ *fleetWorker) {
	if e.life == nil {
		return
	}
	e.life.kill()
	if f.withProbability(0.5) {
		f.after(50*time.Millisecond, e.boot)
	} else {
		f.after(f.between(300*time.Millisecond, 6*time.Second), e.boot)
	}
}

// drainEntry stops an entry in an orderly way and starts it again. It is killed if that takes too long.
func (f *fleet) drainEntry(e *fleetEntry, _ *fleetWorker) {
	l := e.life
	if l == nil {
		return
	}
	f.note(string(e.id), "", "", "is told to stop")
	l.deliver(DrainRequested{ReplyTo: 2})
	f.after(3*time.Second, func() {
		if !l.ended {
			l.kill()
		}
		f.after(f.between(0, 3*time.Second), e.boot)
	})
}

func (f *fleet) cutFromStore(e *fleetEntry, _ *fleetWorker) {
	d := f.between(500*time.Millisecond, 9*time.Second)
	f.noteFault("%s is cut off from the store for %v", e.id, d)
	f.during(d, &e.cuts)
}

func (f *fleet) loseStoreAnswers(e *fleetEntry, _ *fleetWorker) {
	d := f.between(300*time.Millisecond, 4*time.Second)
	f.noteFault("%s gets no answers of the store for %v", e.id, d)
	f.during(d, &e.lostAnswers)
}

func (f *fleet) delayWrites(e *fleetEntry, _ *fleetWorker) {
	d := f.between(500*time.Millisecond, 4*time.Second)
	f.noteFault("transactions of %s are late for %v", e.id, d)
	f.during(d, &e.lateWrites)
}

// cutLinks cuts an entry off from some workers.
func (f *fleet) cutLinks(e *fleetEntry, _ *fleetWorker) {
	share, d := f.random.Float64(), f.between(500*time.Millisecond, 12*time.Second)
	counter := f.linkFault()
	for _, w := range f.workers {
		if f.withProbability(share) {
			f.note("----", "", string(w.idNow()), "%s and %s: %s for %v", e.id, w.address, counter.name, d)
			f.during(d, counter.of(e.link(w.address)))
		}
	}
}

// linkFault is a way in which an entry does not reach a worker.
type linkFault struct {
	name string
	of   func(*fleetLink) *int
}

func (f *fleet) linkFault() linkFault {
	faults := []linkFault{
		{"silent", func(l *fleetLink) *int { return &l.silent }},
		{"answers lost", func(l *fleetLink) *int { return &l.lostAnswers }},
		{"refusing", func(l *fleetLink) *int { return &l.refusing }},
	}
	return faults[f.random.IntN(len(faults))]
}

func (w *fleetWorker) idNow() model.WorkerID {
	if w.process == nil {
		return ""
	}
	return w.process.id
}

// isolateDataCentre cuts a data centre off from the others. The store is in one of the two parts.
func (f *fleet) isolateDataCentre(*fleetEntry, *fleetWorker) {
	dc, d, fault := f.random.IntN(3), f.between(time.Second, 12*time.Second), f.linkFault()
	storeInside, storeReached := f.withProbability(0.2), f.withProbability(0.2)
	f.noteFault("data centre %d is cut off for %v: %s, the store is inside %v, reached by all %v", dc, d, fault.name,
		storeInside, storeReached)
	for _, e := range f.entries {
		if !storeReached && (e.dataCentre == dc) != storeInside {
			f.during(d, &e.cuts)
		}
		for _, w := range f.workers {
			if (e.dataCentre == dc) != (w.dataCentre == dc) {
				f.during(d, fault.of(e.link(w.address)))
			}
		}
	}
	for _, w := range f.workers {
		if !storeReached && (w.dataCentre == dc) != storeInside {
			f.during(d, &w.cuts)
		}
	}
}

// delayOrders makes orders to a worker late.
func (f *fleet) delayOrders(_ *fleetEntry, w *fleetWorker) {
	d := f.between(time.Second, 5*time.Second)
	f.note("----", "", string(w.idNow()), "orders to %s are late for %v", w.address, d)
	for _, e := range f.entries {
		f.during(d, &e.link(w.address).late)
	}
}

// restartWorker kills a worker. Another process starts at the same address, mostly under the same id, and is cut off from
// some entries at times.
func (f *fleet) restartWorker(_ *fleetEntry, w *fleetWorker) {
	p := w.process
	if p == nil || p.closed {
		return
	}
	p.kill()
	id := p.id
	if f.withProbability(0.2) {
		id = f.newWorkerID(w)
	}
	for _, e := range f.entries {
		if f.withProbability(0.2) {
			f.during(f.between(time.Second, 9*time.Second), f.linkFault().of(e.link(w.address)))
		}
	}
	f.after(f.between(200*time.Millisecond, 5*time.Second), func() { w.bootProcess(id) })
}

func (f *fleet) newWorkerID(w *fleetWorker) model.WorkerID {
	f.calls++
	return model.WorkerID(fmt.Sprintf("%s-%d", w.address[5:7], f.calls))
}

// drainWorker makes a worker leave: it closes its listener and removes its entry before its last runs are gone.
func (f *fleet) drainWorker(_ *fleetEntry, w *fleetWorker) {
	p := w.process
	if p == nil || p.draining {
		return
	}
	p.draining = true
	p.note("", "drains")
	p.publish()
	f.after(f.between(time.Second, 6*time.Second), func() {
		if p.ended {
			return
		}
		p.note("", "closes its listener and leaves the list")
		p.closed = true
		if w.cuts == 0 && f.store.downs == 0 {
			f.store.delete(p.key())
		}
		f.after(f.between(0, time.Second), p.kill)
		f.after(f.between(1200*time.Millisecond, 4*time.Second), func() { w.bootProcess(f.newWorkerID(w)) })
	})
}

func (f *fleet) cutWorkerFromStore(_ *fleetEntry, w *fleetWorker) {
	d := f.between(2*time.Second, 10*time.Second)
	f.note("----", "", string(w.idNow()), "%s is cut off from the store for %v", w.address, d)
	f.during(d, &w.cuts)
}

// silenceWorker cuts a worker off from all entries.
func (f *fleet) silenceWorker(_ *fleetEntry, w *fleetWorker) {
	d, fault := f.between(time.Second, 12*time.Second), f.linkFault()
	f.note("----", "", string(w.idNow()), "%s and all entries: %s for %v", w.address, fault.name, d)
	for _, e := range f.entries {
		f.during(d, fault.of(e.link(w.address)))
	}
}

func (f *fleet) takeStoreDown(*fleetEntry, *fleetWorker) {
	d := f.between(500*time.Millisecond, 8*time.Second)
	refuses, pause, keep := f.withProbability(0.5), f.withProbability(0.5), f.withProbability(0.5)
	f.noteFault("the store is down for %v: refuses %v, leases pause %v, keeps workers %v", d, refuses, pause, keep)
	f.store.goDown(refuses, pause, keep)
	f.after(d, f.store.comeUp)
}

// splitAround cuts an entry off from the store and leaves it alone with a worker, which restarts there.
func (f *fleet) splitAround(e *fleetEntry, w *fleetWorker) {
	f.noteFault("%s is cut off from the store, and later left alone with %s", e.id, w.address)
	f.during(f.between(4*time.Second, 9*time.Second), &e.cuts)
	f.after(f.between(time.Second, 4*time.Second), func() {
		d, fault := f.between(4*time.Second, 14*time.Second), f.linkFault()
		f.during(d, &w.cuts)
		for _, other := range f.entries {
			if other != e {
				f.during(d, fault.of(other.link(w.address)))
			}
		}
		f.after(f.between(0, time.Second), func() { f.restartWorker(e, w) })
	})
}

func (f *fleet) restartAfterLateOrders(e *fleetEntry, w *fleetWorker) {
	f.delayOrders(e, w)
	f.after(f.between(500*time.Millisecond, 6*time.Second), func() { f.restartWorker(e, w) })
}

func (f *fleet) compactHistory(*fleetEntry, *fleetWorker) {
	f.noteFault("the history is compacted")
	f.store.compact()
}
