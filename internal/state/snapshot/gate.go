// Package snapshot defines the immutable view of the control state that traffic goroutines read through an atomic
// pointer. Only its limiters are mutable, by means of atomics: the control goroutine alone sets limits, traffic
// goroutines alone count slots in use and record health, and either may close a limiter.
package snapshot

import (
	"sync/atomic"
	"time"
)

// Slot says which kind of slot a request holds.
type Slot uint8

// Kinds of slots.
const (
	// SlotNone means that no slot was free.
	SlotNone Slot = iota
	// SlotOwn is a slot of this entry's own share.
	SlotOwn
	// SlotBorrowed is a slot on loan from another entry of the same data centre.
	SlotBorrowed
)

// slotCounter packs a limit and the number of slots in use into one word, so that no slot can be acquired between
// lowering the limit and reading the number in use: an entry that lends slots relies on this.
type slotCounter struct{ word atomic.Uint64 }

const (
	limitShift = 32
	useMask    = 1<<limitShift - 1
)

func pack(limit, use uint32) uint64 { return uint64(limit)<<limitShift | uint64(use) }

func unpack(word uint64) (limit, use uint32) {
	return uint32(word >> limitShift), uint32(word & useMask)
}

func (c *slotCounter) tryAcquire() bool {
	for {
		word := c.word.Load()
		limit, use := unpack(word)
		if use >= limit {
			return false
		}
		if c.word.CompareAndSwap(word, pack(limit, use+1)) {
			return true
		}
	}
}

func (c *slotCounter) release() { c.word.Add(^uint64(0)) }

func (c *slotCounter) load() (limit, use uint32) { return unpack(c.word.Load()) }

// setLimit sets the limit and returns the number of slots in use at that moment.
func (c *slotCounter) setLimit(limit uint32) uint32 {
	for {
		word := c.word.Load()
		_, use := unpack(word)
		if c.word.CompareAndSwap(word, pack(limit, use)) {
			return use
		}
	}
}

// InstanceLimiter limits the concurrent requests of this entry to one upstream instance. It has slots of the entry's
// own share and borrowed slots, which a request may take only if its deadline is not after the end of the loan.
type InstanceLimiter struct {
	// Health is written by traffic goroutines only.
	Health Health

	own      slotCounter
	borrowed slotCounter
	loanEnd  atomic.Pointer[time.Time]
	closed   atomic.Bool
}

// NewInstanceLimiter returns an open limiter with the given number of own slots.
func NewInstanceLimiter(limit int32) *InstanceLimiter {
	l := &InstanceLimiter{}
	l.SetLimit(limit)
	return l
}

// TryAcquire takes an own slot and reports whether one was free. It never waits.
func (l *InstanceLimiter) TryAcquire() bool { return !l.closed.Load() && l.own.tryAcquire() }

// Release returns an own slot.
func (l *InstanceLimiter) Release() { l.own.release() }

// TryAcquireUntil takes a slot for a request that ends by the deadline: an own slot, or a borrowed one if the loan
// lasts until then. It never waits. The slot must be returned with ReleaseSlot.
func (l *InstanceLimiter) TryAcquireUntil(deadline time.Time) Slot {
	if l.TryAcquire() {
		return SlotOwn
	}
	if l.TryAcquireBorrowed(deadline) {
		return SlotBorrowed
	}
	return SlotNone
}

// TryAcquireBorrowed takes a borrowed slot if the loan lasts until the deadline. It never waits. The slot must be
// returned with ReleaseSlot.
func (l *InstanceLimiter) TryAcquireBorrowed(deadline time.Time) bool {
	until := l.loanEnd.Load()
	return !l.closed.Load() && until != nil && !endsAfter(deadline, *until) && l.borrowed.tryAcquire()
}

// endsAfter reports whether deadline is after until by the monotonic or by the wall clock: the monotonic clock does not
// count the time for which a VM is suspended, and the wall clock may be set back.
func endsAfter(deadline, until time.Time) bool {
	return deadline.After(until) || deadline.Round(0).After(until.Round(0))
}

// ReleaseSlot returns a slot taken with TryAcquireUntil or TryAcquireBorrowed; SlotNone is ignored.
func (l *InstanceLimiter) ReleaseSlot(slot Slot) {
	switch slot {
	case SlotOwn:
		l.own.release()
	case SlotBorrowed:
		l.borrowed.release()
	case SlotNone:
	}
}

// InUse returns the number of slots in use, own and borrowed.
func (l *InstanceLimiter) InUse() int32 { return l.OwnInUse() + l.BorrowedInUse() }

// Limit returns the number of slots, own and borrowed.
func (l *InstanceLimiter) Limit() int32 { return l.OwnLimit() + l.BorrowedLimit() }

// OwnInUse returns the number of own slots in use.
func (l *InstanceLimiter) OwnInUse() int32 {
	_, use := l.own.load()
	return int32(use)
}

// OwnLimit returns the number of own slots.
func (l *InstanceLimiter) OwnLimit() int32 {
	limit, _ := l.own.load()
	return int32(limit)
}

// BorrowedInUse returns the number of borrowed slots in use.
func (l *InstanceLimiter) BorrowedInUse() int32 {
	_, use := l.borrowed.load()
	return int32(use)
}

// BorrowedLimit returns the number of borrowed slots.
func (l *InstanceLimiter) BorrowedLimit() int32 {
	limit, _ := l.borrowed.load()
	return int32(limit)
}

// SetLimit changes the number of own slots and returns the number in use at that moment. If that exceeds the new limit,
// the requests keep their slots until they release them.
func (l *InstanceLimiter) SetLimit(limit int32) int32 {
	return int32(l.own.setLimit(uint32(max(limit, 0))))
}

// SetBorrowed changes the number of borrowed slots and the time by which requests on them must end. A decrease takes
// effect before the new time and an increase after it, so that the new time never applies to more slots than the new
// number.
func (l *InstanceLimiter) SetBorrowed(limit int32, until time.Time) {
	limit = max(limit, 0)
	if limit < l.BorrowedLimit() {
		l.borrowed.setLimit(uint32(limit))
	}
	l.loanEnd.Store(&until)
	l.borrowed.setLimit(uint32(limit))
}

// Close makes the limiter refuse new requests; requests in progress keep their slots.
func (l *InstanceLimiter) Close() { l.closed.Store(true) }

// Open makes the limiter accept new requests again.
func (l *InstanceLimiter) Open() { l.closed.Store(false) }

// IsClosed reports whether the limiter refuses new requests.
func (l *InstanceLimiter) IsClosed() bool { return l.closed.Load() }

// BorrowedUntil returns the time by which requests on borrowed slots must end; zero if there was never a loan.
func (l *InstanceLimiter) BorrowedUntil() time.Time {
	if until := l.loanEnd.Load(); until != nil {
		return *until
	}
	return time.Time{}
}
