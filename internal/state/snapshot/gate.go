// Package snapshot defines the immutable view of the control state that traffic goroutines read through an atomic
// pointer. Only its gates are mutable, by means of atomics: the control goroutine alone sets limits, traffic goroutines
// alone count slots in use and record health, and either may close a gate.
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

// NewInstanceLimiter returns an open gate with the given number of own slots.
func NewInstanceLimiter(limit int32) *InstanceLimiter {
	g := &InstanceLimiter{}
	g.SetLimit(limit)
	return g
}

// TryAcquire takes an own slot and reports whether one was free. It never waits.
func (g *InstanceLimiter) TryAcquire() bool { return !g.closed.Load() && g.own.tryAcquire() }

// Release returns an own slot.
func (g *InstanceLimiter) Release() { g.own.release() }

// TryAcquireUntil takes a slot for a request that ends by the deadline: an own slot, or a borrowed one if the loan
// lasts until then. It never waits. The slot must be returned with ReleaseSlot.
func (g *InstanceLimiter) TryAcquireUntil(deadline time.Time) Slot {
	if g.TryAcquire() {
		return SlotOwn
	}
	if g.TryAcquireBorrowed(deadline) {
		return SlotBorrowed
	}
	return SlotNone
}

// TryAcquireBorrowed takes a borrowed slot if the loan lasts until the deadline. It never waits. The slot must be
// returned with ReleaseSlot.
func (g *InstanceLimiter) TryAcquireBorrowed(deadline time.Time) bool {
	until := g.loanEnd.Load()
	return !g.closed.Load() && until != nil && !endsAfter(deadline, *until) && g.borrowed.tryAcquire()
}

// endsAfter reports whether deadline is after until by the monotonic or by the wall clock: the monotonic clock does not
// count the time for which a VM is suspended, and the wall clock may be set back.
func endsAfter(deadline, until time.Time) bool {
	return deadline.After(until) || deadline.Round(0).After(until.Round(0))
}

// ReleaseSlot returns a slot taken with TryAcquireUntil or TryAcquireBorrowed; SlotNone is ignored.
func (g *InstanceLimiter) ReleaseSlot(slot Slot) {
	switch slot {
	case SlotOwn:
		g.own.release()
	case SlotBorrowed:
		g.borrowed.release()
	case SlotNone:
	}
}

// InUse returns the number of slots in use, own and borrowed.
func (g *InstanceLimiter) InUse() int32 { return g.OwnInUse() + g.BorrowedInUse() }

// Limit returns the number of slots, own and borrowed.
func (g *InstanceLimiter) Limit() int32 { return g.OwnLimit() + g.BorrowedLimit() }

// OwnInUse returns the number of own slots in use.
func (g *InstanceLimiter) OwnInUse() int32 {
	_, use := g.own.load()
	return int32(use)
}

// OwnLimit returns the number of own slots.
func (g *InstanceLimiter) OwnLimit() int32 {
	limit, _ := g.own.load()
	return int32(limit)
}

// BorrowedInUse returns the number of borrowed slots in use.
func (g *InstanceLimiter) BorrowedInUse() int32 {
	_, use := g.borrowed.load()
	return int32(use)
}

// BorrowedLimit returns the number of borrowed slots.
func (g *InstanceLimiter) BorrowedLimit() int32 {
	limit, _ := g.borrowed.load()
	return int32(limit)
}

// SetLimit changes the number of own slots and returns the number in use at that moment. If that exceeds the new limit,
// the requests keep their slots until they release them.
func (g *InstanceLimiter) SetLimit(limit int32) int32 {
	return int32(g.own.setLimit(uint32(max(limit, 0))))
}

// SetBorrowed changes the number of borrowed slots and the time by which requests on them must end. A decrease takes
// effect before the new time and an increase after it, so that the new time never applies to more slots than the new
// number.
func (g *InstanceLimiter) SetBorrowed(limit int32, until time.Time) {
	limit = max(limit, 0)
	if limit < g.BorrowedLimit() {
		g.borrowed.setLimit(uint32(limit))
	}
	g.loanEnd.Store(&until)
	g.borrowed.setLimit(uint32(limit))
}

// Close makes the gate refuse new requests; requests in progress keep their slots.
func (g *InstanceLimiter) Close() { g.closed.Store(true) }

// Open makes the gate accept new requests again.
func (g *InstanceLimiter) Open() { g.closed.Store(false) }

// IsClosed reports whether the gate refuses new requests.
func (g *InstanceLimiter) IsClosed() bool { return g.closed.Load() }

// BorrowedUntil returns the time by which requests on borrowed slots must end; zero if there was never a loan.
func (g *InstanceLimiter) BorrowedUntil() time.Time {
	if until := g.loanEnd.Load(); until != nil {
		return *until
	}
	return time.Time{}
}
