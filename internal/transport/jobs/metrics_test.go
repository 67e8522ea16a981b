package jobs

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/coordination/dispatch"
	"github.com/jujubearch/jujubearch/internal/coordination/scheduler"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

func exposed(m *Metrics) string {
	var text bytes.Buffer
	m.Set().WritePrometheus(&text)
	return text.String()
}

// Guards against releases on a proof that can be seen only in the log, which may be gone.
func TestReleasedRunsAreCountedByProof(t *testing.T) {
	e := &Executor{Metrics: NewMetrics()}
	for _, proof := range []string{"lease-ended", "done", "lease-ended"} {
		assert.Assert(t, e.Inline(scheduler.Dispatch{Action: dispatch.RunReleased{Proof: proof}}))
	}
	text := exposed(e.Metrics)
	assert.Assert(t, strings.Contains(text, "jujubearch_runs_released_total{proof=\"lease-ended\"} 2\n"), "%s", text)
	assert.Assert(t, strings.Contains(text, "jujubearch_runs_released_total{proof=\"done\"} 1\n"), "%s", text)
}

// Guards against a loss of lines that explain a failure that looks like the usual loss of bulk lines.
func TestDroppedLinesAreExposedByClass(t *testing.T) {
	m := NewMetrics()
	m.RegisterDroppedLines(func() event.DroppedLines { return event.DroppedLines{Bulk: 5, Essential: 2} })
	text := exposed(m)
	for _, line := range []string{
		`jujubearch_log_lines_dropped 7`, `jujubearch_log_lines_dropped_by_class{class="bulk"} 5`,
		`jujubearch_log_lines_dropped_by_class{class="essential"} 2`,
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%s is missing in:\n%s", line, text)
	}
}
