package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jujubearch/jujubearch/internal/coordination/admission"
	"github.com/jujubearch/jujubearch/internal/state/verdict"
)

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	requests  [verdict.Ran + 1]*metrics.Counter
	refusals  [admission.TooLate + 1]*metrics.Counter
	duration  *metrics.Histogram
	queue     *metrics.Gauge
	retries   *metrics.Counter
	hedges    *metrics.Counter
	ejections *metrics.Counter
	forwarded *metrics.Counter
	// truncated counts responses that broke off before their end.
	truncated *metrics.Counter
}

func newServiceMetrics(service string) *serviceMetrics {
	m := &serviceMetrics{
		duration:  metrics.GetOrCreateHistogram(fmt.Sprintf(`jujubearch_request_duration_seconds{service=%q}`, service)),
		queue:     metrics.GetOrCreateGauge(fmt.Sprintf(`jujubearch_queue_length_requests{service=%q}`, service), nil),
		retries:   metrics.GetOrCreateCounter(fmt.Sprintf(`jujubearch_retries_total{service=%q}`, service)),
		hedges:    metrics.GetOrCreateCounter(fmt.Sprintf(`jujubearch_hedges_total{service=%q}`, service)),
		ejections: metrics.GetOrCreateCounter(fmt.Sprintf(`jujubearch_instance_ejections_total{service=%q}`, service)),
		truncated: metrics.GetOrCreateCounter(fmt.Sprintf(`jujubearch_cut_responses_total{service=%q}`, service)),
		forwarded: metrics.GetOrCreateCounter(fmt.Sprintf(`jujubearch_forwarded_requests_total{service=%q}`, service)),
	}
	for v := range m.requests {
		name := fmt.Sprintf(`jujubearch_requests_total{service=%q,verdict=%q}`, service, verdict.Verdict(v))
		m.requests[v] = metrics.GetOrCreateCounter(name)
	}
	for r := range m.refusals {
		name := fmt.Sprintf(`jujubearch_refusals_total{service=%q,reason=%q}`, service, admission.Result(r))
		m.refusals[r] = metrics.GetOrCreateCounter(name)
	}
	return m
}

// recordEnd counts a finished request by its verdict and records its duration.
func (m *serviceMetrics) recordEnd(v verdict.Verdict, started time.Time) {
	m.requests[v].Inc()
	m.duration.UpdateDuration(started)
}

func (m *serviceMetrics) recordRefusal(r admission.Result) { m.refusals[r].Inc() }
