package proof

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestLeavingServersAreEmptied rolls a bundle in which two servers leave, one of a divided and one of
// an undivided service. Both must finish their running requests and get no new ones: a request sent
// to a server that is about to stop would be lost with it.
func TestLeavingServersAreEmptied(t *testing.T) {
	s := startSystem(t, 230+os.Getpid()%4)
	tr := s.startTraffic()
	tr.awaitRequests()
	leaving := []string{s.bundle.Services[0].Servers[0].Address, s.bundle.Services[1].Servers[0].Address}
	s.bundle.Services[0].Servers[0].Leaving = true
	s.bundle.Services[1].Servers[0].Leaving = true
	s.rollNextVersion()
	rolled := time.Now()
	name := s.bundle.Services[0].Servers[0].Name
	s.eventually("the leaving server owns nothing", func() bool {
		for _, o := range s.owners(0, 1) {
			if o == name {
				return false
			}
		}
		return s.everyRangeOwned()
	})
	t.Logf("server owned nothing %v after the roll", time.Since(rolled).Round(time.Millisecond))
	before := []int{len(s.runCounts(leaving[0])), len(s.runCounts(leaving[1]))}
	tr.awaitRequests()
	for i, address := range leaving {
		s.is.Equal(len(s.runCounts(address)), before[i])
	}
	tr.stopAndCheck()
}

// owners returns the server that owns each probed key according to an instance, or an empty name
// if the key belongs to another domain. It returns nil if the instance does not answer.
func (s *system) owners(domain, host int) []string {
	var names []string
	for i := range probedKeyCount {
		o, answered := s.owner(domain, host, keyName(i))
		if !answered {
			return nil
		}
		names = append(names, o.Server)
	}
	return names
}

// keyName returns the key with the given number. Callers and probes use the same keys.
func keyName(number int) string {
	return fmt.Sprintf("key-%d", number)
}
