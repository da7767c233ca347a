package shard

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// server is the state of a server while a plan is made.
type server struct {
	ServerState
	// capacity is ServerState.Capacity, but at least minCapacity for a usable server and 0 for any other.
	// load is the load of the server's keys, lossRate the part of it that is lost or late. All are in
	// requests per second.
	capacity float64
	load     float64
	lossRate float64
	// cost is lossRate and what is added to it for an uneven overload.
	cost float64
	// slow is the share of requests whose service time alone exceeds the target, accepted that of requests that the server
	// does not reject, and penalty that of requests that are lost to either. Without Input.SpeedRanges none are.
	slow     float64
	accepted float64
	penalty  float64
	// places and partialPlace are the result of waitingPlaces.
	places       int
	partialPlace float64
	// owned holds the ranges of the server, in no particular order.
	owned []Range
	// version counts the moves to and from the server, position is its index in planner.usable.
	version  int
	position int32
}

// headroom returns the capacity that is left, in requests per second. It is negative if the server is
// overloaded.
func (s *server) headroom() float64 { return s.capacity - s.load }

// utilization returns the utilization of the server under an additional load. One that loses requests is not preferred for
// being idle.
func (s *server) utilization(added float64) float64 { return (s.load+added)/s.capacity + s.penalty }

// planner holds the working state of one plan.
type planner struct {
	in Input
	// fence is the highest fencing token in use.
	fence uint64
	// loadBelow holds, for each key from 0 to NumKeys, the load of all lower keys.
	loadBelow []float64
	// servers holds, by id, the servers that own keys and those that may get any. usable holds only
	// the latter, sorted by id.
	servers map[string]*server
	usable  []*server
	// leastUtilized and mostHeadroom hold the usable servers that are not capped, sorted by utilization and by headroom.
	// capped holds the others, sorted by headroom.
	leastUtilized sortedServers
	mostHeadroom  sortedServers
	capped        sortedServers
	// targets and candidates are the results of candidateTargets and pieces, reused between calls.
	targets    []*server
	candidates []piece
	// rangeCount is the number of ranges of all servers, meanCapacity the mean of the usable ones.
	rangeCount   int
	meanCapacity float64
	// maxEven is the result of evenUtilization before any move.
	maxEven float64
	// moves holds the number of moved ranges by reason.
	moves [reasons]int
	// comparisons counts the targets that were compared for moves. Tests check it.
	comparisons int
}

// minCapacity is the capacity of a server that is usable, at least, in requests per second.
const minCapacity = 0.01

// newPlanner returns a planner that starts from the map of the input.
func newPlanner(in Input) *planner {
	p := &planner{in: in, fence: in.Map.Fence, servers: map[string]*server{}}
	p.leastUtilized.key = func(s *server) float64 { return s.utilization(0) }
	p.mostHeadroom.key = func(s *server) float64 { return -s.headroom() * (1 - s.penalty) }
	p.capped.key = p.mostHeadroom.key
	total, work := 0.0, in.Work.mean()
	for _, st := range in.Servers {
		if !st.Usable || st.Lost {
			continue
		}
		s := &server{ServerState: st, capacity: max(st.Capacity, minCapacity)}
		if s.accepted = 1; in.SpeedRanges {
			s.accepted, s.slow = 1-st.RejectRate, p.slowShare(s)
			s.penalty = 1 - s.accepted*(1-s.slow)
			if !s.Capped {
				s.capacity /= work
			}
		}
		s.places, s.partialPlace = p.waitingPlaces(s)
		p.servers[st.ID] = s
		p.usable = append(p.usable, s)
		total += s.capacity
	}
	slices.SortFunc(p.usable, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for i, s := range p.usable {
		s.position = int32(i)
	}
	p.meanCapacity = total / float64(max(len(p.usable), 1))
	p.loadBelow = make([]float64, NumKeys+1)
	base, loads := total*baseLoadShare/NumKeys, in.Load
	if p.blind() {
		base, loads = 0, p.inferredLoad()
	}
	for key := range NumKeys {
		load := base
		if len(loads) == NumKeys {
			load += loads[key]
		}
		p.loadBelow[key+1] = p.loadBelow[key] + load
	}
	for _, r := range in.Map.Ranges {
		s := p.serverByID(r.Server)
		s.owned = append(s.owned, r)
		s.load += p.loadOf(r)
		p.rangeCount++
	}
	if p.blind() {
		p.inferCapacities()
	}
	p.maxEven = p.evenUtilization()
	for _, s := range p.usable {
		p.updateCost(s)
	}
	for _, list := range p.lists() {
		list.all, list.order = p.usable, make([]int32, 0, len(p.usable))
	}
	for _, s := range p.usable {
		p.list(s)
	}
	return p
}

// serverByID returns the server with an id. It adds one that is not eligible if there is none.
func (p *planner) serverByID(id string) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{ServerState: ServerState{ID: id}}
		p.servers[id] = s
	}
	return s
}

// hasRoom reports whether a server may be given a load: a capped one rejects what exceeds its capacity.
func (p *planner) hasRoom(s *server, load float64) bool {
	switch {
	case !s.Capped:
		return true
	case p.in.SpeedRanges:
		return !p.blind() && s.load+load <= s.capacity-loadDeviation(s.capacity)
	default:
		return s.load+load <= s.capacity
	}
}

// eligible reports whether the server may get keys.
func (s *server) eligible() bool { return s.capacity > 0 }

// result returns the planned map.
func (p *planner) result() *Map {
	out := &Map{Fence: p.fence, Ranges: p.sortedRanges()}
	out.MergeAdjacent()
	return out
}

// loadOf returns the load of a range, in requests per second.
func (p *planner) loadOf(r Range) float64 { return p.loadBelow[int(r.To)+1] - p.loadBelow[r.From] }

// divide makes the first division of all keys, in proportion to the servers' capacities.
func (p *planner) divide() {
	perServer := max(1, min(initialRangesPerServer, maxInitialRanges/len(p.usable)))
	ranges := len(p.usable) * perServer
	total := p.meanCapacity * float64(len(p.usable))
	from, share := 0, 0.0
	for i := range ranges {
		s := p.usable[i%len(p.usable)]
		share += s.capacity / total / float64(perServer)
		end := int(math.Round(share * NumKeys))
		if i == ranges-1 {
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

// candidateTargets returns the servers with the lowest utilization and those with the most headroom. One
// of them is the best target, or close to it, for a load of any size. Idle capped servers have room for little, and must not
// be the only candidates.
func (p *planner) candidateTargets() []*server {
	if len(p.usable) <= 2*maxTargets {
		return p.usable
	}
	out := p.targets[:0]
	for _, list := range p.lists() {
		first := out
		for i := range min(maxTargets, len(list.order)) {
			if s := list.at(i); !slices.Contains(first, s) {
				out = append(out, s)
			}
		}
	}
	p.targets = out
	return out
}

// leastUtilizedAfter returns the candidate target with the lowest utilization after taking a load. A capped server that has no
// room for the load is the target only if all servers are capped.
func (p *planner) leastUtilizedAfter(load float64) *server {
	return slices.MinFunc(p.candidateTargets(), func(a, b *server) int {
		switch aHasRoom := p.hasRoom(a, load); {
		case aHasRoom == p.hasRoom(b, load):
			return cmp.Compare(a.utilization(load), b.utilization(load))
		case aHasRoom:
			return -1
		default:
			return 1
		}
	})
}

// lists returns the lists of usable servers.
func (p *planner) lists() [3]*sortedServers {
	return [...]*sortedServers{&p.leastUtilized, &p.mostHeadroom, &p.capped}
}

// list adds a usable server to the lists that it belongs to.
func (p *planner) list(s *server) {
	if s.Capped {
		p.capped.add(s)
		return
	}
	p.leastUtilized.add(s)
	p.mostHeadroom.add(s)
}

// unlist removes a usable server from the lists that it is in.
func (p *planner) unlist(s *server) {
	if s.Capped {
		p.capped.remove(s)
		return
	}
	p.leastUtilized.remove(s)
	p.mostHeadroom.remove(s)
}

// greatestHeadroom returns the headroom of the usable server with the most of it.
func (p *planner) greatestHeadroom() float64 {
	greatest := math.Inf(-1)
	for _, list := range []*sortedServers{&p.mostHeadroom, &p.capped} {
		if len(list.order) > 0 {
			greatest = max(greatest, list.at(0).headroom())
		}
	}
	return greatest
}

// reassignLost gives the keys of lost servers to others, and reports whether there were any. A server
// that was restarted gets its former keys back with a higher fencing token: callers are spared a second
// move, and the server is as fast as before. A capped one gets them only up to its capacity.
func (p *planner) reassignLost() bool {
	keeps := map[string]bool{}
	for _, s := range p.in.Servers {
		keeps[s.ID] = !s.Lost
	}
	var lost []string
	for id, s := range p.servers {
		if !keeps[id] && len(s.owned) > 0 {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		from := p.servers[id]
		to, restarted := p.servers[p.in.Restarted[id]]
		for len(from.owned) > 0 {
			p.moves[Lost]++
			if restarted && to.eligible() && p.hasRoom(to, p.loadOf(from.owned[0])) {
				p.moveRange(from, 0, to)
				continue
			}
			p.splitLarge(from, 0)
			p.moveRange(from, 0, p.leastUtilizedAfter(p.loadOf(from.owned[0])))
		}
	}
	return len(lost) > 0
}

// splitLarge splits the range with index i of a server if its load is more than a quarter of the mean
// capacity, or a smaller part if plans are blind: the first part has about that load.
func (p *planner) splitLarge(s *server, i int) {
	r, load := s.owned[i], p.meanCapacity/4
	if p.blind() {
		load = p.meanCapacity * blindPieceShare
	}
	if p.loadOf(r) <= load {
		return
	}
	if at, ok := p.splitPoint(r, load); ok {
		p.split(s, i, at)
	}
}

// splitPoint returns the key at which to split a range so that its first part is the shortest one with at
// least the given load. It returns false if only the whole range has that load.
func (p *planner) splitPoint(r Range, load float64) (uint16, bool) {
	first, last := int(r.From), int(r.To)
	n := sort.Search(last-first, func(i int) bool { return p.loadBelow[first+i+1]-p.loadBelow[first] >= load })
	if n == last-first {
		return 0, false
	}
	return uint16(first + n + 1), true
}

// split splits the range with index i of a server in two, the second of which begins with key and gets
// the index i+1.
func (p *planner) split(s *server, i int, key uint16) {
	second := s.owned[i]
	second.From = key
	s.owned[i].To = key - 1
	s.owned = slices.Insert(s.owned, i+1, second)
	p.rangeCount++
}

// moveRange moves the range with index i from one server to another, with a new fencing token.
func (p *planner) moveRange(from *server, i int, to *server) {
	p.fence++
	p.moveWithFence(from, i, to)
}

// moveWithFence moves the range with index i from one server to another, with the newest fencing token.
func (p *planner) moveWithFence(from *server, i int, to *server) {
	r := from.owned[i]
	load := p.loadOf(r)
	from.owned = slices.Delete(from.owned, i, i+1)
	r.FormerOwners = append(slices.Clone(r.FormerOwners), Owner{Server: r.Server, Address: p.in.Addresses[r.Server]})
	r.Server, r.Fence = to.ID, p.fence
	to.owned = append(to.owned, r)
	p.addLoad(from, -load)
	p.addLoad(to, load)
}

// addLoad adds a load, which may be negative, to that of a server whose ranges have changed.
func (p *planner) addLoad(s *server, load float64) {
	s.version++
	if !s.eligible() {
		s.load += load
		return
	}
	p.unlist(s)
	s.load += load
	p.updateCost(s)
	p.list(s)
}

// updateCost computes the losses and the cost of a usable server whose load has changed.
func (p *planner) updateCost(s *server) {
	s.lossRate = p.lossRate(s.load, s)
	s.cost = s.lossRate + p.excessCost(s.load, s)
}

// byLoss returns the usable servers in descending order of the loss rate.
func (p *planner) byLoss() []*server {
	servers := slices.Clone(p.usable)
	slices.SortStableFunc(servers, func(a, b *server) int { return cmp.Compare(b.lossRate, a.lossRate) })
	return servers
}

// sortedServers holds servers in ascending order of a key. A server must be removed before its key
// changes and added again afterwards. The order holds their positions in all, which is sorted by id: moving
// pointers costs several times as much while the garbage collector runs.
type sortedServers struct {
	key   func(s *server) float64
	all   []*server
	order []int32
}

func (l *sortedServers) compare(a, b int32) int {
	return cmp.Or(cmp.Compare(l.key(l.all[a]), l.key(l.all[b])), cmp.Compare(a, b))
}

// at returns the server at a position.
func (l *sortedServers) at(i int) *server { return l.all[l.order[i]] }

func (l *sortedServers) remove(s *server) {
	at, _ := slices.BinarySearchFunc(l.order, s.position, l.compare)
	l.order = slices.Delete(l.order, at, at+1)
}

func (l *sortedServers) add(s *server) {
	at, _ := slices.BinarySearchFunc(l.order, s.position, l.compare)
	l.order = slices.Insert(l.order, at, s.position)
}
