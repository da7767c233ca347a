package proof

import (
	"os"
	"testing"
	"time"
)

// Operators roll a bundle that makes one domain the home of more keys, and another that takes
// them back, while callers order. An order that ran at the old owner and at the new one would
// be doubled; a domain that took keys before the other had left them would run both.
func TestHomesMoveBetweenDomains(t *testing.T) {
	s := startSite(t, 220+os.Getpid()%4)
	f := s.startTraffic()
	f.flow()
	for _, share := range []int{3, 1} {
		s.bundle.Services[0].Homes[1].Share = share
		rolled := time.Now()
		s.next()
		s.eventually("every range is owned", s.everyRangeOwned)
		t.Logf("share %d: every range owned %v after the roll began", share, time.Since(rolled).Round(time.Millisecond))
		f.flow()
	}
	f.finishAll()
}
