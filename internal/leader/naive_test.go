package leader

import (
	"testing"

	"github.com/matryer/is"
)

// naiveLeader is a simple design for comparison, without grants: every instance probes the
// servers, and sends hash i to the server at index i modulo n of the n servers that answer.
type naiveLeader struct {
	n       *simInstance
	heardAt map[string]Time
}

const (
	probeInterval = 150 * ms
	naiveTimeout  = 3 * probeInterval
)

func (l *naiveLeader) probe() {
	w := l.n.w
	for _, m := range w.servers {
		w.send(l.n.name, m.name, func() {
			w.send(m.name, l.n.name, func() { l.heardAt[m.name] = w.now })
		})
	}
}

func (l *naiveLeader) owner(i int) string {
	w := l.n.w
	var live []string
	for _, m := range w.servers {
		if at, heard := l.heardAt[m.name]; heard && w.now < at+naiveTimeout {
			live = append(live, m.name)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return live[i%len(live)]
}

// naiveHasTwoOwners runs the faults of a schedule under naive leaders and reports whether two
// running instances chose different servers for the same hash at the same time.
func naiveHasTwoOwners(seed uint64) bool {
	w := newWorld(seed, randomLayout(seed), "")
	var leaders []*naiveLeader
	for _, n := range w.instances {
		l := &naiveLeader{n: n, heardAt: make(map[string]Time)}
		leaders = append(leaders, l)
		n.start()
		n.every(n.generation, probeInterval, l.probe)
	}
	w.jitter = true
	w.maxFaultGap = 700 * ms
	w.scheduleFaults()
	doubled := false
	for w.now < faultsEnd && !doubled {
		w.advance(w.now + 20*ms)
		if w.now > 1000*ms {
			doubled = leadersDisagree(leaders)
		}
	}
	return doubled
}

// leadersDisagree reports whether two running instances choose different servers for a hash.
func leadersDisagree(leaders []*naiveLeader) bool {
	for i := range 8 {
		first := ""
		for _, l := range leaders {
			if l.n.down || l.n.pausedTo > l.n.w.now {
				continue
			}
			o := l.owner(i)
			if first != "" && o != "" && o != first {
				return true
			}
			if o != "" {
				first = o
			}
		}
	}
	return false
}

// TestNaiveLeaderHasTwoOwners shows that the schedules are hard enough: on most of them the
// naive leader lets two servers own a hash at once, while the core never does.
func TestNaiveLeaderHasTwoOwners(t *testing.T) {
	is := is.New(t)
	doubled, schedules := 0, 0
	for seed := uint64(1); seed <= 40; seed++ {
		if randomLayout(seed).instances < 2 {
			continue
		}
		schedules++
		is.Equal(runSchedule(seed, "").failure, "")
		if naiveHasTwoOwners(seed) {
			doubled++
		}
	}
	t.Logf("two owners of a hash in %d of %d schedules with the naive leader, in none with the core", doubled, schedules)
	is.True(doubled > schedules/2)
}
