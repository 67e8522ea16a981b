package jobdaemon

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/transport/event"
)

// Guards against gaps in the log of a killed process that nothing in the log tells of, and against a report at each
// interval though no further line was dropped.
func TestDroppedLinesAreReportedByClassWhileTheProcessRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		dropped := event.DroppedLines{Bulk: 5, Essential: 2}
		stop := startDropReports(event.NewLogger(&out, "info", "json"), func() event.DroppedLines { return dropped })
		time.Sleep(3*dropReportInterval + time.Second)
		stop()
		assert.Equal(t, strings.Count(out.String(), "\n"), 1)
		assert.Assert(t, strings.Contains(out.String(), `"lines":7,"bulk":5,"essential":2`), "%s", out.String())
	})
}

// slowWriter takes a second for each line.
type slowWriter struct{ written int }

func (w *slowWriter) Write(line []byte) (int, error) {
	time.Sleep(time.Second)
	w.written++
	return len(line), nil
}

// Guards against a report that is written after the log was closed, which ends the process with a panic.
func TestNoDroppedLinesAreReportedOnceStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{}
		dropped := event.DroppedLines{Bulk: 1}
		stop := startDropReports(event.NewLogger(out, "info", "json"), func() event.DroppedLines { return dropped })
		time.Sleep(dropReportInterval + 500*time.Millisecond)
		stop()
		assert.Equal(t, out.written, 1, "the report that was being written is complete")
	})
}
