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
	// power is at least a little, use the load of the server's keys, lost what of it finds no room.
	power float64
	use   float64
	lost  float64
	owned []Range
	// changes counts the moves to and from the server.
	changes int
}

// room is what is left of the power of a server.
func (s *server) room() float64 { return s.power - s.use }

// planner holds the working state of one plan.
type planner struct {
	in    Input
	fence uint64
	// sums holds the load of all keys below each key.
	sums []float64
	// servers holds all owners and all that may own, usable those that may get keys, by id.
	servers map[string]*server
	usable  []*server
	// leastUsed and roomiest hold the usable servers in these orders.
	leastUsed order
	roomiest  order
	ranges    int
	mean      float64
	// compared counts the servers that were compared for a move.
	compared int
}

// newPlanner returns a planner for the present map.
func newPlanner(in Input) *planner {
	p := &planner{in: in, fence: in.Map.Fence, servers: map[string]*server{}}
	p.leastUsed.key = func(s *server) float64 { return s.use / s.power }
	p.roomiest.key = func(s *server) float64 { return -s.room() }
	total := 0.0
	for _, m := range in.Servers {
		if !m.Usable || m.Lost {
			continue
		}
		s := &server{ServerState: m, power: max(m.Capacity, 0.01)}
		p.servers[m.ID] = s
		p.usable = append(p.usable, s)
		total += s.power
	}
	slices.SortFunc(p.usable, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	p.mean = total / float64(max(len(p.usable), 1))
	p.sums = make([]float64, NumKeys+1)
	base := total * baseLoad / NumKeys
	for key := range NumKeys {
		load := base
		if len(in.Load) == NumKeys {
			load += in.Load[key]
		}
		p.sums[key+1] = p.sums[key] + load
	}
	for _, r := range in.Map.Ranges {
		s := p.owner(r.Server)
		s.owned = append(s.owned, r)
		s.use += p.loadOf(r)
		p.ranges++
	}
	for _, s := range p.usable {
		s.lost = p.lost(s.use, s)
	}
	p.leastUsed.fill(p.usable)
	p.roomiest.fill(p.usable)
	return p
}

// owner returns a server that owns keys, whether or not it may get any.
func (p *planner) owner(id string) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{ServerState: ServerState{ID: id}}
		p.servers[id] = s
	}
	return s
}

// mayGet reports whether a server may get keys.
func (s *server) mayGet() bool { return s.power > 0 }

// result returns the map that was planned.
func (p *planner) result() *Map {
	out := &Map{Fence: p.fence, Ranges: make([]Range, 0, p.ranges)}
	for _, s := range p.servers {
		out.Ranges = append(out.Ranges, s.owned...)
	}
	slices.SortFunc(out.Ranges, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	out.Join()
	return out
}

// loadOf returns the load of a range.
func (p *planner) loadOf(r Range) float64 { return p.sums[int(r.To)+1] - p.sums[r.From] }

// begin divides all keys for the first time, in proportion to the servers' power.
func (p *planner) begin() {
	pieces := len(p.usable) * piecesPerServer
	total := p.mean * float64(len(p.usable))
	from, share := 0, 0.0
	for i := range pieces {
		s := p.usable[i%len(p.usable)]
		share += s.power / total / piecesPerServer
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

// candidates returns the servers with the most room and those that are used least: one of them is the best,
// or nearly so, for whatever load.
func (p *planner) candidates() []*server {
	if len(p.usable) <= 2*targetsMost {
		return p.usable
	}
	return append(slices.Clone(p.leastUsed.servers[:targetsMost]), p.roomiest.servers[:targetsMost]...)
}

// least returns the server that is used least after taking a load.
func (p *planner) least(load float64) *server {
	return slices.MinFunc(p.candidates(), func(a, b *server) int {
		return cmp.Compare((a.use+load)/a.power, (b.use+load)/b.power)
	})
}

// replaceLost gives the keys of servers that are gone to others. A server that started again gets
// back what it had, by a higher fence: callers are spared a second move, and it is as fast as it was.
func (p *planner) replaceLost() bool {
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
			if reborn && to.mayGet() && (!to.Capped || to.use+p.loadOf(from.owned[0]) <= to.power) {
				p.give(from, 0, to)
				continue
			}
			p.cutToFit(from, 0)
			p.give(from, 0, p.least(p.loadOf(from.owned[0])))
		}
	}
	return len(gone) > 0
}

// cutToFit splits a range whose load is more than a quarter of what one server can do.
func (p *planner) cutToFit(s *server, i int) {
	r := s.owned[i]
	if p.loadOf(r) <= p.mean/4 {
		return
	}
	if at, ok := p.cutAt(r, p.mean/4); ok {
		p.split(s, i, at)
	}
}

// cutAt returns the first key behind the shortest part of a range that holds at least the given load.
func (p *planner) cutAt(r Range, load float64) (uint16, bool) {
	first, last := int(r.From), int(r.To)
	n := sort.Search(last-first, func(i int) bool { return p.sums[first+i+1]-p.sums[first] >= load })
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
	p.ranges++
}

// give moves a range from one server to another.
func (p *planner) give(from *server, i int, to *server) {
	r := from.owned[i]
	load := p.loadOf(r)
	from.owned = slices.Delete(from.owned, i, i+1)
	p.fence++
	r.FormerOwners = append(slices.Clone(r.FormerOwners), Owner{Server: r.Server, Address: p.in.Addresses[r.Server]})
	r.Server, r.Fence = to.ID, p.fence
	to.owned = append(to.owned, r)
	p.change(from, -load)
	p.change(to, load)
}

// change takes in that the load of a server is another one.
func (p *planner) change(s *server, load float64) {
	s.changes++
	if !s.mayGet() {
		s.use += load
		return
	}
	p.leastUsed.remove(s)
	p.roomiest.remove(s)
	s.use += load
	s.lost = p.lost(s.use, s)
	p.leastUsed.add(s)
	p.roomiest.add(s)
}

// byLoss returns the usable servers, the one first at which most is lost.
func (p *planner) byLoss() []*server {
	servers := slices.Clone(p.usable)
	slices.SortStableFunc(servers, func(a, b *server) int { return cmp.Compare(b.lost, a.lost) })
	return servers
}

// order holds servers sorted by a key. A server is taken out before its key changes.
type order struct {
	key     func(s *server) float64
	servers []*server
}

func (o *order) compare(a, b *server) int {
	return cmp.Or(cmp.Compare(o.key(a), o.key(b)), cmp.Compare(a.ID, b.ID))
}

func (o *order) fill(servers []*server) {
	o.servers = slices.Clone(servers)
	slices.SortFunc(o.servers, o.compare)
}

func (o *order) remove(s *server) {
	at, _ := slices.BinarySearchFunc(o.servers, s, o.compare)
	o.servers = slices.Delete(o.servers, at, at+1)
}

func (o *order) add(s *server) {
	at, _ := slices.BinarySearchFunc(o.servers, s, o.compare)
	o.servers = slices.Insert(o.servers, at, s)
}
