package routing

import (
	"sync"
	"time"
)

// ByteBudget is a token bucket for the bytes sent between regions in one direction. Bytes are counted after they were
// sent, so the balance may become negative. Until it is positive again, no transfer may start and running ones must
// wait. It is safe for concurrent use.
type ByteBudget struct {
	rate  float64
	burst float64

	mu      sync.Mutex
	balance float64
	updated time.Time
}

// NewByteBudget returns a full budget; rate is in bytes per second and burst in bytes.
func NewByteBudget(rate, burst float64) *ByteBudget {
	return &ByteBudget{rate: rate, burst: burst, balance: burst}
}

// Consume counts bytes that were sent.
func (b *ByteBudget) Consume(now time.Time, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.balance -= float64(bytes)
}

// Delay returns how long to wait until the balance is positive; 0 means that bytes may be sent now.
func (b *ByteBudget) Delay(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.balance > 0 {
		return 0
	}
	return time.Duration((1 - b.balance) / b.rate * float64(time.Second))
}

// refill adds the bytes earned since the last call. The caller must hold the mutex.
func (b *ByteBudget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.balance = min(b.burst, b.balance+b.rate*elapsed.Seconds())
		b.updated = now
	}
}
