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
	millisecond  = member.Time(time.Millisecond)
	second       = member.Time(time.Second)
	listLag      = 3 * second
	listInterval = 500 * millisecond
	step         = 25 * millisecond
	faultTime    = 40 * second
	settleTime   = 10 * second
)

// process is one process of the simulation.
type process struct {
	self            member.Instance
	core            *member.Core
	detector        *timeoutDetector
	pausedUntil     member.Time
	nextListAt      member.Time
	ended           bool
	view            member.View
	notifiedRemoved bool
	// everRemoved holds the processes that the view ever listed as removed.
	everRemoved map[member.Process]bool
}

// message is a heartbeat in transit. The receiver replies to replyTo if reply is set.
type message struct {
	to        string
	arrivesAt member.Time
	event     member.HeartbeatReceived
	reply     bool
	replyTo   string
}

// world simulates processes, a network whose links are cut in single directions, and a lagging
// list of instances.
type world struct {
	now       member.Time
	random    *rand.Rand
	faults    bool
	processes map[string]*process
	names     []string
	messages  []message
	cutUntil  map[[2]string]member.Time
	lists     []listing
	ended     map[member.Process]bool
	// pausedAndReplaced lists processes that were replaced while they were paused, and that
	// continue to run after the pause.
	pausedAndReplaced []*process
	failures          []string
	// falseDetections counts how often timeoutDetector declared a running process dead.
	falseDetections int
}

// listing is a version of the platform's list, which instances see from visibleAt on.
type listing struct {
	visibleAt member.Time
	instances []member.ListedInstance
}

func newWorld(seed uint64, domains map[string]string) *world {
	w := &world{
		now:       second,
		random:    rand.New(rand.NewPCG(seed, 3)),
		faults:    true,
		processes: make(map[string]*process),
		cutUntil:  make(map[[2]string]member.Time),
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
		self:        self,
		detector:    newTimeoutDetector(),
		everRemoved: make(map[member.Process]bool),
		core: member.New(member.Config{
			Self: self, HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: 500 * time.Millisecond,
			HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second,
			MaxFullMesh: 8, ContactsPerDomain: 2, MaxGossip: 8,
		}),
	}
	w.publishList()
}

// publishList adds a version of the list with all processes that have not ended. Paused ones are
// included.
func (w *world) publishList() {
	var listed []member.ListedInstance
	for _, name := range w.names {
		if p := w.processes[name]; p != nil && !p.ended {
			listed = append(listed, member.ListedInstance{Instance: p.self})
		}
	}
	w.lists = append(w.lists, listing{visibleAt: w.now + listLag, instances: listed})
}

func (w *world) visibleList() []member.ListedInstance {
	var shown []member.ListedInstance
	for _, l := range w.lists {
		if l.visibleAt <= w.now {
			shown = l.instances
		}
	}
	return shown
}

func (w *world) step() {
	w.now += step
	if w.faults {
		w.injectFault()
	}
	w.deliver()
	w.runReplaced()
	for _, name := range w.names {
		p := w.processes[name]
		if p.ended || w.now < p.pausedUntil {
			continue
		}
		if w.now >= p.nextListAt {
			p.nextListAt = w.now + listInterval
			w.apply(p, p.core.Handle(w.now, member.InstancesListed{Instances: w.visibleList()}))
		}
		w.apply(p, p.core.Handle(w.now, member.Ticked{}))
		w.check(p)
	}
}

func (w *world) injectFault() {
	name := w.names[w.random.IntN(len(w.names))]
	other := w.names[w.random.IntN(len(w.names))]
	p := w.processes[name]
	switch w.random.IntN(120) {
	case 0, 1:
		p.pausedUntil = w.now + member.Time(w.random.Int64N(int64(8*second)))
	case 2, 3, 4:
		w.cutUntil[[2]string{name, other}] = w.now + member.Time(w.random.Int64N(int64(6*second)))
	case 5:
		if !p.ended {
			p.ended = true
			w.ended[p.self.Process] = true
			w.publishList()
		}
	case 6, 7, 8, 9:
		if p.ended {
			w.start(name, p.self.Domain)
		}
	case 10:
		if !p.ended {
			p.pausedUntil = w.now + member.Time(w.random.Int64N(int64(6*second)))
			w.pausedAndReplaced = append(w.pausedAndReplaced, p)
			w.ended[p.self.Process] = true
			w.start(name, p.self.Domain)
		}
	}
}

func (w *world) deliver() {
	var left, due []message
	for _, m := range w.messages {
		p := w.processes[m.to]
		if m.arrivesAt <= w.now && w.now >= p.pausedUntil {
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
		p.detector.heartbeat(w.now, m.event.Heartbeat.Process)
		w.apply(p, p.core.Handle(w.now, m.event))
		if m.reply {
			w.send(p.self.Name, m.replyTo, member.HeartbeatReceived{Heartbeat: p.core.NextHeartbeat(w.now), IsReply: true}, false)
		}
	}
}

func (w *world) send(from, to string, event member.HeartbeatReceived, reply bool) {
	if w.now < w.cutUntil[[2]string{from, to}] {
		return
	}
	at := w.now + member.Time(w.random.Int64N(int64(50*millisecond)))
	w.messages = append(w.messages, message{to: to, arrivesAt: at, event: event, reply: reply, replyTo: from})
}

func (w *world) apply(p *process, effects []member.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case member.SendHeartbeat:
			w.send(p.self.Name, e.To.Name, member.HeartbeatReceived{Heartbeat: e.Heartbeat}, true)
		case member.Changed:
			p.view = e.View
			w.checkView(p)
		case member.Removed:
			p.notifiedRemoved = true
		}
	}
}

// runReplaced lets processes that were replaced during a pause send heartbeats for a second
// after it. Replies go to the process that has their address now. The list would notify them
// of the replacement only later.
func (w *world) runReplaced() {
	for _, p := range w.pausedAndReplaced {
		if w.now < p.pausedUntil || w.now >= p.pausedUntil+second {
			continue
		}
		for _, effect := range p.core.Handle(w.now, member.Ticked{}) {
			if send, ok := effect.(member.SendHeartbeat); ok {
				w.send(p.self.Name, send.To.Name, member.HeartbeatReceived{Heartbeat: send.Heartbeat}, true)
			}
		}
	}
}

// checkView checks the invariants of a view: no running process is removed, and no removed one
// is live again.
func (w *world) checkView(p *process) {
	for _, removed := range p.view.Removed {
		p.everRemoved[removed] = true
		if !w.ended[removed] {
			w.failures = append(w.failures, fmt.Sprint("running process is removed: ", removed))
		}
	}
	for _, live := range p.view.Live {
		if p.everRemoved[live.Process] {
			w.failures = append(w.failures, fmt.Sprint("removed process is live again: ", live.Process))
		}
	}
}

// check counts the errors of timeoutDetector and checks that no running process is notified of
// its own removal.
func (w *world) check(p *process) {
	for dead := range p.detector.timedOut(w.now) {
		if !w.ended[dead] {
			w.falseDetections++
		}
	}
	if p.notifiedRemoved {
		w.failures = append(w.failures, "running process was notified that it is removed")
	}
}

// settle ends the faults and runs the processes until their views have converged.
func (w *world) settle() {
	w.faults = false
	clear(w.cutUntil)
	for _, name := range w.names {
		w.processes[name].pausedUntil = 0
	}
	for end := w.now + settleTime; w.now < end; {
		w.step()
	}
}

var twoDomains = map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a", "b1": "b", "b2": "b"}

// Links are cut in one direction. Processes are paused and return, end, and are replaced under
// their names, two and three at a time, while the platform's list lags by 3 s. No view may ever
// list a running process as removed, or a removed one as live again. After the faults all views
// must agree on who is live. As a check that the faults are severe enough, a detector that uses
// timeouts only must have been wrong at least once.
func TestViewsAreCorrectAndConverge(t *testing.T) {
	falseDetections := 0
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(seed, twoDomains)
			for w.now < faultTime {
				w.step()
			}
			w.settle()
			falseDetections += w.falseDetections
			is.Equal(w.failures, []string(nil))
			for _, name := range w.names {
				p := w.processes[name]
				if p.ended {
					continue
				}
				is.Equal(w.runningIn(p.self.Domain), processesOf(p.view.Live)) // live processes
				for _, live := range p.view.Live {
					is.Equal(live.Link, member.LinkBoth)
				}
			}
		})
	}
	if falseDetections == 0 {
		t.Error("the faults are too mild: the detector that uses timeouts only was never wrong")
	}
}

func (w *world) runningIn(domain string) []member.Process {
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

// timeoutDetector takes a process for dead when its heartbeats time out, and any sender for the
// process that holds its name.
type timeoutDetector struct {
	liveUntil map[member.Process]member.Time
}

func newTimeoutDetector() *timeoutDetector {
	return &timeoutDetector{liveUntil: make(map[member.Process]member.Time)}
}

func (d *timeoutDetector) heartbeat(now member.Time, p member.Process) {
	d.liveUntil[p] = now + 500*millisecond
}

func (d *timeoutDetector) timedOut(now member.Time) map[member.Process]bool {
	dead := make(map[member.Process]bool)
	for p, until := range d.liveUntil {
		if now >= until {
			dead[p] = true
		}
	}
	return dead
}
