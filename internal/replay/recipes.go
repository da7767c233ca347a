package replay

import "math"

// coldStartTime is how long a server that came up takes a reduced share.
const coldStartTime = minute

// busyVolume makes the pages of one volume hot, with a rise and a fall.
func busyVolume(m *generator) {
	for _, w := range m.deployment.services {
		var pages []hotKey
		if w.divided {
			pages = m.drawHotKeys(w, 40, 0.33)
		}
		for at := Time(0); at < hour; at += 20 * second {
			rise := math.Sin(math.Pi * float64(at) / float64(hour))
			now := make([]hotKey, len(pages))
			for i, p := range pages {
				now[i] = hotKey{name: p.name, share: p.share * rise}
			}
			m.addRequests(w, at, 20*second, 1+0.5*rise, now)
		}
	}
	m.add(hour, Ended{})
}

// hotelSeason makes requests rise and a few keys hot for good.
func hotelSeason(m *generator) {
	const length = 4 * hour
	for _, w := range m.deployment.services {
		var cheeses []hotKey
		if w.divided {
			cheeses = m.drawHotKeys(w, 30, 0.3)
		}
		for at := Time(0); at < length; at += minute {
			rise := min(1, 2*float64(at)/float64(length))
			now := make([]hotKey, len(cheeses))
			for i, c := range cheeses {
				now[i] = hotKey{name: c.name, share: c.share * rise}
			}
			factor := 0.5 + rise
			if !w.divided {
				factor = 0.4 + 0.6*rise
			}
			m.addRequests(w, at, minute, factor, now)
		}
	}
	m.add(length, Ended{})
}

// comingAndGoing stops each server three times at random moments of a day.
func comingAndGoing(m *generator) {
	const length, stops = 24 * hour, 3
	m.addWorkloads(length, 10*minute, func(at Time) float64 {
		return 0.7 + 0.3*math.Sin(2*math.Pi*float64(at)/float64(length))
	})
	for _, w := range m.deployment.services {
		for i := range w.servers {
			// One stop in each third of the day, so that two of a server do not meet.
			for stop := range Time(stops) {
				at := stop*length/stops + Time(m.random.Int64N(int64(length/stops-hour)))
				state := StateLost
				if m.random.IntN(2) == 0 {
					state = StateLeaving
				}
				m.add(at, ServerChange{Name: w.serverName(i), State: state})
				back := at + 20*second + Time(m.random.Int64N(int64(5*minute)))
				m.add(back, ServerChange{Name: w.serverName(i), State: StateUp, WarmMillis: coldStartTime})
			}
		}
	}
}

// rollingReplacement stops one server after the other, announced.
func rollingReplacement(m *generator) {
	const each, away = 4 * minute, 30 * second
	at := 5 * minute
	for _, w := range m.deployment.services {
		for i := range w.servers {
			m.add(at, ServerChange{Name: w.serverName(i), State: StateLeaving})
			m.add(at+away, ServerChange{Name: w.serverName(i), State: StateUp, WarmMillis: coldStartTime})
			at += each
		}
	}
	m.addWorkloads(at+5*minute, minute, constantRate)
}

// domainCut cuts the first domain off for two hours. A server in it is lost meanwhile.
func domainCut(m *generator) {
	m.addWorkloads(3*hour, minute, constantRate)
	domain, divided := m.deployment.domains[0], m.deployment.services[0]
	m.add(30*minute, DomainChange{Name: domain, State: StateCut})
	m.add(70*minute, ServerChange{Name: divided.serverName(0), State: StateLost})
	m.add(85*minute, ServerChange{Name: divided.serverName(0), State: StateUp, WarmMillis: coldStartTime})
	m.add(150*minute, DomainChange{Name: domain, State: StateJoined})
}

// logDown takes the log away for an hour, and in it a leader with a server of its domain.
func logDown(m *generator) {
	m.addWorkloads(2*hour, minute, constantRate)
	domain, divided := m.deployment.domains[1], m.deployment.services[0]
	m.add(30*minute, LogChange{State: StateDown})
	m.add(50*minute, InstanceChange{Name: domain + "-entry-0", Domain: domain, State: StateLost, Leading: true})
	m.add(50*minute, ServerChange{Name: divided.serverName(1), State: StateLost})
	m.add(65*minute, ServerChange{Name: divided.serverName(1), State: StateUp, WarmMillis: coldStartTime})
	m.add(90*minute, LogChange{State: StateUp})
}

// hotShift replaces the whole hot set each four minutes.
func hotShift(m *generator) {
	const length, shift = 2 * hour, 4 * minute
	for _, w := range m.deployment.services {
		var hot []hotKey
		for at := Time(0); at < length; at += 30 * second {
			if w.divided && at%shift == 0 {
				hot = m.drawHotKeys(w, 24, 0.25)
			}
			m.addRequests(w, at, 30*second, 1, hot)
		}
	}
	m.add(length, Ended{})
}
