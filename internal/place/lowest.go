package place

import "container/heap"

// lowest is a heap of servers by level, the lowest first, by name where equal.
type lowest struct {
	servers []server
	order   []int
	// position is the place in order of each server.
	position []int
}

func newLowest(servers []server) *lowest {
	l := &lowest{servers: servers, order: make([]int, len(servers)), position: make([]int, len(servers))}
	for i := range l.order {
		l.order[i] = i
		l.position[i] = i
	}
	heap.Init(l)
	return l
}

// first returns the lowest server.
func (l *lowest) first() int {
	return l.order[0]
}

// fix restores the order after the load of a server has changed.
func (l *lowest) fix(server int) {
	heap.Fix(l, l.position[server])
}

// Len implements heap.Interface.
func (l *lowest) Len() int { return len(l.order) }

// Less implements heap.Interface.
func (l *lowest) Less(i, j int) bool {
	a, b := l.order[i], l.order[j]
	x, y := l.servers[a].level(), l.servers[b].level()
	return x < y || x == y && a < b
}

// Swap implements heap.Interface.
func (l *lowest) Swap(i, j int) {
	l.order[i], l.order[j] = l.order[j], l.order[i]
	l.position[l.order[i]], l.position[l.order[j]] = i, j
}

// Push implements heap.Interface. Servers do not come during a plan.
func (l *lowest) Push(any) {}

// Pop implements heap.Interface. Servers do not go during a plan.
func (l *lowest) Pop() any { return nil }
