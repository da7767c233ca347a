package grant

import "time"

// NewClock returns a monotonic clock that starts at zero. On Linux Go's monotonic time stops
// while the machine is suspended; a grant then lives on after the suspension for the time it
// had left, so machines that are suspended must not hold grants.
func NewClock() func() Instant {
	origin := time.Now()
	return func() Instant {
		return Instant(time.Since(origin))
	}
}
