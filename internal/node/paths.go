package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/paths"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/internal/worker"
)

const (
	// maxTunnels is the number of tunnels that an instance carries for others. Each takes two descriptors and some 40 KB.
	maxTunnels = 512
	// tunnelCheckInterval is the time between two checks of the instances that tunnels go through.
	tunnelCheckInterval = 250 * time.Millisecond
)

// tunnels holds the tunnels that this instance has opened, and those that it carries for others.
type tunnels struct {
	mu sync.Mutex
	// opened holds the open tunnels of this instance with the servers that they lead to.
	opened map[*tunnel.Conn]string
	// reserved is the number of tunnels for others that are carried or about to be.
	reserved int
}

// newDialer returns the dialer for the requests of callers.
func (n *Node) newDialer() *paths.Dialer {
	return paths.NewDialer(paths.Deps{
		Table: paths.NewTable(), Direct: n.dialDirect, Choose: n.chooseInstance, Open: n.openTunnel, PathSilent: n.pathSilent, Events: n.events,
	})
}

// dialDirect connects to a server. The handshake waits for the processor and on the link of this instance as a request does.
func (n *Node) dialDirect(ctx context.Context, s paths.Server) (net.Conn, error) {
	startedAt := time.Now()
	c, err := n.platform.DialServer(ctx, "tcp4", s.Address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n.sendDelay.Observe(now.Sub(startedAt), now)
	if err := upstr.Configure(c, edge.ServerUserTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// probeServer connects to a server by way of any instance, and closes the connection.
func (n *Node) probeServer(ctx context.Context, server shard.Owner) error {
	c, err := n.dialer.DialServer(ctx, server.Server, server.Address)
	if err != nil {
		return err
	}
	return c.Close()
}

// chooseInstance returns the instance that a choice for a server stands for. Every second choice is one of this instance's
// failure domain, if there is any, and the others may be of any domain. They differ by instance and server, so that the
// load of many instances without paths is spread.
func (n *Node) chooseInstance(server string, choice int) (string, bool) {
	domain := n.settings.Domain
	if choice%2 == 1 {
		domain = ""
	}
	subject := n.settings.Name + "/" + server + "/" + strconv.Itoa(choice)
	for _, p := range n.roster.RankConnected(subject, domain, time.Now()) {
		if p.Name != n.settings.Name {
			return p.Name, true
		}
	}
	return "", false
}

// openTunnel connects to a server through another instance.
func (n *Node) openTunnel(ctx context.Context, instance string, s paths.Server) (net.Conn, error) {
	p, known := n.roster.Peer(instance)
	if !known {
		return nil, fmt.Errorf("node: instance %s is not registered", instance)
	}
	c, err := tunnel.Open(ctx, tunnel.Settings{
		Via: p.Name, Address: p.Address, Dial: newPeerDialer().DialContext, OnClose: n.forgetTunnel,
		Usable: func() bool { return n.tunnelUsable(p.Name, p.Incarnation, s.ID) },
	}, tunnel.Request{Server: s.ID, Instance: n.settings.Name, Incarnation: n.incarnation})
	if err != nil {
		return nil, refusalError(err)
	}
	n.tunnels.mu.Lock()
	defer n.tunnels.mu.Unlock()
	n.tunnels.opened[c] = s.ID
	return c, nil
}

// refusalError converts the error of a tunnel that was refused to the errors of package paths.
func refusalError(err error) error {
	var refused *tunnel.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.Reason {
	case tunnel.NoPath:
		return fmt.Errorf("%w: %w", paths.ErrNoPath, err)
	case tunnel.Unreachable:
		return fmt.Errorf("%w: %w", paths.ErrUnreachable, err)
	default:
		return err
	}
}

// forgetTunnel removes a tunnel that was closed.
func (n *Node) forgetTunnel(c *tunnel.Conn) {
	n.tunnels.mu.Lock()
	defer n.tunnels.mu.Unlock()
	delete(n.tunnels.opened, c)
}

// tunnelUsable reports whether a tunnel to a server may carry another request: its instance runs and does not stop, and
// this instance has not regained its own path.
func (n *Node) tunnelUsable(instance string, incarnation uint64, server string) bool {
	p, known := n.roster.Peer(instance)
	return known && p.Incarnation == incarnation && !p.Heartbeat.Stopping && n.dialer.Table.IsLost(server)
}

// tunnelLoop closes tunnels that go through instances which are not alive any more, and those that are not usable once
// they are idle, until the context ends.
//
// It also tells others at once that this instance has lost all its paths or has regained one, as they may be about to go
// through it. In large failure domains, digests tell it.
func (n *Node) tunnelLoop(ctx context.Context) error {
	reachedNone := false
	for worker.Sleep(ctx, tunnelCheckInterval) {
		n.retryServers(ctx)
		if none := n.dialer.Table.ReachesNone(); none != reachedNone {
			reachedNone = none
			if !n.roster.LargeDomain(n.settings.Domain) {
				n.sendHeartbeatToAll()
			}
		}
		dead, servers := n.checkTunnels(time.Now())
		for _, c := range dead {
			n.events.Record(event.StateChange, "tunnel-closed", "through", c.Via(), "reason", "no heartbeats")
			_ = c.Close()
		}
		n.edge.ConnPool.CloseUnusable(servers)
	}
	return ctx.Err()
}

// retryServers connects to a server if none is reached: callers are not sent to this instance then, whose requests would
// find out that servers are reached again.
func (n *Node) retryServers(ctx context.Context) {
	server, nothing := n.dialer.Table.ReachesNothing(time.Now())
	if nothing != n.loggedNothing {
		n.loggedNothing = nothing
		n.events.Record(event.StateChange, "reaches-nothing", "nothing", nothing, "server", server)
	}
	if s, found := n.cluster.servers().Get(server); nothing && found {
		if err := n.probeServer(ctx, shard.Owner{Server: s.ID, Address: s.Address}); err == nil {
			n.events.Record(event.StateChange, "servers-reached", "server", s.ID)
		}
	}
}

// checkTunnels returns the open tunnels through instances that are not alive, and the servers that the others lead to.
func (n *Node) checkTunnels(now time.Time) (dead []*tunnel.Conn, servers map[string]struct{}) {
	servers = map[string]struct{}{}
	alive := map[string]bool{}
	n.tunnels.mu.Lock()
	defer n.tunnels.mu.Unlock()
	for c, server := range n.tunnels.opened {
		lives, checked := alive[c.Via()]
		if !checked {
			lives = n.roster.AliveNamed(c.Via(), now)
			alive[c.Via()] = lives
		}
		if lives {
			servers[server] = struct{}{}
		} else {
			dead = append(dead, c)
		}
	}
	return dead, servers
}

// pathSilent closes the idle connections to a server on whose path nothing comes back, and those to all servers if none
// is reached.
func (n *Node) pathSilent(server string) {
	if n.dialer.Table.ReachesNone() {
		n.edge.ConnPool.CloseIdle()
		return
	}
	n.edge.ConnPool.CloseIdleTo(server)
}

// handleTunnel answers an instance that asks for a connection to a server, and carries it until it ends.
func (n *Node) handleTunnel(ctx context.Context, w http.ResponseWriter, request *http.Request) {
	r, ok := tunnel.ParseRequest(request)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !n.registeredSender(r, request.RemoteAddr) {
		n.refuseTunnel(w, r, tunnel.Unregistered, nil)
		return
	}
	if !n.accepts(r.Server) {
		n.refuseTunnel(w, r, tunnel.UnknownServer, nil)
		return
	}
	if n.isStopping() || !n.tunnels.reserve() {
		n.refuseTunnel(w, r, tunnel.Busy, nil)
		return
	}
	defer n.tunnels.release()
	s, _ := n.cluster.servers().Get(r.Server)
	server, err := n.dialer.DialOwn(request.Context(), paths.Server{ID: s.ID, Address: s.Address})
	if err != nil {
		reason := tunnel.Unreachable
		if errors.Is(err, paths.ErrNoPath) {
			reason = tunnel.NoPath
		}
		n.refuseTunnel(w, r, reason, err)
		return
	}
	sender, err := tunnel.Accept(w)
	if err != nil {
		n.events.Record(event.StateChange, "tunnel-not-accepted", "instance", r.Instance, "server", r.Server, "error", err)
		_ = server.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = sender.Close() })
	defer stop()
	tunnel.Carry(sender, server, func() bool { return n.accepts(r.Server) })
}

// refuseTunnel refuses a tunnel and logs why.
func (n *Node) refuseTunnel(w http.ResponseWriter, r tunnel.Request, reason tunnel.Reason, err error) {
	n.events.Record(event.StateChange, "tunnel-refused", "instance", r.Instance, "server", r.Server, "reason", reason, "error", err)
	tunnel.Refuse(w, reason)
}

// registeredSender reports whether a request for a tunnel comes from a registered instance: from its address, with the
// incarnation that it has registered.
func (n *Node) registeredSender(r tunnel.Request, remoteAddress string) bool {
	p, known := n.roster.Peer(r.Instance)
	if !known || p.Incarnation != r.Incarnation {
		return false
	}
	remote, _, errRemote := net.SplitHostPort(remoteAddress)
	registered, _, errRegistered := net.SplitHostPort(p.Address)
	return errRemote == nil && errRegistered == nil && remote == registered
}

// accepts reports whether a server may get another request from this instance, as far as this instance knows.
func (n *Node) accepts(server string) bool {
	now := time.Now()
	s, found := n.cluster.servers().Get(server)
	divided := n.divided(s)
	return found && !s.Closed(divided, now) && (divided || !n.DirectoryOutdated()) && !now.Before(n.RestUntil(server))
}

// divided reports whether the service of a server is divided by key.
func (n *Node) divided(s rules.Server) bool {
	c := n.cluster.config.Load()
	return c != nil && c.Services[s.Service].Divided
}

// reserve counts a tunnel that is about to be carried, and reports whether the limit allows it.
func (t *tunnels) reserve() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved >= maxTunnels {
		return false
	}
	t.reserved++
	return true
}

// release ends the count of a tunnel.
func (t *tunnels) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved--
}

// carriedCount returns the number of tunnels that are carried for others.
func (t *tunnels) carriedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reserved
}

// openedCount returns the number of tunnels that this instance has open.
func (t *tunnels) openedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.opened)
}
