package entry

import (
	"context"
	"time"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/listcl"
)

// Periods of reading the platform's list.
const (
	listPeriod = 500 * time.Millisecond
	listLimit  = 2 * time.Second
)

// runList reads the platform's list and registers this instance there.
func (e *Entry) runList(ctx context.Context) error {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = e.register(ctx)
		}
		e.readList(ctx)
		pause(ctx, listPeriod)
	}
	return ctx.Err()
}

func (e *Entry) register(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	if err := e.deps.List.Register(bounded, e.listed()); err != nil {
		e.deps.Logger.Warn("list-unavailable", "error", err)
		return false
	}
	return true
}

// listed is this instance as the platform lists it.
func (e *Entry) listed() listcl.Instance {
	s := e.deps.Settings
	return listcl.Instance{
		Name:           s.Name,
		Domain:         s.Domain,
		PeerAddress:    s.PeerAddress,
		ForwardAddress: s.ForwardAddress,
		Incarnation:    e.deps.Incarnation,
	}
}

func (e *Entry) readList(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	list, err := e.deps.List.List(bounded)
	if err != nil {
		e.deps.Logger.Debug("list-unavailable", "error", err)
		return
	}
	ev := leader.Listed{}
	for _, i := range list.Instances {
		ev.Instances = append(ev.Instances, i.Name)
		if i.Leaving || i.Name == e.deps.Settings.Name {
			continue
		}
		e.peers.learn(config.Peer{
			Name:           i.Name,
			Domain:         i.Domain,
			PeerAddress:    i.PeerAddress,
			ForwardAddress: i.ForwardAddress,
		})
	}
	for _, s := range list.Servers {
		ev.Servers = append(ev.Servers, s.Name)
	}
	e.tell(ctx, ev)
}
