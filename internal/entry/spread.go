package entry

import (
	"context"

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
		e.tell(ctx, leader.Routed{Table: *t})
	}
}

func (e *Entry) handleProof(context.Context, ProofFetch) (ProofPush, error) {
	_, proof, _ := e.state.snapshot()
	push := ProofPush{Proof: proof}
	if state := e.folded.Load(); state != nil {
		push.Homes = state.Homes
	}
	return push, nil
}

// fetchProof takes a newer bundle from another instance. The signatures are checked: a peer
// is trusted no more than a stranger with the same bytes.
func (e *Entry) fetchProof(ctx context.Context, r *remote) {
	result, err := call[ProofFetch, ProofPush](ctx, r.client, fetchLimit, methodProof, ProofFetch{})
	if err != nil || result.Proof.IsZero() {
		return
	}
	if err := e.learn(ctx, result.Proof); err != nil {
		e.deps.Logger.Warn("bundle-refused", "version", result.Proof.Version(), "error", err)
		return
	}
	if r.Domain == e.deps.Settings.Domain {
		e.tell(ctx, homesCopied{homes: result.Homes})
	}
}

// handleExchange serves the leader's exchange with a grant that this instance holds for a
// server which does not check grants, or with its own vote.
func (e *Entry) handleExchange(_ context.Context, x ExchangeCall) (ExchangeResult, error) {
	return ExchangeResult{Answer: e.holders.exchange(x.Exchange)}, nil
}
