package edge

import "sync"

// inFlightCounter counts the requests that are at servers, by failure domain.
type inFlightCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *inFlightCounter) add(domain string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	if r.counts[domain] += n; r.counts[domain] == 0 {
		delete(r.counts, domain)
	}
}

// InFlight returns how many requests of this instance are at the servers of a failure domain.
func (e *Edge) InFlight(domain string) int {
	e.inFlight.mu.Lock()
	defer e.inFlight.mu.Unlock()
	return e.inFlight.counts[domain]
}
