package leader

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

const ms = Time(time.Millisecond)

// longestRequest bounds the running time of requests.
const longestRequest = 1200 * ms

// world runs cores, holders and a log in virtual time. True time is in nanoseconds.
type world struct {
	random *rand.Rand
	now    Time
	queue  schedule
	serial int
	layout layout
	guard  mutation

	machines  map[string]*machine
	servers   []*machine
	instances []*simInstance
	log       *simLog
	runs      []run
	cuts      map[[2]string]Time
	slow      map[string]Time
	// starting is the instance that is being started; processes are incarnations to compare.
	starting  *simInstance
	processes map[string]uint64
	// marked is when a script began.
	marked Time
	// late, if set, returns by how much a message is late besides.
	late func(from, to string) Time
	// pace is the longest time between two faults.
	pace   Time
	hashes []uint64
	homes  []keys.Range
	oneWay Time
	jitter bool

	failure  string
	messages int
	bytes    int
	// count says that bytes are counted too.
	count        bool
	lastExchange grant.Exchange
	observe      func(at Time)
	// trace, if set, gets a line for each step of interest.
	trace func(line string)
}

// layout says what a world is made of.
type layout struct {
	instances int
	checking  int
	unchecked int
	leaving   string
	isolation string
	// voters says which servers vote; nil means those that check.
	voters func(server string) bool
	// drift bounds how many thousandths a clock is fast or slow.
	drift int
	// rash lets followers begin terms without a survey, which is for liveness only.
	rash   bool
	placer func(w *world) place.Placer
	config func(c *Config)
}

// machine is a process that holds grants: a server, or an instance that is gate or voter.
type machine struct {
	name        string
	incarnation uint64
	offset      Time
	perMille    Time
	pausedTo    Time
	down        bool
	holders     map[string]*simHolder
}

// run is a request that a gate sent to a server without a check of its own. It runs on when
// the gate is lost.
type run struct {
	gate   *simHolder
	server string
	hash   uint64
	until  Time
}

func (m *machine) clock(now Time) Time {
	return m.offset + now + now*m.perMille/1000
}

type action struct {
	at     Time
	serial int
	do     func()
}

type schedule []action

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].serial < s[j].serial
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(action)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newWorld(seed uint64, l layout, guard mutation) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 1)),
		layout:   l,
		guard:    guard,
		machines: make(map[string]*machine),
		cuts:     make(map[[2]string]Time),
		slow:     make(map[string]Time),
		homes:    []keys.Range{keys.Full},
		oneWay:   ms / 2,
		now:      1,
	}
	w.log = &simLog{w: w}
	for _, r := range keys.Split(keys.Full, 8) {
		w.hashes = append(w.hashes, r.First+1)
	}
	for i := range l.checking + l.unchecked {
		w.servers = append(w.servers, w.newMachine(fmt.Sprintf("s%02d", i)))
	}
	for i := range l.instances {
		w.instances = append(w.instances, newInstance(w, fmt.Sprintf("i%d", i)))
	}
	return w
}

func (w *world) newMachine(name string) *machine {
	m := &machine{name: name, holders: make(map[string]*simHolder)}
	w.machines[name] = m
	w.boot(m)
	return m
}

// boot starts a new process at the place of a machine. Its clock may be that of the machine,
// which goes on, or one of its own.
func (w *world) boot(m *machine) {
	m.incarnation = uint64(w.random.Uint32()) + 1
	w.tracef("boot %s as %x", m.name, m.incarnation)
	if m.offset == 0 || w.random.IntN(2) == 0 {
		m.offset = Time(w.random.Int64N(int64(time.Hour)))
	}
	m.perMille = 0
	if d := w.layout.drift; d > 0 {
		m.perMille = Time(w.random.IntN(2*d+1) - d)
	}
	m.holders = make(map[string]*simHolder)
	m.pausedTo = 0
	m.down = false
}

// holder returns the holder of a server's grant in a process.
func (w *world) holder(m *machine, server string) *simHolder {
	h := m.holders[server]
	if h == nil {
		h = newSimHolder(w, m, server)
		m.holders[server] = h
	}
	return h
}

func (w *world) at(t Time, do func()) {
	w.serial++
	heap.Push(&w.queue, action{at: max(t, w.now), serial: w.serial, do: do})
}

func (w *world) after(d Time, do func()) {
	w.at(w.now+d, do)
}

// advance runs the world until a time, or until an invariant is broken.
func (w *world) advance(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.failure == "" {
		next := heap.Pop(&w.queue).(action)
		w.now = next.at
		next.do()
	}
	if w.failure == "" {
		w.now = until
	}
}

func (w *world) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%9.4f ", float64(w.now)/1e9) + fmt.Sprintf(format, args...))
	}
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("%.3f s: ", float64(w.now)/1e9) + fmt.Sprintf(format, args...)
	}
}

// send passes a message from one machine to another: late, twice or not at all.
func (w *world) send(from, to string, deliver func()) {
	if w.cuts[[2]string{from, to}] > w.now {
		return
	}
	copies := 1
	if w.jitter {
		switch p := w.random.IntN(100); {
		case p < 6:
			return
		case p < 12:
			copies = 2
		}
	}
	for range copies {
		w.after(w.delay()+w.lag(from, to), func() { w.deliver(to, deliver) })
	}
}

// lag returns by how much messages to a machine are late just now.
func (w *world) lag(from, to string) Time {
	if w.late != nil {
		return w.late(from, to)
	}
	if w.slow[to] > w.now {
		return 300*ms + Time(w.random.Int64N(int64(600*ms)))
	}
	return 0
}

func (w *world) delay() Time {
	d := w.oneWay
	if !w.jitter {
		return d
	}
	switch p := w.random.IntN(100); {
	case p < 80:
		return d + Time(w.random.Int64N(int64(5*ms)))
	case p < 95:
		return d + Time(w.random.Int64N(int64(200*ms)))
	default:
		return d + Time(w.random.Int64N(int64(2500*ms)))
	}
}

// deliver hands a message over when its receiver is not paused. A message to a process that
// is down is lost.
func (w *world) deliver(to string, do func()) {
	m := w.machines[to]
	if m == nil {
		do()
		return
	}
	if m.down {
		return
	}
	if m.pausedTo > w.now {
		w.at(m.pausedTo, func() { w.deliver(to, do) })
		return
	}
	do()
}

// services is the configuration of the domain.
func (w *world) services() []Service {
	s := Service{Name: "svc", Divided: true, Homes: w.homes, RequestMillis: int64(longestRequest / ms)}
	if w.layout.isolation != "" {
		s.Isolation = "move"
	}
	for i, m := range w.servers {
		checks := i < w.layout.checking
		s.Servers = append(s.Servers, Server{
			Name: m.name, ChecksGrants: checks, Votes: w.votes(m.name, checks), Slots: 2, Leaving: m.name == w.layout.leaving,
		})
	}
	if w.layout.checking == 0 {
		for _, n := range w.instances {
			s.Servers = append(s.Servers, Server{Name: n.name, ChecksGrants: true, Votes: true})
		}
	}
	return []Service{s}
}

func (w *world) votes(server string, checks bool) bool {
	if w.layout.voters != nil {
		return w.layout.voters(server)
	}
	return checks
}

// owners returns the names of the servers that now may act on a hash.
func (w *world) owners(hash uint64) []string {
	var names []string
	var gates []*simHolder
	for _, m := range w.ordered() {
		if m.down {
			continue
		}
		for _, name := range slices.Sorted(mapKeys(m.holders)) {
			if m.holders[name].owns(hash) {
				names = append(names, name+"@"+m.name)
				gates = append(gates, m.holders[name])
			}
		}
	}
	for _, r := range w.runs {
		if r.hash == hash && r.until > w.now && !slices.Contains(gates, r.gate) {
			names = append(names, r.server+"(request)")
			gates = append(gates, r.gate)
		}
	}
	return names
}

func (w *world) ordered() []*machine {
	all := slices.Clone(w.servers)
	for _, n := range w.instances {
		all = append(all, n.machine)
	}
	return all
}

// checkSingle is the invariant: no instant has two holders of one range.
func (w *world) checkSingle() {
	for _, hash := range w.hashes {
		if names := w.owners(hash); len(names) > 1 {
			w.fail("hash %016x has owners %v", hash, names)
		}
	}
}

func mapKeys[V any](m map[string]V) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
