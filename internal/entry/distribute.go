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

// pushTable sends a new routing table to the other instances of the domain in the background. An
// instance that misses it fetches the table after the next heartbeat.
func (e *Entry) pushTable(t *route.Table) {
	for _, c := range e.peers.inDomain() {
		go func() {
			_, _ = call[TablePush, TablePush](context.Background(), c, fetchTimeout, methodTable, TablePush{Table: t})
		}()
	}
}

// handleTable installs the pushed table, if any, and returns the newest one.
func (e *Entry) handleTable(ctx context.Context, push TablePush) (TablePush, error) {
	e.applyTable(ctx, push.Table)
	return TablePush{Table: e.state.table()}, nil
}

func (e *Entry) fetchTable(ctx context.Context, c *peer.Client) {
	result, err := call[TablePush, TablePush](ctx, c, fetchTimeout, methodTable, TablePush{})
	if err == nil {
		e.applyTable(ctx, result.Table)
	}
}

func (e *Entry) applyTable(ctx context.Context, t *route.Table) {
	if t != nil && e.setTable(t) {
		e.notifyLeaderCore(ctx, leader.TableReceived{Table: *t})
	}
}

func (e *Entry) handleBundle(_ context.Context, f BundleFetch) (BundlePush, error) {
	push := e.state.offer(f.Have)
	push.Homes = e.knownHomes()
	return push, nil
}

// fetchBundle fetches a newer bundle from another instance, and the homes if that instance belongs
// to this domain. The bundle is trusted for its signatures alone, whichever instance sends it.
func (e *Entry) fetchBundle(ctx context.Context, r *remote) {
	fetch := BundleFetch{}
	if b := e.state.bundle(); b != nil {
		fetch.Have = b.Version
	}
	result, err := call[BundleFetch, BundlePush](ctx, r.client, fetchTimeout, methodBundle, fetch)
	if err != nil || result.Update == nil && result.Proof.IsZero() {
		return
	}
	switch err := e.state.applyBundle(result); {
	case err == nil:
		e.applyBundle(ctx)
	case !errors.Is(err, fold.ErrNotNewer):
		e.deps.Logger.Warn("bundle-refused", "from", r.Name, "error", err)
	}
	if r.Domain == e.deps.Settings.Domain && len(result.Homes) > 0 {
		e.copiedHomes.Store(&result.Homes)
		if e.logState.Load() == nil {
			e.state.setHomes(result.Homes)
		}
		e.notifyHomesCore(ctx, homes.PeerHomes{Homes: result.Homes})
	}
}

// knownHomes returns the homes of all domains as this instance has read them from the log or, before
// its first read, as another instance of its domain has.
func (e *Entry) knownHomes() []fold.DomainHomes {
	if state := e.logState.Load(); state != nil {
		return state.Homes
	}
	if copied := e.copiedHomes.Load(); copied != nil {
		return *copied
	}
	return nil
}

// lacksHomes reports whether this instance knows no homes yet. Without homes it cannot lead. If it
// starts while its domain is cut off from the log, it gets them from another instance.
func (e *Entry) lacksHomes() bool {
	return len(e.knownHomes()) == 0
}

// handleExchange answers an exchange of the leader for a grant that this instance holds on behalf of
// a server which does not check grants, or for its own vote.
func (e *Entry) handleExchange(_ context.Context, x ExchangeCall) (ExchangeResult, error) {
	return ExchangeResult{Answer: e.holders.exchange(x.Exchange)}, nil
}
