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
	// recoveryTime is the time after the last fault within which every range must be served
	// again. It covers messages that are up to 2.5 s late, an election, the wait after winning,
	// requests and pauses.
	recoveryTime = 8_000 * ms
)

// randomLayout returns a layout that depends only on the seed.
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
	movesAtRandom := random.IntN(3) > 0
	l.placer = func(w *world) place.Placer {
		p := &slicePlacer{slicesPerHome: 8}
		if movesAtRandom {
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

// scheduleFaults injects one or two faults now, and again after random times until faultsEnd.
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
	duration := Time(w.random.Int64N(int64(2500 * ms)))
	server := w.servers[w.random.IntN(len(w.servers))]
	instance := w.instances[w.random.IntN(len(w.instances))]
	switch w.random.IntN(17) {
	case 0, 1:
		w.cut(w.anyName(), w.anyName(), duration, false)
	case 2:
		w.cut(w.anyName(), w.anyName(), duration, true)
	case 3:
		w.isolate(w.anyName(), duration)
	case 4:
		server.pausedTo = max(server.pausedTo, w.now+duration)
	case 5:
		instance.pausedTo = max(instance.pausedTo, w.now+duration)
	case 6, 7:
		w.boot(server)
	case 8:
		w.crash(server, duration)
	case 9:
		w.crashInstance(instance, duration)
	case 10:
		w.log.downTo = max(w.log.downTo, w.now+2*duration)
	case 11, 12:
		w.partitionAtRandom(duration)
	case 13:
		w.suspectLeader(instance)
	case 14:
		w.partitionAtRandom(duration)
		w.suspectLeader(instance)
	case 15, 16:
		w.slowUntil[instance.name] = w.now + duration
	}
}

// partitionAtRandom divides the servers and instances into two random parts and cuts all
// connections between them.
func (w *world) partitionAtRandom(duration Time) {
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
			w.cut(a, b, duration, true)
		}
	}
}

// suspectLeader makes a follower believe that its leader is lost, as when heartbeats are cut.
func (w *world) suspectLeader(n *simInstance) {
	if !n.down && n.core.lead == nil {
		n.core.leaderHeardAt = n.core.now - 10*n.core.heartbeatInterval()
		n.core.resigned = true
	}
}

// onElected may restart a server just after an instance won. This is when losing the fence of
// a server is most dangerous.
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

func (w *world) cut(from, to string, duration Time, both bool) {
	w.cutUntil[[2]string{from, to}] = w.now + duration
	if both {
		w.cutUntil[[2]string{to, from}] = w.now + duration
	}
}

func (w *world) isolate(name string, duration Time) {
	for _, m := range w.allMachines() {
		w.cut(name, m.name, duration, true)
	}
	w.cut(name, "log", duration, true)
}

func (w *world) crash(m *machine, duration Time) {
	if m.down {
		return
	}
	m.down = true
	w.after(duration, func() {
		if m.down {
			w.boot(m)
		}
	})
}

func (w *world) crashInstance(n *simInstance, duration Time) {
	if n.down {
		return
	}
	n.down = true
	n.generation++
	w.after(duration, func() {
		if n.down {
			n.restart()
		}
	})
}

// heal ends every fault and starts the processes that are down.
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

// checkRecovered checks the invariant after the faults: every hash has exactly one owner, and
// the table has an owner for it that the log has acknowledged.
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

// scheduleVoterChanges removes one voter by a bundle and adds it again by the next. Instances
// get each bundle at different times, but the second only when all have the first.
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

// changeVoters gives an instance a bundle with other voters, which it keeps over restarts.
func (n *simInstance) changeVoters(voters func(string) bool) {
	n.voters = voters
	generation := n.generation
	n.w.deliver(n.name, func() {
		if n.generation == generation {
			n.handle(Configured{Version: 1, Services: n.services()})
		}
	})
}

// services returns the configuration that this instance has.
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

// Bundles change one voter while instances fail, and instances get them at different times.
// The majorities of two leaders with different bundles must still share a voter.
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

// TestRandomSchedules checks that no range has two owners under combinations of faults:
// messages that are late, lost, doubled or out of order; processes that are paused, lost or
// restarted; cuts in one or both directions; outages of the log; lost answers; and clocks
// that differ.
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
