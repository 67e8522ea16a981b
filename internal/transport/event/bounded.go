package event

import (
	"io"
	"sync/atomic"
)

const (
	// maxQueuedLines is the number of log lines that the queue holds.
	maxQueuedLines = 4096
	// maxBatchBytes is the batch size at which no further queued lines are added to a write.
	maxBatchBytes = 32 << 10
)

// AsyncWriter is an asynchronous writer that never blocks: a goroutine writes the lines from a bounded queue, and lines
// that find the queue full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.writeQueued(w)
	return a
}

// Write queues a copy of a line. It always reports success; see Dropped for lines that were lost.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

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
		batch = append(batch[:0], line...)
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
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
