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
	methodMark   peer.Method = "mark"
	methodRecall peer.Method = "recall"
)

// Bounds of the witness.
const (
	markLimit    = 400 * time.Millisecond
	markCapacity = 4096
	// markSenders is the number of outcomes that are told to other instances at once.
	markSenders = 8
	// recallAfter is for how long after its last answer an instance is asked what it remembers.
	recallAfter = 10 * time.Minute
	// lossesBorne is the number of processes whose memory may be missing: each request is remembered by
	// two.
	lossesBorne = 1
)

// Errors of the witness.
var (
	errNoRoom = errors.New("entry: the witness has no room for a mark")
	errRecall = errors.New("entry: instances that may remember requests did not answer")
	errFormer = errors.New("entry: the former gate may still act")
)

// MarkCall hands a mark to the instance that is to remember it.
type MarkCall struct {
	Mark policy.IdempotencyRecord `json:"mark"`
}

// RecallCall asks what an instance remembers of requests in a range of a service.
type RecallCall struct {
	Service string     `json:"service"`
	Range   keys.Range `json:"range"`
}

// RecallResult is the answer to a RecallCall. The table is the newest that the instance
// knows: from one that is current it follows that the instance is the gate of no server which
// the table gives to another.
type RecallResult struct {
	member.Process
	Marks       []policy.IdempotencyRecord `json:"marks"`
	TableTerm   grant.Term                 `json:"table-term"`
	TableSerial uint64                     `json:"table-serial"`
	// Known are the processes of the domain of which the instance knows that they may remember
	// requests which matter.
	Known []Remembering `json:"known"`
}

// witness implements front.Witness by calls to the other instances of the domain.
type witness struct {
	peers  *peers
	gained *gains
	losses *losses
	state  *state
	ended  chan policy.IdempotencyRecord
	logger logger
}

// logger is the part of the log of events that the witness uses.
type logger interface {
	Warn(msg any, keyvals ...any)
}

func newWitness(p *peers, g *gains, lost *losses, s *state, l logger) *witness {
	return &witness{peers: p, gained: g, losses: lost, state: s, ended: make(chan policy.IdempotencyRecord, markCapacity), logger: l}
}

// Replicate implements front.Witness. The instance is chosen by the mark, the next one if it
// does not answer.
func (w *witness) Replicate(ctx context.Context, m policy.IdempotencyRecord) error {
	others := w.peers.liveInDomain()
	if len(others) == 0 {
		return nil
	}
	var err error
	first := int(spread(m) % uint64(len(others)))
	for i := range min(len(others), 2) {
		if err = tellMark(ctx, others[(first+i)%len(others)], m); err == nil {
			return nil
		}
	}
	return err
}

// spread returns where a mark stands among the instances.
func spread(m policy.IdempotencyRecord) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, m.RequestID)
	return h.Sum64()
}

func tellMark(ctx context.Context, c *peer.Client, m policy.IdempotencyRecord) error {
	_, err := call[MarkCall, Done](ctx, c, markLimit, methodMark, MarkCall{Mark: m})
	return err
}

// ReplicateOutcome implements front.Witness. A full ring drops the outcome: the witness then goes on
// calling the request in doubt, which is safe.
func (w *witness) ReplicateOutcome(m policy.IdempotencyRecord) {
	select {
	case w.ended <- m:
	default:
		w.logger.Warn("mark-dropped", "service", m.Service)
	}
}

// run tells outcomes to the instances that remember the requests.
func (w *witness) run(ctx context.Context) error {
	free := make(chan struct{}, markSenders)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-w.ended:
			select {
			case free <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			go func() {
				defer func() { <-free }()
				if err := w.Replicate(ctx, m); err != nil && ctx.Err() == nil {
					w.logger.Warn("mark-untold", "service", m.Service, "error", err)
				}
			}()
		}
	}
}

// Recover implements front.Witness. Until the former gate of a server of the service has said
// that it knows of its end, or cannot act any more, it returns an error: what the former gate
// is about to send is not remembered anywhere yet.
func (w *witness) Recover(ctx context.Context, service string, r keys.Range) ([]policy.IdempotencyRecord, error) {
	clients := w.peers.recentInDomain(time.Now())
	type answer struct {
		result RecallResult
		err    error
	}
	answers := make(chan answer, len(clients))
	for _, c := range clients {
		go func() {
			result, err := call[RecallCall, RecallResult](ctx, c, markLimit, methodRecall, RecallCall{Service: service, Range: r})
			answers <- answer{result: result, err: err}
		}()
	}
	var marks []policy.IdempotencyRecord
	var told []string
	known := w.remembering(time.Now())
	present := []member.Process{w.peers.own}
	table := w.state.table()
	for range clients {
		a := <-answers
		if a.err != nil {
			continue
		}
		marks = append(marks, a.result.Marks...)
		known = append(known, a.result.Known...)
		present = append(present, a.result.Process)
		if table != nil && !table.Newer(&route.Table{Term: a.result.TableTerm, Serial: a.result.TableSerial}) {
			told = append(told, a.result.Name)
		}
	}
	if n := w.gained.open(service, told, time.Now()); n > 0 {
		return marks, fmt.Errorf("%w: of %d servers", errFormer, n)
	}
	if n := missing(known, present); n > lossesBorne {
		return marks, fmt.Errorf("%w: %d processes of %d", errRecall, n, len(known))
	}
	return marks, nil
}

// remembering returns the processes of the domain of which this instance knows that they may remember
// requests which matter.
func (w *witness) remembering(now time.Time) []Remembering {
	return append(w.peers.heardInDomain(now), w.losses.list(now)...)
}

func (e *Entry) handleMark(_ context.Context, c MarkCall) (Done, error) {
	if !e.front.AddRecord(c.Mark) {
		return Done{}, errNoRoom
	}
	return Done{}, nil
}

func (e *Entry) handleRecall(_ context.Context, c RecallCall) (RecallResult, error) {
	result := RecallResult{Process: e.peers.own, Known: e.witness.remembering(time.Now())}
	if t := e.state.table(); t != nil {
		result.TableTerm, result.TableSerial = t.Term, t.Serial
	}
	result.Marks = e.front.Records(c.Service, c.Range)
	return result, nil
}
