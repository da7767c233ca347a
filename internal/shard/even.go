package shard

import "slices"

// When a whole service is overloaded, a request is lost wherever its key moves, and the losses alone leave servers with
// several times the relative load of others. With Input.SpeedRanges an uneven overload therefore has a cost of its own, and
// so has the load of a capped server beyond its capacity.

const (
	// evenOverload is the utilization above which a server of an overloaded service has too much of the load, as a multiple
	// of that of the service. Smaller differences are mostly errors of the measured load.
	evenOverload = 1.15
	// unevenCost is the cost of an excess in lost requests: multiplied by the capacity of the server and by the square of the
	// excess of its utilization. cappedCost is that of a capped server.
	unevenCost = 0.7
	cappedCost = 5
	// maxUneven is the number of the most utilized servers from which moves are considered besides those that lose the most
	// requests: slow servers lose few. It is also that of the most utilized capped servers.
	maxUneven = 20
)

// evenUtilization returns the utilization above which servers have too much of the load, zero if the service is not
// overloaded.
func (p *planner) evenUtilization() float64 {
	load, capacity := p.loadBelow[NumKeys], 0.0
	for _, s := range p.usable {
		if s.Capped {
			load -= s.load
		} else {
			capacity += s.capacity
		}
	}
	if !p.in.SpeedRanges || p.blind() || load <= capacity {
		return 0
	}
	return evenOverload * load / max(capacity, minCapacity)
}

// cost returns the requests per second that are lost or late at a server under a load, and the cost of its excess.
func (p *planner) cost(load float64, s *server) float64 {
	return p.lossRate(load, s) + p.excessCost(load, s)
}

// excessCost returns the cost of the part of a load that is too much for a server, in requests per second.
func (p *planner) excessCost(load float64, s *server) float64 {
	limit, weight := p.maxEven, unevenCost
	if s.Capped && p.in.SpeedRanges {
		limit, weight = 1, cappedCost
	}
	if excess := load/s.capacity - limit; limit > 0 && excess > 0 {
		return weight * s.capacity * excess * excess
	}
	return 0
}

// relieves reports whether a move may overload its target further: it leaves the target no more utilized than the source, or
// the source is capped and has more than its capacity.
func (p *planner) relieves(source *server, load float64, target *server) bool {
	switch {
	case !p.in.SpeedRanges:
		return false
	case source.Capped:
		return source.load > source.capacity
	default:
		return p.maxEven > 0 && target.utilization(load) <= source.utilization(-load)
	}
}

// addUneven adds the servers that have too much of the load to others.
func (p *planner) addUneven(sources []*server) []*server {
	if !p.in.SpeedRanges {
		return sources
	}
	add := func(list *sortedServers, limit float64) {
		for i := range min(maxUneven, len(list.order)) {
			s := list.at(len(list.order) - 1 - i)
			if limit > 0 && s.load > limit*s.capacity && !slices.Contains(sources, s) {
				sources = append(sources, s)
			}
		}
	}
	add(&p.leastUtilized, p.maxEven)
	add(&p.capped, 1)
	return sources
}
