package admit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Costs that decide which open server gets a request, in units of a mean service time. They are
// added to the base cost of a server, which is its time ratio.
const (
	// loadCost is added, multiplied by the time ratio, to a server whose slots are all in use, and
	// in proportion to one with some in use.
	loadCost = 0.25
	// crossDomainCost is added to a server of another failure domain.
	crossDomainCost = 0.1
	// coldCost is added to a server that started only recently.
	coldCost = 1
	// noSlotCost is added to a server where the request would wait for a slot: any server with a
	// free slot goes first.
	noSlotCost = 2
	// newConnCost is added to a server to which the instance has no open connection. A new
	// connection takes a slot for a millisecond, and operators count new connections as a cost
	// (TestConnectionsAreReused).
	newConnCost = 0.3
	// avoidCost keeps a request from a server that failed it while there is any other.
	avoidCost = 100
)

// maxRecentServers is the number of recently used servers that are remembered for an instance.
const maxRecentServers = 16

// listing is the entry of a server in the list of open servers of its domain.
type listing struct {
	cost   float64
	server *server
}

func (l listing) compare(other listing) int {
	return cmp.Or(cmp.Compare(l.cost, other.cost), cmp.Compare(l.server.ID, other.server.ID))
}

// openServers holds the servers of a domain that are open to requests, sorted by cost, so that a
// choice looks at a few of them only, however many there are.
type openServers struct {
	domain   string
	listings []listing
}

func (o *openServers) add(l listing) {
	at, _ := slices.BinarySearchFunc(o.listings, l, listing.compare)
	o.listings = slices.Insert(o.listings, at, l)
}

func (o *openServers) remove(l listing) {
	at, found := slices.BinarySearchFunc(o.listings, l, listing.compare)
	if found {
		o.listings = slices.Delete(o.listings, at, at+1)
	}
}

// best returns the cheapest server that accepts the request. The server to avoid is passed over if
// there are others.
func (o *openServers) best(now time.Time, w *waiter) *server {
	for _, l := range o.listings {
		if l.server.accepts(now, w) && (l.server.ID != w.Avoid || len(o.listings) == 1) {
			return l.server
		}
	}
	return nil
}

// sample returns the cheaper of two random servers that accept the request. Of the controllers that admit requests to the
// same servers without counting those of the others, each would find the same server cheapest.
func (o *openServers) sample(now time.Time, w *waiter, random *rand.Rand) *server {
	var best listing
	for range 2 {
		if l, found := o.randomListing(now, w, random); found && (best.server == nil || l.cost < best.cost) {
			best = l
		}
	}
	return best.server
}

// randomListing returns a random server that accepts the request, and false if there is none. The server to avoid is
// passed over if there are others.
func (o *openServers) randomListing(now time.Time, w *waiter, random *rand.Rand) (listing, bool) {
	if len(o.listings) == 0 {
		return listing{}, false
	}
	first := random.IntN(len(o.listings))
	for i := range o.listings {
		l := o.listings[(first+i)%len(o.listings)]
		if l.server.accepts(now, w) && (l.server.ID != w.Avoid || len(o.listings) == 1) {
			return l, true
		}
	}
	return listing{}, false
}

// accepts reports whether the request may be sent to the server at all, which depends on its
// instance. A server that bears a bounded rate accepts no non-exclusive request, as another
// controller may be admitting requests to it without counting this one.
func (s *server) accepts(now time.Time, w *waiter) bool {
	return !s.restsFor(w.From, now) && (!w.NonExclusive || !s.bounded(now))
}

// openLists returns the lists of open servers, by domain.
func (c *Controller) openLists() []*openServers {
	c.updateLists()
	return c.openByDomain
}

// updateLists enters the changes since the last call into the lists of open servers. Requests for one particular server need
// no list, and several changes of a server lie between two requests for any server.
func (c *Controller) updateLists() {
	for _, s := range c.unentered {
		s.unentered = false
		if s.entered && s.listed && s.entry == s.listing && s.entryDomain == s.Domain {
			continue
		}
		if s.entered {
			c.openIn(s.entryDomain).remove(s.entry)
		}
		s.entered = s.listed
		if s.listed {
			s.entry, s.entryDomain = s.listing, s.Domain
			c.openIn(s.Domain).add(s.listing)
		}
	}
	clear(c.unentered) // for the garbage collector
	c.unentered = c.unentered[:0]
}

// openIn returns the list of open servers of a domain.
func (c *Controller) openIn(name string) *openServers {
	at, found := slices.BinarySearchFunc(c.openByDomain, name, func(o *openServers, name string) int { return cmp.Compare(o.domain, name) })
	if !found {
		c.openByDomain = slices.Insert(c.openByDomain, at, &openServers{domain: name})
	}
	return c.openByDomain[at]
}

// refresh brings everything that depends on the state of a server up to date: its part of the sums
// over all servers, its entry in the list of open servers, and the timer for the next change that
// comes with time alone.
func (c *Controller) refresh(now time.Time, s *server) {
	if !s.unentered {
		s.unentered = true
		c.unentered = append(c.unentered, s)
	}
	s.listed = false
	c.capacity -= s.countedCapacity
	c.waitingAtServers -= s.countedWaiting
	s.countedCapacity, s.countedWaiting = 0, 0
	if c.servers[s.ID] != s {
		delete(c.awaitingRate, s)
		delete(c.resting, s)
		c.updateLists() // drops the server
		return
	}
	c.refreshRests(now, s)
	s.countedCapacity = c.capacityOf(now, s)
	c.capacity += s.countedCapacity
	s.countedWaiting = s.waitingForSlot()
	c.waitingAtServers += s.countedWaiting
	s.nextSendAt = time.Time{}
	if sendAt := s.sendTime(now, 0); sendAt.After(now) {
		s.nextSendAt = sendAt
	}
	if s.nextSendAt.IsZero() {
		delete(c.awaitingRate, s)
	} else {
		c.awaitingRate[s] = struct{}{}
	}
	if s.ejected && !s.ejectionActive(now) {
		s.ejected = false
		c.ejected--
	}
	if s.open(now) && !s.ejected {
		s.listing, s.listed = listing{s.cost(now), s}, true
	}
	if at, changes := s.nextChange(now); changes && (s.nextTimerAt.Before(now) || at.Before(s.nextTimerAt)) {
		s.nextTimerAt = at
		c.timers.add(at, serverChange{s})
	}
}

// capacityOf returns what a server can run now, in slots of a server of mean speed.
func (c *Controller) capacityOf(now time.Time, s *server) float64 {
	capacity := s.slotCapacity() / s.coldFactor(now)
	if s.Cold(now) {
		capacity = min(capacity, s.ColdRate*c.main().Seconds())
	}
	if s.RateLimit > 0 {
		capacity = min(capacity, s.RateLimit*c.main().Seconds())
	}
	return s.restCapacity(capacity, now)
}

// cost returns the part of a server's cost that is the same for all requests.
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

// nextChange returns when a server may next become open or warm without any message about it.
func (s *server) nextChange(now time.Time) (at time.Time, changes bool) {
	for _, t := range []time.Time{
		s.fullUntil, s.untrackedUntil, s.ejectedUntil, s.nextSendAt, s.WarmAt,
		s.rests.allUntil, s.rests.endsAt, s.rests.probeAt, s.rests.rampUntil,
	} {
		if t.After(now) && (!changes || t.Before(at)) {
			at, changes = t, true
		}
	}
	return at, changes
}

// chooseServer returns the open server that costs least for a request, nil if there is none. It
// compares the cheapest server of each domain that the request may use, and the servers to which
// the instance has a connection. For a request with an owner, only the owner counts.
func (c *Controller) chooseServer(now time.Time, w *waiter) *server {
	if w.Server != "" {
		if s := c.servers[w.Server]; s != nil && s.open(now) && s.accepts(now, w) {
			return s
		}
		return nil
	}
	recent := c.recentServers(w.From, now)
	var best *server
	var bestCost float64
	consider := func(s *server, connected bool) {
		c.inspected++
		cost := s.listing.cost
		if s.Domain != w.Domain {
			cost += crossDomainCost
		}
		if !connected {
			cost += newConnCost
		}
		if s.ID == w.Avoid {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	anyDomain := !now.Before(w.crossDomainAt)
	for _, r := range recent {
		s := c.servers[r.server]
		if s == nil || !s.listed || !s.accepts(now, w) || !anyDomain && s.Domain != w.Domain {
			continue
		}
		if w.NonExclusive && len(s.admissions) > 0 {
			// Others may use the rest of its slots.
			continue
		}
		consider(s, true)
	}
	for _, o := range c.openLists() {
		if !anyDomain && o.domain != w.Domain {
			continue
		}
		s := o.best(now, w)
		if w.NonExclusive {
			s = o.sample(now, w, c.random)
		}
		if s != nil {
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

// recentServers returns the servers to which an instance is likely to have an open connection.
func (c *Controller) recentServers(from string, now time.Time) []recentServer {
	kept := slices.DeleteFunc(c.recent[from], func(r recentServer) bool { return now.Sub(r.at) >= connIdleTimeout })
	if len(kept) == 0 {
		delete(c.recent, from)
		return nil
	}
	c.recent[from] = kept
	return kept
}

// recordUse records that an instance is sent to a server.
func (c *Controller) recordUse(from, server string, now time.Time) {
	recent, kept, expiredAt := c.recent[from], 0, now.Add(-connIdleTimeout)
	for i := range recent {
		if r := &recent[i]; r.server == server || !r.at.After(expiredAt) {
			continue
		}
		if kept < i {
			recent[kept] = recent[i]
		}
		kept++
	}
	recent = recent[:kept]
	if kept == maxRecentServers {
		recent = slices.Delete(recent, 0, 1)
	}
	c.recent[from] = append(recent, recentServer{server, now})
}
