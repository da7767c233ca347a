package edge

import "sync"

// inFlightCounter counts the requests that were sent to servers and have not ended, by the
// failure domain of the server.
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

// InFlight returns the number of this instance's requests in progress at the servers of a
// failure domain.
func (e *Edge) InFlight(domain string) int {
	e.inFlight.mu.Lock()
	defer e.inFlight.mu.Unlock()
	return e.inFlight.counts[domain]
}
