package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// minReports is the number of usage reports from which a size is learned.
	minReports = 5
	// keptSamples bounds the samples of one kind; older ones are overwritten, so that an estimate follows a change.
	keptSamples = 64
	// sizeMarginPercent is added to the learned usage, knownMarginPercent to that of processors once keptSamples reports
	// have come in: the quantile of few reports is the less certain one.
	sizeMarginPercent  = 15
	knownMarginPercent = 10
	// minDeclaredPercent is the least share of the declared size that is reserved. A kind whose late reports miss its
	// peak would otherwise be reserved far too small.
	minDeclaredPercent = 50
	// knownCPUPercent takes its place for processors once keptSamples reports have come in: a peak that they all missed
	// slows tasks down, while too little memory ends them.
	knownCPUPercent = 25
	// sizeQuantile and runTimeQuantile are the quantiles that estimates take from the samples.
	sizeQuantile    = 0.95
	runTimeQuantile = 0.75
	// trialTasks is the number of tasks that an unknown kind may run until its reports arrive. Filling the fleet by declared
	// sizes first would hold that room for a whole run time, and put work of unknown effect beside every service.
	trialTasks = 8
	// trialTime bounds that restriction. Workers report every second; a kind whose reports lag by more than this starts by
	// its declared size, since work must not wait for minutes on reports that may never come.
	trialTime = 15 * time.Second
	// maxKinds bounds the kinds that estimates are kept for.
	maxKinds = 4096
)

// SizeEstimate is the size to reserve for a task.
type SizeEstimate struct {
	Reserve model.Resources
	Reports int
	// Learned is false while the declared size is used for lack of reports.
	Learned bool
	Reason  string
}

// RunTimeEstimate is the expected run time of a task; 0 means unknown.
type RunTimeEstimate struct {
	RunTime time.Duration
	Learned bool
}

// Estimates are the learned sizes and run times by kind. They are not safe for concurrent use.
type Estimates struct {
	kinds map[string]*kindSamples
}

type kindSamples struct {
	cpu, memory, seconds samples
	// firstSeen is when a task of the kind first waited.
	firstSeen time.Time
}

// samples is a ring of the newest values with their quantile.
type samples struct {
	values []int64
	next   int
	total  int
	cached int64
	stale  bool
}

func (s *samples) add(v int64) {
	s.total++
	s.stale = true
	if len(s.values) < keptSamples {
		s.values = append(s.values, v)
		return
	}
	s.values[s.next] = v
	s.next = (s.next + 1) % keptSamples
}

func (s *samples) quantile(q float64) int64 {
	if !s.stale {
		return s.cached
	}
	sorted := slices.Clone(s.values)
	slices.Sort(sorted)
	s.cached = sorted[int(q*float64(len(sorted)-1)+0.5)]
	s.stale = false
	return s.cached
}

// NewEstimates returns estimates without data.
func NewEstimates() *Estimates {
	return &Estimates{kinds: make(map[string]*kindSamples)}
}

func (e *Estimates) kind(name string) *kindSamples {
	k := e.kinds[name]
	if k == nil && len(e.kinds) < maxKinds {
		k = &kindSamples{}
		e.kinds[name] = k
	}
	return k
}

// ObserveUsage takes a measured usage of one task. Usage without processors and memory was not measured and is ignored.
func (e *Estimates) ObserveUsage(kind string, used model.Resources) {
	k := e.kind(kind)
	if k == nil || (used.CPUMillis <= 0 && used.MemoryBytes <= 0) {
		return
	}
	k.cpu.add(used.CPUMillis)
	k.memory.add(used.MemoryBytes)
}

// ObserveRunTime takes the run time of a finished task.
func (e *Estimates) ObserveRunTime(kind string, runTime time.Duration) {
	if k := e.kind(kind); k != nil && runTime > 0 {
		k.seconds.add(int64(runTime / time.Second))
	}
}

// StartLimit returns how many more tasks of a kind may start now while running ones hold room. Kinds with reports have
// no limit, nor have kinds whose tasks end before a usage report comes.
func (e *Estimates) StartLimit(now time.Time, kind string, running int) int {
	const noLimit = 1 << 30
	k := e.kind(kind)
	if k == nil || k.cpu.total >= minReports || k.seconds.total >= minReports {
		return noLimit
	}
	if k.firstSeen.IsZero() {
		k.firstSeen = now
	}
	if now.Sub(k.firstSeen) > trialTime {
		return noLimit
	}
	return max(trialTasks-running, 0)
}

// Size returns what to reserve for a task. Before minReports reports it is the declared size, and never more: the worker
// enforces the declared memory, so that more could not be used, and P1 counts what is reserved. Reserving more processors
// for kinds that use more than declared measured worse (docs/placement.md). Accelerators are whole devices and are
// reserved as declared.
func (e *Estimates) Size(kind string, declared model.Resources) SizeEstimate {
	k := e.kinds[kind]
	if k == nil || k.cpu.total < minReports {
		return SizeEstimate{Reserve: declared, Reports: k.reports(), Reason: "declared size, fewer than 5 reports"}
	}
	reserve := declared
	least, margin := int64(minDeclaredPercent), int64(sizeMarginPercent)
	if k.cpu.total >= keptSamples {
		least, margin = knownCPUPercent, knownMarginPercent
	}
	reserve.CPUMillis = bounded(k.cpu.quantile(sizeQuantile), declared.CPUMillis, margin, least)
	reserve.MemoryBytes = bounded(k.memory.quantile(sizeQuantile), declared.MemoryBytes, sizeMarginPercent, minDeclaredPercent)
	reason := fmt.Sprintf("p95 of %d reports plus %d%% of processors and %d%% of memory, at least %d%% and %d%% of the declared size",
		k.cpu.total, margin, sizeMarginPercent, least, minDeclaredPercent)
	return SizeEstimate{Reserve: reserve, Reports: k.cpu.total, Learned: true, Reason: reason}
}

func (k *kindSamples) reports() int {
	if k == nil {
		return 0
	}
	return k.cpu.total
}

func bounded(used, declared, marginPercent, leastPercent int64) int64 {
	learned := used + used*marginPercent/100
	return min(max(learned, declared*leastPercent/100), declared)
}

// RunTime returns the expected run time of a task of the kind; before minReports finished tasks it is the declared one.
func (e *Estimates) RunTime(kind string, declared time.Duration) RunTimeEstimate {
	k := e.kinds[kind]
	if k == nil || k.seconds.total < minReports {
		return RunTimeEstimate{RunTime: declared}
	}
	return RunTimeEstimate{RunTime: time.Duration(k.seconds.quantile(runTimeQuantile)) * time.Second, Learned: true}
}
