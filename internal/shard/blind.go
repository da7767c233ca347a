package shard

// A leader that has just taken over knows neither the load nor the speeds. With Input.SpeedRanges it infers both from the
// owners in force, whose numbers of keys earlier plans have matched to their speeds. A plan that took all servers for equal
// would give the keys of a lost server to those with the fewest keys, which are slow or have the busiest ones.

const (
	// unevenLoad is the part of the inferred load that is divided by owners and ranges instead of keys.
	unevenLoad = 0.5
	// evenCapacity is the part of the inferred capacity that is the same for all owners. A server without keys may be slow,
	// and counts as emptyShare of the mean.
	evenCapacity = 0.15
	emptyShare   = 0.5
	// blindPieceShare is the load of the pieces in which lost keys are moved, as a part of the mean capacity. They may be
	// busier than is inferred, and their new owner slower.
	blindPieceShare = 0.125
)

// blind reports whether the plan has to do without measurements that plans with Input.SpeedRanges rest on. Such a plan only
// replaces lost servers, and gives capped ones nothing.
func (p *planner) blind() bool {
	return p.in.SpeedRanges && len(p.in.Load) != NumKeys && len(p.in.Map.Ranges) > 0
}

// rangesByOwner returns the number of ranges of each owner of keys.
func (p *planner) rangesByOwner() map[string]int {
	out := map[string]int{}
	for _, r := range p.in.Map.Ranges {
		out[r.Server]++
	}
	return out
}

// inferredLoad returns a load for each key whose sum is the capacity of all servers. A part of it is divided evenly between
// the owners, and by each between its ranges: short ranges are busier.
func (p *planner) inferredLoad() []float64 {
	ranges := p.rangesByOwner()
	total := p.meanCapacity * float64(len(p.usable))
	out := make([]float64, NumKeys)
	for _, r := range p.in.Map.Ranges {
		uneven := total / float64(len(ranges)*ranges[r.Server]*r.Len())
		for key := int(r.From); key <= int(r.To); key++ {
			out[key] = unevenLoad*uneven + (1-unevenLoad)*total/NumKeys
		}
	}
	return out
}

// inferCapacities sets the capacities of the servers that are not capped.
func (p *planner) inferCapacities() {
	meanKeys := NumKeys / float64(len(p.rangesByOwner()))
	for _, s := range p.usable {
		keys := 0
		for _, r := range s.owned {
			keys += r.Len()
		}
		switch {
		case s.Capped:
		case keys == 0:
			s.capacity = emptyShare * p.meanCapacity
		default:
			s.capacity = p.meanCapacity * (evenCapacity + (1-evenCapacity)*float64(keys)/meanKeys)
		}
	}
}
