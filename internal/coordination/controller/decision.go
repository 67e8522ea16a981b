package controller

import (
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/guard"
	"github.com/jujubearch/jujubearch/internal/coordination/placement"
	"github.com/jujubearch/jujubearch/internal/state/model"
	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// minUsageInterval is the minimum time between two usage samples of one attempt, so that a long-running task does not
// crowd out the samples of other tasks of its kind.
const minUsageInterval = 5 * time.Second

// schedulingState is what the owner of a shard needs to place its tasks, most of it learned from the workers' delayed
// reports. It is in memory only: the next owner starts with the declared sizes and the prior estimates, and learns
// again.
type schedulingState struct {
	epoch      model.Epoch
	estimates  *placement.Estimates
	slowdown   *placement.Slowdown
	history    *placement.MixHistory
	budget     *guard.Budget
	guard      *guard.Guard
	quarantine *guard.Quarantine
	runs       map[model.TaskID]*observedRun
	// holds are the reservations for tasks for which an eviction makes room.
	holds map[model.TaskID]hold
	// reportedUnrunnable holds the jobs that were logged as too large for every worker or for their team's quota.
	reportedUnrunnable map[model.JobID]bool
	quotaShare         cachedShare
	nextGuard          time.Time
}

// observedRun is what the reports showed of one attempt.
type observedRun struct {
	attempt     model.Attempt
	firstSeenAt time.Time
	// fromStart is true when this owner has seen the attempt from its start and it did not resume from a checkpoint.
	fromStart    bool
	checkpoint   string
	checkpointAt time.Time
	// sampledAt is the time of the last usage sample, measuredAt that of the last latency measurement.
	sampledAt  time.Time
	measuredAt time.Time
	// ratio is the measured latency of a service instance divided by its target.
	ratio float64
	band  placement.LoadBand
	// throttle is the share of processor time, in percent, that the attempt may use.
	throttle uint32
	// healthy is set once the attempt has run for guard.MinHealthyRunTime.
	healthy bool
	ended   bool
	// evicting is set once an eviction of the attempt has begun.
	evicting bool
}

// unsaved returns the time since the newest checkpoint or the start, whose work a stop would lose.
func (r *observedRun) unsaved(now time.Time) time.Duration {
	if r.checkpoint != "" {
		return now.Sub(r.checkpointAt)
	}
	return now.Sub(r.firstSeenAt)
}

// schedulingOf returns the scheduling state of a shard's current epoch.
func (c *Controller) schedulingOf(s *shard) *schedulingState {
	if c.scheduling == nil {
		c.scheduling = make(map[model.ShardID]*schedulingState)
	}
	sched := c.scheduling[s.id]
	if sched == nil || sched.epoch != s.owner.Epoch {
		slowdown, budget := placement.NewSlowdown(), &guard.Budget{}
		sched = &schedulingState{
			epoch: s.owner.Epoch, estimates: placement.NewEstimates(), slowdown: slowdown,
			history: placement.NewMixHistory(), budget: budget, guard: guard.New(slowdown, budget),
			quarantine: guard.NewQuarantine(),
			runs:       make(map[model.TaskID]*observedRun), holds: make(map[model.TaskID]hold),
			reportedUnrunnable: make(map[model.JobID]bool),
		}
		c.scheduling[s.id] = sched
	}
	return sched
}

// observeReport updates the scheduling state from a worker's report. Attempts that the journal does not place on the
// worker are ignored.
func (c *Controller) observeReport(s *shard, w *worker, report model.WorkerReport) {
	sched := c.schedulingOf(s)
	for _, run := range report.Runs {
		t, known := s.tasks.Task(run.Task)
		job := s.tasks.Job(run.Task.Job)
		if !known || job == nil || t.Worker != w.id() || t.Attempt != run.Attempt {
			continue
		}
		obs := sched.runOf(c.now, t)
		obs.throttle = run.ThrottlePercent
		if run.Checkpoint != obs.checkpoint {
			obs.checkpoint, obs.checkpointAt = run.Checkpoint, c.now.Add(-run.UsageAge)
		}
		c.observeUsage(sched, w.id(), obs, &job.FirstDelegation.Job, run)
		c.observeOutcome(sched, w.id(), obs, &job.FirstDelegation.Job, run)
	}
}

// runOf returns the observations of the task's current attempt and starts new ones for a new attempt.
func (sched *schedulingState) runOf(now time.Time, t model.Task) *observedRun {
	obs := sched.runs[t.ID]
	if obs == nil || obs.attempt != t.Attempt {
		obs = &observedRun{
			attempt: t.Attempt, firstSeenAt: now, checkpoint: t.Checkpoint, checkpointAt: now, throttle: 100,
			fromStart: t.Phase == model.PhaseAssigned && t.Checkpoint == "",
		}
		sched.runs[t.ID] = obs
	}
	return obs
}

// observeUsage records the usage and latency of an attempt, which were measured run.UsageAge ago.
func (c *Controller) observeUsage(
	sched *schedulingState, id model.WorkerID, obs *observedRun, job *model.Job, run model.RunStatus,
) {
	measuredAt := c.now.Add(-run.UsageAge)
	if run.Phase != model.RunRunning || run.Used.IsZero() || measuredAt.Before(obs.firstSeenAt) {
		return
	}
	if measuredAt.Sub(obs.sampledAt) >= minUsageInterval {
		obs.sampledAt = measuredAt
		sched.estimates.ObserveUsage(job.Kind, run.Used)
	}
	target := c.latencyTarget(job)
	if target <= 0 || run.LatencyP99 <= 0 || measuredAt.Sub(obs.measuredAt) < guard.MeasurementWindow {
		return
	}
	obs.measuredAt = measuredAt
	obs.ratio = run.LatencyP99.Seconds() / target.Seconds()
	obs.band = placement.LoadBandOf(float64(run.Used.CPUMillis) / float64(max(job.Declared.CPUMillis, 1)))
	if mix, ok := sched.history.Average(id, measuredAt.Add(-guard.MeasurementWindow), measuredAt); ok {
		sched.slowdown.Observe(c.now, job.Kind, obs.band, mix, obs.ratio)
	}
}

func (c *Controller) latencyTarget(job *model.Job) time.Duration {
	if job.Class != model.ClassService {
		return 0
	}
	service, _ := c.head.head.Config.Service(job.Service)
	return service.LatencyTarget
}

// observeOutcome counts the outcome of each attempt once; the worker reports it repeatedly until it gets the order to
// forget it.
func (c *Controller) observeOutcome(
	sched *schedulingState, id model.WorkerID, obs *observedRun, job *model.Job, run model.RunStatus,
) {
	if obs.ended {
		return
	}
	switch run.Phase {
	case model.RunFailed:
		obs.ended = true
		sched.quarantine.RecordFailure(c.now, id, job.ID)
	case model.RunFinished:
		obs.ended = true
		if obs.fromStart {
			sched.estimates.ObserveRunTime(job.Kind, c.now.Sub(obs.firstSeenAt))
		}
		c.recordSuccess(sched, id, job.ID)
	case model.RunStopped:
		obs.ended = true
	case model.RunRunning:
		if !obs.healthy && c.now.Sub(obs.firstSeenAt) >= guard.MinHealthyRunTime {
			obs.healthy = true
			c.recordSuccess(sched, id, job.ID)
		}
	}
}

func (c *Controller) recordSuccess(sched *schedulingState, id model.WorkerID, job model.JobID) {
	if sched.quarantine.RecordSuccess(c.now, id, job) {
		c.notify(notice.WorkerReturned, Attr{Key: "worker", Value: id})
	}
}
