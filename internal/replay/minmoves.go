package replay

import (
	"cmp"
	"slices"
)

// minKeysMoved returns the least number of keys that must move to reach the balance that a change
// of owners from before to after reaches. These are all keys without an owner that accepts keys,
// and of each server whose load per slot was above the maximum after the change, the hottest keys
// that bring it down to that maximum. Whether other servers have room for them is not considered.
func (p *domainPart) minKeysMoved(before, after []int, now Time) int {
	limit := p.maxLoadPerSlot(after, now)
	held := make([][]int, len(p.servers))
	loads := make([]float64, len(p.servers))
	count := 0
	for k, o := range before {
		switch {
		case o == unowned || p.servers[o].state != StateUp:
			count++
		default:
			held[o] = append(held[o], k)
			loads[o] += p.loads[k]
		}
	}
	for i, list := range held {
		excess := loads[i] - limit*p.capacity(i, now)
		if excess > 0 {
			count += p.countHottest(list, excess)
		}
	}
	return count
}

// maxLoadPerSlot returns the highest load per slot of any server that accepts keys.
func (p *domainPart) maxLoadPerSlot(owners []int, now Time) float64 {
	loads := make([]float64, len(p.servers))
	for k, o := range owners {
		loads[o] += p.loads[k]
	}
	highest := 0.0
	for i, l := range loads {
		if c := p.capacity(i, now); c > 0 {
			highest = max(highest, l/c)
		}
	}
	return highest
}

// countHottest returns how many of the keys in list, taken from the hottest on, together reach
// the given load. It sorts list.
func (p *domainPart) countHottest(list []int, load float64) int {
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(p.loads[b], p.loads[a]) })
	for i, k := range list {
		load -= p.loads[k]
		if load <= 0 {
			return i + 1
		}
	}
	return len(list)
}
