package leader

// messageOrderScenarios returns the scenarios about fences, majorities, requests of lost gates
// and the order of answers.
func messageOrderScenarios() map[string]scenario {
	return map[string]scenario{
		// Two leaders reach one voter in common. Without the fence it follows both, so each has a
		// majority, and one renews the grant of a server that the other considers lost.
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
		// A leader gets no answers from a server, and soon after loses its majority to another
		// leader, which renews the grant of that server. The lease that the first leader gave
		// expires before the first leader has to step down. It must not move the ranges, since no
		// majority that was asked after the expiry has followed it.
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
		// A gate is lost just after it sent a request to a server that does not check grants. The
		// request runs for longer than the lease. If the caller retries it, a new gate would send
		// it again while the first attempt still runs.
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
		// A candidate without a majority gets an answer from a server that holds a range. The old
		// leader gets no answers from that server, waits for the end of its lease and moves the
		// range to a server that does not check grants. Then the candidate wins. The answer from
		// before the win does not show that the range is free elsewhere: a request of a gate that
		// the old leader chose still runs.
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
		// A server accepts a set, but its answers are lost. The placer moves the range to another
		// server before the leader knows whether the set was accepted.
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
		// A server answers, restarts and answers again, and the first answer arrives last. Without
		// the guard the leader takes it for the answer of a newer process that holds nothing. It
		// has just moved the range to the present process, and now grants it to a third server.
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
