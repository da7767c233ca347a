package leader

// messageOrderScenarios are those about fences, majorities and the order of answers.
func messageOrderScenarios() map[string]scenario {
	return map[string]scenario{
		// Two leaders share one voter. Without the fence it follows both, and each has a
		// majority: one renews a server that the other counts as lost.
		"voter follows two leaders": {
			mutation: mutNoFence,
			layout:   scriptedLayout(2, 3, 0, firstReachable),
			script: func(w *world) {
				w.startFirstAsLeader()
				w.partition("i0", "i1", "s01")
				w.partition("i1", "s00")
				w.instance("i1").outrank()
				w.suspectLeader(w.instance("i1"))
				w.advance(w.now + 3000*ms)
			},
		},
		// A leader does not hear a server any more, and a little later loses its majority to
		// another, which renews that server. The lease that the first had given lapses while
		// its authority still runs; it must not move the ranges, since it cannot know.
		"lapse without a majority after it": {
			mutation: mutNoConfirmation,
			layout: scriptedLayout(2, 5, 0, func(n *simInstance, _ int) string {
				if n.name == "i0" && n.w.cutUntil[[2]string{"s00", "i0"}] > n.w.now {
					return "s03"
				}
				return "s00"
			}),
			script: func(w *world) {
				w.startFirstAsLeader()
				w.partition("i0", "s00")
				w.partition("i1", "s03", "s04")
				w.instance("i1").outrank()
				w.advance(w.now + 400*ms)
				w.partition("i0", "i1", "s01", "s02")
				w.suspectLeader(w.instance("i1"))
				w.advance(w.now + 3000*ms)
			},
		},
		// A gate is lost just after it sent a payout to a server that does not check grants.
		// The server runs it for longer than the lease. A new gate would send the payout,
		// which the caller repeats, a second time while the first still runs.
		"request outlives its gate": {
			mutation: mutNoDrainTime,
			layout:   scriptedLayout(3, 3, 1, func(*simInstance, int) string { return "s03" }),
			script: func(w *world) {
				w.startFirstAsLeader()
				core := w.instance("i0").core
				core.gates["s03"] = "i1"
				core.updateHolders()
				core.placeSoon()
				w.advance(w.now + 1000*ms)
				gate := w.instance("i1").holders["s03"]
				for _, hash := range w.hashes {
					if _, err := gate.real.Begin(hash); err == nil {
						w.gateRequests = append(w.gateRequests, gateRequest{gate: gate, server: "s03", hash: hash, endsAt: w.now + longestRequest})
					}
				}
				w.kill(w.instance("i1"))
				w.advance(w.now + 3000*ms)
			},
		},
		// A candidate hears from a server that holds a range, but has no majority yet. The old
		// leader does not hear the server, waits out its lease and moves the range to a server
		// that does not check. Then the candidate wins. What it heard before is no proof that
		// nothing lingers of the range elsewhere: a request of the old leader's gate runs.
		"held before winning": {
			mutation: mutHeldBeforeWin,
			layout: scriptedLayout(2, 3, 1, func(n *simInstance, _ int) string {
				if n.name == "i0" && n.w.cutUntil[[2]string{"s00", "i0"}] > n.w.now {
					return "s03"
				}
				return "s00"
			}),
			script: func(w *world) {
				w.startFirstAsLeader()
				w.advance(w.now + 2000*ms)
				start := w.now
				w.partition("i0", "i1", "s00")
				w.partition("i1", "s01", "s02")
				w.instance("i1").outrank()
				w.advance(start + 500*ms)
				w.suspectLeader(w.instance("i1"))
				w.advance(start + 1200*ms)
				w.partition("i0", "s01", "s02")
				w.healCut("i1", "s01")
				w.healCut("i1", "s02")
				w.advance(start + 1900*ms)
				gate := w.instance("i0").holders["s03"]
				for _, hash := range w.hashes {
					if _, err := gate.real.Begin(hash); err == nil {
						w.gateRequests = append(w.gateRequests, gateRequest{gate: gate, server: "s03", hash: hash, endsAt: w.now + longestRequest})
					}
				}
				w.advance(start + 8000*ms)
			},
		},
		// A server accepts a set, but its answers are lost. The range is wanted elsewhere
		// before the leader knows whether the set was taken.
		"set accepted unknown to the leader": {
			mutation: mutIgnorePending,
			layout: scriptedLayout(1, 3, 0, func(n *simInstance, _ int) string {
				switch {
				case n.w.scriptStart == 0:
					return "s00"
				case n.w.now < n.w.scriptStart+300*ms:
					return "s01"
				default:
					return "s02"
				}
			}),
			script: func(w *world) {
				w.startFirstAsLeader()
				w.cut("s01", "i0", 1<<60, false)
				w.scriptStart = w.now
				w.leading().core.placeSoon()
				w.advance(w.scriptStart + 320*ms)
				w.leading().core.placeSoon()
				w.advance(w.scriptStart + 3000*ms)
			},
		},
		// A server answers, restarts, and answers again; the first answer is late and comes
		// last. The leader takes it for a newer process that holds nothing, and grants the
		// range, which it had just moved to the present process, to a third server.
		"answer of the process before comes last": {
			mutation: mutProcessOrder,
			layout: scriptedLayout(1, 3, 0, func(n *simInstance, _ int) string {
				switch started := n.w.scriptStart; {
				case started == 0 || n.w.now < started+340*ms:
					return "s01"
				case n.w.now < started+650*ms:
					return "s00"
				default:
					return "s02"
				}
			}),
			script: func(w *world) {
				w.startFirstAsLeader()
				var asked, answered []Time
				w.extraDelay = func(from, to string) Time {
					switch {
					case to == "s00":
						asked = append(asked, w.now)
						if len(asked) == 1 {
							w.scriptStart = w.now
							w.after(180*ms, func() { w.restart(w.servers[0]) })
							w.after(340*ms, func() { w.leading().core.placeSoon() })
							return 300 * ms
						}
					case from == "s00":
						answered = append(answered, w.now)
						if len(answered) == 1 {
							return 500 * ms
						}
					}
					return 0
				}
				w.advance(w.now + 3000*ms)
			},
		},
	}
}
