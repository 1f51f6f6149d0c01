// Package boottime provides a monotonic clock that includes the time during which the machine is
// suspended. The monotonic clock of time.Time stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the machine booted, including suspensions. Instants of different
// machines are not comparable.
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists on every kernel that Go supports.
		panic("boottime: " + err.Error())
	}
	return Instant(t.Nano())
}

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
