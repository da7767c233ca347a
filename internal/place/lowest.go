package place

import "container/heap"

// serverHeap is a heap of servers by level, the lowest first, by name where equal.
type serverHeap struct {
	servers []server
	order   []int
	// position is the place in order of each server.
	position []int
}

func newServerHeap(servers []server) *serverHeap {
	l := &serverHeap{servers: servers, order: make([]int, len(servers)), position: make([]int, len(servers))}
	for i := range l.order {
		l.order[i] = i
		l.position[i] = i
	}
	heap.Init(l)
	return l
}

// lowest returns the lowest server.
func (l *serverHeap) lowest() int {
	return l.order[0]
}

// fix restores the order after the load of a server has changed.
func (l *serverHeap) fix(server int) {
	heap.Fix(l, l.position[server])
}

// Len implements heap.Interface.
func (l *serverHeap) Len() int { return len(l.order) }

// Less implements heap.Interface.
func (l *serverHeap) Less(i, j int) bool {
	a, b := l.order[i], l.order[j]
	x, y := l.servers[a].level(), l.servers[b].level()
	return x < y || x == y && a < b
}

// Swap implements heap.Interface.
func (l *serverHeap) Swap(i, j int) {
	l.order[i], l.order[j] = l.order[j], l.order[i]
	l.position[l.order[i]], l.position[l.order[j]] = i, j
}

// Push implements heap.Interface. Servers do not come during a plan.
func (l *serverHeap) Push(any) {}

// Pop implements heap.Interface. Servers do not go during a plan.
func (l *serverHeap) Pop() any { return nil }
