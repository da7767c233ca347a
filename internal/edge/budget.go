package edge

import (
	"math"
	"sync"
	"time"
)

// RetryBudget limits retries. In any window, all instances together may retry a fraction of the
// requests plus a fixed number. Each instance uses only its own part of that, so that the limit
// also holds while instances cannot communicate. While its part of the fixed number is not known,
// an instance uses only what its requests have earned lately.
type RetryBudget struct {
	// ratio is the number of retries that each request earns. slack returns this instance's part
	// of the fixed number, which may change with the number of instances, and false while that
	// number is not known.
	ratio  float64
	window time.Duration
	slack  func() (float64, bool)
	now    func() time.Time

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// ratioShare is the part of the allowed ratio that is used. The limit holds in a sliding window,
// which may contain a retry but not the request that earned it. A retry follows its request
// within some tenths of a second, so about 3% of a window of ten seconds are affected.
const ratioShare = 0.85

// slackShare is the part of the fixed number that is used. An instance that restarts within a
// window begins with a full bucket again.
const slackShare = 0.5

// earnedLifeShare is the part of a window in which unused retries that were earned fade while there
// is no fixed number that would cover them. With ratioShare, a window in which all of them are used
// has at most 0.94 of the retries that its requests allow.
const earnedLifeShare = 0.1

// tokenBucket holds the retries that are left for one service.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
	// hasSlack says that tokens has contained the instance's part of the fixed number.
	hasSlack bool
}

// NewRetryBudget returns a budget. Ratio is the number of retries per request that all instances
// may make in a window; slack returns this instance's part of the fixed number of retries, or false
// while that is not known.
func NewRetryBudget(ratio float64, window time.Duration, slack func() (float64, bool), now func() time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioShare, window: window, slack: slack, now: now, buckets: map[string]*tokenBucket{}}
}

// refilled returns the bucket of a service, refilled up to the current time.
func (b *RetryBudget) refilled(service string) *tokenBucket {
	now := b.now()
	t := b.buckets[service]
	if t == nil {
		t = &tokenBucket{filledAt: now}
		b.buckets[service] = t
	}
	elapsed := now.Sub(t.filledAt).Seconds() / b.window.Seconds()
	t.filledAt = now
	slack, known := b.slack()
	maxTokens := slack * slackShare
	switch {
	case !known:
		t.tokens *= math.Exp(-elapsed / earnedLifeShare)
	case !t.hasSlack:
		t.tokens, t.hasSlack = maxTokens, true
	default:
		// The fixed number is refilled over two windows.
		t.tokens = min(t.tokens+maxTokens*elapsed/2, maxTokens)
	}
	return t
}

// Earn adds what one request earns to the budget of its service.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refilled(service).tokens += b.ratio
}

// Spend reports whether a request may be retried, and if so takes the retry from the budget.
func (b *RetryBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refilled(service)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
