package policy

// Each first attempt earns a tenth of a retry, and at most ten retries are saved. Retries thus
// add at most a tenth to the load, and do not make a fault worse that affects all requests.
const (
	retriesPerRequest = 0.1
	maxSavedRetries   = 10
)

// maxAttempts is the number of times that one request may be sent to servers.
const maxAttempts = 3

// RetryBudget limits retries to a share of the requests.
type RetryBudget struct {
	saved float64
}

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.saved = min(b.saved+retriesPerRequest, maxSavedRetries)
}

// Spend takes one retry from the budget. It returns false if less than one is saved.
func (b *RetryBudget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
