package proof

import (
	"net/http"
	"os"
	"testing"
	"time"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// A whole failure domain is lost. Buyers of its cheese get no stock checks until another
// domain takes its keys over, which the rule "move" allows after the last leases that the lost
// domain can have renewed. When the domain is back, it gets its keys back. At no time may two
// servers run one order.
func TestLostDomainMoves(t *testing.T) {
	s := prepareSite(t, 240+os.Getpid()%4)
	s.bundle.Services[0].Isolation = bundle.IsolationMove
	s.launch()
	f := s.startTraffic()
	f.flow()
	for h := 1; h <= hosts; h++ {
		s.kill(instance(1, h))
	}
	lost := time.Now()
	s.eventually("every key is served by the other domain", func() bool { return s.serves(0) })
	t.Logf("every key served %v after the loss of the domain", time.Since(lost).Round(time.Second))
	for h := 1; h <= hosts; h++ {
		s.startInstance(1, h)
	}
	s.eventually("the domain has its keys back", s.everyRangeOwned)
	f.flow()
	f.finishAll()
}

// serves reports whether each probed key is served through a domain.
func (s *site) serves(domain int) bool {
	client := &http.Client{Timeout: time.Second}
	for i := range probedKeys {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.at(domain+1, 1, 8080)+"/"+divided+"/stock", nil)
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
