package permit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// rank orders requests that wait: by priority, then those that can make their target before those that
// cannot.
//
// Callers that return after a refusal do not go first. Under overload they would take all of the servers'
// time, too late for their target, and push new ones beyond theirs (TestOverload).
type rank struct {
	priority int
	late     bool
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), first(o.late, r.late))
}

// first compares by a property whose bearers go first.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// waiting is a request that asked for a permit.
type waiting struct {
	Request
	// turn is the order of arrival.
	turn uint64
	// crossAt is when servers of other domains may be used.
	crossAt time.Time
	expect  time.Duration
	// late says that the target is out of reach. Such a request is refused at giveUpAt if it
	// still waits then.
	late     bool
	giveUpAt time.Time

	// line is where the request waits, nil if it does not, and index its position there.
	line  *line
	index int
}

func (w *waiting) rank() rank { return rank{w.Priority, w.late} }

// before reports whether a request goes before another one.
func (w *waiting) before(o *waiting) bool {
	return cmp.Or(w.rank().compare(o.rank()), cmp.Compare(w.turn, o.turn)) < 0
}

// line holds the requests of one rank, the first to arrive at its head.
type line struct {
	rank    rank
	members members
	// work is what the requests take together.
	work time.Duration
}

func (l *line) push(w *waiting) {
	w.line = l
	l.work += w.expect
	heap.Push(&l.members, w)
}

// remove takes a request out of the line in which it waits.
func (w *waiting) remove() {
	w.line.work -= w.expect
	heap.Remove(&w.line.members, w.index)
	w.line = nil
}

// members implements heap.Interface.
type members []*waiting

func (m members) Len() int           { return len(m) }
func (m members) Less(i, j int) bool { return m[i].turn < m[j].turn }

func (m members) Swap(i, j int) {
	m[i], m[j] = m[j], m[i]
	m[i].index, m[j].index = i, j
}

func (m *members) Push(x any) {
	w := x.(*waiting)
	w.index = len(*m)
	*m = append(*m, w)
}

func (m *members) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*m = old[:len(old)-1]
	return last
}

// queue holds the requests that wait for the same servers, a line for each rank.
type queue struct {
	lines []*line
}

func (q *queue) push(w *waiting) {
	at, found := slices.BinarySearchFunc(q.lines, w.rank(), func(l *line, r rank) int { return l.rank.compare(r) })
	if !found {
		q.lines = slices.Insert(q.lines, at, &line{rank: w.rank()})
	}
	q.lines[at].push(w)
}

// head returns the request that goes first, nil if none waits.
func (q *queue) head() *waiting {
	for _, l := range q.lines {
		if len(l.members) > 0 {
			return l.members[0]
		}
	}
	return nil
}

// ahead returns the work of the requests of the same or a better rank, and their number.
func (q *queue) ahead(r rank) (work time.Duration, count int) {
	for _, l := range q.lines {
		if l.rank.compare(r) > 0 {
			break
		}
		work += l.work
		count += len(l.members)
	}
	return work, count
}
