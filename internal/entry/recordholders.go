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

// methodReplicateBatch hands over what a stopping instance remembers.
const methodReplicateBatch peer.Method = "marks"

// Bounds of handing over.
const (
	maxRecordsPerCall = 2000
	handOverTimeout   = 2 * time.Second
	handOverCopies    = 2
)

// ReplicateBatchCall hands over records.
type ReplicateBatchCall struct {
	Records []policy.Mark `json:"marks"`
}

// RecordHolder is a process of the domain that may remember requests which matter, living or not.
// HandedOver says that it told others what it remembered before it ended.
type RecordHolder struct {
	member.Process
	HandedOver bool `json:"handed-over,omitempty"`
}

// recordHolder returns the process that says something of itself as one that may remember requests.
func (s InstanceState) recordHolder() RecordHolder {
	return RecordHolder{Process: s.memberInstance().Process, HandedOver: s.Stopping}
}

// replacedProcesses keeps the processes of this domain that others took the place of. A new process under the name of
// one that was killed answers, but remembers nothing: it must not pass for one that has nothing to tell.
type replacedProcesses struct {
	mu     sync.Mutex
	newest map[string]RecordHolder
	// replacedAt holds when the place of a process was first seen taken.
	replacedAt map[RecordHolder]time.Time
}

func newReplacedProcesses() *replacedProcesses {
	return &replacedProcesses{newest: make(map[string]RecordHolder), replacedAt: make(map[RecordHolder]time.Time)}
}

// observe notes what an instance of the domain says of itself.
func (p *replacedProcesses) observe(s InstanceState, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, known := p.newest[s.Name]
	if known && previous.Incarnation != s.Incarnation {
		p.replacedAt[previous] = now
	}
	p.newest[s.Name] = s.recordHolder()
}

// recent returns the processes that ended while what they remembered may still matter.
func (p *replacedProcesses) recent(now time.Time) []RecordHolder {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.replacedAt, func(_ RecordHolder, at time.Time) bool { return now.After(at.Add(policy.MemoryTime)) })
	return slices.Collect(maps.Keys(p.replacedAt))
}

// countUnrecoverable counts the processes that may remember what matters, as anybody knows of them, and have neither
// answered nor handed over what they remembered.
//
// Who answers is told by its process, not by its name or by what was heard of it: two instances that were
// killed and started again answered, before anybody had heard that they were new, with nothing, and
// requests ran twice. What the others know counts as well: an instance that has just started knows of nobody
// who is down.
func countUnrecoverable(known []RecordHolder, answered []member.Process) int {
	lost := make(map[member.Process]bool)
	for _, r := range known {
		lost[r.Process] = true
	}
	for _, r := range known {
		if r.HandedOver {
			delete(lost, r.Process)
		}
	}
	for _, p := range answered {
		delete(lost, p)
	}
	return len(lost)
}

// handOverRecords tells other instances of the domain what this one remembers, before it stops.
func (e *Entry) handOverRecords(ctx context.Context) {
	b := e.state.bundle()
	if b == nil {
		return
	}
	clients := e.peers.liveInDomain()
	for _, s := range b.Services {
		records := e.front.Marks(s.Name, keys.Full)
		for batch := range slices.Chunk(records, maxRecordsPerCall) {
			for _, c := range clients[:min(len(clients), handOverCopies)] {
				if _, err := call[ReplicateBatchCall, Empty](ctx, c, handOverTimeout, methodReplicateBatch, ReplicateBatchCall{Records: batch}); err != nil {
					e.deps.Logger.Warn("marks-untold", "service", s.Name, "error", err)
				}
			}
		}
	}
}

func (e *Entry) handleReplicateBatch(_ context.Context, c ReplicateBatchCall) (Empty, error) {
	for _, r := range c.Records {
		if !e.front.Witnessed(r) {
			return Empty{}, errMemoryFull
		}
	}
	return Empty{}, nil
}
