package entry

import (
	"context"
	"slices"
	"sync"
	"time"

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
	Marks []policy.Mark `json:"marks"`
}

// losses counts the processes of this domain that ended without handing over what they
// remembered. A new process under the name of one that was killed answers, but remembers
// nothing: it must not pass for one that has nothing to tell.
type losses struct {
	mu    sync.Mutex
	known map[string]process
	lost  []time.Time
}

// process is the newest known process of an instance.
type process struct {
	incarnation uint64
	stopping    bool
}

func newLosses() *losses {
	return &losses{known: make(map[string]process)}
}

// heard notes what an instance of the domain says of itself.
func (l *losses) heard(h Heartbeat, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.known[h.Name]
	if known && before.incarnation != h.Incarnation && !before.stopping {
		l.lost = append(l.lost, now)
	}
	l.known[h.Name] = process{incarnation: h.Incarnation, stopping: h.Stopping}
}

// count returns the number of losses whose memory may still matter.
func (l *losses) count(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = slices.DeleteFunc(l.lost, func(at time.Time) bool { return now.After(at.Add(policy.MemoryTime)) })
	return len(l.lost)
}

// handOver tells other instances of the domain what this one remembers, before it stops.
func (e *Entry) handOver(ctx context.Context) {
	b := e.state.bundle()
	if b == nil {
		return
	}
	clients := e.peers.liveInDomain()
	for _, s := range b.Services {
		marks := e.front.Marks(s.Name, keys.Full)
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
		if !e.front.Witnessed(m) {
			return Done{}, errNoRoom
		}
	}
	return Done{}, nil
}
