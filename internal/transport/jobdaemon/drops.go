package jobdaemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/jujubearch/jujubearch/internal/state/notice"
	"github.com/jujubearch/jujubearch/internal/transport/event"
)

// dropReportInterval is the shortest time between two reports of dropped log lines. Operators keep only the end of a log,
// so a report must follow soon after each gap.
const dropReportInterval = 10 * time.Second

// startDropReports reports dropped log lines until the returned function is called, which waits for a report that is being
// written: the log may be closed after that.
func startDropReports(logger *slog.Logger, count func() event.DroppedLines) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reportDroppedLines(ctx, logger, count)
	}()
	return func() {
		cancel()
		<-done
	}
}

// reportDroppedLines logs the number of dropped log lines when it has grown, so that the log of a process that is killed
// shows that it has gaps.
func reportDroppedLines(ctx context.Context, logger *slog.Logger, count func() event.DroppedLines) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported event.DroppedLines
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if dropped := count(); dropped != reported {
			logDroppedLines(logger, dropped)
			reported = dropped
		}
	}
}

// logDroppedLines logs how many log lines were dropped, if any were.
func logDroppedLines(logger *slog.Logger, dropped event.DroppedLines) {
	if dropped.Total() == 0 {
		return
	}
	event.Log(logger, notice.LinesDropped, notice.Attr{Key: "lines", Value: dropped.Total()},
		notice.Attr{Key: "bulk", Value: dropped.Bulk}, notice.Attr{Key: "essential", Value: dropped.Essential})
}
