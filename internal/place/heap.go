package place

import "container/heap"

// serverHeap is a heap of servers by level, the lowest first; equal levels are ordered by
// name.
type serverHeap struct {
	servers []server
	// order holds indices into servers, in heap order.
	order []int
	// position holds, for each server, its index in order.
	position []int
}

func newServerHeap(servers []server) *serverHeap {
	h := &serverHeap{servers: servers, order: make([]int, len(servers)), position: make([]int, len(servers))}
	for i := range h.order {
		h.order[i] = i
		h.position[i] = i
	}
	heap.Init(h)
	return h
}

// lowest returns the index of the server with the lowest level.
func (h *serverHeap) lowest() int {
	return h.order[0]
}

// fix restores the heap order after the load of a server has changed.
func (h *serverHeap) fix(server int) {
	heap.Fix(h, h.position[server])
}

// Len implements heap.Interface.
func (h *serverHeap) Len() int { return len(h.order) }

// Less implements heap.Interface.
func (h *serverHeap) Less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	x, y := h.servers[a].level(), h.servers[b].level()
	return x < y || x == y && a < b
}

// Swap implements heap.Interface.
func (h *serverHeap) Swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.position[h.order[i]], h.position[h.order[j]] = i, j
}

// Push implements heap.Interface. It does nothing: no server joins during a plan.
func (h *serverHeap) Push(any) {}

// Pop implements heap.Interface. It does nothing: no server leaves during a plan.
func (h *serverHeap) Pop() any { return nil }
