package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"example.org/mustardring/internal/member"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// The calls by which instances of one domain remember each other's requests.
const (
	methodReplicate peer.Method = "mark"
	methodRecover   peer.Method = "recall"
)

// Bounds of the witness.
const (
	replicateTimeout = 400 * time.Millisecond
	outcomeCapacity  = 4096
	// maxOutcomeSenders is the number of outcomes that are told to other instances at once.
	maxOutcomeSenders = 8
	// recoveryWindow is for how long after its last answer an instance is asked what it remembers.
	recoveryWindow = 10 * time.Minute
	// maxLostHolders is the number of processes whose memory may be missing: each request is remembered by
	// two.
	maxLostHolders = 1
)

// Errors of the witness.
var (
	errMemoryFull    = errors.New("entry: the witness has no room for a mark")
	errUnrecoverable = errors.New("entry: instances that may remember requests did not answer")
	errFormerGate    = errors.New("entry: the former gate may still act")
)

// ReplicateCall hands a mark to the instance that is to remember it.
type ReplicateCall struct {
	Record policy.Mark `json:"mark"`
}

// RecoverCall asks what an instance remembers of requests in a range of a service.
type RecoverCall struct {
	Service string     `json:"service"`
	Range   keys.Range `json:"range"`
}

// RecoverResult is the answer to a RecallCall. The table is the newest that the instance
// knows: from one that is current it follows that the instance is the gate of no server which
// the table gives to another.
type RecoverResult struct {
	member.Process
	Records     []policy.Mark `json:"marks"`
	TableTerm   grant.Term    `json:"table-term"`
	TableSerial uint64        `json:"table-serial"`
	// KnownHolders are the processes of the domain of which the instance knows that they may remember
	// requests which matter.
	KnownHolders []RecordHolder `json:"known"`
}

// replicator implements front.Witness by calls to the other instances of the domain.
type replicator struct {
	peers     *peers
	gateGains *gateGains
	replaced  *replacedProcesses
	state     *state
	outcomes  chan policy.Mark
	logger    logger
}

// logger is the part of the log of events that the witness uses.
type logger interface {
	Warn(msg any, keyvals ...any)
}

func newReplicator(p *peers, g *gateGains, lost *replacedProcesses, s *state, l logger) *replicator {
	return &replicator{peers: p, gateGains: g, replaced: lost, state: s, outcomes: make(chan policy.Mark, outcomeCapacity), logger: l}
}

// Begin implements front.Witness. The instance is chosen by the mark, the next one if it
// does not answer.
func (w *replicator) Begin(ctx context.Context, m policy.Mark) error {
	others := w.peers.liveInDomain()
	if len(others) == 0 {
		return nil
	}
	var err error
	first := int(replicaHash(m) % uint64(len(others)))
	for i := range min(len(others), 2) {
		if err = sendRecord(ctx, others[(first+i)%len(others)], m); err == nil {
			return nil
		}
	}
	return err
}

// replicaHash returns where a mark stands among the instances.
func replicaHash(m policy.Mark) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, m.Name)
	return h.Sum64()
}

func sendRecord(ctx context.Context, c *peer.Client, m policy.Mark) error {
	_, err := call[ReplicateCall, Empty](ctx, c, replicateTimeout, methodReplicate, ReplicateCall{Record: m})
	return err
}

// End implements front.Witness. A full ring drops the outcome: the witness then goes on
// calling the request in doubt, which is safe.
func (w *replicator) End(m policy.Mark) {
	select {
	case w.outcomes <- m:
	default:
		w.logger.Warn("mark-dropped", "service", m.Service)
	}
}

// run tells outcomes to the instances that remember the requests.
func (w *replicator) run(ctx context.Context) error {
	free := make(chan struct{}, maxOutcomeSenders)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-w.outcomes:
			select {
			case free <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			go func() {
				defer func() { <-free }()
				if err := w.Begin(ctx, m); err != nil && ctx.Err() == nil {
					w.logger.Warn("mark-untold", "service", m.Service, "error", err)
				}
			}()
		}
	}
}

// Recall implements front.Witness. Until the former gate of a server of the service has said
// that it knows of its end, or cannot act any more, it returns an error: what the former gate
// is about to send is not remembered anywhere yet.
func (w *replicator) Recall(ctx context.Context, service string, r keys.Range) ([]policy.Mark, error) {
	clients := w.peers.recentInDomain(time.Now())
	type answer struct {
		result RecoverResult
		err    error
	}
	answers := make(chan answer, len(clients))
	for _, c := range clients {
		go func() {
			result, err := call[RecoverCall, RecoverResult](ctx, c, replicateTimeout, methodRecover, RecoverCall{Service: service, Range: r})
			answers <- answer{result: result, err: err}
		}()
	}
	var marks []policy.Mark
	var told []string
	known := w.recordHolders(time.Now())
	present := []member.Process{w.peers.process}
	table := w.state.table()
	for range clients {
		a := <-answers
		if a.err != nil {
			continue
		}
		marks = append(marks, a.result.Records...)
		known = append(known, a.result.KnownHolders...)
		present = append(present, a.result.Process)
		if table != nil && !table.Newer(&route.Table{Term: a.result.TableTerm, Serial: a.result.TableSerial}) {
			told = append(told, a.result.Name)
		}
	}
	if n := w.gateGains.unconfirmed(service, told, time.Now()); n > 0 {
		return marks, fmt.Errorf("%w: of %d servers", errFormerGate, n)
	}
	if n := countUnrecoverable(known, present); n > maxLostHolders {
		return marks, fmt.Errorf("%w: %d processes of %d", errUnrecoverable, n, len(known))
	}
	return marks, nil
}

// recordHolders returns the processes of the domain of which this instance knows that they may remember
// requests which matter.
func (w *replicator) recordHolders(now time.Time) []RecordHolder {
	return append(w.peers.recordHolders(now), w.replaced.recent(now)...)
}

func (e *Entry) handleReplicate(_ context.Context, c ReplicateCall) (Empty, error) {
	if !e.front.Witnessed(c.Record) {
		return Empty{}, errMemoryFull
	}
	return Empty{}, nil
}

func (e *Entry) handleRecover(_ context.Context, c RecoverCall) (RecoverResult, error) {
	result := RecoverResult{Process: e.peers.process, KnownHolders: e.replicator.recordHolders(time.Now())}
	if t := e.state.table(); t != nil {
		result.TableTerm, result.TableSerial = t.Term, t.Serial
	}
	result.Records = e.front.Marks(c.Service, c.Range)
	return result, nil
}
