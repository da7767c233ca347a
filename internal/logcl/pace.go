package logcl

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// The bounds of waiting after failures.
const (
	firstWait = 50 * time.Millisecond
	mostWait  = 5 * time.Second
)

// pace decides when the next call may leave: within a rate, and after failures later and
// later, so that a log that is slow or down for hours is not stormed by all instances.
type pace struct {
	limiter *rate.Limiter
	backoff *backoff.ExponentialBackOff
	random  *rand.Rand
	notYet  Time
}

func newPace(perSecond float64, burst int, random *rand.Rand) *pace {
	return &pace{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		backoff: &backoff.ExponentialBackOff{InitialInterval: firstWait, Multiplier: 2, MaxInterval: mostWait},
		random:  random,
	}
}

func wall(t Time) time.Time {
	return time.Unix(0, int64(t))
}

// failed puts the next call off. Half of the wait is random, so that instances which failed
// at one moment do not all return at one.
func (p *pace) failed(now Time) {
	wait := p.backoff.NextBackOff()
	wait = wait/2 + time.Duration(p.random.Int64N(int64(wait/2)+1))
	p.notYet = max(p.notYet, now+Time(wait))
}

func (p *pace) succeeded() {
	p.backoff.Reset()
	p.notYet = 0
}

// take spends one call, or returns when to ask again.
func (p *pace) take(now Time) (at Time, ok bool) {
	if now < p.notYet {
		return p.notYet, false
	}
	if p.limiter.AllowN(wall(now), 1) {
		return 0, true
	}
	reservation := p.limiter.ReserveN(wall(now), 1)
	delay := reservation.DelayFrom(wall(now))
	reservation.CancelAt(wall(now))
	return now + Time(max(delay, time.Millisecond)), false
}

// reserve spends one call and returns when it may leave.
func (p *pace) reserve(now Time) Time {
	delay := p.limiter.ReserveN(wall(now), 1).DelayFrom(wall(now))
	return max(now+Time(delay), p.notYet)
}
