package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A log output that is not read must not block the process, and every line that is lost must be counted.
func TestAsyncWriterNeverBlocksAndCountsDrops(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	const lines = 3 * maxQueuedLines
	for range lines {
		_, err := a.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, a.Dropped().Total() > 0)
	close(out.release)
	a.Close()
	assert.Equal(t, uint64(strings.Count(out.text.String(), "\n"))+a.Dropped().Total(), uint64(lines))
}
