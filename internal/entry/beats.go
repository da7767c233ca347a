package entry

import (
	"context"
	"time"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/peer"
)

// Periods and limits of heartbeats.
const (
	beatInDomain    = 100 * time.Millisecond
	beatElsewhere   = 500 * time.Millisecond
	beatLimit       = 400 * time.Millisecond
	silentInDomain  = 500 * time.Millisecond
	silentElsewhere = 2 * time.Second
	beatCheck       = 25 * time.Millisecond
	fetchLimit      = 2 * time.Second
	maxBeats        = 64
)

func periodFor(sameDomain bool) time.Duration {
	if sameDomain {
		return beatInDomain
	}
	return beatElsewhere
}

// beat is a heartbeat that has ended, with its result or nil.
type beat struct {
	remote  *remote
	askedAt leader.Time
	result  *Heartbeat
}

// runHeartbeats tells the other instances of this one and learns of them by their results.
func (e *Entry) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(beatCheck)
	defer ticker.Stop()
	ended := make(chan beat, maxBeats)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, r := range e.peers.due(time.Now()) {
				go e.beat(ctx, r, ended)
			}
			e.state.setMembers(e.peers.members(time.Now()))
			e.tell(ctx, domainsHeard{domains: e.peers.domains(time.Now())})
		case b := <-ended:
			e.peers.answered(b.remote, time.Now(), b.result)
			if b.result != nil {
				e.heard(ctx, b.remote, *b.result)
				e.lease.confirm(b.askedAt, *b.result, e.state.table())
			}
		}
	}
}

// beat sends one heartbeat and reports its end.
func (e *Entry) beat(ctx context.Context, r *remote, ended chan<- beat) {
	b := beat{remote: r, askedAt: e.now()}
	result, err := call[Heartbeat, Heartbeat](ctx, r.client, beatLimit, methodHeartbeat, e.heartbeat())
	e.meter.CallsSent.Add(1)
	if err != nil {
		e.meter.CallsFailed.Add(1)
	}
	if err == nil && result.Name == r.Name {
		b.result = &result
	}
	select {
	case ended <- b:
	case <-ctx.Done():
	}
}

// heard handles what another instance said of itself in answer to a heartbeat.
func (e *Entry) heard(ctx context.Context, r *remote, h Heartbeat) {
	e.front.Merge(h.Blocks)
	if h.Domain == e.deps.Settings.Domain {
		e.losses.heard(h, time.Now())
		e.tell(ctx, peerHeard(h))
	}
	view, _ := e.state.snapshot()
	newer := view.Bundle == nil && h.BundleVersion > 0 || view.Bundle != nil && h.BundleVersion > view.Bundle.Version
	homes := h.BundleVersion > 0 && h.Domain == e.deps.Settings.Domain && e.lacksHomes()
	if newer || homes {
		go e.fetchProof(ctx, r)
	}
	if h.Domain != e.deps.Settings.Domain {
		return
	}
	t := view.Table
	if t == nil || h.TableTerm.Compare(t.Term) > 0 || h.TableTerm == t.Term && h.TableSerial > t.Serial {
		go e.fetchTable(ctx, r.client)
	}
}

func peerHeard(h Heartbeat) leader.PeerHeard {
	return leader.PeerHeard{
		Name:        h.Name,
		Incarnation: h.Incarnation,
		Leading:     h.Leading,
		Term:        h.Term,
		Leaving:     h.Stopping,
	}
}

// heartbeat returns what this instance says of itself now.
func (e *Entry) heartbeat() Heartbeat {
	view, stopping := e.state.snapshot()
	settings := e.deps.Settings
	h := Heartbeat{
		Name:           settings.Name,
		Domain:         settings.Domain,
		Incarnation:    e.deps.Incarnation,
		PeerAddress:    settings.PeerAddress,
		ForwardAddress: settings.ForwardAddress,
		Stopping:       stopping,
	}
	if view.Bundle != nil {
		h.BundleVersion = view.Bundle.Version
	}
	if view.Table != nil {
		h.TableTerm, h.TableSerial = view.Table.Term, view.Table.Serial
	}
	for _, m := range view.Members {
		h.Heard = append(h.Heard, m.Name)
	}
	h.Blocks = e.front.Blocks()
	if core := e.coreView.heartbeat.Load(); core != nil {
		h.Leading, h.Term = core.Leading, core.Term
	}
	return h
}

// mux answers the calls of other instances.
func (e *Entry) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Register(m, methodHeartbeat, e.handleHeartbeat)
	peer.Register(m, methodTable, e.handleTable)
	peer.Register(m, methodProof, e.handleProof)
	peer.Register(m, methodExchange, e.handleExchange)
	peer.Register(m, methodLoads, e.handleLoads)
	peer.Register(m, methodMark, e.handleMark)
	peer.Register(m, methodMarks, e.handleMarks)
	peer.Register(m, methodRecall, e.handleRecall)
	return m
}

func (e *Entry) handleHeartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error) {
	e.peers.learn(config.Peer{
		Name:           h.Name,
		Domain:         h.Domain,
		PeerAddress:    h.PeerAddress,
		ForwardAddress: h.ForwardAddress,
	})
	e.front.Merge(h.Blocks)
	if h.Domain == e.deps.Settings.Domain {
		e.losses.heard(h, time.Now())
	}
	if h.Domain == e.deps.Settings.Domain && (h.Leading || h.Stopping) {
		e.tell(ctx, peerHeard(h))
	}
	return e.heartbeat(), nil
}

// announceStop tells the domain at once that this instance is leaving.
func (e *Entry) announceStop(ctx context.Context) {
	for _, c := range e.peers.inDomain() {
		_, _ = call[Heartbeat, Heartbeat](ctx, c, beatLimit, methodHeartbeat, e.heartbeat())
	}
	if err := e.deps.List.Leave(ctx, e.listed()); err != nil {
		e.deps.Logger.Warn("list-unavailable", "error", err)
	}
}
