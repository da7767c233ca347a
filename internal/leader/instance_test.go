package leader

import (
	"slices"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
)

// simInstance is an entry instance: a core with a driver in virtual time.
type simInstance struct {
	*machine
	w    *world
	core *Core
	// generation counts the processes of this instance, so that timers and messages of an earlier
	// process have no effect.
	generation int
	// table is the newest routing table that this instance knows.
	table *route.Table
	// pending are the appended records that the log has not acknowledged, by ID.
	pending map[string]record.Record
	stopped bool
	// voters says which checking servers vote by the bundle that this instance has. Nil means
	// all.
	voters func(string) bool
}

const (
	tickInterval = 20 * ms
	readInterval = 100 * ms
	retryDelay   = 300 * ms
	listInterval = 500 * ms
	listLag      = 700 * ms
)

func newInstance(w *world, name string) *simInstance {
	n := &simInstance{machine: w.newMachine(name), w: w}
	return n
}

// start starts a process of the instance, with a new core.
func (n *simInstance) start() {
	n.generation++
	n.stopped = false
	config := DefaultConfig("d", n.name, n.incarnation)
	config.MaxPause = 600e6
	config.DriftPerMille = max(config.DriftPerMille, 5*int64(n.w.layout.maxDriftPerMille)/2)
	if n.w.layout.config != nil {
		n.w.layout.config(&config)
	}
	config.mutation = n.w.mutation
	n.pending = make(map[string]record.Record)
	n.w.starting = n
	n.core = New(config, n.w.layout.placer(n.w))
	n.handle(Configured{Version: 1, Services: n.services()})
	generation := n.generation
	n.every(generation, tickInterval, func() { n.handle(Ticked{}) })
	n.every(generation, Time(config.HeartbeatInterval), n.heartbeat)
	n.every(generation, readInterval, n.readLog)
	n.every(generation, listInterval, n.sendList)
}

// sendList delivers the platform's list of live instances after a lag.
func (n *simInstance) sendList() {
	var names []string
	for _, o := range n.w.instances {
		if !o.down {
			names = append(names, o.name)
		}
	}
	generation := n.generation
	n.w.after(listLag, func() {
		if n.generation == generation {
			n.w.deliver(n.name, func() {
				if n.generation == generation {
					n.handle(Listed{Instances: names})
				}
			})
		}
	})
}

func (n *simInstance) restart() {
	n.w.boot(n.machine)
	n.start()
}

// every runs a function periodically in one process. A paused process runs it once when the
// pause ends.
func (n *simInstance) every(generation int, period Time, do func()) {
	phase := Time(n.w.random.Int64N(int64(period)))
	var again func()
	again = func() {
		if n.generation != generation || n.down {
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

func (n *simInstance) handle(ev Event) {
	effects := n.core.Handle(n.clock(n.w.now), ev)
	if len(effects) == 0 {
		return
	}
	generation := n.generation
	if n.w.jitter && n.w.random.IntN(400) == 0 {
		n.pausedTo = n.w.now + 50*ms + Time(n.w.random.Int64N(int64(2500*ms)))
		n.w.at(n.pausedTo, func() { n.apply(generation, effects) })
		return
	}
	n.apply(generation, effects)
}

func (n *simInstance) apply(generation int, effects []Effect) {
	if n.generation != generation || n.down {
		return
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			n.sendExchange(e)
		case Append:
			n.pending[e.ID] = e.Record
			n.append(generation, e.ID)
		case StartedLeading:
			n.w.onElected()
			n.w.tracef("%s leads %v", n.name, e.Term)
		case SteppedDown:
			n.w.tracef("%s steps down from %v: %s", n.name, e.Term, e.Reason)
		case Publish:
			n.publishTable(e.Table)
		}
	}
}

func (n *simInstance) sendExchange(e Send) {
	if n.clock(n.w.now) > e.SendBefore && n.w.mutation != mutLateSend {
		return
	}
	generation := n.generation
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
		if n.w.countBytes {
			n.w.bytes += encodedSize(e.Exchange) + encodedSize(answer)
		}
		n.w.checkSingle()
		if n.w.observe != nil {
			n.w.observe(n.w.now)
		}
		n.w.send(to, n.name, func() {
			if n.generation == generation {
				n.handle(Answered{Server: e.Server, Gate: e.Gate, AskedAt: e.AskedAt, Answer: answer})
			}
		})
	})
}

func (n *simInstance) heartbeat() {
	if n.w.layout.skipPreVote {
		n.core.resigned = true
	}
	message := n.core.Heartbeat()
	n.handle(message)
	for _, o := range n.w.instances {
		if o == n {
			continue
		}
		generation := o.generation
		n.w.send(n.name, o.name, func() {
			if o.generation == generation && o.core != nil {
				o.handle(message)
			}
		})
	}
}

// publishTable sends the table to the peers. It checks that the log has the record at each
// offset that the table states.
func (n *simInstance) publishTable(t route.Table) {
	for _, o := range t.Owners {
		if o.Offset != 0 && !n.w.log.has(o.Offset, o.Server, o.Epoch) {
			n.w.fail("table says that offset %d acknowledges %s of %s", o.Offset, o.Epoch.Term, o.Server)
		}
	}
	n.takeTable(t)
	for _, o := range n.w.instances {
		if o != n {
			n.w.send(n.name, o.name, func() {
				if o.core != nil {
					o.takeTable(t)
					o.handle(TableReceived{Table: t})
				}
			})
		}
	}
}

func (n *simInstance) takeTable(t route.Table) {
	if t.Newer(n.table) {
		n.table = &t
	}
}

// readLog reads the state of the log, or reports a failure after retryDelay.
func (n *simInstance) readLog() {
	generation := n.generation
	begun := n.clock(n.w.now)
	answered := false
	n.w.send(n.name, "log", func() {
		if !n.w.log.up() {
			return
		}
		term, assigned := n.w.log.fold()
		n.w.send("log", n.name, func() {
			if n.generation == generation && !answered {
				answered = true
				n.handle(LogRead{ReadAt: begun, Term: term, Assigned: assigned})
			}
		})
	})
	n.w.after(retryDelay, func() {
		if n.generation == generation && !answered {
			n.w.deliver(n.name, func() {
				if n.generation == generation {
					answered = true
					n.handle(LogFailed{})
				}
			})
		}
	})
}

// append sends a record to the log until the log acknowledges it.
func (n *simInstance) append(generation int, id string) {
	r, waiting := n.pending[id]
	if n.generation != generation || n.down || !waiting {
		return
	}
	n.w.send(n.name, "log", func() {
		if !n.w.log.up() {
			return
		}
		offset := n.w.log.append(id, r)
		n.w.send("log", n.name, func() {
			if n.generation != generation {
				return
			}
			delete(n.pending, id)
			n.handle(Appended{ID: id, Offset: offset})
		})
	})
	n.w.after(retryDelay, func() { n.append(generation, id) })
}

// simLog simulates the platform's log, which orders records, ignores repeated IDs and may be
// unavailable until downTo.
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

// leading returns the first instance that leads, or nil.
func (w *world) leading() *simInstance {
	for _, n := range w.instances {
		if !n.down && n.core != nil && n.core.lead != nil && n.core.lead.won() {
			return n
		}
	}
	return nil
}
