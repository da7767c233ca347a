package proof

import (
	"os"
	"slices"
	"testing"
	"time"

	"example.org/mustardring/internal/stubs"
)

const rollsMeasured = 12

// next rolls another version of the bundle and waits until it is in force at all instances.
// It returns the time from the roll's acknowledgement to the last instance.
func (s *site) next() time.Duration {
	s.bundle.Follows = s.bundle.Version
	s.bundle.Version++
	s.roll()
	began := time.Now()
	s.eventually("the version in force everywhere", func() bool {
		for d := range domains {
			for h := 1; h <= hosts; h++ {
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

// Operators roll a bundle. It must come in force at every instance, also in a domain that is
// cut off from the log, which has it from its neighbours; the times are logged.
func TestRollReachesEveryInstance(t *testing.T) {
	tests := map[string]func(s *site, l *link){
		"log healthy":            func(*site, *link) {},
		"log slow":               func(s *site, _ *link) { s.faultLog(stubs.LogFault{SlowMillis: 400}) },
		"log cut off one domain": func(_ *site, l *link) { l.set(true) },
	}
	network := 100 + 3*(os.Getpid()%10)
	for name, disturb := range tests {
		network++
		t.Run(name, func(t *testing.T) {
			s := prepareSite(t, network)
			l := startLink(t, s.at(0, 2, 7000), s.at(0, 1, 7000))
			s.logOf[1] = "http://" + s.at(0, 2, 7000)
			s.launch()
			disturb(s, l)
			var times []time.Duration
			for range rollsMeasured {
				times = append(times, s.next())
			}
			slices.Sort(times)
			t.Logf("%d rolls, 6 instances: p50 %v, worst %v", len(times),
				times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
		})
	}
}
