package permit

import (
	"cmp"
	"slices"
	"time"
)

// The weights of a choice among free servers, in units of a server's mean time.
const (
	// loadCost is what a server costs more whose slots are all but taken.
	loadCost = 0.25
	// crossDomainCost is what a server of another failure domain costs more.
	crossDomainCost = 0.1
	// coldCost is what a server costs more that has just started.
	coldCost = 1
	// noSlotCost is what a server costs more at which a request would wait for a slot: any that has one goes first.
	noSlotCost = 2
	// newConnCost is what a new connection costs: it takes a slot for a millisecond, and operators weigh them
	// (TestConnectionsAreUsedAgain).
	newConnCost = 0.3
	// avoidCost keeps a request from a server that failed it while there is any other.
	avoidCost = 100
)

// maxRecentServers is the number of servers that are remembered of an asker.
const maxRecentServers = 16

// listing orders the free servers of a domain.
type listing struct {
	cost   float64
	server *server
}

func (p listing) compare(o listing) int {
	return cmp.Or(cmp.Compare(p.cost, o.cost), cmp.Compare(p.server.ID, o.server.ID))
}

// openServers holds the servers of a domain that are open, the one that costs least first. So a
// choice looks at a few of them, however many there are.
type openServers struct {
	domain   string
	listings []listing
}

func (f *openServers) add(p listing) {
	at, _ := slices.BinarySearchFunc(f.listings, p, listing.compare)
	f.listings = slices.Insert(f.listings, at, p)
}

func (f *openServers) remove(p listing) {
	at, found := slices.BinarySearchFunc(f.listings, p, listing.compare)
	if found {
		f.listings = slices.Delete(f.listings, at, at+1)
	}
}

// best returns the server that costs least of those that take a request, without one that is to be avoided if there is
// another.
func (f *openServers) best(now time.Time, w *waiter) *server {
	for _, p := range f.listings {
		if p.server.accepts(now, w) && (p.server.ID != w.Avoid || len(f.listings) == 1) {
			return p.server
		}
	}
	return nil
}

// accepts reports whether a request may be sent to the server at all: not to a cold one by an instance that other keepers
// of it may not know of.
func (s *server) accepts(now time.Time, w *waiter) bool { return !w.NonExclusive || !s.Cold(now) }

// openIn returns the free servers of a domain.
func (k *Controller) openIn(name string) *openServers {
	at, found := slices.BinarySearchFunc(k.openByDomain, name, func(f *openServers, name string) int { return cmp.Compare(f.domain, name) })
	if !found {
		k.openByDomain = slices.Insert(k.openByDomain, at, &openServers{domain: name})
	}
	return k.openByDomain[at]
}

// refresh brings up to date whether and where a server stands among the free ones, and has it looked at
// again when that changes by itself.
func (k *Controller) refresh(now time.Time, s *server) {
	if s.listed {
		k.openIn(s.listedDomain).remove(s.listing)
		s.listed = false
	}
	k.capacity -= s.countedCapacity
	k.waitingAtServers -= s.countedWaiting
	s.countedCapacity, s.countedWaiting = 0, 0
	if k.servers[s.ID] != s {
		return
	}
	s.countedCapacity = k.capacityOf(now, s)
	k.capacity += s.countedCapacity
	s.countedWaiting = s.waitingForSlot()
	k.waitingAtServers += s.countedWaiting
	s.coldNextAt = time.Time{}
	if turn := s.coldSendTime(now, 0); turn.After(now) {
		s.coldNextAt = turn
	}
	if s.ejected && !s.ejectionActive(now) {
		s.ejected = false
		k.ejected--
	}
	if s.open(now) && !s.ejected {
		s.listing, s.listed, s.listedDomain = listing{s.cost(now), s}, true, s.Domain
		k.openIn(s.Domain).add(s.listing)
	}
	if at, changes := s.nextChange(now); changes && (s.nextTimerAt.Before(now) || at.Before(s.nextTimerAt)) {
		s.nextTimerAt = at
		k.timers.add(at, serverChange{s})
	}
}

// capacityOf returns what a server can do now, in slots of mean speed.
func (k *Controller) capacityOf(now time.Time, s *server) float64 {
	power := s.slotCapacity() / s.coldFactor(now)
	if s.Cold(now) {
		power = min(power, s.ColdRate*k.main().Seconds())
	}
	return power
}

// cost returns what a server costs whoever asks.
func (s *server) cost(now time.Time) float64 {
	cost := s.timeRatio * (1 + loadCost*float64(s.occupancy(now))/float64(max(s.Slots, 1)))
	if now.Before(s.WarmAt) {
		cost += coldCost
	}
	if !s.free(now) {
		cost += s.timeRatio + noSlotCost
	}
	return cost
}

// nextChange returns when a server may next become free, or warm, without anything being told of it.
func (s *server) nextChange(now time.Time) (at time.Time, changes bool) {
	for _, t := range []time.Time{s.fullUntil, s.untrackedUntil, s.ejectedUntil, s.coldNextAt, s.WarmAt} {
		if t.After(now) && (!changes || t.Before(at)) {
			at, changes = t, true
		}
	}
	return at, changes
}

// chooseServer returns the best server that is free for a request, nil if there is none: the one that costs least
// of its domain and of each other, or one to which its instance has a connection.
func (k *Controller) chooseServer(now time.Time, w *waiter) *server {
	if w.Server != "" {
		if s := k.servers[w.Server]; s != nil && s.open(now) && s.accepts(now, w) {
			return s
		}
		return nil
	}
	recent := k.recentServers(w.From, now)
	var best *server
	var bestCost float64
	consider := func(s *server, open bool) {
		k.inspected++
		cost := s.listing.cost
		if s.Domain != w.Domain {
			cost += crossDomainCost
		}
		if !open {
			cost += newConnCost
		}
		if s.ID == w.Avoid {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	crosses := !now.Before(w.crossDomainAt)
	for _, r := range recent {
		if s := k.servers[r.server]; s != nil && s.listed && s.accepts(now, w) && (crosses || s.Domain == w.Domain) {
			consider(s, true)
		}
	}
	for _, f := range k.openByDomain {
		if !crosses && f.domain != w.Domain {
			continue
		}
		if s := f.best(now, w); s != nil {
			consider(s, false)
		}
	}
	return best
}

// recentServer is a server that an instance was sent to, and when.
type recentServer struct {
	server string
	at     time.Time
}

// recentServers returns the servers to which an instance is likely to have a connection.
func (k *Controller) recentServers(from string, now time.Time) []recentServer {
	kept := slices.DeleteFunc(k.recent[from], func(r recentServer) bool { return now.Sub(r.at) >= connIdleTimeout })
	if len(kept) == 0 {
		delete(k.recent, from)
		return nil
	}
	k.recent[from] = kept
	return kept
}

// recordUse takes in that an instance is sent to a server.
func (k *Controller) recordUse(from, server string, now time.Time) {
	kept := slices.DeleteFunc(k.recentServers(from, now), func(r recentServer) bool { return r.server == server })
	kept = append(kept, recentServer{server, now})
	if len(kept) > maxRecentServers {
		kept = slices.Delete(kept, 0, 1)
	}
	k.recent[from] = kept
}
