package logcl

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// The bounds of waiting after failures.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

// pacer decides when the next call may leave: within a rate, and after failures later and
// later, so that a log that is slow or down for hours is not stormed by all instances.
type pacer struct {
	limiter *rate.Limiter
	backoff *backoff.ExponentialBackOff
	random  *rand.Rand
	notBefore  Time
}

func newPacer(perSecond float64, burst int, random *rand.Rand) *pacer {
	return &pacer{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		backoff: &backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 2, MaxInterval: maxBackoff},
		random:  random,
	}
}

func wallTime(t Time) time.Time {
	return time.Unix(0, int64(t))
}

// failed puts the next call off. Half of the wait is random, so that instances which failed
// at one moment do not all return at one.
func (p *pacer) failed(now Time) {
	wait := p.backoff.NextBackOff()
	wait = wait/2 + time.Duration(p.random.Int64N(int64(wait/2)+1))
	p.notBefore = max(p.notBefore, now+Time(wait))
}

func (p *pacer) succeeded() {
	p.backoff.Reset()
	p.notBefore = 0
}

// take spends one call, or returns when to ask again.
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

// reserve spends one call and returns when it may leave.
func (p *pacer) reserve(now Time) Time {
	delay := p.limiter.ReserveN(wallTime(now), 1).DelayFrom(wallTime(now))
	return max(now+Time(delay), p.notBefore)
}
