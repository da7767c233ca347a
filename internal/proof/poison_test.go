package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
)

// An order crashes each server that runs it, and its caller sends it again and again, under a
// new id each time. It must be refused after two servers were lost, or it takes the whole
// domain down; and the orders of others that ran at those servers must not be refused.
func TestRequestThatCrashesServersIsBlocked(t *testing.T) {
	const poison = "poison"
	s := startSite(t, 210+os.Getpid()%4)
	for _, b := range s.bundle.Services[0].Servers {
		s.fault(b.Address, stubs.ServerFault{Poison: poison, RestartMillis: 300})
	}
	f := s.startTraffic()
	f.flow()
	blocked := 0
	s.eventually("the order is blocked", func() bool {
		time.Sleep(300 * time.Millisecond)
		if s.reasonOf(poison) == "blocked" {
			blocked++
		}
		return blocked == 5
	})
	crashed := 0
	for _, b := range s.bundle.Services[0].Servers {
		for _, r := range s.page(b.Address).Runs {
			if r.Crashed {
				crashed++
			}
		}
	}
	t.Logf("servers crashed %d times", crashed)
	s.is.Equal(crashed, s.bundle.Services[0].Limits.CrashServers)
	s.eventually("every range is owned", s.everyRangeOwned)
	f.flow()
	f.finishAll()
	s.is.Equal(f.faults[divided+" not-run blocked"], 0)
}

// reasonOf sends an order for a key and returns the reason of its refusal, if any.
func (s *site) reasonOf(key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.at(1, 1, 8080)+"/"+divided+"/order", nil)
	s.is.NoErr(err)
	req.Header.Set(caller.HeaderKey, key)
	req.Header.Set(caller.HeaderRequestID, fmt.Sprintf("poison-%d", time.Now().UnixNano()))
	client := &http.Client{Timeout: 6 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var problem caller.Problem
	_ = json.NewDecoder(resp.Body).Decode(&problem)
	return problem.Reason
}
