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

// methodReplicateBatch is the call by which a stopping instance hands over its records.
const methodReplicateBatch peer.Method = "marks"

// Bounds of handing over records.
const (
	maxRecordsPerCall = 2000
	// handOverTimeout is the timeout of one call.
	handOverTimeout = 2 * time.Second
	// handOverCopies is the number of instances that get each record.
	handOverCopies = 2
)

// ReplicateBatchCall hands over idempotency records of a stopping instance.
type ReplicateBatchCall struct {
	Records []policy.IdempotencyRecord `json:"marks"`
}

// RecordHolder is a process of the domain, running or not, that may hold idempotency records which
// are still needed. HandedOver says that it is stopping and hands its records over before it ends.
type RecordHolder struct {
	member.Process
	HandedOver bool `json:"handed-over,omitempty"`
}

// recordHolder returns the process that reported the state, as a holder of records.
func (s InstanceState) recordHolder() RecordHolder {
	return RecordHolder{Process: s.memberInstance().Process, HandedOver: s.Stopping}
}

// replacedProcesses keeps the processes of this domain that were replaced by another process of the
// same name. The new process answers calls but has no records of the old one, so its answer must
// not be taken for that of the old one.
type replacedProcesses struct {
	mu sync.Mutex
	// newest has the latest process seen under each name.
	newest map[string]RecordHolder
	// replacedAt is when the replacement of a process was first seen.
	replacedAt map[RecordHolder]time.Time
}

func newReplacedProcesses() *replacedProcesses {
	return &replacedProcesses{newest: make(map[string]RecordHolder), replacedAt: make(map[RecordHolder]time.Time)}
}

// observe records the process that reported a state, and whether it replaces another one. The
// process must belong to this domain.
func (p *replacedProcesses) observe(s InstanceState, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, known := p.newest[s.Name]
	if known && previous.Incarnation != s.Incarnation {
		p.replacedAt[previous] = now
	}
	p.newest[s.Name] = s.recordHolder()
}

// recent returns the replaced processes whose records may still be needed.
func (p *replacedProcesses) recent(now time.Time) []RecordHolder {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.replacedAt, func(_ RecordHolder, at time.Time) bool { return now.After(at.Add(policy.RecordRetention)) })
	return slices.Collect(maps.Keys(p.replacedAt))
}

// countUnrecoverable counts the known holders that have neither answered nor handed over their
// records.
//
// Answers count by process, name and incarnation, and not by name alone or by earlier heartbeats.
// Otherwise two instances that were killed and restarted answer with no records before their new
// incarnations are known, and requests run twice. The known holders include those that other
// instances report, because an instance that has just started does not know which ones are down.
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

// handOverRecords sends the idempotency records of this instance to other instances of the domain
// before it stops.
func (e *Entry) handOverRecords(ctx context.Context) {
	b := e.state.bundle()
	if b == nil {
		return
	}
	clients := e.peers.liveInDomain()
	for _, s := range b.Services {
		records := e.front.Records(s.Name, keys.Full)
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
		if !e.front.AddRecord(r) {
			return Empty{}, errTableFull
		}
	}
	return Empty{}, nil
}
