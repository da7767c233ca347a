package replay

import (
	"cmp"
	"slices"
)

// least returns the fewest keys that must change owner for the balance that a change
// reaches: all keys of owners that accept no more, and of each server that was above the
// highest level reached as many as bring it there, the hottest first.
func (p *part) least(before, after []int, now Time) int {
	top := p.top(after, now)
	held := make([][]int, len(p.members))
	loads := make([]float64, len(p.members))
	count := 0
	for k, o := range before {
		switch {
		case o == unowned || p.members[o].state != StateUp:
			count++
		default:
			held[o] = append(held[o], k)
			loads[o] += p.loads[k]
		}
	}
	for i, list := range held {
		excess := loads[i] - top*p.capacity(i, now)
		if excess > 0 {
			count += p.hottest(list, excess)
		}
	}
	return count
}

// top returns the highest level of any member.
func (p *part) top(owners []int, now Time) float64 {
	loads := make([]float64, len(p.members))
	for k, o := range owners {
		loads[o] += p.loads[k]
	}
	top := 0.0
	for i, l := range loads {
		if c := p.capacity(i, now); c > 0 {
			top = max(top, l/c)
		}
	}
	return top
}

// hottest returns how many of the keys together carry a load, the hottest first.
func (p *part) hottest(list []int, load float64) int {
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(p.loads[b], p.loads[a]) })
	for i, k := range list {
		load -= p.loads[k]
		if load <= 0 {
			return i + 1
		}
	}
	return len(list)
}
