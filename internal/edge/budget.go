package edge

import (
	"sync"
	"time"
)

// RetryBudget bounds how often requests are sent a second time. All instances share one allowance:
// in any window, a part of the requests and a fixed number. Each takes its part of it, so that
// it holds also while instances do not hear one another.
type RetryBudget struct {
	// Ratio and Slack are this instance's part of the allowance.
	ratio  float64
	window time.Duration
	slack  func() float64
	now    func() time.Time

	mu       sync.Mutex
	services map[string]*allowance
}

// ratioShare is the part of the allowed ratio that is used: the window of the allowance slides,
// and requests that are counted at its edges may fall out of it. A repetition comes within some
// tenths of a second of its request, so that 3% of a window of ten seconds lie at its edges.
const ratioShare = 0.85

// slackShare is the part of the fixed number that is used: instances may start anew within a
// window, and begin with a full allowance.
const slackShare = 0.5

// allowance is what is left for one service.
type allowance struct {
	tokens   float64
	filledAt time.Time
}

// NewRetryBudget returns a budget. Slack returns this instance's part of the fixed number.
func NewRetryBudget(ratio float64, window time.Duration, slack func() float64, now func() time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioShare, window: window, slack: slack, now: now, services: map[string]*allowance{}}
}

func (b *RetryBudget) get(service string) *allowance {
	a := b.services[service]
	now := b.now()
	most := b.slack() * slackShare
	if a == nil {
		a = &allowance{tokens: most, filledAt: now}
		b.services[service] = a
	}
	// The fixed number comes back over one window.
	a.tokens += most * now.Sub(a.filledAt).Seconds() / b.window.Seconds() / 2
	a.tokens = min(a.tokens, most)
	a.filledAt = now
	return a
}

// Earn takes in a request.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).tokens += b.ratio
}

// Spend reports whether a request may be sent once more, and if so counts it.
func (b *RetryBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(service)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
