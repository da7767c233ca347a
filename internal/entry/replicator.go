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

// The calls by which instances of one domain keep copies of each other's idempotency records.
const (
	methodReplicate peer.Method = "mark"
	methodRecover   peer.Method = "recall"
)

// Bounds of the replication of idempotency records.
const (
	replicateTimeout = 400 * time.Millisecond
	outcomeCapacity  = 4096
	// maxOutcomeSenders is the maximum number of outcomes that are being sent at once.
	maxOutcomeSenders = 8
	// recoveryWindow is how long after its last heartbeat or answer an instance is asked for its
	// records.
	recoveryWindow = 10 * time.Minute
	// maxLostHolders is the maximum number of processes whose records may be lost: two processes hold
	// each record.
	maxLostHolders = 1
)

// Errors of the replication of idempotency records.
var (
	errTableFull     = errors.New("entry: no room for another idempotency record")
	errUnrecoverable = errors.New("entry: processes that may hold idempotency records did not answer")
	errFormerGate    = errors.New("entry: the former gate may still send requests")
)

// ReplicateCall passes an idempotency record to the instance that is to keep a copy.
type ReplicateCall struct {
	Record policy.IdempotencyRecord `json:"mark"`
}

// RecoverCall asks an instance for its idempotency records in a range of a service.
type RecoverCall struct {
	Service string     `json:"service"`
	Range   keys.Range `json:"range"`
}

// RecoverResult is the answer to a RecoverCall. The table term and serial identify the newest
// routing table of the instance: if it is current, the instance no longer acts as the gate of any
// server that the table assigns to another instance.
type RecoverResult struct {
	member.Process
	Records     []policy.IdempotencyRecord `json:"marks"`
	TableTerm   grant.Term                 `json:"table-term"`
	TableSerial uint64                     `json:"table-serial"`
	// KnownHolders are the processes of the domain that, to the instance's knowledge, may hold
	// records that are still needed.
	KnownHolders []RecordHolder `json:"known"`
}

// replicator keeps a copy of each idempotency record at one other instance of the domain. The record
// of a non-idempotent request prevents a retry from running the request twice. The replicator
// implements front.Replicator.
type replicator struct {
	peers     *peers
	gateGains *gateGains
	replaced  *replacedProcesses
	state     *state
	outcomes  chan policy.IdempotencyRecord
	logger    logger
}

// logger is the part of log.Logger that the replicator uses.
type logger interface {
	Warn(msg any, keyvals ...any)
}

func newReplicator(p *peers, g *gateGains, replaced *replacedProcesses, s *state, l logger) *replicator {
	return &replicator{peers: p, gateGains: g, replaced: replaced, state: s, outcomes: make(chan policy.IdempotencyRecord, outcomeCapacity), logger: l}
}

// Replicate implements front.Replicator. A hash of the record selects the instance that gets the copy.
// If that one does not answer, the next one in the order of names gets it.
func (r *replicator) Replicate(ctx context.Context, rec policy.IdempotencyRecord) error {
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

// replicaHash returns the hash that selects the instance for the copy of a record.
func replicaHash(rec policy.IdempotencyRecord) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, rec.RequestID)
	return h.Sum64()
}

func sendRecord(ctx context.Context, c *peer.Client, rec policy.IdempotencyRecord) error {
	_, err := call[ReplicateCall, Empty](ctx, c, replicateTimeout, methodReplicate, ReplicateCall{Record: rec})
	return err
}

// ReplicateOutcome implements front.Replicator. It drops the outcome if the channel is full. The copy
// then still says that the outcome is unknown, which is safe.
func (r *replicator) ReplicateOutcome(rec policy.IdempotencyRecord) {
	select {
	case r.outcomes <- rec:
	default:
		r.logger.Warn("mark-dropped", "service", rec.Service)
	}
}

// run sends outcomes to the instances that hold copies of the records.
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
				if err := r.Replicate(ctx, rec); err != nil && ctx.Err() == nil {
					r.logger.Warn("mark-untold", "service", rec.Service, "error", err)
				}
			}()
		}
	}
}

// Recover implements front.Replicator. It returns an error while a former gate of a server of the
// service may still send requests: a request that it is about to send may have no record yet.
// This ends when the former gate reports the current routing table, or when its lease has expired.
func (r *replicator) Recover(ctx context.Context, service string, rng keys.Range) ([]policy.IdempotencyRecord, error) {
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
	var records []policy.IdempotencyRecord
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
		return records, fmt.Errorf("%w: to %d servers", errFormerGate, n)
	}
	if n := countUnrecoverable(holders, answered); n > maxLostHolders {
		return records, fmt.Errorf("%w: %d of %d processes", errUnrecoverable, n, len(holders))
	}
	return records, nil
}

// recordHolders returns the processes of the domain that, to this instance's knowledge, may hold
// records that are still needed.
func (r *replicator) recordHolders(now time.Time) []RecordHolder {
	return append(r.peers.recordHolders(now), r.replaced.recent(now)...)
}

func (e *Entry) handleReplicate(_ context.Context, c ReplicateCall) (Empty, error) {
	if !e.front.AddRecord(c.Record) {
		return Empty{}, errTableFull
	}
	return Empty{}, nil
}

func (e *Entry) handleRecover(_ context.Context, c RecoverCall) (RecoverResult, error) {
	result := RecoverResult{Process: e.peers.process, KnownHolders: e.replicator.recordHolders(time.Now())}
	if t := e.state.table(); t != nil {
		result.TableTerm, result.TableSerial = t.Term, t.Serial
	}
	result.Records = e.front.Records(c.Service, c.Range)
	return result, nil
}
