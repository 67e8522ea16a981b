package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

type simRun struct {
	finishAt time.Time
	// pace is in percent. metric is what the worker reports of the run: tail latency or CPU use. recentMean is the mean
	// of that quantity over the last half second.
	pace               int
	metric, recentMean float64
	// aboveTarget is how long a serving task has been above its target without interruption.
	aboveTarget time.Duration
	endKind     job.EndKind
	size        model.Resources
}

type simWorker struct {
	id          model.WorkerID
	boot        job.BootID
	address     string
	capacity    model.Resources
	started     time.Time
	epoch       model.Epoch
	leaseEnd    time.Duration
	runs        map[job.Run]*simRun
	highestRun  map[job.Task]job.RunNumber
	endedRuns   []job.EndedTask
	sequence    int64
	unreachable bool
	// endDelay is how long after the end of the leases their runs end.
	endDelay time.Duration
	// refusing means that connections to the worker are refused while it runs on.
	refusing bool
	draining bool
	unlisted bool
	// labels are those of the worker beside its kind and rack.
	labels []string
	// reportedPercent is the progress that the worker reports of every run.
	reportedPercent int
	// maxListedEnds is the number of ends that an inventory lists; 0 means all.
	maxListedEnds int
	// requiredPermit is the permit that every start must carry; empty means none.
	requiredPermit job.Permit
	// unguarded means that the worker carries out starts above its capacity, and reports them to overCapacity.
	unguarded    bool
	overCapacity func(used model.Resources)
	// outcome decides how a run ends and after what time.
	outcome func(run job.Run) (job.EndKind, time.Duration)
}

func (s *simWorker) clock(now time.Time) time.Duration { return now.Sub(s.started) }

func (s *simWorker) acceptEpoch(e model.Epoch) bool {
	if e < s.epoch {
		return false
	}
	s.epoch = e
	return true
}

func (s *simWorker) extendLease(now time.Time, end time.Duration) {
	s.leaseEnd = max(s.leaseEnd, min(end, s.clock(now)+testMaxLease))
}

func (sim *simulation) start(s *simWorker, o Start) job.OrderResponse {
	clock := s.clock(sim.now)
	if !s.acceptEpoch(o.Fence) {
		return job.OrderResponse{Refusal: job.RefusedEpoch, Clock: clock}
	}
	if _, here := s.runs[o.Run]; here {
		return job.OrderResponse{Clock: clock}
	}
	if o.Run.Number <= s.highestRun[o.Run.Task] {
		return job.OrderResponse{Refusal: job.RefusedOldRun, Clock: clock}
	}
	if o.LeaseEnd <= clock {
		return job.OrderResponse{Refusal: job.RefusedLeaseExpired, Clock: clock}
	}
	s.extendLease(sim.now, o.LeaseEnd)
	size := sim.sizeOf(o.Run.Task)
	used := size
	for _, r := range s.runs {
		used = used.Add(r.size)
	}
	if !used.FitsIn(s.capacity) && s.unguarded {
		s.overCapacity(used)
	} else if !used.FitsIn(s.capacity) {
		return job.OrderResponse{Refusal: job.RefusedCapacity, Clock: clock}
	}
	if s.requiredPermit != "" && o.Permit != s.requiredPermit {
		return job.OrderResponse{Refusal: job.RefusedPermit, Clock: clock}
	}
	sim.checkStart(o.Run)
	kind, took := s.outcome(o.Run)
	s.runs[o.Run] = &simRun{finishAt: sim.now.Add(took), endKind: kind, size: size, pace: fullPercent}
	return job.OrderResponse{Clock: clock}
}

func (sim *simulation) stop(s *simWorker, o Stop) job.OrderResponse {
	if !s.acceptEpoch(o.Fence) {
		return job.OrderResponse{Refusal: job.RefusedEpoch}
	}
	s.highestRun[o.Run.Task] = max(s.highestRun[o.Run.Task], o.Run.Number)
	if r, here := s.runs[o.Run]; here {
		r.endKind, r.finishAt = job.EndOther, sim.now.Add(200*time.Millisecond)
	}
	return job.OrderResponse{Clock: s.clock(sim.now)}
}

func (sim *simulation) receiveHold(d *Dispatcher, h Hold) {
	s, another := sim.listener(h.Target)
	sent := sim.now
	finish := func(inv job.Inventory, a job.OrderResponse) {
		if d == sim.leader {
			d.HandleHold(sim.now, sent, h.Target, inv, a)
			sim.advance(d)
		}
	}
	if another {
		sim.after(10*time.Millisecond, func() { finish(job.Inventory{}, job.OrderResponse{Refusal: job.RefusedBoot}) })
		return
	}
	if s != nil && s.refusing {
		sim.after(5*time.Millisecond, func() { finish(job.Inventory{}, refusedConnection) })
		return
	}
	if s == nil || s.unreachable || sim.withProbability(sim.faults.lost) {
		sim.after(h.Wait+500*time.Millisecond, func() { finish(job.Inventory{}, job.OrderResponse{Err: errNoResponse}) })
		return
	}
	sim.after(5*time.Millisecond, func() { sim.answerHold(s, h, sim.now.Add(h.Wait), finish) })
}

// answerHold answers once an end is listed or the wait is over.
func (sim *simulation) answerHold(
	s *simWorker, h Hold, until time.Time, finish func(job.Inventory, job.OrderResponse),
) {
	if s.refusing {
		sim.after(5*time.Millisecond, func() { finish(job.Inventory{}, job.OrderResponse{Err: errNoResponse}) })
		return
	}
	if s.unreachable {
		// It became so while the hold waited there.
		sim.after(500*time.Millisecond, func() { finish(job.Inventory{}, job.OrderResponse{Err: errNoResponse}) })
		return
	}
	if !s.acceptEpoch(h.Fence) {
		sim.after(5*time.Millisecond, func() { finish(job.Inventory{}, job.OrderResponse{Refusal: job.RefusedEpoch}) })
		return
	}
	if h.LeaseEnd > 0 {
		s.extendLease(sim.now, h.LeaseEnd)
	}
	s.endedRuns = slices.DeleteFunc(s.endedRuns, func(e job.EndedTask) bool { return e.Sequence <= h.Acknowledged })
	if len(s.endedRuns) == 0 && sim.now.Before(until) {
		sim.after(20*time.Millisecond, func() { sim.answerHold(s, h, until, finish) })
		return
	}
	inv := job.Inventory{Boot: s.boot, Clock: s.clock(sim.now), Ended: slices.Clone(s.endedRuns)}
	if s.maxListedEnds > 0 && len(inv.Ended) >= s.maxListedEnds {
		inv.Ended, inv.MoreEnds = inv.Ended[:s.maxListedEnds], true
	}
	for _, run := range s.sortedRuns() {
		inv.Running = append(inv.Running, job.RunningTask{
			Run: run, Percent: s.reportedPercent, Measurement: s.runs[run].metric,
		})
	}
	sim.after(5*time.Millisecond, func() { finish(inv, job.OrderResponse{Clock: inv.Clock}) })
}

// sortedRuns returns the runs in a fixed order.
func (s *simWorker) sortedRuns() []job.Run {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b job.Run) int {
		return cmp.Or(strings.Compare(string(a.Task.Job), string(b.Task.Job)),
			cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
			cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index),
			cmp.Compare(a.Number, b.Number))
	})
}

func (s *simWorker) hasDueRun(now time.Time) bool {
	for _, r := range s.runs {
		if !r.finishAt.After(now) {
			return true
		}
	}
	return false
}

// endDueRuns ends the runs of a worker that are finished or whose lease has expired.
func (sim *simulation) endDueRuns(s *simWorker) {
	leaseExpired := len(s.runs) > 0 && s.clock(sim.now) > s.leaseEnd+s.endDelay
	if !leaseExpired && !s.hasDueRun(sim.now) {
		return
	}
	for _, run := range s.sortedRuns() {
		r := s.runs[run]
		if !leaseExpired && r.finishAt.After(sim.now) {
			continue
		}
		kind := r.endKind
		if leaseExpired {
			kind = job.EndOther
		}
		delete(s.runs, run)
		s.highestRun[run.Task] = max(s.highestRun[run.Task], run.Number)
		s.sequence++
		s.endedRuns = append(s.endedRuns, job.EndedTask{Run: run, Sequence: s.sequence, Kind: kind})
	}
}

// restart resets a worker to a new boot under the same id.
func (sim *simulation) restart(s *simWorker) {
	s.boot, s.started, s.epoch, s.leaseEnd, s.sequence = job.BootID(sim.now.UnixMilli()), sim.now, 0, 0, 0
	s.runs, s.highestRun, s.endedRuns = make(map[job.Run]*simRun), make(map[job.Task]job.RunNumber), nil
}
