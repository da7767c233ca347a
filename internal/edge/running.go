package edge

import "sync"

// running counts the requests that are at servers, by failure domain.
type running struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *running) add(domain string, n int) {
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
	e.running.mu.Lock()
	defer e.running.mu.Unlock()
	return e.running.counts[domain]
}
