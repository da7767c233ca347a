package proof

import (
	"os"
	"syscall"
	"testing"
	"time"

	"example.org/mustardring/internal/stubs"
)

// Callers send submissions while parts of the system are taken away. What they would see is a
// submission that ran twice, or one reported as run, or as not run, that was not so. The
// order of events is the table's; the cause would be a lease, gate or memory that outlived
// its right.
func TestRunsOnceWhileThingsFail(t *testing.T) {
	tests := map[string]func(s *site, f *traffic){
		"nothing fails": func(*site, *traffic) {},
		"leader killed": func(s *site, f *traffic) {
			s.kill(instance(0, s.leader(0)))
			f.flow()
		},
		"server lost": func(s *site, f *traffic) {
			s.fault(s.at(1, 101, 8000), stubs.ServerFault{Crash: true, RestartMillis: 4000})
			f.flow()
		},
		"server and leader lost while the log is down": func(s *site, f *traffic) {
			s.faultLog(stubs.LogFault{Down: true})
			s.kill(instance(0, s.leader(0)))
			s.fault(s.at(1, 101, 8000), stubs.ServerFault{Crash: true, RestartMillis: 4000})
			f.flow()
			s.faultLog(stubs.LogFault{})
			f.flow()
		},
		"leader paused and back": func(s *site, f *traffic) {
			name := instance(0, s.leader(0))
			s.signal(name, syscall.SIGSTOP)
			f.flow()
			time.Sleep(3 * time.Second)
			s.signal(name, syscall.SIGCONT)
			f.flow()
		},
		"server frozen and back": func(s *site, f *traffic) {
			s.fault(s.at(1, 102, 8000), stubs.ServerFault{FreezeUntil: time.Now().Add(3 * time.Second).UnixMilli()})
			f.flow()
			time.Sleep(3 * time.Second)
			f.flow()
		},
		"connections go silent": func(s *site, f *traffic) {
			s.fault(s.at(1, 102, 8000), stubs.ServerFault{SilenceConnections: true})
			s.fault(s.at(2, 121, 8000), stubs.ServerFault{SilenceConnections: true})
			f.flow()
		},
		"every instance replaced in turn": func(s *site, f *traffic) {
			for d := range domains {
				for h := 1; h <= hosts; h++ {
					s.stop(instance(d, h))
					s.startInstance(d, h)
					s.eventually("every range is owned", s.everyRangeOwned)
					f.flow()
				}
			}
		},
		"every server of a domain restarted in turn": func(s *site, f *traffic) {
			for k := 1; k <= 3; k++ {
				s.fault(s.at(1, 100+k, 8000), stubs.ServerFault{Crash: true, RestartMillis: 200})
				f.flow()
				time.Sleep(3 * time.Second)
				f.flow()
			}
		},
		"log loses answers": func(s *site, f *traffic) {
			s.faultLog(stubs.LogFault{LoseAnswers: 20})
			s.kill(instance(1, s.leader(1)))
			f.flow()
		},
	}
	// Another run of the tests on the machine uses other addresses.
	network := 130 + 12*(os.Getpid()%10)
	for name, disturb := range tests {
		network++
		t.Run(name, func(t *testing.T) {
			s := startSite(t, network)
			f := s.startTraffic()
			f.flow()
			disturb(s, f)
			f.flow()
			f.finishAll()
		})
	}
}
