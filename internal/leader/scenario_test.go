package leader

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// scriptedPlacer cuts the hash space into four slices and gives each to the server that a
// script names.
type scriptedPlacer struct {
	owner func(slice int) string
}

func (p *scriptedPlacer) Place(v place.View) []place.Target {
	var targets []place.Target
	for i, r := range keys.Split(keys.Full, 4) {
		targets = append(targets, place.Target{Range: r, Server: acceptingOr(v, p.owner(i))})
	}
	return targets
}

// acceptingOr returns a server if it accepts ranges, or else the first server that does.
func acceptingOr(v place.View, server string) string {
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

// scriptedLayout returns a layout in which the function owner places the slices for each
// instance.
func scriptedLayout(instances, checking, unchecked int, owner func(n *simInstance, slice int) string) layout {
	return layout{
		instances: instances, checking: checking, unchecked: unchecked,
		placer: func(w *world) place.Placer {
			n := w.starting
			return &scriptedPlacer{owner: func(slice int) string { return owner(n, slice) }}
		},
	}
}

// partition cuts an instance or server from others in both directions, permanently.
func (w *world) partition(name string, others ...string) {
	for _, o := range others {
		w.cut(name, o, 1<<60, true)
	}
}

// healCut ends a cut.
func (w *world) healCut(a, b string) {
	delete(w.cutUntil, [2]string{a, b})
	delete(w.cutUntil, [2]string{b, a})
}

// restart starts a new process of a server on the same machine, whose clock continues.
func (w *world) restart(m *machine) {
	offset, rate := m.clockOffset, m.driftPerMille
	w.boot(m)
	m.clockOffset, m.driftPerMille = offset, rate
}

// kill ends the process of an instance permanently.
func (w *world) kill(n *simInstance) {
	n.down = true
	n.generation++
}

// outrank makes the next term of an instance higher than any that others may begin.
func (n *simInstance) outrank() {
	n.handle(Heartbeat{Name: n.name, Term: grant.Term{Sub: 50}})
}

func (w *world) instance(name string) *simInstance {
	for _, n := range w.instances {
		if n.name == name {
			return n
		}
	}
	return nil
}

// startFirstAsLeader starts the instances so that the first one leads, and advances the world
// until its services have settled.
func (w *world) startFirstAsLeader() {
	w.log.downTo = 1 << 60
	first := w.instances[0]
	first.start()
	w.advance(w.now + 1500*ms)
	for _, n := range w.instances[1:] {
		n.start()
	}
	w.advance(w.now + 4500*ms)
}

// scenario is a sequence of events that breaks an invariant only if a guard is switched off.
type scenario struct {
	mutation mutation
	layout   layout
	script   func(w *world)
}

// Each case is a short sequence of events that shows that its guard is needed: without the
// guard a range has two owners, and with it the same events break no invariant.
func TestScenarios(t *testing.T) {
	tests := map[string]scenario{
		// The clock of a server is slow, that of its leader is fast, and the server's answers are
		// lost. Without the guard the leader considers the lease expired while it still runs by
		// the server's clock.
		"clocks diverge": {
			mutation: mutIgnoreDrift,
			layout:   scriptedLayout(1, 3, 0, func(*simInstance, int) string { return "s00" }),
			script: func(w *world) {
				w.layout.maxDriftPerMille = 80
				w.instances[0].driftPerMille = 80
				w.servers[0].driftPerMille = -80
				w.startFirstAsLeader()
				w.cut("s00", "i0", 1<<60, false)
				w.advance(w.now + 3000*ms)
			},
		},
		// A server restarts, and its clock continues, while a grant for it is in transit. The
		// leader gets an answer from the new process, which holds nothing, and grants the range
		// to another server. Then the old grant arrives, and without the guard the new process
		// accepts it.
		"grant for the process before": {
			mutation: mutIgnoreIncarnation,
			layout: scriptedLayout(1, 3, 0, func(n *simInstance, _ int) string {
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
				w.extraDelay = func(_, to string) Time {
					h := w.holderOf("s01")
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
				w.startFirstAsLeader()
				w.advance(w.now + 3000*ms)
			},
		},
		// Two servers answer a leader and then follow a newer leader, and their answers arrive
		// late. If the leader counted its lease from the arrival, it would renew a third server,
		// which the newer leader cannot reach, for too long.
		"answers arrive late": {
			mutation: mutAnswerTime,
			layout:   scriptedLayout(2, 3, 0, firstReachable),
			script: func(w *world) {
				w.startFirstAsLeader()
				start := w.now
				w.extraDelay = func(from, to string) Time {
					if to == "i0" && (from == "s01" || from == "s02") && w.now > start {
						return 800 * ms
					}
					return 0
				}
				w.partition("i0", "i1")
				w.partition("i1", "s00")
				w.advance(start + 160*ms)
				w.suspectLeader(w.instance("i1"))
				w.advance(start + 4000*ms)
			},
		},
		// Two servers follow a newer leader, and one of them restarts at once and forgets that. A
		// third instance begins a lower term, gets the vote of the new process, and renews a
		// server whose grant the newer leader considers expired.
		"young process votes": {
			mutation: mutYoungVotes,
			layout:   scriptedLayout(3, 3, 0, firstReachable),
			script: func(w *world) {
				w.startFirstAsLeader()
				w.partition("i1", "s00", "i2", "i0")
				w.partition("i2", "s01", "s02", "i0")
				w.instance("i1").outrank()
				w.kill(w.instance("i0"))
				w.suspectLeader(w.instance("i1"))
				w.advance(w.now + 200*ms)
				w.restart(w.servers[2])
				w.partition("i1", "s02")
				w.healCut("i2", "s02")
				w.suspectLeader(w.instance("i2"))
				w.advance(w.now + 4000*ms)
			},
		},
		// A leader has been without a majority for seconds. A voter of its successor restarts.
		// Once that votes again, an old leader that had not stepped down would have a majority
		// and grant ranges without the wait of a new leader, while requests of its successor's
		// gate still run.
		"old leader comes back": {
			mutation: mutNoQuorumCheck,
			layout:   scriptedLayout(2, 5, 1, func(*simInstance, int) string { return "s05" }),
			script: func(w *world) {
				w.partition("i0", "s03", "s04")
				w.startFirstAsLeader()
				w.partition("i0", "i1", "s02")
				w.partition("i1", "s00", "s01")
				w.instance("i1").outrank()
				w.suspectLeader(w.instance("i1"))
				w.advance(w.now + 6000*ms)
				w.restart(w.servers[3])
				w.partition("i1", "s03")
				w.healCut("i0", "s03")
				w.advance(w.now + 700*ms)
				gate := w.instance("i1").holders["s05"]
				for _, hash := range w.hashes {
					if work, err := gate.real.Begin(hash); err == nil {
						w.gateRequests = append(w.gateRequests, gateRequest{gate: gate, server: "s05", hash: hash, endsAt: w.now + longestRequest})
						w.after(longestRequest, work.End)
					}
				}
				w.advance(w.now + 4000*ms)
			},
		},
		// Without the wait, a new leader moves a range from one server to another at once. The
		// first server restarts and forgets the fence, and the old leader, whose last majority was
		// asked less than a lease ago, grants it the range again.
		"moved before the old authority ended": {
			mutation: mutNoWait,
			layout: scriptedLayout(2, 3, 0, func(n *simInstance, _ int) string {
				if n.name == "i0" {
					return "s00"
				}
				return "s01"
			}),
			script: func(w *world) {
				w.startFirstAsLeader()
				w.partition("i0", "i1", "s01", "s02")
				w.instance("i1").outrank()
				w.suspectLeader(w.instance("i1"))
				w.advance(w.now + 75*ms)
				w.partition("i1", "s00")
				w.restart(w.servers[0])
				w.advance(w.now + 3000*ms)
			},
		},
	}
	for name, tt := range messageOrderScenarios() {
		tests[name] = tt
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unmutated := newWorld(1, tt.layout, "")
			tt.script(unmutated)
			is.Equal(unmutated.failure, "")
			broken := newWorld(1, tt.layout, tt.mutation)
			tt.script(broken)
			t.Log(broken.failure)
			is.True(broken.failure != "") // without the guard
		})
	}
}

// firstReachable places all slices on the first server, or on the second if the instance does
// not get messages from the first.
func firstReachable(n *simInstance, _ int) string {
	if n.w.cutUntil[[2]string{"s00", n.name}] > n.w.now {
		return "s01"
	}
	return "s00"
}

// holderOf returns what the leader knows of a server's grant, or nil.
func (w *world) holderOf(server string) *holder {
	n := w.leading()
	if n == nil {
		return nil
	}
	return n.core.lead.holders[holderID{server: server}]
}
