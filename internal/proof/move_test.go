package proof

import (
	"net/http"
	"os"
	"testing"
	"time"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// TestLostDomainMoves kills all instances of a failure domain. Its keys are unavailable until another
// domain takes them over. The isolation rule "move" allows this once the last leases that the lost
// domain can have renewed have expired. After its restart the domain gets its keys back. No request
// may run at two servers at any time.
func TestLostDomainMoves(t *testing.T) {
	s := newSystem(t, 240+os.Getpid()%4)
	s.bundle.Services[0].Isolation = bundle.IsolationMove
	s.launch()
	tr := s.startTraffic()
	tr.awaitRequests()
	for h := 1; h <= hostsPerDomain; h++ {
		s.kill(instanceName(1, h))
	}
	lost := time.Now()
	s.eventually("every key is served by the other domain", func() bool { return s.servesProbedKeys(0) })
	t.Logf("every probed key served %v after the loss of the domain", time.Since(lost).Round(time.Second))
	for h := 1; h <= hostsPerDomain; h++ {
		s.startInstance(1, h)
	}
	s.eventually("the domain has its keys back", s.everyRangeOwned)
	tr.awaitRequests()
	tr.stopAndCheck()
}

// servesProbedKeys reports whether reads of all probed keys run when they are sent to the first
// instance of a domain.
func (s *system) servesProbedKeys(domain int) bool {
	client := &http.Client{Timeout: time.Second}
	for i := range probedKeyCount {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.address(domain+1, 1, 8080)+"/"+dividedService+"/stock", nil)
		s.is.NoErr(err)
		req.Header.Set(caller.HeaderKey, keyName(i))
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.Header.Get(caller.HeaderOutcome) != string(caller.Ran) {
			return false
		}
	}
	return true
}
