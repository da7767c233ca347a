package proof

import (
	"os"
	"syscall"
	"testing"
	"time"

	"example.org/mustardring/internal/stubs"
)

// TestRunsOnceWhileThingsFail sends non-idempotent requests while the failures of each case happen.
// It fails if a request runs twice, or if a caller is told that its request ran, or did not run,
// and the servers show the opposite. Such a fault comes from a lease, a gate or an idempotency
// record that stays in use after it has ceased to be valid.
func TestRunsOnceWhileThingsFail(t *testing.T) {
	tests := map[string]func(s *system, tr *traffic){
		"nothing fails": func(*system, *traffic) {},
		"leader killed": func(s *system, tr *traffic) {
			s.kill(instanceName(0, s.leader(0)))
			tr.awaitRequests()
		},
		"server lost": func(s *system, tr *traffic) {
			s.setFault(s.address(1, 101, 8000), stubs.ServerFault{Crash: true, RestartMillis: 4000})
			tr.awaitRequests()
		},
		"server and leader lost while the log is down": func(s *system, tr *traffic) {
			s.setLogFault(stubs.LogFault{Down: true})
			s.kill(instanceName(0, s.leader(0)))
			s.setFault(s.address(1, 101, 8000), stubs.ServerFault{Crash: true, RestartMillis: 4000})
			tr.awaitRequests()
			s.setLogFault(stubs.LogFault{})
			tr.awaitRequests()
		},
		"leader paused and resumed": func(s *system, tr *traffic) {
			name := instanceName(0, s.leader(0))
			s.signal(name, syscall.SIGSTOP)
			tr.awaitRequests()
			time.Sleep(3 * time.Second)
			s.signal(name, syscall.SIGCONT)
			tr.awaitRequests()
		},
		"server frozen and resumed": func(s *system, tr *traffic) {
			s.setFault(s.address(1, 102, 8000), stubs.ServerFault{FreezeUntil: time.Now().Add(3 * time.Second).UnixMilli()})
			tr.awaitRequests()
			time.Sleep(3 * time.Second)
			tr.awaitRequests()
		},
		"connections go silent": func(s *system, tr *traffic) {
			s.setFault(s.address(1, 102, 8000), stubs.ServerFault{SilenceConnections: true})
			s.setFault(s.address(2, 121, 8000), stubs.ServerFault{SilenceConnections: true})
			tr.awaitRequests()
		},
		"every instance replaced in turn": func(s *system, tr *traffic) {
			for d := range domainNames {
				for h := 1; h <= hostsPerDomain; h++ {
					s.stop(instanceName(d, h))
					s.startInstance(d, h)
					s.eventually("every range is owned", s.everyRangeOwned)
					tr.awaitRequests()
				}
			}
		},
		"every server of a domain restarted in turn": func(s *system, tr *traffic) {
			for k := 1; k <= 3; k++ {
				s.setFault(s.address(1, 100+k, 8000), stubs.ServerFault{Crash: true, RestartMillis: 200})
				tr.awaitRequests()
				time.Sleep(3 * time.Second)
				tr.awaitRequests()
			}
		},
		"log loses answers": func(s *system, tr *traffic) {
			s.setLogFault(stubs.LogFault{LoseAnswers: 20})
			s.kill(instanceName(1, s.leader(1)))
			tr.awaitRequests()
		},
	}
	// The process ID selects the addresses, so that concurrent runs of the tests on one machine
	// usually use different ones.
	network := 130 + 12*(os.Getpid()%10)
	for name, disturb := range tests {
		network++
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, network)
			tr := s.startTraffic()
			tr.awaitRequests()
			disturb(s, tr)
			tr.awaitRequests()
			tr.stopAndCheck()
		})
	}
}
