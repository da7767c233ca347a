package shard

import (
	"cmp"
	"slices"
)

// Parameters of joining ranges.
const (
	// joinPressure is the part of maxMeanRanges from which on ranges are joined. Keys that become busy again find
	// ranges that are already split, so that they are joined only when others need the ranges.
	joinPressure = 0.8
	// minJoined is the number of adjacent ranges from which on they are joined, maxJoinedLoad the highest load of all
	// of them as a part of the mean capacity.
	minJoined     = 6
	maxJoinedLoad = 0.1
	// maxJoinMoves is the number of moves of joined ranges in a plan after which no more are joined.
	maxJoinMoves = 64
)

// joinRanges gives runs of adjacent ranges with little load to one server each, with one fencing token, so that each run
// becomes one range when its moves are complete. Ranges that were split for busy keys would otherwise stay, and once
// there are maxMeanRanges for each server, no busy keys could be spread any more.
func (p *planner) joinRanges() {
	if !p.in.SpeedRanges || float64(p.rangeCount) < joinPressure*maxMeanRanges*float64(len(p.usable)) {
		return
	}
	runs := p.joinableRuns()
	slices.SortStableFunc(runs, func(a, b []Range) int { return cmp.Compare(len(b), len(a)) })
	for _, run := range runs {
		if p.moves[Joined] < maxJoinMoves {
			p.join(run)
		}
	}
}

// joinableRuns returns the runs of adjacent ranges that may be joined.
func (p *planner) joinableRuns() [][]Range {
	maxKeys := NumKeys / (initialRangesPerServer * len(p.usable))
	var out [][]Range
	var run []Range
	keys, load := 0, 0.0
	end := func() {
		if len(run) >= minJoined {
			out = append(out, run)
		}
		run, keys, load = nil, 0, 0
	}
	for _, r := range p.sortedRanges() {
		rest := !p.servers[r.Server].eligible() || len(r.FormerOwners) > 0 || r.Len() > maxKeys
		if rest || keys+r.Len() > 2*maxKeys || load+p.loadOf(r) > maxJoinedLoad*p.meanCapacity {
			end()
		}
		if !rest {
			run, keys, load = append(run, r), keys+r.Len(), load+p.loadOf(r)
		}
	}
	end()
	return out
}

// join moves adjacent ranges to one server. Together they are one move, so they get one fencing token.
func (p *planner) join(run []Range) {
	load := 0.0
	for _, r := range run {
		load += p.loadOf(r)
	}
	to := p.leastUtilizedAfter(load)
	p.fence++
	for _, r := range run {
		from := p.servers[r.Server]
		i := slices.IndexFunc(from.owned, func(o Range) bool { return o.From == r.From })
		p.moveWithFence(from, i, to)
		p.moves[Joined]++
	}
}

// sortedRanges returns the ranges of all servers in the order of their keys.
func (p *planner) sortedRanges() []Range {
	all := make([]Range, 0, p.rangeCount)
	for _, s := range p.servers {
		all = append(all, s.owned...)
	}
	// Sorting numbers takes a fifth of the time of sorting ranges.
	order := make([]uint64, len(all))
	for i, r := range all {
		order[i] = uint64(r.From)<<32 | uint64(i)
	}
	slices.Sort(order)
	out := make([]Range, len(all))
	for i, o := range order {
		out[i] = all[uint32(o)]
	}
	return out
}
