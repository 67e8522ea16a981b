package event

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubearch/jujubearch/internal/state/notice"
)

// Guards against a log that bulk lines fill while its output is slow, so that the lines which explain a failure are lost.
func TestBulkLinesLeaveRoomInTheQueue(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	// The budget would hide what the queue does.
	a.bulkBudget = newVolumeBudget(1<<30, 1<<30)
	logger := a.NewLogger("info", "json")
	const lines, essential = 2 * maxQueuedLines, maxQueuedLines / 4
	for range lines {
		Log(logger, notice.RunPlaced)
	}
	for i := range essential {
		Log(logger, notice.RunReleased, notice.Attr{Key: "number", Value: i})
	}
	close(out.release)
	a.Close()
	dropped := a.Dropped()
	text := out.text.String()
	assert.Equal(t, dropped.Essential, uint64(0))
	assert.Equal(t, strings.Count(text, `"name":"run-released"`), essential)
	assert.Assert(t, dropped.Bulk > 0)
	assert.Equal(t, uint64(strings.Count(text, `"name":"run-placed"`))+dropped.Bulk, uint64(lines))
}

// Guards against a log whose volume grows with the load, so that operators who keep the end of each log keep only seconds
// of it, and against a budget that the lines which explain a failure use up or are subject to.
func TestVolumeOfBulkLinesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		a := NewAsyncWriter(&out)
		logger := a.NewLogger("info", "json")
		const seconds, perSecond = 300, 200
		for range seconds {
			for range perSecond {
				Log(logger, notice.RunPlaced, notice.Attr{Key: "task", Value: "0123456789abcdef.0.0.0"})
				Log(logger, notice.RunReleased)
			}
			time.Sleep(time.Second)
		}
		a.Close()
		bulkBytes, essential := 0, 0
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, `"name":"run-placed"`) {
				bulkBytes += len(line)
			} else {
				essential++
			}
		}
		assert.Equal(t, essential, seconds*perSecond)
		assert.Equal(t, a.Dropped().Essential, uint64(0))
		assert.Assert(t, a.Dropped().Bulk > 0)
		assert.Assert(t, bulkBytes <= maxBulkBurstBytes+seconds*bulkBytesPerSecond, "%d bytes of bulk lines", bulkBytes)
	})
}

// Guards against a log in which a decision stands before its inputs, because the classes of lines take different ways.
func TestLinesOfBothClassesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	logger := a.NewLogger("info", "text")
	var want []string
	for range 200 {
		Log(logger, notice.RunPlaced)
		Log(logger, notice.RunReleased)
		want = append(want, "run-placed", "run-released")
	}
	a.Close()
	var got []string
	for line := range strings.Lines(out.String()) {
		_, rest, _ := strings.Cut(line, "name=")
		name, _, _ := strings.Cut(rest, " ")
		got = append(got, strings.TrimSpace(name))
	}
	assert.DeepEqual(t, got, want)
}

// Guards against warnings, errors and decisions about faults that are dropped under load.
func TestOnlyInformationIsBulk(t *testing.T) {
	for _, code := range notice.Codes() {
		definition, _ := notice.Define(code)
		assert.Assert(t, definition.Level == notice.Info || !notice.IsBulk(code), "event %d is bulk", code)
	}
	for _, code := range []notice.Code{notice.WorkerGone, notice.LeaderElected, notice.ConfigApplied, notice.RunStopped} {
		assert.Assert(t, !notice.IsBulk(code), "event %d is bulk", code)
	}
	for _, code := range []notice.Code{notice.RunPlaced, notice.RunEnded, notice.JobAccepted} {
		assert.Assert(t, notice.IsBulk(code), "event %d is not bulk", code)
	}
}
