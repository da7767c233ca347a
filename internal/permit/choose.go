package permit

import (
	"cmp"
	"slices"
	"time"
)

// The weights of a choice among free servers, in units of a server's mean time.
const (
	// busyCost is what a server costs more whose slots are all but taken.
	busyCost = 0.25
	// crossCost is what a server of another failure domain costs more.
	crossCost = 0.1
	// coldCost is what a server costs more that has just started.
	coldCost = 1
	// fullCost is what a server costs more at which a request would wait for a slot: any that has one goes first.
	fullCost = 2
	// openCost is what a new connection costs: it takes a slot for a millisecond, and operators weigh them
	// (TestConnectionsAreUsedAgain).
	openCost = 0.3
	// avoidCost keeps a request from a server that failed it while there is any other.
	avoidCost = 100
)

// recentMost is the number of servers that are remembered of an asker.
const recentMost = 16

// place orders the free servers of a domain.
type place struct {
	cost   float64
	server *server
}

func (p place) compare(o place) int {
	return cmp.Or(cmp.Compare(p.cost, o.cost), cmp.Compare(p.server.ID, o.server.ID))
}

// freeServers holds the servers of a domain that are open, the one that costs least first. So a
// choice looks at a few of them, however many there are.
type freeServers struct {
	domain string
	places []place
}

func (f *freeServers) add(p place) {
	at, _ := slices.BinarySearchFunc(f.places, p, place.compare)
	f.places = slices.Insert(f.places, at, p)
}

func (f *freeServers) remove(p place) {
	at, found := slices.BinarySearchFunc(f.places, p, place.compare)
	if found {
		f.places = slices.Delete(f.places, at, at+1)
	}
}

// best returns the server that costs least of those that take a request, without one that is to be avoided if there is
// another.
func (f *freeServers) best(now time.Time, w *waiting) *server {
	for _, p := range f.places {
		if p.server.takes(now, w) && (p.server.ID != w.Avoid || len(f.places) == 1) {
			return p.server
		}
	}
	return nil
}

// takes reports whether a request may be sent to the server at all: not to a cold one by an instance that other keepers
// of it may not know of.
func (s *server) takes(now time.Time, w *waiting) bool { return !w.NonExclusive || !s.Cold(now) }

// domain returns the free servers of a domain.
func (k *Controller) domain(name string) *freeServers {
	at, found := slices.BinarySearchFunc(k.free, name, func(f *freeServers, name string) int { return cmp.Compare(f.domain, name) })
	if !found {
		k.free = slices.Insert(k.free, at, &freeServers{domain: name})
	}
	return k.free[at]
}

// arrange brings up to date whether and where a server stands among the free ones, and has it looked at
// again when that changes by itself.
func (k *Controller) arrange(now time.Time, s *server) {
	if s.listed {
		k.domain(s.listedDomain).remove(s.place)
		s.listed = false
	}
	k.power -= s.counted
	k.behind -= s.behind
	s.counted, s.behind = 0, 0
	if k.servers[s.ID] != s {
		return
	}
	s.counted = k.powerOf(now, s)
	k.power += s.counted
	s.behind = s.waitsThere()
	k.behind += s.behind
	s.coldUntil = time.Time{}
	if turn := s.coldTurn(now, 0); turn.After(now) {
		s.coldUntil = turn
	}
	if s.setAside && !s.aside(now) {
		s.setAside = false
		k.aside--
	}
	if s.open(now) && !s.setAside {
		s.place, s.listed, s.listedDomain = place{s.cost(now), s}, true, s.Domain
		k.domain(s.Domain).add(s.place)
	}
	if at, changes := s.changesAt(now); changes && (s.timerAt.Before(now) || at.Before(s.timerAt)) {
		s.timerAt = at
		k.timers.set(at, serverChanges{s})
	}
}

// powerOf returns what a server can do now, in slots of mean speed.
func (k *Controller) powerOf(now time.Time, s *server) float64 {
	power := s.slotPower() / s.factor(now)
	if s.Cold(now) {
		power = min(power, s.ColdRate*k.main().Seconds())
	}
	return power
}

// cost returns what a server costs whoever asks.
func (s *server) cost(now time.Time) float64 {
	cost := s.speed * (1 + busyCost*float64(s.busy(now))/float64(max(s.Slots, 1)))
	if now.Before(s.WarmAt) {
		cost += coldCost
	}
	if !s.free(now) {
		cost += s.speed + fullCost
	}
	return cost
}

// changesAt returns when a server may next become free, or warm, without anything being told of it.
func (s *server) changesAt(now time.Time) (at time.Time, changes bool) {
	for _, t := range []time.Time{s.fullUntil, s.foreignUntil, s.asideUntil, s.coldUntil, s.WarmAt} {
		if t.After(now) && (!changes || t.Before(at)) {
			at, changes = t, true
		}
	}
	return at, changes
}

// choose returns the best server that is free for a request, nil if there is none: the one that costs least
// of its domain and of each other, or one to which its instance has a connection.
func (k *Controller) choose(now time.Time, w *waiting) *server {
	if w.Server != "" {
		if s := k.servers[w.Server]; s != nil && s.open(now) && s.takes(now, w) {
			return s
		}
		return nil
	}
	recent := k.recentOf(w.From, now)
	var best *server
	var bestCost float64
	consider := func(s *server, open bool) {
		k.looked++
		cost := s.place.cost
		if s.Domain != w.Domain {
			cost += crossCost
		}
		if !open {
			cost += openCost
		}
		if s.ID == w.Avoid {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	crosses := !now.Before(w.crossAt)
	for _, r := range recent {
		if s := k.servers[r.server]; s != nil && s.listed && s.takes(now, w) && (crosses || s.Domain == w.Domain) {
			consider(s, true)
		}
	}
	for _, f := range k.free {
		if !crosses && f.domain != w.Domain {
			continue
		}
		if s := f.best(now, w); s != nil {
			consider(s, false)
		}
	}
	return best
}

// recentUse is a server that an instance was sent to, and when.
type recentUse struct {
	server string
	at     time.Time
}

// recentOf returns the servers to which an instance is likely to have a connection.
func (k *Controller) recentOf(from string, now time.Time) []recentUse {
	kept := slices.DeleteFunc(k.recent[from], func(r recentUse) bool { return now.Sub(r.at) >= openTime })
	if len(kept) == 0 {
		delete(k.recent, from)
		return nil
	}
	k.recent[from] = kept
	return kept
}

// noteUse takes in that an instance is sent to a server.
func (k *Controller) noteUse(from, server string, now time.Time) {
	kept := slices.DeleteFunc(k.recentOf(from, now), func(r recentUse) bool { return r.server == server })
	kept = append(kept, recentUse{server, now})
	if len(kept) > recentMost {
		kept = slices.Delete(kept, 0, 1)
	}
	k.recent[from] = kept
}
