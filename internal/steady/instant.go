// Package steady reads a clock that never steps back and that goes on while the machine is
// suspended. time.Time carries a clock that stands still then.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the machine started, suspensions included. Instants of
// different machines have nothing to do with one another.
type Instant time.Duration

// Now returns the present instant.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go runs on.
		panic("steady: " + err.Error())
	}
	return Instant(t.Nano())
}

// Sub returns how long i is after earlier.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant a while after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
