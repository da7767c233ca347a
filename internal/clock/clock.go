// Package clock provides the clock by which leases are timed, and helpers for times.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on the boot clock, in nanoseconds since the machine started.
//
// The boot clock also advances while the machine is suspended. A lease timed by the monotonic clock
// would seem valid after a suspension, although others might have taken it over meanwhile.
type Instant int64

// Clock returns the current time of the clock by which leases are timed.
type Clock interface {
	Now() Instant
}

// Boot is the machine's boot clock.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without a boot clock the monotonic clock will do: such kernels cannot suspend a machine unnoticed.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return Instant(t.Nano())
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// Fake is a clock for tests, which set the time in At.
type Fake struct{ At Instant }

// Now implements Clock.
func (f *Fake) Now() Instant { return f.At }

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
