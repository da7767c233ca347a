package edge

import "sync"

// inFlightCounter counts the requests that were sent to servers and have not ended, by the
// failure domain of the server.
type inFlightCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *inFlightCounter) add(domain string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	if c.counts[domain] += n; c.counts[domain] == 0 {
		delete(c.counts, domain)
	}
}

// InFlight returns the number of this instance's requests in progress at the servers of a
// failure domain.
func (e *Edge) InFlight(domain string) int {
	e.inFlight.mu.Lock()
	defer e.inFlight.mu.Unlock()
	return e.inFlight.counts[domain]
}
