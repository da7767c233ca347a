package shard

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Bucket is the number of keys whose load is counted together, as a shift. The busiest keys
// lie close to one another, so that the load of a busy run is seen in pieces of 32 keys.
const (
	bucketShift = 5
	Buckets     = Keys >> bucketShift
)

// BucketOf returns the bucket of a key.
func BucketOf(key uint16) int { return int(key) >> bucketShift }

// Member is a server as the planner sees it.
type Member struct {
	ID      string
	Address string
	// Power is how many requests the server can run in a second, Slots how many at a time.
	Power float64
	Slots int
	// Usable says that the server may get keys; Lost that it must give up those it has.
	Usable bool
	Lost   bool
}

// Input is what a plan is made from.
type Input struct {
	Map     *Map
	Members []Member
	// Load is the number of requests in a second for the keys of each bucket.
	Load []float64
	// Target is the time within which requests should be answered, in seconds.
	Target float64
	// Addresses holds the address of each server that owns keys, also of those that left.
	Addresses map[string]string
	// Reborn holds, for each life of a server that has ended because the server started again, the
	// life that it has now.
	Reborn map[string]string
}

// The thresholds of a plan.
const (
	// piecesPerServer is the number of ranges a server begins with. Several short ones spread a
	// busy run of keys over servers before any load is known; each costs one renewal more.
	piecesPerServer = 4
	// movesLeast and movesShare, of the servers, bound the moves of one plan: each leaves its
	// keys without an owner for as long as the old owner needs to end the work in progress, some
	// 0.2 to 0.5 s.
	movesLeast = 6
	movesShare = 0.12
	// sources is the number of servers, those that lose most, whose keys are considered.
	sources = 4
	// sourcesShare is the same as a share of all servers, where there are many.
	sourcesShare = 0.06
	// horizon is for how long a gain is counted, in seconds. Single keys stay busy for some 5;
	// differences in speed, and most of the load, stay for minutes.
	horizon = 15
	// gap is what a move costs, in seconds of the load that moves: its requests wait for as
	// long as the work in progress takes, and about half of them are late for it.
	gap = 0.15
	// churnCost is what it costs to move all keys of a service once, in requests. Operators
	// weigh churn; at this weight a move of a sixtieth of the keys must gain a quarter of a
	// request.
	churnCost = 15
	// rangesMost is the number of ranges a server has on average before ranges are cut no
	// further: each is renewed twice a second.
	rangesMost = 8
	// baseLoad is the load that is assumed of all keys together, as a share of all power, so
	// that keys are spread also where none is asked for.
	baseLoad = 0.02
)

// planner holds the working state of one plan.
type planner struct {
	in    Input
	out   *Map
	load  []float64 // by bucket, with the base load
	use   map[string]float64
	power map[string]float64
	// members holds the servers that may get keys.
	members map[string]Member
	moves   int
	// sorted holds the servers that may get keys.
	sorted []string
}

// newPlanner returns a planner for the present map.
func newPlanner(in Input) *planner {
	p := &planner{in: in, out: in.Map.Clone(), use: map[string]float64{}, power: map[string]float64{}, members: map[string]Member{}}
	total := 0.0
	for _, m := range in.Members {
		if m.Usable && !m.Lost {
			p.members[m.ID] = m
			p.power[m.ID] = max(m.Power, 0.01)
			total += p.power[m.ID]
		}
	}
	p.load = slices.Clone(in.Load)
	if len(p.load) != Buckets {
		p.load = make([]float64, Buckets)
	}
	for i := range p.load {
		p.load[i] += total * baseLoad / Buckets
	}
	for _, r := range p.out.Ranges {
		p.use[r.Server] += p.loadOf(r)
	}
	return p
}

// Plan returns the map that should follow, nil if the present one stays.
func Plan(in Input) *Map {
	p := newPlanner(in)
	if len(p.power) == 0 {
		return nil
	}
	if len(p.out.Ranges) == 0 {
		p.begin()
		return p.out
	}
	changed := p.replaceLost()
	most := max(movesLeast, int(movesShare*float64(len(p.power))))
	for p.moves < most && p.improve() {
		changed = true
	}
	if !changed {
		return nil
	}
	p.out.Join()
	return p.out
}

// Use is how much a server is asked for, and how much it can do, in requests a second.
type Use struct {
	Server string
	Load   float64
	Power  float64
}

// Uses returns what the servers of a map are asked for, the one first that loses most.
func Uses(in Input) []Use {
	p := newPlanner(in)
	var out []Use
	for _, id := range p.ids() {
		out = append(out, Use{Server: id, Load: p.use[id], Power: p.power[id]})
	}
	slices.SortStableFunc(out, func(a, b Use) int { return cmp.Compare(p.lost(b.Load, b.Server), p.lost(a.Load, a.Server)) })
	return out
}

// loadOf returns the load of a range; of a bucket that it shares with others it counts a part.
func (p *planner) loadOf(r Range) float64 {
	sum := 0.0
	for b := BucketOf(r.From); b <= BucketOf(r.To); b++ {
		first, last := b<<bucketShift, (b+1)<<bucketShift-1
		part := min(last, int(r.To)) - max(first, int(r.From)) + 1
		sum += p.load[b] * float64(part) / float64(1<<bucketShift)
	}
	return sum
}

// begin divides all keys for the first time, in proportion to the servers' power.
func (p *planner) begin() {
	ids := p.ids()
	pieces := len(ids) * piecesPerServer
	total := 0.0
	for _, id := range ids {
		total += p.power[id]
	}
	from, share := 0, 0.0
	for i := range pieces {
		id := ids[i%len(ids)]
		share += p.power[id] / total / piecesPerServer
		end := int(math.Round(share * Keys))
		if i == pieces-1 {
			end = Keys
		}
		if end <= from {
			continue
		}
		p.out.Fence++
		p.out.Ranges = append(p.out.Ranges, Range{From: uint16(from), To: uint16(end - 1), Server: id, Fence: p.out.Fence})
		from = end
	}
}

func (p *planner) ids() []string {
	if p.sorted == nil {
		p.sorted = slices.Sorted(maps.Keys(p.power))
	}
	return slices.Clone(p.sorted)
}

// least returns the server that is used least after taking a load.
func (p *planner) least(load float64) string {
	ids := p.ids()
	return slices.MinFunc(ids, func(a, b string) int {
		return cmp.Compare((p.use[a]+load)/p.power[a], (p.use[b]+load)/p.power[b])
	})
}

// replaceLost gives the keys of servers that are gone to others. A server that started again gets
// back what it had, by a higher fence: callers are spared a second move, and it is as fast as it was.
func (p *planner) replaceLost() bool {
	lost := map[string]bool{}
	for _, m := range p.in.Members {
		if m.Lost {
			lost[m.ID] = true
		}
	}
	known := map[string]bool{}
	for _, m := range p.in.Members {
		known[m.ID] = true
	}
	changed := false
	for i := 0; i < len(p.out.Ranges); i++ {
		r := p.out.Ranges[i]
		if known[r.Server] && !lost[r.Server] {
			continue
		}
		to, reborn := p.in.Reborn[r.Server]
		if _, usable := p.members[to]; !reborn || !usable {
			p.cutToFit(i)
			r = p.out.Ranges[i]
			to = p.least(p.loadOf(r))
		}
		p.give(i, to, p.loadOf(r))
		changed = true
	}
	return changed
}

// cutToFit splits a range whose load is more than a quarter of what one server can do.
func (p *planner) cutToFit(i int) {
	r := p.out.Ranges[i]
	mean := 0.0
	for _, power := range p.power {
		mean += power / float64(len(p.power))
	}
	if p.loadOf(r) <= mean/4 || r.Len() <= 1<<bucketShift {
		return
	}
	if at, ok := p.cutAt(r, mean/4); ok {
		p.out.Split(i, at)
	}
}

// cutAt returns the first key behind the part of a range that holds at most the given load, at
// a border of buckets.
func (p *planner) cutAt(r Range, load float64) (uint16, bool) {
	sum := 0.0
	for b := BucketOf(r.From); b <= BucketOf(r.To); b++ {
		sum += p.load[b]
		next := (b + 1) << bucketShift
		if sum >= load && next > int(r.From) && next <= int(r.To) {
			return uint16(next), true
		}
	}
	return 0, false
}

// give moves a range, with what it does to the load of both servers.
func (p *planner) give(i int, to string, load float64) {
	r := p.out.Ranges[i]
	p.use[r.Server] -= load
	p.use[to] += load
	before := append(slices.Clone(r.Before), Holder{Server: r.Server, Address: p.in.Addresses[r.Server]})
	p.out.Move(i, to, before)
}
