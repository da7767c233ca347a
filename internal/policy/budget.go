package policy

// The retry budget: each first try earns a tenth of a retry, and at most ten are saved.
// Thus retries add at most a tenth to the load, and a fault that meets all requests is not
// made worse by them.
const (
	retryShare = 0.1
	retryMost  = 10
)

// maxTries is the number of times that one request is sent at most.
const maxTries = 3

// Budget limits retries to a share of the requests.
type Budget struct {
	saved float64
}

// Earn counts a first try.
func (b *Budget) Earn() {
	b.saved = min(b.saved+retryShare, retryMost)
}

// Spend reports whether a retry is within the budget, and counts it.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
