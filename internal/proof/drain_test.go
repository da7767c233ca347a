package proof

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Operators roll a bundle in which two servers leave, one of a service that is divided and one
// that is not. Both must get no new work, and what they run must end: a buyer's order sent to
// a server that is about to go would be lost with it.
func TestLeavingServersAreEmptied(t *testing.T) {
	s := startSite(t, 230+os.Getpid()%4)
	f := s.startTraffic()
	f.flow()
	leaving := []string{s.bundle.Services[0].Servers[0].Address, s.bundle.Services[1].Servers[0].Address}
	s.bundle.Services[0].Servers[0].Leaving = true
	s.bundle.Services[1].Servers[0].Leaving = true
	s.next()
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
	t.Logf("emptied %v after the roll", time.Since(rolled).Round(time.Millisecond))
	before := []int{len(s.runs(leaving[0])), len(s.runs(leaving[1]))}
	f.flow()
	for i, address := range leaving {
		s.is.Equal(len(s.runs(address)), before[i])
	}
	f.finishAll()
}

// owners returns the owning server of each probed key, as an instance knows it; empty for keys
// of other domains.
func (s *site) owners(domain, host int) []string {
	var names []string
	for i := range probedKeys {
		o, answered := s.owner(domain, host, keyName(i))
		if !answered {
			return nil
		}
		names = append(names, o.Server)
	}
	return names
}

// keyName returns the name of a key that callers and probes use.
func keyName(number int) string {
	return fmt.Sprintf("key-%d", number)
}
