package shard

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// server is a server with its keys while a plan is made.
type server struct {
	ServerState
	// capacity is at least a little, use the load of the server's keys, lost what of it finds no room.
	capacity float64
	load     float64
	lossRate float64
	owned    []Range
	// version counts the moves to and from the server.
	version int
}

// headroom is what is left of the power of a server.
func (s *server) headroom() float64 { return s.capacity - s.load }

// planner holds the working state of one plan.
type planner struct {
	in    Input
	fence uint64
	// loadBelow holds the load of all keys below each key.
	loadBelow []float64
	// servers holds all owners and all that may own, usable those that may get keys, by id.
	servers map[string]*server
	usable  []*server
	// leastUtilized and roomiest hold the usable servers in these orders.
	leastUtilized sortedServers
	mostHeadroom  sortedServers
	rangeCount    int
	meanCapacity  float64
	// comparisons counts the servers that were compared for a move.
	comparisons int
}

// newPlanner returns a planner for the present map.
func newPlanner(in Input) *planner {
	p := &planner{in: in, fence: in.Map.Fence, servers: map[string]*server{}}
	p.leastUtilized.key = func(s *server) float64 { return s.load / s.capacity }
	p.mostHeadroom.key = func(s *server) float64 { return -s.headroom() }
	total := 0.0
	for _, m := range in.Servers {
		if !m.Usable || m.Lost {
			continue
		}
		s := &server{ServerState: m, capacity: max(m.Capacity, 0.01)}
		p.servers[m.ID] = s
		p.usable = append(p.usable, s)
		total += s.capacity
	}
	slices.SortFunc(p.usable, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	p.meanCapacity = total / float64(max(len(p.usable), 1))
	p.loadBelow = make([]float64, NumKeys+1)
	base := total * baseLoadShare / NumKeys
	for key := range NumKeys {
		load := base
		if len(in.Load) == NumKeys {
			load += in.Load[key]
		}
		p.loadBelow[key+1] = p.loadBelow[key] + load
	}
	for _, r := range in.Map.Ranges {
		s := p.serverByID(r.Server)
		s.owned = append(s.owned, r)
		s.load += p.loadOf(r)
		p.rangeCount++
	}
	for _, s := range p.usable {
		s.lossRate = p.lossRate(s.load, s)
	}
	p.leastUtilized.fill(p.usable)
	p.mostHeadroom.fill(p.usable)
	return p
}

// serverByID returns a server that owns keys, whether or not it may get any.
func (p *planner) serverByID(id string) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{ServerState: ServerState{ID: id}}
		p.servers[id] = s
	}
	return s
}

// eligible reports whether a server may get keys.
func (s *server) eligible() bool { return s.capacity > 0 }

// result returns the map that was planned.
func (p *planner) result() *Map {
	out := &Map{Fence: p.fence, Ranges: make([]Range, 0, p.rangeCount)}
	for _, s := range p.servers {
		out.Ranges = append(out.Ranges, s.owned...)
	}
	slices.SortFunc(out.Ranges, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	out.MergeAdjacent()
	return out
}

// loadOf returns the load of a range.
func (p *planner) loadOf(r Range) float64 { return p.loadBelow[int(r.To)+1] - p.loadBelow[r.From] }

// divide divides all keys for the first time, in proportion to the servers' power.
func (p *planner) divide() {
	pieces := len(p.usable) * initialRangesPerServer
	total := p.meanCapacity * float64(len(p.usable))
	from, share := 0, 0.0
	for i := range pieces {
		s := p.usable[i%len(p.usable)]
		share += s.capacity / total / initialRangesPerServer
		end := int(math.Round(share * NumKeys))
		if i == pieces-1 {
			end = NumKeys
		}
		if end <= from {
			continue
		}
		p.fence++
		s.owned = append(s.owned, Range{From: uint16(from), To: uint16(end - 1), Server: s.ID, Fence: p.fence})
		from = end
	}
}

// candidateTargets returns the servers with the most room and those that are used least: one of them is the best,
// or nearly so, for whatever load.
func (p *planner) candidateTargets() []*server {
	if len(p.usable) <= 2*maxTargets {
		return p.usable
	}
	return append(slices.Clone(p.leastUtilized.servers[:maxTargets]), p.mostHeadroom.servers[:maxTargets]...)
}

// leastUtilizedAfter returns the server that is used least after taking a load.
func (p *planner) leastUtilizedAfter(load float64) *server {
	return slices.MinFunc(p.candidateTargets(), func(a, b *server) int {
		return cmp.Compare((a.load+load)/a.capacity, (b.load+load)/b.capacity)
	})
}

// reassignLost gives the keys of servers that are gone to others. A server that started again gets
// back what it had, by a higher fence: callers are spared a second move, and it is as fast as it was.
func (p *planner) reassignLost() bool {
	stays := map[string]bool{}
	for _, m := range p.in.Servers {
		stays[m.ID] = !m.Lost
	}
	var gone []string
	for id, s := range p.servers {
		if !stays[id] && len(s.owned) > 0 {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		from := p.servers[id]
		to, reborn := p.servers[p.in.Restarted[id]]
		for len(from.owned) > 0 {
			if reborn && to.eligible() && (!to.Capped || to.load+p.loadOf(from.owned[0]) <= to.capacity) {
				p.moveRange(from, 0, to)
				continue
			}
			p.splitLarge(from, 0)
			p.moveRange(from, 0, p.leastUtilizedAfter(p.loadOf(from.owned[0])))
		}
	}
	return len(gone) > 0
}

// splitLarge splits a range whose load is more than a quarter of what one server can do.
func (p *planner) splitLarge(s *server, i int) {
	r := s.owned[i]
	if p.loadOf(r) <= p.meanCapacity/4 {
		return
	}
	if at, ok := p.splitPoint(r, p.meanCapacity/4); ok {
		p.split(s, i, at)
	}
}

// splitPoint returns the first key behind the shortest part of a range that holds at least the given load.
func (p *planner) splitPoint(r Range, load float64) (uint16, bool) {
	first, last := int(r.From), int(r.To)
	n := sort.Search(last-first, func(i int) bool { return p.loadBelow[first+i+1]-p.loadBelow[first] >= load })
	if n == last-first {
		return 0, false
	}
	return uint16(first + n + 1), true
}

// split cuts a range of a server in two: the second begins with key.
func (p *planner) split(s *server, i int, key uint16) {
	second := s.owned[i]
	second.From = key
	s.owned[i].To = key - 1
	s.owned = slices.Insert(s.owned, i+1, second)
	p.rangeCount++
}

// moveRange moves a range from one server to another.
func (p *planner) moveRange(from *server, i int, to *server) {
	r := from.owned[i]
	load := p.loadOf(r)
	from.owned = slices.Delete(from.owned, i, i+1)
	p.fence++
	r.FormerOwners = append(slices.Clone(r.FormerOwners), Owner{Server: r.Server, Address: p.in.Addresses[r.Server]})
	r.Server, r.Fence = to.ID, p.fence
	to.owned = append(to.owned, r)
	p.addLoad(from, -load)
	p.addLoad(to, load)
}

// addLoad takes in that the load of a server is another one.
func (p *planner) addLoad(s *server, load float64) {
	s.version++
	if !s.eligible() {
		s.load += load
		return
	}
	p.leastUtilized.remove(s)
	p.mostHeadroom.remove(s)
	s.load += load
	s.lossRate = p.lossRate(s.load, s)
	p.leastUtilized.add(s)
	p.mostHeadroom.add(s)
}

// byLoss returns the usable servers, the one first at which most is lost.
func (p *planner) byLoss() []*server {
	servers := slices.Clone(p.usable)
	slices.SortStableFunc(servers, func(a, b *server) int { return cmp.Compare(b.lossRate, a.lossRate) })
	return servers
}

// sortedServers holds servers sorted by a key. A server is taken out before its key changes.
type sortedServers struct {
	key     func(s *server) float64
	servers []*server
}

func (o *sortedServers) compare(a, b *server) int {
	return cmp.Or(cmp.Compare(o.key(a), o.key(b)), cmp.Compare(a.ID, b.ID))
}

func (o *sortedServers) fill(servers []*server) {
	o.servers = slices.Clone(servers)
	slices.SortFunc(o.servers, o.compare)
}

func (o *sortedServers) remove(s *server) {
	at, _ := slices.BinarySearchFunc(o.servers, s, o.compare)
	o.servers = slices.Delete(o.servers, at, at+1)
}

func (o *sortedServers) add(s *server) {
	at, _ := slices.BinarySearchFunc(o.servers, s, o.compare)
	o.servers = slices.Insert(o.servers, at, s)
}
