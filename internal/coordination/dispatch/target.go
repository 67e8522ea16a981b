package dispatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/notice"
)

const (
	// haltAfter is how long a serving task may have been above its target before all best-effort tasks beside it are halted,
	// whatever the slopes of the pairs are.
	haltAfter = 2500 * time.Millisecond
	// clearHeadroom is the headroom from which a single report shows that a task is within its target. Below, it takes two
	// in a row: reports of a task slightly above its target are often within it.
	clearHeadroom = 1.2
	// keptReports is the number of a serving task's reports that are kept for the log.
	keptReports = 12
	// minLoggedMiss is how long a serving task has been above its target, beside best-effort tasks at work, when that is
	// logged. minMissShare is the share of the reports since then that say so: reports are rough.
	minLoggedMiss = 2500 * time.Millisecond
	minMissShare  = 0.7
	// maxLoggedRuns limits the best-effort runs that a line names.
	maxLoggedRuns = 12
	// missLogInterval is the minimum time between two such lines of one task.
	missLogInterval = 4 * time.Second
)

// targetReport is a report of a serving task.
type targetReport struct {
	at       time.Time
	headroom float64
	// beside is the share of the worker's CPU that the best-effort tasks beside it may use at the paces sent to them.
	beside float64
}

// trackTargets records for each serving task since when it may have been above its latency target.
func (d *Dispatcher) trackTargets(now time.Time, w *worker) {
	beside := -1.0
	for _, r := range w.orderedRuns {
		if !r.serving() {
			continue
		}
		headroom, ok := r.reportedHeadroom()
		if !ok {
			continue
		}
		r.above.observe(now, headroom)
		if beside < 0 {
			beside = w.pacedShare()
		}
		r.keepReport(targetReport{now, headroom, beside})
		d.logMissedTarget(now, r)
	}
}

// aboveTarget follows for how long a serving task may have been above its latency target. A report describes the past half
// second, is rough, and comes late, so the count begins with the last report that showed the task within its target, and
// ends only once reports show that clearly.
type aboveTarget struct {
	// since is when the count began; zero while the task is within its target.
	since time.Time
	// withinAt is when the last report arrived that showed it within its target.
	withinAt time.Time
	// inDoubt is set while the count goes on though the newest report was within the target.
	inDoubt bool
}

// observe takes a report into account.
func (a *aboveTarget) observe(now time.Time, headroom float64) {
	switch counting := !a.since.IsZero(); {
	case headroom <= 1 && counting:
		a.inDoubt = false
	case headroom <= 1:
		a.since = a.withinAt
		// Nothing is known of a longer time without reports.
		if earliest := now.Add(-maxReportGap); a.since.Before(earliest) {
			a.since = earliest
		}
	case counting && headroom < clearHeadroom && !a.inDoubt:
		a.inDoubt = true
	default:
		a.since, a.withinAt, a.inDoubt = time.Time{}, now, false
	}
}

// overdue reports whether best-effort tasks must not keep the task above its target any longer.
func (a *aboveTarget) overdue(now time.Time) bool {
	return !a.since.IsZero() && !a.inDoubt && now.Sub(a.since) > haltAfter
}

// haltOverdue halts the best-effort tasks beside serving tasks that have been above their targets for long. It does not wait
// for a further report, which may come too late, and repeats orders that have failed.
func (d *Dispatcher) haltOverdue(now time.Time) {
	for _, w := range d.sortedWorkers {
		for _, r := range w.orderedRuns {
			if r.above.overdue(now) && r.serving() {
				d.adjustPaces(now, w)
				break
			}
		}
	}
}

// pacedShare returns the share of the worker's CPU that its best-effort tasks may use.
func (w *worker) pacedShare() float64 {
	share := 0.0
	for _, r := range w.orderedRuns {
		if r.task != nil && r.task.step.BestEffort && r.phase == running {
			share += cpuShare(r.task.step.Size, w) * float64(max(r.pace, 0)) / fullPercent
		}
	}
	return share
}

func (r *run) keepReport(report targetReport) {
	if len(r.reports) == keptReports {
		copy(r.reports, r.reports[1:])
		r.reports = r.reports[:keptReports-1]
	}
	r.reports = append(r.reports, report)
}

// missedFor returns how long a serving task has been above its target according to most of its reports.
func (r *run) missedFor() time.Duration {
	longest := time.Duration(0)
	newest := len(r.reports) - 1
	above := 0
	for i := newest; i >= 0; i-- {
		if r.reports[i].headroom > 1 {
			continue
		}
		above++
		if float64(above) >= minMissShare*float64(newest-i+1) {
			longest = r.reports[newest].at.Sub(r.reports[i].at)
		}
	}
	return longest
}

// logMissedTarget logs that a serving task has been above its target for long while best-effort tasks beside it were at
// work, with what the decisions about them rest on.
func (d *Dispatcher) logMissedTarget(now time.Time, r *run) {
	newest := r.reports[len(r.reports)-1]
	if newest.headroom > 1 || newest.beside <= 0 || now.Sub(r.missLoggedAt) < missLogInterval {
		return
	}
	missed := r.missedFor()
	if missed < minLoggedMiss {
		return
	}
	r.missLoggedAt = now
	counted := time.Duration(0)
	if !r.above.since.IsZero() {
		counted = now.Sub(r.above.since)
	}
	d.logEvent(notice.TargetMissed, Attr{Key: "task", Value: r.Task.String()}, Attr{Key: "run", Value: r.Number},
		Attr{Key: "worker", Value: r.worker.ID}, Attr{Key: "missed", Value: missed}, Attr{Key: "counted", Value: counted},
		Attr{Key: "forecast", Value: r.marginAt(r.task.step.load.predict(now, paceHorizon)) + 1},
		Attr{Key: "offset", Value: r.headroomOffset}, Attr{Key: "reports", Value: r.describeReports(now)},
		Attr{Key: "beside", Value: r.worker.describeBestEffort(now)})
}

// describeReports returns age, headroom and paced best-effort share of the kept reports.
func (r *run) describeReports(now time.Time) string {
	var parts []string
	for _, report := range r.reports {
		parts = append(parts, fmt.Sprintf("%.2fs:%.2f/%.2f", now.Sub(report.at).Seconds(), report.headroom, report.beside))
	}
	return strings.Join(parts, " ")
}

// describeBestEffort returns the first maxLoggedRuns best-effort runs of a worker with the age of their placement, phase,
// pace and the value of their jobs' work, and the number of the others.
func (w *worker) describeBestEffort(now time.Time) string {
	phases := [...]string{starting: "starting", running: "running", stopping: "stopping"}
	var parts []string
	others := 0
	for _, r := range w.orderedRuns {
		switch {
		case r.task == nil || !r.task.step.BestEffort:
		case len(parts) == maxLoggedRuns:
			others++
		default:
			parts = append(parts, fmt.Sprintf("%v:%.2fs,%s,%d%%,%.2f", r.Task, now.Sub(r.placedAt).Seconds(), phases[r.phase],
				r.pace, r.task.owner.workValue))
		}
	}
	if others > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", others))
	}
	return strings.Join(parts, " ")
}
