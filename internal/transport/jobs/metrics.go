package jobs

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

// Metrics holds the Prometheus metrics of the job scheduler. Metric names include the unit.
type Metrics struct {
	set           *metrics.Set
	holds         *metrics.Counter
	commitSeconds *metrics.Histogram
	// queuedSeconds and stepSeconds are the waiting times of events for the control thread and the durations of its steps.
	queuedSeconds, stepSeconds *metrics.Histogram
	control                    controlLoad
	stages                     stageHistograms
}

// NewMetrics returns metrics in a set of their own.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set: set, holds: set.NewCounter("jujubearch_worker_holds_total"),
		commitSeconds: set.NewHistogram("jujubearch_commit_seconds"),
		queuedSeconds: set.NewHistogram("jujubearch_control_queued_seconds"),
		stepSeconds:   set.NewHistogram("jujubearch_control_step_seconds"), stages: newStageHistograms(set),
	}
}

// RegisterDroppedLines registers gauges with the number of dropped log lines, in total and by class.
func (m *Metrics) RegisterDroppedLines(count func() event.DroppedLines) {
	m.set.NewGauge("jujubearch_log_lines_dropped", func() float64 { return float64(count().Total()) })
	m.set.NewGauge(`jujubearch_log_lines_dropped_by_class{class="bulk"}`, func() float64 { return float64(count().Bulk) })
	m.set.NewGauge(`jujubearch_log_lines_dropped_by_class{class="essential"}`,
		func() float64 { return float64(count().Essential) })
}

// Set returns the set to expose to the metrics collector.
func (m *Metrics) Set() *metrics.Set { return m.set }

// observeOrder records the outcome and the duration of an order to a worker.
func (m *Metrics) observeOrder(action dispatch.Action, response job.OrderResponse, start time.Time) {
	kind := "pace"
	switch action.(type) {
	case dispatch.Start:
		kind = "start"
	case dispatch.Stop:
		kind = "stop"
	}
	outcome := response.Refusal.String()
	if response.Err != nil {
		outcome = "no-answer"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`jujubearch_worker_orders_total{kind=%q,refusal=%q}`, kind, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`jujubearch_worker_order_seconds{kind=%q}`, kind)).UpdateDuration(start)
}

// countReleasedRun counts a run that the leader has taken as over.
func (m *Metrics) countReleasedRun(proof string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jujubearch_runs_released_total{proof=%q}`, proof)).Inc()
}

// observeRequest records the outcome and the duration of a caller's request.
func (m *Metrics) observeRequest(kind, outcome string, start time.Time) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jujubearch_job_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`jujubearch_job_request_seconds{kind=%q}`, kind)).UpdateDuration(start)
}
