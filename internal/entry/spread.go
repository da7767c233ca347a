package entry

import (
	"context"
	"errors"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/route"
)

// pushTable hands a new routing table to the other instances of the domain at once. One that
// misses it fetches the table after the next heartbeat.
func (e *Entry) pushTable(t *route.Table) {
	for _, c := range e.peers.inDomain() {
		go func() {
			_, _ = call[TablePush, TablePush](context.Background(), c, fetchLimit, methodTable, TablePush{Table: t})
		}()
	}
}

// handleTable takes a pushed table, if any, and returns the newest.
func (e *Entry) handleTable(ctx context.Context, push TablePush) (TablePush, error) {
	e.takeTable(ctx, push.Table)
	return TablePush{Table: e.state.table()}, nil
}

func (e *Entry) fetchTable(ctx context.Context, c *peer.Client) {
	result, err := call[TablePush, TablePush](ctx, c, fetchLimit, methodTable, TablePush{})
	if err == nil {
		e.takeTable(ctx, result.Table)
	}
}

func (e *Entry) takeTable(ctx context.Context, t *route.Table) {
	if t != nil && e.setTable(t) {
		e.tell(ctx, leader.TableReceived{Table: *t})
	}
}

func (e *Entry) handleProof(_ context.Context, f ProofFetch) (ProofPush, error) {
	push := e.state.offer(f.Have)
	push.Homes = e.knownHomes()
	return push, nil
}

// fetchProof takes a newer bundle from another instance. The signatures are checked: a peer
// is trusted no more than a stranger with the same bytes.
func (e *Entry) fetchProof(ctx context.Context, r *remote) {
	fetch := ProofFetch{}
	if b := e.state.bundle(); b != nil {
		fetch.Have = b.Version
	}
	result, err := call[ProofFetch, ProofPush](ctx, r.client, fetchLimit, methodProof, fetch)
	if err != nil || result.Update == nil && result.Proof.IsZero() {
		return
	}
	switch err := e.state.learn(result); {
	case err == nil:
		e.enforced(ctx)
	case !errors.Is(err, fold.ErrNotNewer):
		e.deps.Logger.Warn("bundle-refused", "from", r.Name, "error", err)
	}
	if r.Domain == e.deps.Settings.Domain && len(result.Homes) > 0 {
		e.copied.Store(&result.Homes)
		if e.folded.Load() == nil {
			e.state.takeHomes(result.Homes)
		}
		e.tellHomes(ctx, homes.PeerHomes{Homes: result.Homes})
	}
}

// knownHomes returns the homes of all domains as this instance has read them, or else as
// another instance of its domain has.
func (e *Entry) knownHomes() []fold.DomainHomes {
	if state := e.folded.Load(); state != nil {
		return state.Homes
	}
	if copied := e.copied.Load(); copied != nil {
		return *copied
	}
	return nil
}

// lacksHomes reports whether this instance knows of no homes yet. One that starts while its
// domain is cut off from the log cannot lead without.
func (e *Entry) lacksHomes() bool {
	return len(e.knownHomes()) == 0
}

// handleExchange serves the leader's exchange with a grant that this instance holds for a
// server which does not check grants, or with its own vote.
func (e *Entry) handleExchange(_ context.Context, x ExchangeCall) (ExchangeResult, error) {
	return ExchangeResult{Answer: e.holders.exchange(x.Exchange)}, nil
}
