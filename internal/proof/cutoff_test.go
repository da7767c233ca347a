package proof

import (
	"os"
	"testing"

	"example.org/mustardring/internal/stubs"
)

// TestCutOffDomainServesAndRejoins cuts off a failure domain from the log. The domain then loses its
// leader and a server, and a new instance that has never read the log becomes leader. Requests must
// still be served, each running once, and after the cut every assignment made during it must be in
// the log. An instance that took the bundle only from the log would have none and serve nothing.
func TestCutOffDomainServesAndRejoins(t *testing.T) {
	s := newSystem(t, 250+os.Getpid()%4)
	l := startLink(t, s.address(0, 2, 7000), s.address(0, 1, 7000))
	s.logURLs[1] = "http://" + s.address(0, 2, 7000)
	s.launch()
	tr := s.startTraffic()
	tr.awaitRequests()
	l.setDown(true)
	leader := s.leader(1)
	s.kill(instanceName(1, leader))
	s.setFault(s.address(2, 101, 8000), stubs.ServerFault{Crash: true, RestartMillis: 3000})
	tr.awaitRequests()
	s.startInstance(1, leader)
	s.eventually("the new instance has the bundle", func() bool {
		status, answered := s.status(1, leader)
		return answered && status.BundleVersion == s.bundle.Version && status.NextLogOffset == 0
	})
	s.eventually("every range is owned", s.everyRangeOwned)
	tr.awaitRequests()
	for h := 1; h <= hostsPerDomain; h++ {
		if h != leader {
			s.kill(instanceName(1, h))
		}
	}
	s.eventually("the new instance leads", func() bool {
		status, answered := s.status(1, leader)
		return answered && status.Leading && status.OwnedShare == 1
	})
	for h := 1; h <= hostsPerDomain; h++ {
		if h != leader {
			s.startInstance(1, h)
		}
	}
	tr.awaitRequests()
	l.setDown(false)
	s.eventually("every assignment is in the log", func() bool {
		for h := 1; h <= hostsPerDomain; h++ {
			status, answered := s.status(1, h)
			if !answered || status.NextLogOffset == 0 || status.Provisional > 0 {
				return false
			}
		}
		return true
	})
	tr.awaitRequests()
	tr.stopAndCheck()
}
