package proof

import (
	"os"
	"slices"
	"testing"
	"time"

	"example.org/mustardring/internal/stubs"
)

const rollsMeasured = 12

// rollNextVersion rolls another version of the bundle and waits until it is in force at all
// instances. It returns the time from the acknowledgement of the roll by the log to the moment when
// the last instance has the version in force.
func (s *system) rollNextVersion() time.Duration {
	s.bundle.Follows = s.bundle.Version
	s.bundle.Version++
	s.publishAndRoll()
	began := time.Now()
	s.eventually("the version is in force at all instances", func() bool {
		for d := range domainNames {
			for h := 1; h <= hostsPerDomain; h++ {
				status, answered := s.status(d, h)
				if !answered || status.BundleVersion < s.bundle.Version {
					return false
				}
			}
		}
		return true
	})
	return time.Since(began)
}

// TestRollReachesEveryInstance checks that each rolled bundle comes into force at every instance. A
// domain that is cut off from the log gets the bundle from instances of the other domain. The test
// logs how long the rolls take.
func TestRollReachesEveryInstance(t *testing.T) {
	tests := map[string]func(s *system, l *link){
		"log healthy":                     func(*system, *link) {},
		"log slow":                        func(s *system, _ *link) { s.setLogFault(stubs.LogFault{SlowMillis: 400}) },
		"one domain cut off from the log": func(_ *system, l *link) { l.setDown(true) },
	}
	network := 100 + 3*(os.Getpid()%10)
	for name, disturb := range tests {
		network++
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, network)
			l := startLink(t, s.address(0, 2, 7000), s.address(0, 1, 7000))
			s.logURLs[1] = "http://" + s.address(0, 2, 7000)
			s.launch()
			disturb(s, l)
			var times []time.Duration
			for range rollsMeasured {
				times = append(times, s.rollNextVersion())
			}
			slices.Sort(times)
			t.Logf("%d rolls, 6 instances: p50 %v, max %v", len(times),
				times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
		})
	}
}
