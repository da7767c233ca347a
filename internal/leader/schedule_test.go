package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/place"
)

const (
	// faultsEnd is when the faults of a random schedule end.
	faultsEnd = 10_000 * ms
	// recoveryTime is the time after the last fault by which every range must be served again:
	// messages up to 2.5 s old, an election, the wait after winning, requests and pauses.
	recoveryTime = 8_000 * ms
)

// randomLayout draws the shape of a domain.
func randomLayout(seed uint64) layout {
	random := rand.New(rand.NewPCG(seed, 2))
	l := layout{
		instances:        1 + random.IntN(4),
		checking:         random.IntN(6),
		unchecked:        random.IntN(3),
		maxDriftPerMille: []int{0, 4, 40}[random.IntN(3)],
		skipPreVote:      random.IntN(4) > 0,
	}
	if l.checking+l.unchecked < 2 {
		l.checking += 2
	}
	restless := random.IntN(3) > 0
	l.placer = func(w *world) place.Placer {
		p := &slicePlacer{slicesPerHome: 8}
		if restless {
			p.moveRandom = w.random
			p.movesEnded = func() bool { return !w.jitter }
		}
		return p
	}
	return l
}

// runSchedule runs one random schedule and returns the world at its end or first failure.
func runSchedule(seed uint64, guard mutation) *world {
	return newWorld(seed, randomLayout(seed), guard).runSchedule()
}

func (w *world) runSchedule() *world {
	w.startAll()
	w.jitter = true
	w.maxFaultGap = []Time{300 * ms, 700 * ms, 2000 * ms}[w.random.IntN(3)]
	w.scheduleFaults()
	w.scheduleRequests()
	w.advance(faultsEnd)
	if w.failure != "" || w.mutation != "" {
		return w
	}
	w.heal()
	w.advance(faultsEnd + recoveryTime)
	if w.failure == "" {
		w.checkRecovered()
	}
	return w
}

// scheduleFaults plans the next fault, again and again until they end.
func (w *world) scheduleFaults() {
	if w.now >= faultsEnd {
		return
	}
	for range 1 + w.random.IntN(2) {
		w.injectFault()
	}
	w.after(Time(w.random.Int64N(int64(w.maxFaultGap))), w.scheduleFaults)
}

func (w *world) scheduleRequests() {
	if w.now >= faultsEnd {
		return
	}
	w.startRequest()
	w.after(Time(w.random.Int64N(int64(40*ms))), w.scheduleRequests)
}

func (w *world) injectFault() {
	last := Time(w.random.Int64N(int64(2500 * ms)))
	server := w.servers[w.random.IntN(len(w.servers))]
	instance := w.instances[w.random.IntN(len(w.instances))]
	switch w.random.IntN(17) {
	case 0, 1:
		w.cut(w.anyName(), w.anyName(), last, false)
	case 2:
		w.cut(w.anyName(), w.anyName(), last, true)
	case 3:
		w.isolate(w.anyName(), last)
	case 4:
		server.pausedTo = max(server.pausedTo, w.now+last)
	case 5:
		instance.pausedTo = max(instance.pausedTo, w.now+last)
	case 6, 7:
		w.boot(server)
	case 8:
		w.crash(server, last)
	case 9:
		w.crashInstance(instance, last)
	case 10:
		w.log.downTo = max(w.log.downTo, w.now+2*last)
	case 11, 12:
		w.partitionAtRandom(last)
	case 13:
		w.suspectLeader(instance)
	case 14:
		w.partitionAtRandom(last)
		w.suspectLeader(instance)
	case 15, 16:
		w.slowUntil[instance.name] = w.now + last
	}
}

// partitionAtRandom lets each half of the servers be reached by one half of the instances only.
func (w *world) partitionAtRandom(last Time) {
	half := func(int) bool { return w.random.IntN(2) == 0 }
	var left, right []string
	for i, m := range w.allMachines() {
		if half(i) {
			left = append(left, m.name)
		} else {
			right = append(right, m.name)
		}
	}
	for _, a := range left {
		for _, b := range right {
			w.cut(a, b, last, true)
		}
	}
}

// suspectLeader lets a follower believe that its leader is lost, as when heartbeats are cut.
func (w *world) suspectLeader(n *simInstance) {
	if !n.down && n.core.lead == nil {
		n.core.leaderHeardAt = n.core.now - 10*n.core.heartbeatInterval()
		n.core.resigned = true
	}
}

// onElected may restart a server just after a leader won, when its fence matters most.
func (w *world) onElected() {
	if w.jitter && w.now < faultsEnd && w.random.IntN(3) == 0 {
		m := w.servers[w.random.IntN(len(w.servers))]
		w.after(Time(w.random.Int64N(int64(400*ms))), func() { w.boot(m) })
	}
}

func (w *world) anyName() string {
	all := w.allMachines()
	i := w.random.IntN(len(all) + 1)
	if i == len(all) {
		return "log"
	}
	return all[i].name
}

func (w *world) cut(from, to string, last Time, both bool) {
	w.cutUntil[[2]string{from, to}] = w.now + last
	if both {
		w.cutUntil[[2]string{to, from}] = w.now + last
	}
}

func (w *world) isolate(name string, last Time) {
	for _, m := range w.allMachines() {
		w.cut(name, m.name, last, true)
	}
	w.cut(name, "log", last, true)
}

func (w *world) crash(m *machine, last Time) {
	if m.down {
		return
	}
	m.down = true
	w.after(last, func() {
		if m.down {
			w.boot(m)
		}
	})
}

func (w *world) crashInstance(n *simInstance, last Time) {
	if n.down {
		return
	}
	n.down = true
	n.generation++
	w.after(last, func() {
		if n.down {
			n.restart()
		}
	})
}

// heal ends every fault. Processes that are down start again.
func (w *world) heal() {
	w.jitter = false
	clear(w.cutUntil)
	clear(w.slowUntil)
	w.log.downTo = 0
	for _, m := range w.servers {
		m.pausedTo = 0
		if m.down {
			w.boot(m)
		}
	}
	for _, n := range w.instances {
		n.pausedTo = 0
		if n.down {
			n.restart()
		}
	}
}

// checkRecovered is the invariant after the faults: every range has an owner, the table says
// so, and the log has acknowledged it.
func (w *world) checkRecovered() {
	n := w.leading()
	if n == nil {
		w.fail("nobody leads %s after the faults", w.describe())
		return
	}
	table := n.core.Table()
	if table == nil {
		w.fail("no table %s after the faults", w.describe())
		return
	}
	for _, hash := range w.hashes {
		if len(w.owners(hash)) != 1 {
			w.fail("hash %016x has owners %v after the faults %s", hash, w.owners(hash), w.describe())
			return
		}
		found := false
		for _, o := range table.Owners {
			found = found || o.Range.Contains(hash) && o.Offset != 0
		}
		if !found {
			w.fail("hash %016x is not in the table as acknowledged %s", hash, w.describe())
			return
		}
	}
}

func (w *world) describe() string {
	return fmt.Sprintf("(%d instances, %d checking, %d unchecked)", w.layout.instances, w.layout.checking, w.layout.unchecked)
}

// scheduleVoterChanges takes one voter away by a bundle and gives it back by the next. Instances learn
// of each at different times, but of the second only when all have the first.
func (w *world) scheduleVoterChanges() {
	out := w.servers[w.random.IntN(len(w.servers))].name
	versions := map[Time]func(string) bool{
		3000 * ms: func(server string) bool { return server != out },
		6000 * ms: func(string) bool { return true },
	}
	for _, n := range w.instances {
		for _, at := range []Time{3000 * ms, 6000 * ms} {
			voters := versions[at]
			w.at(at+Time(w.random.Int64N(int64(2000*ms))), func() { n.changeVoters(voters) })
		}
	}
}

// changeVoters gives an instance a bundle with other voters. It stays over a restart.
func (n *simInstance) changeVoters(voters func(string) bool) {
	n.voters = voters
	life := n.generation
	n.w.deliver(n.name, func() {
		if n.generation == life {
			n.handle(Configured{Version: 1, Services: n.services()})
		}
	})
}

// services is the configuration as this instance has it.
func (n *simInstance) services() []Service {
	services := n.w.services()
	if n.voters == nil {
		return services
	}
	for i := range services[0].Servers {
		s := &services[0].Servers[i]
		s.Votes = s.Votes && n.voters(s.Name)
	}
	return services
}

// A bundle changes one voter while instances fail and learn of it one after another. Two
// leaders by two bundles must still meet in a voter.
func TestRandomSchedulesWithChangingVoters(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 80; seed++ {
		l := randomLayout(seed)
		l.checking = max(l.checking, 2)
		w := newWorld(seed, l, "")
		w.scheduleVoterChanges()
		w.runSchedule()
		if w.failure != "" {
			t.Logf("seed %d: %s", seed, w.failure)
		}
		is.Equal(w.failure, "")
	}
}

// TestRandomSchedules is the proof of single ownership under two and three faults together:
// messages late, lost, doubled and out of order, processes paused, lost and restarted, cuts
// in one and both directions, outages of the log and lost answers, clocks that differ.
func TestRandomSchedules(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 500; seed++ {
		w := runSchedule(seed, "")
		if w.failure != "" {
			t.Logf("seed %d: %s", seed, w.failure)
		}
		is.Equal(w.failure, "")
	}
}
