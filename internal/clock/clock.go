// Package clock reads the clock that leases are kept on, and compares times.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on the boot clock, in nanoseconds since the machine started.
//
// The boot clock goes on while the machine is suspended. A lease kept on the monotonic clock
// would seem valid after a suspension, and its holder would act on a right that others took
// over meanwhile.
type Instant int64

// Clock tells the time for leases.
type Clock interface {
	Now() Instant
}

// Boot is the machine's boot clock.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels without this clock cannot suspend a machine unseen.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return Instant(t.Nano())
}

// Add returns the instant a duration later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether this instant is earlier.
func (i Instant) Before(o Instant) bool { return i < o }

// Fake is a clock for tests.
type Fake struct{ At Instant }

// Now implements Clock.
func (f *Fake) Now() Instant { return f.At }

// Earlier returns the earlier of two times of day.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
