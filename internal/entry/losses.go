package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/member"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/keys"
)

// methodMarks hands over what a stopping instance remembers.
const methodMarks peer.Method = "marks"

// Bounds of handing over.
const (
	maxMarks    = 2000
	marksLimit  = 2 * time.Second
	marksCopies = 2
)

// MarksCall hands over marks.
type MarksCall struct {
	Marks []policy.IdempotencyRecord `json:"marks"`
}

// Remembering is a process of the domain that may remember requests which matter, living or not.
// HandedOver says that it told others what it remembered before it ended.
type Remembering struct {
	member.Process
	HandedOver bool `json:"handed-over,omitempty"`
}

// remembering returns the process that says something of itself as one that may remember requests.
func (h Heartbeat) remembering() Remembering {
	return Remembering{Process: h.instance().Process, HandedOver: h.Stopping}
}

// losses keeps the processes of this domain that others took the place of. A new process under the name of
// one that was killed answers, but remembers nothing: it must not pass for one that has nothing to tell.
type losses struct {
	mu     sync.Mutex
	newest map[string]Remembering
	// ended holds when the place of a process was first seen taken.
	ended map[Remembering]time.Time
}

func newLosses() *losses {
	return &losses{newest: make(map[string]Remembering), ended: make(map[Remembering]time.Time)}
}

// heard notes what an instance of the domain says of itself.
func (l *losses) heard(h Heartbeat, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.newest[h.Name]
	if known && before.Incarnation != h.Incarnation {
		l.ended[before] = now
	}
	l.newest[h.Name] = h.remembering()
}

// list returns the processes that ended while what they remembered may still matter.
func (l *losses) list(now time.Time) []Remembering {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.ended, func(_ Remembering, at time.Time) bool { return now.After(at.Add(policy.RecordRetention)) })
	return slices.Collect(maps.Keys(l.ended))
}

// missing counts the processes that may remember what matters, as anybody knows of them, and have neither
// answered nor handed over what they remembered.
//
// Who answers is told by its process, not by its name or by what was heard of it: two instances that were
// killed and started again answered, before anybody had heard that they were new, with nothing, and
// requests ran twice. What the others know counts as well: an instance that has just started knows of nobody
// who is down.
func missing(known []Remembering, answered []member.Process) int {
	gone := make(map[member.Process]bool)
	for _, r := range known {
		gone[r.Process] = true
	}
	for _, r := range known {
		if r.HandedOver {
			delete(gone, r.Process)
		}
	}
	for _, p := range answered {
		delete(gone, p)
	}
	return len(gone)
}

// handOver tells other instances of the domain what this one remembers, before it stops.
func (e *Entry) handOver(ctx context.Context) {
	b := e.state.bundle()
	if b == nil {
		return
	}
	clients := e.peers.liveInDomain()
	for _, s := range b.Services {
		marks := e.front.Records(s.Name, keys.Full)
		for part := range slices.Chunk(marks, maxMarks) {
			for _, c := range clients[:min(len(clients), marksCopies)] {
				if _, err := call[MarksCall, Done](ctx, c, marksLimit, methodMarks, MarksCall{Marks: part}); err != nil {
					e.deps.Logger.Warn("marks-untold", "service", s.Name, "error", err)
				}
			}
		}
	}
}

func (e *Entry) handleMarks(_ context.Context, c MarksCall) (Done, error) {
	for _, m := range c.Marks {
		if !e.front.AddRecord(m) {
			return Done{}, errNoRoom
		}
	}
	return Done{}, nil
}
