package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// minReports is the number of samples of a kind from which its size or run time is estimated.
	minReports = 5
	// maxSamples is the number of newest samples kept of each measure of a kind. Older samples are overwritten, so that
	// estimates follow changes.
	maxSamples = 64
	// sizeMarginPercent is added to the learned usage. Once maxSamples reports are in, fullSampleCPUMarginPercent is
	// added to the CPU usage instead: a quantile of few reports is less certain and needs the larger margin.
	sizeMarginPercent          = 15
	fullSampleCPUMarginPercent = 10
	// minReservePercent is the smallest share of the declared size that is reserved. Without it, a kind whose peak is
	// missed by the delayed reports would get a far too small reservation.
	minReservePercent = 50
	// fullSampleMinCPUPercent replaces minReservePercent for CPU once maxSamples reports are in. A CPU peak that all of
	// them missed only slows tasks down, whereas too little memory kills them.
	fullSampleMinCPUPercent = 25
	// sizeQuantile and runTimeQuantile are the quantiles of the samples that estimates are based on.
	sizeQuantile    = 0.95
	runTimeQuantile = 0.75
	// maxTrialTasks is the number of tasks that a kind without estimates may run until its reports arrive. Filling the
	// fleet by declared sizes first would block that capacity for a whole run time and put work of unknown impact
	// beside every service.
	maxTrialTasks = 8
	// maxTrialTime limits how long maxTrialTasks applies. Workers report every second. If no reports arrive within this
	// time, the kind starts with its declared size, since work must not wait minutes for reports that may never come.
	maxTrialTime = 15 * time.Second
	// maxKinds bounds the number of kinds with estimates.
	maxKinds = 4096
)

// SizeEstimate is the size to reserve for a task.
type SizeEstimate struct {
	Reserve model.Resources
	Reports int
	// Learned is false if the declared size is used because there are too few reports.
	Learned bool
	// Reason explains how Reserve was derived.
	Reason string
}

// RunTimeEstimate is the expected run time of a task; 0 means unknown.
type RunTimeEstimate struct {
	RunTime time.Duration
	Learned bool
}

// Estimates holds the learned sizes and run times by task kind. It is not safe for concurrent use.
type Estimates struct {
	kinds map[string]*kindSamples
}

type kindSamples struct {
	cpu, memory, runSeconds samples
	// firstSeen is when StartLimit was first asked about the kind.
	firstSeen time.Time
}

// samples is a ring buffer of the newest values with a cached quantile. All calls of quantile on one samples must ask
// for the same q.
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
	if len(s.values) < maxSamples {
		s.values = append(s.values, v)
		return
	}
	s.values[s.next] = v
	s.next = (s.next + 1) % maxSamples
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

// NewEstimates returns an Estimates without samples.
func NewEstimates() *Estimates {
	return &Estimates{kinds: make(map[string]*kindSamples)}
}

// kind returns the samples of a kind, which it creates if needed, or nil if maxKinds kinds are known already.
func (e *Estimates) kind(name string) *kindSamples {
	k := e.kinds[name]
	if k == nil && len(e.kinds) < maxKinds {
		k = &kindSamples{}
		e.kinds[name] = k
	}
	return k
}

// ObserveUsage adds a usage sample of one task. A sample with neither CPU nor memory was not measured and is ignored.
func (e *Estimates) ObserveUsage(kind string, used model.Resources) {
	k := e.kind(kind)
	if k == nil || (used.CPUMillis <= 0 && used.MemoryBytes <= 0) {
		return
	}
	k.cpu.add(used.CPUMillis)
	k.memory.add(used.MemoryBytes)
}

// ObserveRunTime adds the run time of a finished task.
func (e *Estimates) ObserveRunTime(kind string, runTime time.Duration) {
	if k := e.kind(kind); k != nil && runTime > 0 {
		k.runSeconds.add(int64(runTime / time.Second))
	}
}

// StartLimit returns how many more tasks of a kind may start now, given the number that is running. There is no limit
// for kinds with enough reports, nor for kinds whose tasks finish before their usage is reported.
func (e *Estimates) StartLimit(now time.Time, kind string, running int) int {
	const noLimit = 1 << 30
	k := e.kind(kind)
	if k == nil || k.cpu.total >= minReports || k.runSeconds.total >= minReports {
		return noLimit
	}
	if k.firstSeen.IsZero() {
		k.firstSeen = now
	}
	if now.Sub(k.firstSeen) > maxTrialTime {
		return noLimit
	}
	return max(maxTrialTasks-running, 0)
}

// Size returns what to reserve for a task: the declared size before minReports reports are in, and an estimate that is
// never larger afterwards. The worker enforces the declared memory, so a larger reservation could not be used, and it
// would count against the worker's capacity (guarantee P1, see package invariant). Reserving more CPU for kinds that
// use more than declared gave worse results (docs/placement.md). Accelerators are whole devices and are reserved as
// declared.
func (e *Estimates) Size(kind string, declared model.Resources) SizeEstimate {
	k := e.kinds[kind]
	if k == nil || k.cpu.total < minReports {
		return SizeEstimate{Reserve: declared, Reports: k.reports(), Reason: "declared size, fewer than 5 reports"}
	}
	reserve := declared
	minPercent, margin := int64(minReservePercent), int64(sizeMarginPercent)
	if k.cpu.total >= maxSamples {
		minPercent, margin = fullSampleMinCPUPercent, fullSampleCPUMarginPercent
	}
	reserve.CPUMillis = reservation(k.cpu.quantile(sizeQuantile), declared.CPUMillis, margin, minPercent)
	reserve.MemoryBytes = reservation(k.memory.quantile(sizeQuantile), declared.MemoryBytes, sizeMarginPercent,
		minReservePercent)
	reason := fmt.Sprintf("p95 of %d reports plus %d%% CPU and %d%% memory, at least %d%% and %d%% of the declared size",
		k.cpu.total, margin, sizeMarginPercent, minPercent, minReservePercent)
	return SizeEstimate{Reserve: reserve, Reports: k.cpu.total, Learned: true, Reason: reason}
}

func (k *kindSamples) reports() int {
	if k == nil {
		return 0
	}
	return k.cpu.total
}

// reservation returns the usage plus a margin, limited to between minPercent and 100% of the declared amount.
func reservation(used, declared, marginPercent, minPercent int64) int64 {
	learned := used + used*marginPercent/100
	return min(max(learned, declared*minPercent/100), declared)
}

// RunTime returns the expected run time of a task of the kind. Until minReports tasks have finished, this is the
// declared run time.
func (e *Estimates) RunTime(kind string, declared time.Duration) RunTimeEstimate {
	k := e.kinds[kind]
	if k == nil || k.runSeconds.total < minReports {
		return RunTimeEstimate{RunTime: declared}
	}
	return RunTimeEstimate{RunTime: time.Duration(k.runSeconds.quantile(runTimeQuantile)) * time.Second, Learned: true}
}
