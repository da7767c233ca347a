package policy

// The retry budget: each first try earns a tenth of a retry, and at most ten are saved.
// Thus retries add at most a tenth to the load, and a fault that meets all requests is not
// made worse by them.
const (
	retriesPerRequest = 0.1
	maxSavedRetries   = 10
)

// maxAttempts is the number of times that one request is sent at most.
const maxAttempts = 3

// RetryBudget limits retries to a share of the requests.
type RetryBudget struct {
	saved float64
}

// Earn counts a first try.
func (b *RetryBudget) Earn() {
	b.saved = min(b.saved+retriesPerRequest, maxSavedRetries)
}

// Spend reports whether a retry is within the budget, and counts it.
func (b *RetryBudget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
