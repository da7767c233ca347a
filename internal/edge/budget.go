package edge

import (
	"sync"
	"time"
)

// RetryBudget limits retries. In any window, all instances together may retry a fraction of the
// requests plus a fixed number. Each instance uses only its own part of that, so that the limit
// also holds while instances cannot communicate.
type RetryBudget struct {
	// ratio is the number of retries that each request earns. slack returns this instance's part
	// of the fixed number, which may change with the number of instances.
	ratio  float64
	window time.Duration
	slack  func() float64
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

// tokenBucket holds the retries that are left for one service.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

// NewRetryBudget returns a budget. Ratio is the number of retries per request that all instances
// may make in a window; slack returns this instance's part of the fixed number of retries.
func NewRetryBudget(ratio float64, window time.Duration, slack func() float64, now func() time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioShare, window: window, slack: slack, now: now, buckets: map[string]*tokenBucket{}}
}

// refilled returns the bucket of a service, refilled up to the current time.
func (b *RetryBudget) refilled(service string) *tokenBucket {
	t := b.buckets[service]
	now := b.now()
	maxTokens := b.slack() * slackShare
	if t == nil {
		t = &tokenBucket{tokens: maxTokens, filledAt: now}
		b.buckets[service] = t
	}
	// The fixed number is refilled over two windows.
	t.tokens += maxTokens * now.Sub(t.filledAt).Seconds() / b.window.Seconds() / 2
	t.tokens = min(t.tokens, maxTokens)
	t.filledAt = now
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
