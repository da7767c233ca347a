package grant

import "time"

// NewClock returns a monotonic clock that starts at zero. On Linux, Go's monotonic time stops
// while the machine is suspended. A grant then remains valid after the suspension for the time
// it had left, although its leader counts it as expired, so machines that get suspended must
// not hold grants.
func NewClock() func() Instant {
	origin := time.Now()
	return func() Instant {
		return Instant(time.Since(origin))
	}
}
