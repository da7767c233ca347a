package replay

import "math"

// coldStartTime is how long a server takes a reduced share of the load after it came up.
const coldStartTime = minute

// busyVolume makes the pages of one volume hot. Their load and the total rate rise and fall over
// an hour.
func busyVolume(g *generator) {
	for _, w := range g.deployment.services {
		var pages []hotKey
		if w.divided {
			pages = g.drawHotKeys(w, 40, 0.33)
		}
		for at := Time(0); at < hour; at += 20 * second {
			rise := math.Sin(math.Pi * float64(at) / float64(hour))
			current := make([]hotKey, len(pages))
			for i, p := range pages {
				current[i] = hotKey{name: p.name, share: p.share * rise}
			}
			g.addRequests(w, at, 20*second, 1+0.5*rise, current)
		}
	}
	g.add(hour, Ended{})
}

// hotelSeason raises the request rate and the load of a few hot keys for two hours. Both stay
// high for two more hours.
func hotelSeason(g *generator) {
	const length = 4 * hour
	for _, w := range g.deployment.services {
		var cheeses []hotKey
		if w.divided {
			cheeses = g.drawHotKeys(w, 30, 0.3)
		}
		for at := Time(0); at < length; at += minute {
			rise := min(1, 2*float64(at)/float64(length))
			current := make([]hotKey, len(cheeses))
			for i, c := range cheeses {
				current[i] = hotKey{name: c.name, share: c.share * rise}
			}
			factor := 0.5 + rise
			if !w.divided {
				factor = 0.4 + 0.6*rise
			}
			g.addRequests(w, at, minute, factor, current)
		}
	}
	g.add(length, Ended{})
}

// comingAndGoing stops each server three times at random times of a day, half of them without
// notice on average. The server returns cold within minutes.
func comingAndGoing(g *generator) {
	const length, stops = 24 * hour, 3
	g.addWorkloads(length, 10*minute, func(at Time) float64 {
		return 0.7 + 0.3*math.Sin(2*math.Pi*float64(at)/float64(length))
	})
	for _, w := range g.deployment.services {
		for i := range w.servers {
			// One stop in each third of the day, so that the stops of a server do not overlap.
			for stop := range Time(stops) {
				at := stop*length/stops + Time(g.random.Int64N(int64(length/stops-hour)))
				state := StateLost
				if g.random.IntN(2) == 0 {
					state = StateLeaving
				}
				g.add(at, ServerChange{Name: w.serverName(i), State: state})
				back := at + 20*second + Time(g.random.Int64N(int64(5*minute)))
				g.add(back, ServerChange{Name: w.serverName(i), State: StateUp, WarmMillis: coldStartTime})
			}
		}
	}
}

// rollingReplacement replaces the servers one after the other. Each announces that it leaves.
func rollingReplacement(g *generator) {
	const each, away = 4 * minute, 30 * second
	at := 5 * minute
	for _, w := range g.deployment.services {
		for i := range w.servers {
			g.add(at, ServerChange{Name: w.serverName(i), State: StateLeaving})
			g.add(at+away, ServerChange{Name: w.serverName(i), State: StateUp, WarmMillis: coldStartTime})
			at += each
		}
	}
	g.addWorkloads(at+5*minute, minute, constantRate)
}

// domainCut cuts off the first failure domain for two hours, in which one of its servers is lost.
func domainCut(g *generator) {
	g.addWorkloads(3*hour, minute, constantRate)
	domain, divided := g.deployment.domains[0], g.deployment.services[0]
	g.add(30*minute, DomainChange{Name: domain, State: StateCut})
	g.add(70*minute, ServerChange{Name: divided.serverName(0), State: StateLost})
	g.add(85*minute, ServerChange{Name: divided.serverName(0), State: StateUp, WarmMillis: coldStartTime})
	g.add(150*minute, DomainChange{Name: domain, State: StateJoined})
}

// logDown takes the log down for an hour, in which the second failure domain loses its leader and
// a server at once.
func logDown(g *generator) {
	g.addWorkloads(2*hour, minute, constantRate)
	domain, divided := g.deployment.domains[1], g.deployment.services[0]
	g.add(30*minute, LogChange{State: StateDown})
	g.add(50*minute, InstanceChange{Name: domain + "-entry-0", Domain: domain, State: StateLost, Leading: true})
	g.add(50*minute, ServerChange{Name: divided.serverName(1), State: StateLost})
	g.add(65*minute, ServerChange{Name: divided.serverName(1), State: StateUp, WarmMillis: coldStartTime})
	g.add(90*minute, LogChange{State: StateUp})
}

// hotShift replaces all hot keys every four minutes.
func hotShift(g *generator) {
	const length, shift = 2 * hour, 4 * minute
	for _, w := range g.deployment.services {
		var hot []hotKey
		for at := Time(0); at < length; at += 30 * second {
			if w.divided && at%shift == 0 {
				hot = g.drawHotKeys(w, 24, 0.25)
			}
			g.addRequests(w, at, 30*second, 1, hot)
		}
	}
	g.add(length, Ended{})
}
