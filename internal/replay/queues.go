package replay

import (
	"container/heap"
	"math/rand/v2"

	"example.org/mustardring/internal/naive"
)

// arrival is a request of an undivided service: when it comes and how long it runs, in
// milliseconds.
type arrival struct {
	at, run float64
}

// finish is the end of a request at a server.
type finish struct {
	at     float64
	server int
}

// finishes is a heap of ends, the earliest first.
type finishes []finish

// Len implements heap.Interface.
func (f finishes) Len() int { return len(f) }

// Less implements heap.Interface.
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }

// Swap implements heap.Interface.
func (f finishes) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *finishes) Push(x any) { *f = append(*f, x.(finish)) }

// Pop implements heap.Interface.
func (f *finishes) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// queues are the servers of an undivided service under one choice. Each serves its requests
// in the order in which they come.
type queues struct {
	choice  Choice
	servers []naive.Server
	// free is by server and slot when the slot is free.
	free [][]float64
	// counts is the number of requests at each server, hints the same some time ago.
	counts, hints []int
	hintsAt       float64
	running       finishes
	waits         []float64
	// busy is the time that requests ran at each server.
	busy []float64
}

func newQueues(choice Choice, servers []naive.Server) *queues {
	q := &queues{
		choice:  choice,
		servers: servers,
		counts:  make([]int, len(servers)),
		hints:   make([]int, len(servers)),
		busy:    make([]float64, len(servers)),
	}
	for _, s := range servers {
		q.free = append(q.free, make([]float64, s.Slots))
	}
	return q
}

// play sends requests to the open servers.
func (q *queues) play(arrivals []arrival, open []int, random *rand.Rand) {
	if len(open) == 0 {
		return
	}
	for _, a := range arrivals {
		for len(q.running) > 0 && q.running[0].at <= a.at {
			q.counts[heap.Pop(&q.running).(finish).server]--
		}
		if a.at >= q.hintsAt+hintMillis {
			copy(q.hints, q.counts)
			q.hintsAt = a.at
		}
		q.run(a, q.choose(open, random))
	}
}

// choose returns the server for a request.
func (q *queues) choose(open []int, random *rand.Rand) int {
	known := q.counts
	if q.choice == ChoiceTwoHints || q.choice == ChoiceLeastHint {
		known = q.hints
	}
	switch q.choice {
	case ChoiceTwo, ChoiceTwoHints:
		a, b := q.draw(open, random), q.draw(open, random)
		if q.level(known, b) < q.level(known, a) {
			return b
		}
		return a
	case ChoiceLeast, ChoiceLeastHint:
		return q.least(known, open, random)
	default:
		return q.draw(open, random)
	}
}

// least returns an open server of the lowest level, each of several as likely.
func (q *queues) least(known, open []int, random *rand.Rand) int {
	best, ties := open[0], 1
	for _, at := range open[1:] {
		switch x, y := q.level(known, at), q.level(known, best); {
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

// draw returns a random open server by slots.
func (q *queues) draw(open []int, random *rand.Rand) int {
	servers := make([]naive.Server, len(open))
	for i, at := range open {
		servers[i] = q.servers[at]
	}
	return open[naive.Random(random, servers)]
}

func (q *queues) level(counts []int, server int) float64 {
	return float64(counts[server]) / float64(q.servers[server].Slots)
}

// run runs a request in the first free slot of a server.
func (q *queues) run(a arrival, server int) {
	slots := q.free[server]
	slot := 0
	for i := range slots {
		if slots[i] < slots[slot] {
			slot = i
		}
	}
	start := max(a.at, slots[slot])
	slots[slot] = start + a.run
	q.waits = append(q.waits, start-a.at)
	q.busy[server] += a.run
	q.counts[server]++
	heap.Push(&q.running, finish{at: start + a.run, server: server})
}
