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
	// maxOutcomeSenders is the number of outcomes that are confirmed to other instances at once.
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

func newReplicator(p *peers, g *gateGains, replaced *replacedProcesses, s *state, l logger) *replicator {
	return &replicator{peers: p, gateGains: g, replaced: replaced, state: s, outcomes: make(chan policy.Mark, outcomeCapacity), logger: l}
}

// Begin implements front.Witness. The instance is chosen by the mark, the next one if it
// does not answer.
func (r *replicator) Begin(ctx context.Context, rec policy.Mark) error {
	others := r.peers.liveInDomain()
	if len(others) == 0 {
		return nil
	}
	var err error
	first := int(replicaHash(rec) % uint64(len(others)))
	for i := range min(len(others), 2) {
		if err = sendRecord(ctx, others[(first+i)%len(others)], rec); err == nil {
			return nil
		}
	}
	return err
}

// replicaHash returns where a mark stands among the instances.
func replicaHash(rec policy.Mark) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, rec.Name)
	return h.Sum64()
}

func sendRecord(ctx context.Context, c *peer.Client, rec policy.Mark) error {
	_, err := call[ReplicateCall, Empty](ctx, c, replicateTimeout, methodReplicate, ReplicateCall{Record: rec})
	return err
}

// End implements front.Witness. A full ring drops the outcome: the witness then goes on
// calling the request in doubt, which is safe.
func (r *replicator) End(rec policy.Mark) {
	select {
	case r.outcomes <- rec:
	default:
		r.logger.Warn("mark-dropped", "service", rec.Service)
	}
}

// run tells outcomes to the instances that remember the requests.
func (r *replicator) run(ctx context.Context) error {
	free := make(chan struct{}, maxOutcomeSenders)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case rec := <-r.outcomes:
			select {
			case free <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			go func() {
				defer func() { <-free }()
				if err := r.Begin(ctx, rec); err != nil && ctx.Err() == nil {
					r.logger.Warn("mark-untold", "service", rec.Service, "error", err)
				}
			}()
		}
	}
}

// Recall implements front.Witness. Until the former gate of a server of the service has said
// that it knows of its end, or cannot act any more, it returns an error: what the former gate
// is about to send is not remembered anywhere yet.
func (r *replicator) Recall(ctx context.Context, service string, rng keys.Range) ([]policy.Mark, error) {
	clients := r.peers.recentInDomain(time.Now())
	type answer struct {
		result RecoverResult
		err    error
	}
	answers := make(chan answer, len(clients))
	for _, c := range clients {
		go func() {
			result, err := call[RecoverCall, RecoverResult](ctx, c, replicateTimeout, methodRecover, RecoverCall{Service: service, Range: rng})
			answers <- answer{result: result, err: err}
		}()
	}
	var records []policy.Mark
	var confirmed []string
	holders := r.recordHolders(time.Now())
	answered := []member.Process{r.peers.process}
	table := r.state.table()
	for range clients {
		a := <-answers
		if a.err != nil {
			continue
		}
		records = append(records, a.result.Records...)
		holders = append(holders, a.result.KnownHolders...)
		answered = append(answered, a.result.Process)
		if table != nil && !table.Newer(&route.Table{Term: a.result.TableTerm, Serial: a.result.TableSerial}) {
			confirmed = append(confirmed, a.result.Name)
		}
	}
	if n := r.gateGains.unconfirmed(service, confirmed, time.Now()); n > 0 {
		return records, fmt.Errorf("%w: of %d servers", errFormerGate, n)
	}
	if n := countUnrecoverable(holders, answered); n > maxLostHolders {
		return records, fmt.Errorf("%w: %d processes of %d", errUnrecoverable, n, len(holders))
	}
	return records, nil
}

// recordHolders returns the processes of the domain of which this instance knows that they may remember
// requests which matter.
func (r *replicator) recordHolders(now time.Time) []RecordHolder {
	return append(r.peers.recordHolders(now), r.replaced.recent(now)...)
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
