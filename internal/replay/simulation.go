package replay

import (
	"container/heap"
	"math/rand/v2"

	"example.org/mustardring/internal/naive"
)

// arrival is a request of an undivided service: its time of arrival and its run time, both in
// milliseconds.
type arrival struct {
	at, run float64
}

// completion is the end of a request at a server. The time at is in milliseconds.
type completion struct {
	at     float64
	server int
}

// completionHeap is a heap of completions, the earliest first.
type completionHeap []completion

// Len implements heap.Interface.
func (h completionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop implements heap.Interface.
func (h *completionHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// simulation simulates the servers of an undivided service under one policy. Each server runs its
// requests in the order of their arrival. All times are in milliseconds.
type simulation struct {
	choice  Choice
	servers []naive.Server
	// slotFreeAt is the time at which each slot of each server becomes free.
	slotFreeAt [][]float64
	// counts is the number of requests at each server, running or queued. hints is a copy of
	// counts as of hintsAt.
	counts, hints []int
	hintsAt       float64
	// unfinished has the completions of the requests in counts.
	unfinished completionHeap
	// waitMillis is the time that each request was queued.
	waitMillis []float64
	// busyMillis is the sum of the run times of the requests at each server.
	busyMillis []float64
}

func newSimulation(choice Choice, servers []naive.Server) *simulation {
	s := &simulation{
		choice:     choice,
		servers:    servers,
		counts:     make([]int, len(servers)),
		hints:      make([]int, len(servers)),
		busyMillis: make([]float64, len(servers)),
	}
	for _, b := range servers {
		s.slotFreeAt = append(s.slotFreeAt, make([]float64, b.Slots))
	}
	return s
}

// play runs requests, sorted by arrival, at the accepting servers, which are given as indexes. It
// drops the requests if no server accepts.
func (s *simulation) play(arrivals []arrival, accepting []int, random *rand.Rand) {
	if len(accepting) == 0 {
		return
	}
	for _, a := range arrivals {
		for len(s.unfinished) > 0 && s.unfinished[0].at <= a.at {
			s.counts[heap.Pop(&s.unfinished).(completion).server]--
		}
		if a.at >= s.hintsAt+hintIntervalMillis {
			copy(s.hints, s.counts)
			s.hintsAt = a.at
		}
		s.run(a, s.choose(accepting, random))
	}
}

// choose returns the index of the server that the policy chooses for a request.
func (s *simulation) choose(accepting []int, random *rand.Rand) int {
	known := s.counts
	if s.choice == ChoicePowerOfTwoHints || s.choice == ChoiceLeastLoadedHints {
		known = s.hints
	}
	switch s.choice {
	case ChoicePowerOfTwo, ChoicePowerOfTwoHints:
		a, b := s.drawServer(accepting, random), s.drawServer(accepting, random)
		if s.loadPerSlot(known, b) < s.loadPerSlot(known, a) {
			return b
		}
		return a
	case ChoiceLeastLoaded, ChoiceLeastLoadedHints:
		return s.leastLoaded(known, accepting, random)
	default:
		return s.drawServer(accepting, random)
	}
}

// leastLoaded returns the accepting server with the lowest load per slot. Among several, each is
// chosen with the same probability.
func (s *simulation) leastLoaded(known, accepting []int, random *rand.Rand) int {
	best, ties := accepting[0], 1
	for _, at := range accepting[1:] {
		switch x, y := s.loadPerSlot(known, at), s.loadPerSlot(known, best); {
		case x < y:
			best, ties = at, 1
		case x == y:
			ties++
			if random.IntN(ties) == 0 {
				best = at
			}
		}
	}
	return best
}

// drawServer returns a random accepting server. The probability of a server is proportional to
// its slots.
func (s *simulation) drawServer(accepting []int, random *rand.Rand) int {
	servers := make([]naive.Server, len(accepting))
	for i, at := range accepting {
		servers[i] = s.servers[at]
	}
	return accepting[naive.WeightedRandom(random, servers)]
}

func (s *simulation) loadPerSlot(counts []int, server int) float64 {
	return float64(counts[server]) / float64(s.servers[server].Slots)
}

// run runs a request in the slot of a server that becomes free first.
func (s *simulation) run(a arrival, server int) {
	slots := s.slotFreeAt[server]
	slot := 0
	for i := range slots {
		if slots[i] < slots[slot] {
			slot = i
		}
	}
	start := max(a.at, slots[slot])
	slots[slot] = start + a.run
	s.waitMillis = append(s.waitMillis, start-a.at)
	s.busyMillis[server] += a.run
	s.counts[server]++
	heap.Push(&s.unfinished, completion{at: start + a.run, server: server})
}
