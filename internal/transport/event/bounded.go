package event

import (
	"io"
	"log/slog"
	"sync/atomic"
)

const (
	// maxQueuedLines is the number of log lines that the queue holds.
	maxQueuedLines = 4096
	// maxQueuedBulkLines is the part of the queue that bulk lines may fill. The rest stays free for all other lines.
	maxQueuedBulkLines = maxQueuedLines / 2
	// maxBatchBytes is the batch size at which no further queued lines are added to a write.
	maxBatchBytes = 32 << 10
)

// AsyncWriter is an asynchronous writer that never blocks: a goroutine writes the lines from a bounded queue in the order
// in which they were queued. Lines that find no room are dropped and counted. Bulk lines may fill only a part of the queue,
// and those beyond their budget of volume are dropped as well, so that they displace no other line: neither from the queue
// nor from what operators keep of the log.
type AsyncWriter struct {
	lines chan queuedLine
	// queuedBulk is the number of bulk lines in the queue.
	queuedBulk                    atomic.Int64
	bulkBudget                    *volumeBudget
	droppedBulk, droppedEssential atomic.Uint64
	done                          chan struct{}
}

type queuedLine struct {
	text []byte
	bulk bool
}

// DroppedLines counts dropped lines by class. Essential lines are all that are not bulk.
type DroppedLines struct{ Bulk, Essential uint64 }

// Total returns the number of dropped lines of any class.
func (l DroppedLines) Total() uint64 { return l.Bulk + l.Essential }

// NewAsyncWriter returns a writer that passes lines on to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		lines: make(chan queuedLine, maxQueuedLines), bulkBudget: newVolumeBudget(bulkBytesPerSecond, maxBulkBurstBytes),
		done: make(chan struct{}),
	}
	go a.writeQueued(w)
	return a
}

// NewLogger returns a logger, as the function NewLogger does, that writes the lines of bulk events as bulk lines.
func (a *AsyncWriter) NewLogger(level, format string) *slog.Logger {
	return slog.New(&classHandler{
		essential: newHandler(a, level, format), bulk: newHandler(bulkWriter{a}, level, format),
	})
}

// Write queues a copy of an essential line. It always reports success; see Dropped for lines that were lost.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.enqueue(line, false) {
		a.droppedEssential.Add(1)
	}
	return len(line), nil
}

// bulkWriter queues bulk lines.
type bulkWriter struct{ *AsyncWriter }

// Write queues a copy of a bulk line. It always reports success.
func (b bulkWriter) Write(line []byte) (int, error) {
	if b.queuedBulk.Add(1) > maxQueuedBulkLines || !b.bulkBudget.take(len(line)) || !b.enqueue(line, true) {
		b.queuedBulk.Add(-1)
		b.droppedBulk.Add(1)
	}
	return len(line), nil
}

// enqueue queues a copy of a line and reports whether there was room for it.
func (a *AsyncWriter) enqueue(line []byte, bulk bool) bool {
	select {
	case a.lines <- queuedLine{text: append([]byte(nil), line...), bulk: bulk}:
		return true
	default:
		return false
	}
}

// Dropped returns the numbers of lines dropped so far.
func (a *AsyncWriter) Dropped() DroppedLines {
	return DroppedLines{Bulk: a.droppedBulk.Load(), Essential: a.droppedEssential.Load()}
}

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}

// writeQueued writes queued lines to w in batches until the queue is closed and empty.
func (a *AsyncWriter) writeQueued(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for line := range a.lines {
		batch = a.appendLine(batch[:0], line)
		batch = a.appendQueued(batch)
		// There is no place left to report that the log itself can't be written.
		_, _ = w.Write(batch)
	}
}

// appendQueued appends lines that are already queued, without waiting, until the batch has maxBatchBytes.
func (a *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-a.lines:
			if !ok {
				return batch
			}
			batch = a.appendLine(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// appendLine appends a line that was taken from the queue.
func (a *AsyncWriter) appendLine(batch []byte, line queuedLine) []byte {
	if line.bulk {
		a.queuedBulk.Add(-1)
	}
	return append(batch, line.text...)
}
