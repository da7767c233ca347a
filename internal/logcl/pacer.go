package logcl

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// Limits of the wait after a failure.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// pacer decides when the next call may be made. It limits the rate of calls, and backs off
// exponentially after failures, so that the instances together do not flood a log that is slow,
// or that is down for hours.
type pacer struct {
	limiter   *rate.Limiter
	backoff   *backoff.ExponentialBackOff
	random    *rand.Rand
	notBefore Time
}

func newPacer(perSecond float64, burst int, random *rand.Rand) *pacer {
	return &pacer{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		backoff: &backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 2, MaxInterval: maxBackoff},
		random:  random,
	}
}

// wallTime converts a reading of the monotonic clock for rate.Limiter, which uses only the
// differences of times.
func wallTime(t Time) time.Time {
	return time.Unix(0, int64(t))
}

// failed delays the next call. Half of the delay is random, so that instances that failed at the
// same time do not all retry at the same time.
func (p *pacer) failed(now Time) {
	wait := p.backoff.NextBackOff()
	wait = wait/2 + time.Duration(p.random.Int64N(int64(wait/2)+1))
	p.notBefore = max(p.notBefore, now+Time(wait))
}

// succeeded ends the backoff.
func (p *pacer) succeeded() {
	p.backoff.Reset()
	p.notBefore = 0
}

// take uses up one call if it may be made now, and otherwise returns when to ask again.
func (p *pacer) take(now Time) (at Time, ok bool) {
	if now < p.notBefore {
		return p.notBefore, false
	}
	if p.limiter.AllowN(wallTime(now), 1) {
		return 0, true
	}
	reservation := p.limiter.ReserveN(wallTime(now), 1)
	delay := reservation.DelayFrom(wallTime(now))
	reservation.CancelAt(wallTime(now))
	return now + Time(max(delay, time.Millisecond)), false
}

// reserve uses up one call and returns when it may be made.
func (p *pacer) reserve(now Time) Time {
	delay := p.limiter.ReserveN(wallTime(now), 1).DelayFrom(wallTime(now))
	return max(now+Time(delay), p.notBefore)
}
