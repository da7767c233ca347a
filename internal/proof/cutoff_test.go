package proof

import (
	"os"
	"testing"

	"example.org/mustardring/internal/stubs"
)

// A failure domain is cut off from the log. It loses its leader and a server, and an instance
// is replaced by one that has never read the log. Callers must be served all the time, each
// submission once, and after the cut every assignment made meanwhile must stand in the log.
// An instance that trusted only the log would have no bundle and serve nothing.
func TestCutOffDomainServesAndRejoins(t *testing.T) {
	s := prepareSite(t, 250+os.Getpid()%4)
	l := startLink(t, s.at(0, 2, 7000), s.at(0, 1, 7000))
	s.logOf[1] = "http://" + s.at(0, 2, 7000)
	s.launch()
	f := s.startTraffic()
	f.flow()
	l.set(true)
	leader := s.leader(1)
	s.kill(instance(1, leader))
	s.fault(s.at(2, 101, 8000), stubs.ServerFault{Crash: true, RestartMillis: 3000})
	f.flow()
	s.startInstance(1, leader)
	s.eventually("the new instance has the bundle", func() bool {
		status, answered := s.status(1, leader)
		return answered && status.BundleVersion == s.bundle.Version && status.NextLogOffset == 0
	})
	s.eventually("every range is owned", s.everyRangeOwned)
	f.flow()
	for h := 1; h <= hosts; h++ {
		if h != leader {
			s.kill(instance(1, h))
		}
	}
	s.eventually("the new instance leads", func() bool {
		status, answered := s.status(1, leader)
		return answered && status.Leading && status.OwnedShare == 1
	})
	for h := 1; h <= hosts; h++ {
		if h != leader {
			s.startInstance(1, h)
		}
	}
	f.flow()
	l.set(false)
	s.eventually("every assignment is in the log", func() bool {
		for h := 1; h <= hosts; h++ {
			status, answered := s.status(1, h)
			if !answered || status.NextLogOffset == 0 || status.Provisional > 0 {
				return false
			}
		}
		return true
	})
	f.flow()
	f.finishAll()
}
