package leader

import (
	"slices"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
)

// simInstance is an entry instance: a core with a shell in virtual time.
type simInstance struct {
	*machine
	w    *world
	core *Core
	// life counts the processes at this place, so that timers of an old one do nothing.
	life int
	// table is the newest that this instance knows.
	table   *route.Table
	pending map[string]record.Record
	stopped bool
	// voters says which checking servers vote by the bundle that this instance has.
	voters func(string) bool
}

const (
	tickPeriod = 20 * ms
	readPeriod = 100 * ms
	retryAfter = 300 * ms
	listPeriod = 500 * ms
	listLag    = 700 * ms
)

func newInstance(w *world, name string) *simInstance {
	n := &simInstance{machine: w.newMachine(name), w: w}
	return n
}

// start runs a new process.
func (n *simInstance) start() {
	n.life++
	n.stopped = false
	config := DefaultConfig("d", n.name, n.incarnation)
	config.MaxPause = 600e6
	config.DriftPerMille = max(config.DriftPerMille, 5*int64(n.w.layout.drift)/2)
	if n.w.layout.config != nil {
		n.w.layout.config(&config)
	}
	config.guards = n.w.guard
	n.pending = make(map[string]record.Record)
	n.w.starting = n
	n.core = New(config, n.w.layout.placer(n.w))
	n.event(Configured{Version: 1, Services: n.services()})
	life := n.life
	n.every(life, tickPeriod, func() { n.event(Ticked{}) })
	n.every(life, Time(config.HeartbeatInterval), n.heartbeat)
	n.every(life, readPeriod, n.read)
	n.every(life, listPeriod, n.list)
}

// list passes on the platform's list as it was a while ago.
func (n *simInstance) list() {
	var names []string
	for _, o := range n.w.instances {
		if !o.down {
			names = append(names, o.name)
		}
	}
	life := n.life
	n.w.after(listLag, func() {
		if n.life == life {
			n.w.deliver(n.name, func() {
				if n.life == life {
					n.event(Listed{Instances: names})
				}
			})
		}
	})
}

func (n *simInstance) restart() {
	n.w.boot(n.machine)
	n.start()
}

// every repeats a timer of one process. A paused process runs its timers afterwards, once.
func (n *simInstance) every(life int, period Time, do func()) {
	phase := Time(n.w.random.Int64N(int64(period)))
	var again func()
	again = func() {
		if n.life != life || n.down {
			return
		}
		if n.pausedTo > n.w.now {
			n.w.at(n.pausedTo, again)
			return
		}
		do()
		n.w.after(period, again)
	}
	n.w.after(phase, again)
}

func (n *simInstance) event(ev Event) {
	effects := n.core.Handle(n.clock(n.w.now), ev)
	if len(effects) == 0 {
		return
	}
	life := n.life
	if n.w.jitter && n.w.random.IntN(400) == 0 {
		n.pausedTo = n.w.now + 50*ms + Time(n.w.random.Int64N(int64(2500*ms)))
		n.w.at(n.pausedTo, func() { n.apply(life, effects) })
		return
	}
	n.apply(life, effects)
}

func (n *simInstance) apply(life int, effects []Effect) {
	if n.life != life || n.down {
		return
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			n.sendExchange(e)
		case Append:
			n.pending[e.ID] = e.Record
			n.append(life, e.ID)
		case StartedLeading:
			n.w.led()
			n.w.tracef("%s leads %v", n.name, e.Term)
		case SteppedDown:
			n.w.tracef("%s steps down from %v: %s", n.name, e.Term, e.Reason)
		case Publish:
			n.published(e.Table)
		}
	}
}

func (n *simInstance) sendExchange(e Send) {
	if n.clock(n.w.now) > e.SendBefore && n.w.guard != mutSendBefore {
		return
	}
	life := n.life
	to := e.Server
	if e.Gate != "" {
		to = e.Gate
	}
	n.w.messages += 2
	n.w.lastExchange = e.Exchange
	n.w.send(n.name, to, func() {
		m := n.w.machines[to]
		answer := n.w.holder(m, e.Server).exchange(e.Exchange)
		if g := e.Exchange.Grant; g != nil {
			n.w.tracef("%s -> %s/%s grant %v renewal=%v inc=%x ranges=%v: %q until %d ms, term %v", n.name, e.Server, e.Gate,
				g.Epoch, g.Renewal, g.Incarnation, g.Ranges, answer.Refusal, Time(answer.Deadline-answer.Clock)/ms, e.Exchange.Term)
		}
		if n.w.count {
			n.w.bytes += encoded(e.Exchange) + encoded(answer)
		}
		n.w.checkSingle()
		if n.w.observe != nil {
			n.w.observe(n.w.now)
		}
		n.w.send(to, n.name, func() {
			if n.life == life {
				n.event(Answered{Server: e.Server, Gate: e.Gate, AskedAt: e.AskedAt, Answer: answer})
			}
		})
	})
}

func (n *simInstance) heartbeat() {
	if n.w.layout.rash {
		n.core.resigned = true
	}
	beat := n.core.Heartbeat()
	n.event(beat)
	for _, o := range n.w.instances {
		if o == n {
			continue
		}
		life := o.life
		n.w.send(n.name, o.name, func() {
			if o.life == life && o.core != nil {
				o.event(beat)
			}
		})
	}
}

// published passes the table to the peers and checks that what it calls durable is so.
func (n *simInstance) published(t route.Table) {
	for _, o := range t.Owners {
		if o.Offset != 0 && !n.w.log.has(o.Offset, o.Server, o.Epoch) {
			n.w.fail("table says that offset %d acknowledges %s of %s", o.Offset, o.Epoch.Term, o.Server)
		}
	}
	n.takes(t)
	for _, o := range n.w.instances {
		if o != n {
			n.w.send(n.name, o.name, func() {
				if o.core != nil {
					o.takes(t)
					o.event(TableReceived{Table: t})
				}
			})
		}
	}
}

func (n *simInstance) takes(t route.Table) {
	if t.Newer(n.table) {
		n.table = &t
	}
}

// read folds the log.
func (n *simInstance) read() {
	life := n.life
	begun := n.clock(n.w.now)
	answered := false
	n.w.send(n.name, "log", func() {
		if !n.w.log.up() {
			return
		}
		term, assigned := n.w.log.fold()
		n.w.send("log", n.name, func() {
			if n.life == life && !answered {
				answered = true
				n.event(LogRead{ReadAt: begun, Term: term, Assigned: assigned})
			}
		})
	})
	n.w.after(retryAfter, func() {
		if n.life == life && !answered {
			n.w.deliver(n.name, func() {
				if n.life == life {
					answered = true
					n.event(LogFailed{})
				}
			})
		}
	})
}

// append appends again and again until the log acknowledges.
func (n *simInstance) append(life int, id string) {
	r, waiting := n.pending[id]
	if n.life != life || n.down || !waiting {
		return
	}
	n.w.send(n.name, "log", func() {
		if !n.w.log.up() {
			return
		}
		offset := n.w.log.append(id, r)
		n.w.send("log", n.name, func() {
			if n.life != life {
				return
			}
			delete(n.pending, id)
			n.event(Appended{ID: id, Offset: offset})
		})
	})
	n.w.after(retryAfter, func() { n.append(life, id) })
}

// simLog is the platform's log: order, ids, outages.
type simLog struct {
	w       *world
	entries []simEntry
	downTo  Time
}

type simEntry struct {
	id string
	r  record.Record
}

func (l *simLog) up() bool { return l.downTo <= l.w.now }

func (l *simLog) append(id string, r record.Record) uint64 {
	for i, e := range l.entries {
		if e.id == id {
			return uint64(i) + 1
		}
	}
	l.entries = append(l.entries, simEntry{id: id, r: r})
	return uint64(len(l.entries))
}

func (l *simLog) fold() (fold.Term, map[string]fold.RecordedAssignment) {
	var term fold.Term
	assigned := make(map[string]fold.RecordedAssignment)
	for i, e := range l.entries {
		offset := uint64(i) + 1
		switch r := e.r.(type) {
		case record.TermClaimed:
			if r.Follows == term.Log {
				term = fold.Term{Log: r.Follows + 1, Instance: r.Instance, Incarnation: r.Incarnation, Offset: offset}
			}
		case record.AssignmentMade:
			for _, a := range r.Assignments {
				if old, found := assigned[a.Server]; !found || old.Assignment.Epoch.Compare(a.Epoch) < 0 {
					assigned[a.Server] = fold.RecordedAssignment{Service: r.Service, Assignment: a, Offset: offset, Provisional: r.Provisional}
				}
			}
		}
	}
	return term, assigned
}

func (l *simLog) has(offset uint64, server string, epoch grant.Epoch) bool {
	if offset > uint64(len(l.entries)) {
		return false
	}
	made, ok := l.entries[offset-1].r.(record.AssignmentMade)
	return ok && slices.ContainsFunc(made.Assignments, func(a record.Assignment) bool {
		return a.Server == server && a.Epoch == epoch
	})
}

// leading returns the instance that leads, or nil.
func (w *world) leading() *simInstance {
	for _, n := range w.instances {
		if !n.down && n.core != nil && n.core.lead != nil && n.core.lead.won() {
			return n
		}
	}
	return nil
}
