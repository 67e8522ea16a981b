package event

import (
	"sync"
	"time"
)

const (
	// bulkBytesPerSecond is the rate to which the volume of bulk lines is limited in the long run: some 60 lines a second.
	// The leader of a small deployment writes fewer at a usual load; the leader of a large one would write many times that.
	bulkBytesPerSecond = 16 << 10
	// maxBulkBurstBytes is the volume of bulk lines that may be written at once after a quiet time: the starts and ends of
	// about 100 tasks. Operators keep the end of a log by its size, so a large burst would displace what came before.
	maxBulkBurstBytes = 64 << 10
)

// volumeBudget is a token bucket of bytes. It is safe for concurrent use.
type volumeBudget struct {
	bytesPerSecond, burst float64

	mu        sync.Mutex
	available float64
	filledAt  time.Time
}

// newVolumeBudget returns a full bucket.
func newVolumeBudget(bytesPerSecond, burst int) *volumeBudget {
	return &volumeBudget{
		bytesPerSecond: float64(bytesPerSecond), burst: float64(burst), available: float64(burst), filledAt: time.Now(),
	}
}

// take takes a number of bytes out of the budget. It reports false, and takes nothing, if fewer are available.
func (b *volumeBudget) take(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.available = min(b.burst, b.available+b.bytesPerSecond*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if float64(bytes) > b.available {
		return false
	}
	b.available -= float64(bytes)
	return true
}
