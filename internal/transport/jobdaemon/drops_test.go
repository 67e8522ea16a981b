package jobdaemon

import (
	"bytes"
	"context"
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
		ctx, cancel := context.WithCancel(t.Context())
		go reportDroppedLines(ctx, event.NewLogger(&out, "info", "json"), func() event.DroppedLines { return dropped })
		time.Sleep(3*dropReportInterval + time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, strings.Count(out.String(), "\n"), 1)
		assert.Assert(t, strings.Contains(out.String(), `"lines":7,"bulk":5,"essential":2`), "%s", out.String())
	})
}
