package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/member"
)

const (
	millisecond = member.Time(time.Millisecond)
	second      = member.Time(time.Second)
	listLag     = 3 * second
	listEvery   = 500 * millisecond
	step        = 25 * millisecond
	faultyFor   = 40 * second
	settledIn   = 10 * second
)

// process is one running instance of the schedule.
type process struct {
	self     member.Instance
	core     *member.Core
	naive    *naive
	pausedTo member.Time
	listAt   member.Time
	ended    bool
	view     member.View
	removed  bool
	// gone are the processes that the view ever called gone.
	gone map[member.Process]bool
}

// message is a heartbeat under way. Reply says that the receiver answers.
type message struct {
	to      string
	at      member.Time
	heard   member.HeartbeatReceived
	reply   bool
	replyTo string
}

// world runs processes on a network with cuts in single directions, and a lagging list.
type world struct {
	now       member.Time
	random    *rand.Rand
	faults    bool
	processes map[string]*process
	names     []string
	messages  []message
	cut       map[[2]string]member.Time
	lists     []listing
	ended     map[member.Process]bool
	// zombies were replaced while they were paused, and run on when they return.
	zombies  []*process
	failures []string
	// naiveWrong counts how often the naive version called a running process gone.
	naiveWrong int
}

type listing struct {
	at     member.Time
	listed []member.ListedInstance
}

func newWorld(seed uint64, domains map[string]string) *world {
	w := &world{
		now:       second,
		random:    rand.New(rand.NewPCG(seed, 3)),
		faults:    true,
		processes: make(map[string]*process),
		cut:       make(map[[2]string]member.Time),
		ended:     make(map[member.Process]bool),
	}
	for name := range domains {
		w.names = append(w.names, name)
	}
	slices.Sort(w.names)
	for _, name := range w.names {
		w.start(name, domains[name])
	}
	for _, p := range w.processes {
		for _, o := range w.processes {
			p.core.Handle(w.now, member.Discovered{Instance: member.Instance{Process: member.Process{Name: o.self.Name}, Domain: o.self.Domain}})
		}
	}
	return w
}

func (w *world) start(name, domain string) {
	// Incarnations have no order.
	self := member.Instance{Process: member.Process{Name: name, Incarnation: w.random.Uint64() | 1}, Domain: domain}
	w.processes[name] = &process{
		self:  self,
		naive: newNaive(),
		gone:  make(map[member.Process]bool),
		core: member.New(member.Config{
			Self: self, HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: 500 * time.Millisecond,
			HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second,
			MaxFullMesh: 8, ContactsPerDomain: 2, MaxGossip: 8,
		}),
	}
	w.list()
}

// list makes a new version of the list, of the processes that run. It never leaves out one
// that runs, paused or not.
func (w *world) list() {
	var listed []member.ListedInstance
	for _, name := range w.names {
		if p := w.processes[name]; p != nil && !p.ended {
			listed = append(listed, member.ListedInstance{Instance: p.self})
		}
	}
	w.lists = append(w.lists, listing{at: w.now + listLag, listed: listed})
}

func (w *world) shown() []member.ListedInstance {
	var shown []member.ListedInstance
	for _, l := range w.lists {
		if l.at <= w.now {
			shown = l.listed
		}
	}
	return shown
}

func (w *world) step() {
	w.now += step
	if w.faults {
		w.fault()
	}
	w.deliver()
	w.runZombies()
	for _, name := range w.names {
		p := w.processes[name]
		if p.ended || w.now < p.pausedTo {
			continue
		}
		if w.now >= p.listAt {
			p.listAt = w.now + listEvery
			w.take(p, p.core.Handle(w.now, member.InstancesListed{Instances: w.shown()}))
		}
		w.take(p, p.core.Handle(w.now, member.Ticked{}))
		w.check(p)
	}
}

func (w *world) fault() {
	name := w.names[w.random.IntN(len(w.names))]
	other := w.names[w.random.IntN(len(w.names))]
	p := w.processes[name]
	switch w.random.IntN(120) {
	case 0, 1:
		p.pausedTo = w.now + member.Time(w.random.Int64N(int64(8*second)))
	case 2, 3, 4:
		w.cut[[2]string{name, other}] = w.now + member.Time(w.random.Int64N(int64(6*second)))
	case 5:
		if !p.ended {
			p.ended = true
			w.ended[p.self.Process] = true
			w.list()
		}
	case 6, 7, 8, 9:
		if p.ended {
			w.start(name, p.self.Domain)
		}
	case 10:
		if !p.ended {
			p.pausedTo = w.now + member.Time(w.random.Int64N(int64(6*second)))
			w.zombies = append(w.zombies, p)
			w.ended[p.self.Process] = true
			w.start(name, p.self.Domain)
		}
	}
}

func (w *world) deliver() {
	var left, due []message
	for _, m := range w.messages {
		p := w.processes[m.to]
		if m.at <= w.now && w.now >= p.pausedTo {
			due = append(due, m)
		} else {
			left = append(left, m)
		}
	}
	w.messages = left
	for _, m := range due {
		p := w.processes[m.to]
		if p.ended {
			continue
		}
		p.naive.hear(w.now, m.heard.Heartbeat.Process)
		w.take(p, p.core.Handle(w.now, m.heard))
		if m.reply {
			w.post(p.self.Name, m.replyTo, member.HeartbeatReceived{Heartbeat: p.core.NextHeartbeat(w.now), IsReply: true}, false)
		}
	}
}

func (w *world) post(from, to string, heard member.HeartbeatReceived, reply bool) {
	if w.now < w.cut[[2]string{from, to}] {
		return
	}
	at := w.now + member.Time(w.random.Int64N(int64(50*millisecond)))
	w.messages = append(w.messages, message{to: to, at: at, heard: heard, reply: reply, replyTo: from})
}

func (w *world) take(p *process, effects []member.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case member.SendHeartbeat:
			w.post(p.self.Name, e.To.Name, member.HeartbeatReceived{Heartbeat: e.Heartbeat}, true)
		case member.Changed:
			p.view = e.View
			w.checkView(p)
		case member.Removed:
			p.removed = true
		}
	}
}

// runZombies lets processes that were replaced send for a second after their pause. Answers
// go to the process that has their address now, and the list would tell them later.
func (w *world) runZombies() {
	for _, p := range w.zombies {
		if w.now < p.pausedTo || w.now >= p.pausedTo+second {
			continue
		}
		for _, effect := range p.core.Handle(w.now, member.Ticked{}) {
			if send, ok := effect.(member.SendHeartbeat); ok {
				w.post(p.self.Name, send.To.Name, member.HeartbeatReceived{Heartbeat: send.Heartbeat}, true)
			}
		}
	}
}

// checkView holds what must be true of each view at each moment.
func (w *world) checkView(p *process) {
	for _, gone := range p.view.Gone {
		p.gone[gone] = true
		if !w.ended[gone] {
			w.failures = append(w.failures, fmt.Sprint("gone but runs: ", gone))
		}
	}
	for _, live := range p.view.Live {
		if p.gone[live.Process] {
			w.failures = append(w.failures, fmt.Sprint("gone process came back: ", live.Process))
		}
	}
}

func (w *world) check(p *process) {
	for gone := range p.naive.gone(w.now) {
		if !w.ended[gone] {
			w.naiveWrong++
		}
	}
	if p.removed {
		w.failures = append(w.failures, "a running process was told that it is removed")
	}
}

// settle ends the faults and lets everybody find out.
func (w *world) settle() {
	w.faults = false
	clear(w.cut)
	for _, name := range w.names {
		w.processes[name].pausedTo = 0
	}
	for end := w.now + settledIn; w.now < end; {
		w.step()
	}
}

var twoDomains = map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}

// Links are cut one way, processes are paused and return, end, and are replaced under their
// names, two and three at a time, while the platform's list lags by 3 s. Nobody may ever take
// a running process for gone, or believe one again that was gone. When the faults end,
// all agree on who lives, and the naive version, which knows only silence, was wrong.
func TestViewsAreTrueAndAgree(t *testing.T) {
	naiveWrong := 0
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(seed, twoDomains)
			for w.now < faultyFor {
				w.step()
			}
			w.settle()
			naiveWrong += w.naiveWrong
			is.Equal(w.failures, []string(nil))
			for _, name := range w.names {
				p := w.processes[name]
				if p.ended {
					continue
				}
				is.Equal(w.livesIn(p.self.Domain), processesOf(p.view.Live)) // who lives
				for _, live := range p.view.Live {
					is.Equal(live.Link, member.LinkBoth)
				}
			}
		})
	}
	if naiveWrong == 0 {
		t.Error("the schedules are too mild: the naive version was never wrong")
	}
}

func (w *world) livesIn(domain string) []member.Process {
	var running []member.Process
	for _, name := range w.names {
		if p := w.processes[name]; p.self.Domain == domain && !p.ended {
			running = append(running, p.self.Process)
		}
	}
	return running
}

func processesOf(live []member.LiveInstance) []member.Process {
	var all []member.Process
	for _, l := range live {
		all = append(all, l.Process)
	}
	return all
}

// naive knows silence only: who was silent for its time is gone, and whoever sends under a
// name is its process.
type naive struct {
	until map[member.Process]member.Time
}

func newNaive() *naive {
	return &naive{until: make(map[member.Process]member.Time)}
}

func (n *naive) hear(now member.Time, p member.Process) {
	n.until[p] = now + 500*millisecond
}

func (n *naive) gone(now member.Time) map[member.Process]bool {
	gone := make(map[member.Process]bool)
	for p, until := range n.until {
		if now >= until {
			gone[p] = true
		}
	}
	return gone
}
