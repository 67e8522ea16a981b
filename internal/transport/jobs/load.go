package jobs

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

// report carries out an action that only describes the state of the leader, and reports whether it is one.
func (e *Executor) report(action dispatch.Action) bool {
	switch a := action.(type) {
	case dispatch.LoadSample:
		e.logLoad(a)
	case dispatch.JobStages:
		e.Metrics.observeStages(a)
		if a.Overdue > 0 {
			e.logOverdue(a)
		}
	case dispatch.RunReleased:
		e.Metrics.countReleasedRun(a.Proof)
	default:
		return false
	}
	return true
}

func (e *Executor) logLoad(s dispatch.LoadSample) {
	control, usage := e.Metrics.control.take(), e.Metrics.control.takeUsage()
	event.Log(e.Logger, notice.LeaderLoad,
		notice.Attr{Key: "busy", Value: control.busy.Seconds() / s.Since.Seconds()},
		notice.Attr{Key: "longest_step", Value: control.longestStep},
		notice.Attr{Key: "oldest_event", Value: control.oldestEvent},
		notice.Attr{Key: "process_cpu", Value: usage.cpu}, notice.Attr{Key: "collections", Value: usage.collections},
		notice.Attr{Key: "inventories", Value: s.Inventories}, notice.Attr{Key: "starts", Value: s.Starts},
		notice.Attr{Key: "candidates", Value: s.Candidates}, notice.Attr{Key: "passes", Value: s.Passes},
		notice.Attr{Key: "unreached_steps", Value: s.UnreachedSteps},
		notice.Attr{Key: "unrunnable_steps", Value: s.UnrunnableSteps},
		notice.Attr{Key: "open_jobs", Value: s.OpenJobs}, notice.Attr{Key: "waiting_short", Value: s.WaitingShort},
		notice.Attr{Key: "waiting_best_effort", Value: s.WaitingBestEffort},
		notice.Attr{Key: "waiting_long_running", Value: s.WaitingLongRunning},
		notice.Attr{Key: "held_back", Value: s.HeldBack},
		notice.Attr{Key: "largest_cpu_millis", Value: s.LargestShort.CPUMillis},
		notice.Attr{Key: "room_for_largest", Value: s.RoomForLargest},
		notice.Attr{Key: "free_cpu_millis", Value: s.FreeCPUMillis},
		notice.Attr{Key: "uncommitted_jobs", Value: s.UncommittedJobs},
		notice.Attr{Key: "longest_uncommitted", Value: s.LongestUncommitted},
		notice.Attr{Key: "unacknowledged_workers", Value: s.UnacknowledgedWorkers})
}

func (e *Executor) logOverdue(s dispatch.JobStages) {
	event.Log(e.Logger, notice.JobOverdue, notice.Attr{Key: "job", Value: s.Job},
		notice.Attr{Key: "queue", Value: s.Queue}, notice.Attr{Key: "overdue", Value: s.Overdue},
		notice.Attr{Key: "total", Value: s.Total}, notice.Attr{Key: "learned", Value: s.Learned},
		notice.Attr{Key: "repeated", Value: s.Repeated}, notice.Attr{Key: "waited", Value: s.Waited},
		notice.Attr{Key: "ordered", Value: s.Ordered}, notice.Attr{Key: "ran", Value: s.Ran},
		notice.Attr{Key: "runs", Value: s.Runs})
}

// controlLoad sums up how busy the control thread was.
type controlLoad struct {
	mu sync.Mutex
	controlSample
	// usage is the reading at the last call of takeUsage.
	usage processUsage
}

type controlSample struct{ busy, longestStep, oldestEvent time.Duration }

// take returns the sums since the last call.
func (c *controlLoad) take() controlSample {
	c.mu.Lock()
	defer c.mu.Unlock()
	sample := c.controlSample
	c.controlSample = controlSample{}
	return sample
}

// takeUsage returns what the process has used since the last call.
func (c *controlLoad) takeUsage() processUsage {
	usage := readProcessUsage()
	c.mu.Lock()
	defer c.mu.Unlock()
	since := usage.since(c.usage)
	c.usage = usage
	return since
}

// observeStep records that the control thread has processed the queued events.
func (m *Metrics) observeStep(queued, took time.Duration) {
	m.queuedSeconds.Update(queued.Seconds())
	m.stepSeconds.Update(took.Seconds())
	c := &m.control
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy += took
	c.longestStep, c.oldestEvent = max(c.longestStep, took), max(c.oldestEvent, queued)
}

// stageHistograms are the durations of the stages of completed jobs.
type stageHistograms struct{ learned, repeated, waited, ordered, ran *metrics.Histogram }

func newStageHistograms(set *metrics.Set) stageHistograms {
	histogram := func(stage string) *metrics.Histogram {
		return set.NewHistogram(`jujubearch_job_stage_seconds{stage="` + stage + `"}`)
	}
	return stageHistograms{
		learned: histogram("learned"), repeated: histogram("repeated"), waited: histogram("waited"),
		ordered: histogram("ordered"), ran: histogram("ran"),
	}
}

func (m *Metrics) observeStages(s dispatch.JobStages) {
	m.stages.learned.Update(s.Learned.Seconds())
	m.stages.repeated.Update(s.Repeated.Seconds())
	m.stages.waited.Update(s.Waited.Seconds())
	m.stages.ordered.Update(s.Ordered.Seconds())
	m.stages.ran.Update(s.Ran.Seconds())
}
