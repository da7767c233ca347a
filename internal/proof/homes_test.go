package proof

import (
	"os"
	"testing"
	"time"
)

// TestHomesMoveBetweenDomains rolls a bundle that makes one domain the home of more keys, and then
// another that reverses this, while callers send requests. A domain that takes over keys before the
// other has released them would let a request run twice, at the old and at the new owner.
func TestHomesMoveBetweenDomains(t *testing.T) {
	s := startSystem(t, 220+os.Getpid()%4)
	tr := s.startTraffic()
	tr.awaitRequests()
	for _, share := range []int{3, 1} {
		s.bundle.Services[0].Homes[1].Share = share
		rolled := time.Now()
		s.rollNextVersion()
		s.eventually("every range is owned", s.everyRangeOwned)
		t.Logf("share %d: every range owned %v after the start of the roll", share, time.Since(rolled).Round(time.Millisecond))
		tr.awaitRequests()
	}
	tr.stopAndCheck()
}
