package model

import "time"

// Elapsed returns the time between two readings by the monotonic or the wall clock, whichever is longer: the monotonic
// clock may stop while the VM is suspended.
func Elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}
