package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

const (
	fleetHeartbeat  = 1500 * time.Millisecond
	fleetEntryLasts = 3 * fleetHeartbeat
	// fleetStopTime is how long a stop takes at most, fleetKillTime the end of a run whose lease has expired.
	fleetStopTime = 300 * time.Millisecond
	fleetKillTime = 20 * time.Millisecond
)

// fleetWorker is a place for workers: processes at one address, one after the other.
type fleetWorker struct {
	f          *fleet
	address    string
	dataCentre int
	process    *workerProcess
	// cuts counts the faults that keep it from the store.
	cuts int
	// maxListedEnds is the number of ends that an inventory lists; 0 means all.
	maxListedEnds int
}

// workerProcess is one boot of a worker.
type workerProcess struct {
	f        *fleet
	place    *fleetWorker
	id       model.WorkerID
	boot     job.BootID
	started  time.Time
	rate     float64
	origin   time.Duration
	ended    bool
	draining bool
	closed   bool
	// heardAt is when the store last got its heartbeat.
	heardAt  time.Time
	epoch    model.Epoch
	leaseEnd time.Duration
	// leaseStrayed means that the order that extended the lease last was sent to an earlier boot.
	leaseStrayed bool
	runs         map[job.Run]*fleetRun
	highestRun   map[job.Task]job.RunNumber
	ends         []*fleetEnd
	sequence     int64
	holds        []*waitingHold
}

type fleetRun struct {
	job.Run
	process  *workerProcess
	finishAt time.Time
	stopping bool
	killed   bool
	gone     bool
	// strayed means that the start was sent to an earlier boot of the worker.
	strayed bool
}

type fleetEnd struct {
	job.EndedTask
	at time.Time
	// lapsed is set if the worker's lease expired before the end was acknowledged.
	lapsed bool
	// strayed means that the start of the run was sent to an earlier boot of the worker.
	strayed bool
}

type waitingHold struct {
	done   bool
	answer func(workerAnswer)
}

func (f *fleet) addWorker(id, address string, dataCentre int) {
	w := &fleetWorker{f: f, address: address, dataCentre: dataCentre}
	if f.withProbability(0.3) {
		w.maxListedEnds = 2
	}
	f.workers = append(f.workers, w)
	w.bootProcess(model.WorkerID(id))
}

func (w *fleetWorker) bootProcess(id model.WorkerID) {
	f := w.f
	p := &workerProcess{
		f: f, place: w, id: id, boot: job.BootID(f.now.UnixMilli()), started: f.now, rate: 0.98 + 0.04*f.random.Float64(),
		origin: f.between(0, time.Hour), runs: make(map[job.Run]*fleetRun), highestRun: make(map[job.Task]job.RunNumber),
	}
	if f.withProbability(0.5) {
		p.origin = 0
	}
	w.process = p
	f.note(string(id), "", string(id), "boots at %s", w.address)
	f.after(f.between(0, 300*time.Millisecond), p.heartbeat)
}

// listener returns the process that listens at an address, or nil.
func (f *fleet) listener(address string) *workerProcess {
	for _, w := range f.workers {
		if w.address == address && w.process != nil && !w.process.closed {
			return w.process
		}
	}
	return nil
}

func (p *workerProcess) clock() time.Duration {
	return p.origin + time.Duration(float64(p.f.now.Sub(p.started))*p.rate)
}

func (p *workerProcess) key() string { return prefixWorker + string(p.id) }

// heartbeat writes the worker's entry of the list.
func (p *workerProcess) heartbeat() {
	if p.ended || p.closed {
		return
	}
	p.publish()
	p.f.after(p.f.between(fleetHeartbeat*9/10, fleetHeartbeat*11/10), p.heartbeat)
}

func (p *workerProcess) publish() {
	s := p.f.store
	if p.place.cuts > 0 || s.downs > 0 {
		return
	}
	p.heardAt = p.f.now
	s.put(p.key(), job.Worker{
		ID: p.id, Address: p.place.address, Service: "s", DataCentre: model.DataCentre("dc" + string(rune('0'+p.place.dataCentre))),
		Boot: p.boot, Draining: p.draining, Capacity: model.Resources{CPUMillis: 8000, MemoryBytes: 64 << 30},
	})
	p.expireEntryLater()
}

// expireEntryLater removes the entry of the list after some time without a heartbeat of any process with this id.
func (p *workerProcess) expireEntryLater() {
	f, written := p.f, p.f.store.get(p.key()).Revision
	var expire func()
	expire = func() {
		switch {
		case f.store.get(p.key()).Revision != written:
		case f.store.downs > 0 && f.store.keepsWorkers:
			f.after(2*time.Second, expire)
		default:
			f.note("list", "", string(p.id), "the entry of %s expires", p.id)
			f.store.delete(p.key())
		}
	}
	f.after(fleetEntryLasts, expire)
}

func (p *workerProcess) note(task, format string, args ...any) {
	p.f.note(string(p.id), task, string(p.id), format, args...)
}

// kill ends the process with all its state and its connections.
func (p *workerProcess) kill() {
	if p.ended {
		return
	}
	p.note("", "is killed")
	p.ended, p.closed = true, true
	for _, r := range p.sortedRuns() {
		p.removeRun(r)
	}
	for _, h := range p.holds {
		if p.f.withProbability(0.5) {
			h.done = true
			h.answer(workerAnswer{response: job.OrderResponse{Err: verdict.MayHaveRunError("connection reset", nil)}})
		}
	}
	p.holds = nil
	if p.place.process == p {
		p.place.process = nil
	}
}

func (p *workerProcess) removeRun(r *fleetRun) {
	r.gone = true
	delete(p.runs, r.Run)
	p.f.runGone(r)
}

// acceptEpoch reports whether an order is carried out, and refuses lower epochs from then on.
func (p *workerProcess) acceptEpoch(e model.Epoch) bool {
	if e < p.epoch {
		return false
	}
	if e > p.epoch {
		p.note("", "is fenced by epoch %d", e)
	}
	p.epoch = e
	return true
}

// extendLease extends the lease of everything that runs here. It never gets shorter.
func (p *workerProcess) extendLease(end time.Duration) {
	if p.leaseEnd < p.clock() {
		for _, e := range p.ends {
			e.lapsed = true
		}
	}
	if end = min(end, p.clock()+p.f.maxLease); end > p.leaseEnd {
		p.leaseEnd, p.leaseStrayed = end, p.f.reachedLaterBoot
		// An end counts while its lease lasts, here only because of an order to an earlier boot.
		for _, e := range p.ends {
			e.strayed = e.strayed || p.leaseStrayed
		}
	}
	p.checkLeaseLater()
}

// checkLeaseLater kills the runs at the end of the lease.
func (p *workerProcess) checkLeaseLater() {
	left := time.Duration(float64(p.leaseEnd-p.clock())/p.rate) + time.Microsecond
	p.f.after(left, func() {
		if p.ended || p.clock() < p.leaseEnd {
			return
		}
		for _, r := range p.sortedRuns() {
			if !r.killed {
				r.killed = true
				p.f.after(p.f.between(0, fleetKillTime), func() { p.endRun(r, job.EndOther, "lapsed") })
			}
		}
	})
}

func (p *workerProcess) startRun(o dispatch.Start) job.OrderResponse {
	task, response := o.Run.Task.String(), job.OrderResponse{Clock: p.clock()}
	refuse := func(kind job.RefusalKind) job.OrderResponse {
		p.note(task, "refuses run %d of epoch %d: %v", o.Run.Number, o.Epoch, kind)
		response.Refusal = kind
		return response
	}
	if p.f.hasRareFault() {
		return refuse(job.RefusedUnhealthy)
	}
	if !p.acceptEpoch(o.Fence) {
		return refuse(job.RefusedEpoch)
	}
	if p.runs[o.Run] != nil {
		return response
	}
	if o.LeaseEnd <= p.clock() {
		return refuse(job.RefusedLeaseExpired)
	}
	p.extendLease(o.LeaseEnd)
	if o.Run.Number <= p.highestRun[o.Run.Task] {
		return refuse(job.RefusedOldRun)
	}
	if used := len(p.runs); used >= 8 {
		return refuse(job.RefusedCapacity)
	}
	p.begin(o)
	return response
}

// begin starts a run, which ends after the time that its payload says.
func (p *workerProcess) begin(o dispatch.Start) {
	r := &fleetRun{Run: o.Run, process: p}
	p.note(r.Task.String(), "starts run %d, ordered under epoch %d", r.Number, o.Epoch)
	p.f.runStarted(r)
	p.runs[r.Run] = r
	p.highestRun[r.Task] = max(p.highestRun[r.Task], r.Number)
	took, kind := p.f.outcome(r)
	r.finishAt = p.f.now.Add(took)
	p.f.after(took, func() { p.endRun(r, kind, "ended") })
}

// endRun ends a run and lists its end. Waiting holds are answered.
func (p *workerProcess) endRun(r *fleetRun, kind job.EndKind, reason string) {
	if r.gone || p.ended || r.killed && reason == "ended" {
		return
	}
	p.note(r.Task.String(), "run %d is over: %s, %v", r.Number, reason, kind)
	p.removeRun(r)
	if p.closed {
		return
	}
	p.sequence++
	p.ends = append(p.ends, &fleetEnd{
		EndedTask: job.EndedTask{Run: r.Run, Sequence: p.sequence, Kind: kind}, at: p.f.now, strayed: r.strayed,
	})
	holds := p.holds
	p.holds = nil
	for _, h := range holds {
		p.answerHold(h)
	}
}

func (p *workerProcess) stopRun(o dispatch.Stop) job.OrderResponse {
	response := job.OrderResponse{Clock: p.clock()}
	if !p.acceptEpoch(o.Fence) {
		response.Refusal = job.RefusedEpoch
		return response
	}
	p.note(o.Run.Task.String(), "is told under epoch %d to stop run %d", o.Epoch, o.Run.Number)
	p.highestRun[o.Run.Task] = max(p.highestRun[o.Run.Task], o.Run.Number)
	if r := p.runs[o.Run]; r != nil && !r.stopping {
		r.stopping = true
		p.f.after(p.f.between(0, fleetStopTime), func() { p.endRun(r, job.EndOther, "stopped") })
	}
	return response
}

func (p *workerProcess) setPace(o dispatch.Pace) job.OrderResponse {
	response := job.OrderResponse{Clock: p.clock()}
	if !p.acceptEpoch(o.Fence) {
		response.Refusal = job.RefusedEpoch
	}
	return response
}

func (p *workerProcess) hold(h dispatch.Hold, answer func(workerAnswer)) {
	if !p.acceptEpoch(h.Fence) {
		answer(workerAnswer{response: job.OrderResponse{Refusal: job.RefusedEpoch, Clock: p.clock()}})
		return
	}
	for _, e := range p.ends {
		if e.Sequence <= h.Acknowledged {
			e.lapsed = e.lapsed || p.leaseEnd < p.clock()
			p.note(e.Task.String(), "the end of run %d is acknowledged under epoch %d", e.Number, h.Epoch)
			p.f.endAcknowledged(e, p.id)
		}
	}
	p.ends = slices.DeleteFunc(p.ends, func(e *fleetEnd) bool { return e.Sequence <= h.Acknowledged })
	if h.LeaseEnd > 0 {
		p.extendLease(h.LeaseEnd)
	}
	waiting := &waitingHold{answer: answer}
	if len(p.ends) > 0 || h.Wait == 0 {
		p.answerHold(waiting)
		return
	}
	p.holds = append(p.holds, waiting)
	p.f.after(h.Wait, func() { p.answerHold(waiting) })
}

// answerHold answers with both lists as they are now.
func (p *workerProcess) answerHold(h *waitingHold) {
	if h.done || p.ended {
		return
	}
	h.done = true
	p.holds = slices.DeleteFunc(p.holds, func(other *waitingHold) bool { return other == h })
	inv := job.Inventory{Boot: p.boot, Clock: p.clock()}
	for _, e := range p.ends {
		if limit := p.place.maxListedEnds; limit > 0 && len(inv.Ended) == limit {
			break
		}
		inv.Ended = append(inv.Ended, e.EndedTask)
	}
	inv.MoreEnds = p.place.maxListedEnds > 0 && len(inv.Ended) == p.place.maxListedEnds
	for _, r := range p.sortedRuns() {
		inv.Running = append(inv.Running, job.RunningTask{Run: r.Run, Percent: 100})
	}
	h.answer(workerAnswer{inventory: inv, response: job.OrderResponse{Clock: inv.Clock}})
}

func (p *workerProcess) sortedRuns() []*fleetRun {
	return slices.SortedFunc(maps.Values(p.runs), func(a, b *fleetRun) int {
		return cmp.Or(strings.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Number, b.Number))
	})
}
