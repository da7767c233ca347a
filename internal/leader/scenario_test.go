package leader

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// scriptedPlacer gives slice i of four to the server that a script names.
type scriptedPlacer struct {
	owner func(slice int) string
}

func (p *scriptedPlacer) Place(v place.View) []place.Target {
	var targets []place.Target
	for i, r := range keys.Split(keys.Full, 4) {
		targets = append(targets, place.Target{Range: r, Server: accepting(v, p.owner(i))})
	}
	return targets
}

// accepting returns a server if it accepts, or else the first that does.
func accepting(v place.View, server string) string {
	first := ""
	for _, s := range v.Servers {
		if s.Accepting && s.Name == server {
			return server
		}
		if s.Accepting && first == "" {
			first = s.Name
		}
	}
	return first
}

// scripted returns a layout whose slices a script places.
func scripted(instances, checking, unchecked int, owner func(n *simInstance, slice int) string) layout {
	return layout{
		instances: instances, checking: checking, unchecked: unchecked,
		placer: func(w *world) place.Placer {
			n := w.starting
			return &scriptedPlacer{owner: func(slice int) string { return owner(n, slice) }}
		},
	}
}

// part cuts an instance or server from others in both directions, for good.
func (w *world) part(name string, others ...string) {
	for _, o := range others {
		w.cut(name, o, 1<<60, true)
	}
}

// join ends a cut.
func (w *world) join(a, b string) {
	delete(w.cuts, [2]string{a, b})
	delete(w.cuts, [2]string{b, a})
}

// restart starts a new process of a server whose machine, and clock, go on.
func (w *world) restart(m *machine) {
	offset, rate := m.offset, m.perMille
	w.boot(m)
	m.offset, m.perMille = offset, rate
}

// kill ends a process for good.
func (w *world) kill(n *simInstance) {
	n.down = true
	n.life++
}

// outrank makes an instance begin its next term above those that others may begin.
func (n *simInstance) outrank() {
	n.event(Heartbeat{Name: n.name, Term: grant.Term{Sub: 50}})
}

func (w *world) instance(name string) *simInstance {
	for _, n := range w.instances {
		if n.name == name {
			return n
		}
	}
	return nil
}

// firstLeads starts the instances so that the first one leads, and runs until it settled.
func (w *world) firstLeads() {
	w.log.downTo = 1 << 60
	first := w.instances[0]
	first.start()
	w.advance(w.now + 1500*ms)
	for _, n := range w.instances[1:] {
		n.start()
	}
	w.advance(w.now + 4500*ms)
}

// scenario is an order of events that does harm only without a guard.
type scenario struct {
	guard  mutation
	layout layout
	script func(w *world)
}

// A volunteer's batch has two owners because one guard is missing. Each case is the shortest
// order of events that shows the need of its guard; with the guard the same events do no harm.
func TestScenarios(t *testing.T) {
	tests := map[string]scenario{
		// The clock of a server is slow, that of its leader fast, and its answers are lost. The
		// leader counts the lease as lapsed while by the server's clock it still runs.
		"clocks diverge": {
			guard:  mutStretch,
			layout: scripted(1, 3, 0, func(*simInstance, int) string { return "s00" }),
			script: func(w *world) {
				w.layout.drift = 80
				w.instances[0].perMille = 80
				w.servers[0].perMille = -80
				w.firstLeads()
				w.cut("s00", "i0", 1<<60, false)
				w.advance(w.now + 3000*ms)
			},
		},
		// A grant is under way when its server restarts on a machine whose clock goes on. The
		// leader hears the new process, which holds nothing, and grants the range elsewhere.
		// Then the old grant arrives, and the new process takes it for its own.
		"grant for the process before": {
			guard: mutIncarnation,
			layout: scripted(1, 3, 0, func(n *simInstance, _ int) string {
				switch {
				case n.w.now < 6100*ms:
					return "s00"
				case n.w.servers[1].incarnation == n.w.processes["s01"]:
					return "s01"
				default:
					return "s02"
				}
			}),
			script: func(w *world) {
				w.processes = map[string]uint64{"s01": w.servers[1].incarnation}
				w.late = func(_, to string) Time {
					h := w.holdingOf("s01")
					if to != "s01" || h == nil || h.incarnation != w.processes["s01"] {
						return 0
					}
					if h.pending == nil {
						return 140 * ms
					}
					if w.servers[1].incarnation == w.processes["s01"] {
						w.after(ms, func() {
							w.restart(w.servers[1])
							w.leading().core.placeSoon()
						})
					}
					return 400 * ms
				}
				w.firstLeads()
				w.advance(w.now + 3000*ms)
			},
		},
		// Answers to the leader are late. They were given before two servers followed a newer
		// leader, and arrive after; the leader renews a third server, which the newer one
		// cannot reach, for a lease from then.
		"answers arrive late": {
			guard:  mutAnswered,
			layout: scripted(2, 3, 0, reachable),
			script: func(w *world) {
				w.firstLeads()
				start := w.now
				w.late = func(from, to string) Time {
					if to == "i0" && (from == "s01" || from == "s02") && w.now > start {
						return 800 * ms
					}
					return 0
				}
				w.part("i0", "i1")
				w.part("i1", "s00")
				w.advance(start + 160*ms)
				w.deafen(w.instance("i1"))
				w.advance(start + 4000*ms)
			},
		},
		// Two servers follow a newer leader; one restarts at once and forgets that. A third
		// instance begins a lower term, gets the vote of the young process, and renews a
		// server whose ranges the newer leader counts as over.
		"young process votes": {
			guard:  mutVoting,
			layout: scripted(3, 3, 0, reachable),
			script: func(w *world) {
				w.firstLeads()
				w.part("i1", "s00", "i2", "i0")
				w.part("i2", "s01", "s02", "i0")
				w.instance("i1").outrank()
				w.kill(w.instance("i0"))
				w.deafen(w.instance("i1"))
				w.advance(w.now + 200*ms)
				w.restart(w.servers[2])
				w.part("i1", "s02")
				w.join("i2", "s02")
				w.deafen(w.instance("i2"))
				w.advance(w.now + 4000*ms)
			},
		},
		// A leader has lost its majority for seconds. A voter of its successor restarts, and
		// once it votes again the old leader would go on where it had stopped, without the
		// wait of a new one: requests of the successor's gate still run.
		"old leader comes back": {
			guard:  mutAuthority,
			layout: scripted(2, 5, 1, func(*simInstance, int) string { return "s05" }),
			script: func(w *world) {
				w.part("i0", "s03", "s04")
				w.firstLeads()
				w.part("i0", "i1", "s02")
				w.part("i1", "s00", "s01")
				w.instance("i1").outrank()
				w.deafen(w.instance("i1"))
				w.advance(w.now + 6000*ms)
				w.restart(w.servers[3])
				w.part("i1", "s03")
				w.join("i0", "s03")
				w.advance(w.now + 700*ms)
				gate := w.instance("i1").holders["s05"]
				for _, hash := range w.hashes {
					if work, err := gate.real.Begin(hash); err == nil {
						w.runs = append(w.runs, run{gate: gate, server: "s05", hash: hash, until: w.now + longestRequest})
						w.after(longestRequest, work.End)
					}
				}
				w.advance(w.now + 4000*ms)
			},
		},
		// A new leader moves a range at once from one server to another. The first restarts
		// and forgets the fence, and the old leader, whose authority still runs, grants it
		// again what it held.
		"moved before the old authority ended": {
			guard: mutWait,
			layout: scripted(2, 3, 0, func(n *simInstance, _ int) string {
				if n.name == "i0" {
					return "s00"
				}
				return "s01"
			}),
			script: func(w *world) {
				w.firstLeads()
				w.part("i0", "i1", "s01", "s02")
				w.instance("i1").outrank()
				w.deafen(w.instance("i1"))
				w.advance(w.now + 75*ms)
				w.part("i1", "s00")
				w.restart(w.servers[0])
				w.advance(w.now + 3000*ms)
			},
		},
	}
	for name, tt := range moreScenarios() {
		tests[name] = tt
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sound := newWorld(1, tt.layout, "")
			tt.script(sound)
			is.Equal(sound.failure, "")
			broken := newWorld(1, tt.layout, tt.guard)
			tt.script(broken)
			t.Log(broken.failure)
			is.True(broken.failure != "") // without the guard
		})
	}
}

// reachable places all slices on the first server, or on the second when the leader that asks
// cannot reach the first.
func reachable(n *simInstance, _ int) string {
	if n.w.cuts[[2]string{"s00", n.name}] > n.w.now {
		return "s01"
	}
	return "s00"
}

// holdingOf returns what the leader knows of a server, or nil.
func (w *world) holdingOf(server string) *holding {
	n := w.leading()
	if n == nil {
		return nil
	}
	return n.core.lead.holdings[seat{server: server}]
}
