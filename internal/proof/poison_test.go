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

// TestRequestThatCrashesServersIsBlocked repeats a request that crashes every server that runs it,
// with a new request ID each time. The request must be blocked after two servers are lost, or it
// takes down the whole domain. Requests of other callers that ran at these servers must not be
// blocked.
func TestRequestThatCrashesServersIsBlocked(t *testing.T) {
	const poison = "poison"
	s := startSystem(t, 210+os.Getpid()%4)
	for _, b := range s.bundle.Services[0].Servers {
		s.setFault(b.Address, stubs.ServerFault{Poison: poison, RestartMillis: 300})
	}
	tr := s.startTraffic()
	tr.awaitRequests()
	blocked := 0
	s.eventually("the request is blocked", func() bool {
		time.Sleep(300 * time.Millisecond)
		if s.refusalReason(poison) == "blocked" {
			blocked++
		}
		return blocked == 5
	})
	crashed := 0
	for _, b := range s.bundle.Services[0].Servers {
		for _, r := range s.runsPage(b.Address).Runs {
			if r.Crashed {
				crashed++
			}
		}
	}
	t.Logf("servers crashed %d times", crashed)
	s.is.Equal(crashed, s.bundle.Services[0].Limits.CrashServers)
	s.eventually("every range is owned", s.everyRangeOwned)
	tr.awaitRequests()
	tr.stopAndCheck()
	s.is.Equal(tr.refusals[dividedService+" not-run blocked"], 0)
}

// refusalReason sends a non-idempotent request for a key and returns the reason of its refusal. The
// reason is empty if the request ran or got no answer.
func (s *system) refusalReason(key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address(1, 1, 8080)+"/"+dividedService+"/order", nil)
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
