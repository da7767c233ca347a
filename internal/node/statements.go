package node

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/stated"
	"example.org/mustardring/internal/worker"
)

const (
	// tellInterval is the time between two messages about a limit or a rest. The next one makes up for one that was lost.
	tellInterval = 400 * time.Millisecond
	// limitTellTime is for how long a limit is told after it was last seen in a response.
	limitTellTime = 10 * time.Second
	// leaveTellRounds is how many times as long as tellInterval the time between two messages about a server that leaves
	// is. They go on while the server is listed.
	leaveTellRounds = 5
	// firstRetellDelay and secondRetellDelay are the delays after which a message is sent again that is not sent regularly.
	firstRetellDelay  = 40 * time.Millisecond
	secondRetellDelay = 200 * time.Millisecond
)

// observeLimit takes in the limit that a server has stated in the response to a request, or that it has stated none.
func (n *Node) observeLimit(done admit.Completion, sentAt, now time.Time) {
	limit := done.Limit
	if limit.Rate == 0 && done.Outcome != admit.Answered {
		// Only what a server answers as usual shows that it states no limit any more.
		return
	}
	if n.cluster.statements.ObserveLimit(done.Server, limit, sentAt, now) {
		n.limitChanged(done.Server, "response")
		n.tellLimit(done.Server, n.cluster.statements.RateLimit(done.Server), now)
	}
}

// handleLimit takes in the limit of a server that another instance has seen.
func (n *Node) handleLimit(m dgram.ServerLimit) {
	if n.cluster.servers().Has(m.Server) && n.cluster.statements.TellLimit(m.Server, m.Rate, time.Now()) {
		n.limitChanged(m.Server, "instance")
	}
}

// limitChanged applies and logs the change of the limit of a server, which was learned from a source.
func (n *Node) limitChanged(server, source string) {
	n.events.Record(event.StateChange, "server-limit", "server", server, "per-second", n.cluster.statements.RateLimit(server), "source", source)
	n.applyStatement(server)
}

// applyStatement applies what a server states to what requests, controllers and pools see of it.
func (n *Node) applyStatement(server string) {
	if n.cluster.servers().Has(server) {
		n.cluster.republish(server)
		n.serversChanged()
	}
}

// ObserveStatement implements edge.Cluster.
func (n *Node) ObserveStatement(server string, s stated.Statement, source stated.Source) {
	if s.Leaving {
		n.observeLeave(server, source)
	}
	if !s.RestUntil.IsZero() {
		n.observeRest(server, s.RestUntil, source)
	}
}

// RestUntil implements edge.Cluster.
func (n *Node) RestUntil(server string) time.Time { return n.cluster.statements.RestUntil(server) }

// observeRest takes in that a server wants no requests of this instance until a time. A request that went through another
// instance has reached the server from that one, which only sees bytes: the server has asked it as well.
func (n *Node) observeRest(server string, until time.Time, source stated.Source) {
	if middle, known := n.roster.Peer(source.Through); known {
		n.tellOnce([]roster.Peer{middle}, restMessage(server, until, dgram.AskedReceiver))
	}
	if !n.cluster.statements.ObserveRest(server, until) {
		return
	}
	n.events.Record(event.StateChange, "server-rests", "server", server, "rest", time.Until(until), "source", "response",
		"id", source.Request, "through", source.Through, "status", source.Status)
	n.restAsked(server, until)
}

// restAsked tells the controllers of a server that it wants no requests of this instance until a time, so that they choose
// others for it. The controller of this instance may have to decide for want of another.
func (n *Node) restAsked(server string, until time.Time) {
	n.admissions.rest("", server, until)
	n.tellOnce(n.controllersOf(server, time.Now()), restMessage(server, until, dgram.AskedSender))
}

// restMessage returns a function that returns the message at a time that a server rests.
func restMessage(server string, until time.Time, asked dgram.RestAsked) func(at time.Time) dgram.Message {
	return func(at time.Time) dgram.Message {
		return dgram.ServerRest{Server: server, RestMs: until.Sub(at).Milliseconds(), Asked: asked}
	}
}

// handleRest takes in that a server wants no requests of some instances for a time.
func (n *Node) handleRest(from netip.AddrPort, m dgram.ServerRest) {
	if !n.cluster.servers().Has(m.Server) {
		return
	}
	until := time.Now().Add(time.Duration(min(m.RestMs, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond)
	switch m.Asked {
	case dgram.AskedReceiver:
		if n.cluster.statements.ObserveRest(m.Server, until) {
			n.events.Record(event.StateChange, "server-rests", "server", m.Server, "rest", time.Until(until), "source", "instance")
			n.restAsked(m.Server, until)
		}
	case dgram.AskedSender:
		n.admissions.rest(from.String(), m.Server, until)
	case dgram.AskedAll:
		n.restForAll(m.Server, until)
	}
}

// restForAll takes in that a server wants no requests of any instance until a time.
func (n *Node) restForAll(server string, until time.Time) {
	if n.cluster.statements.ObserveRestForAll(server, until, time.Now()) {
		n.events.Record(event.StateChange, "server-rests-for-all", "server", server, "rest", time.Until(until))
		n.applyStatement(server)
	}
}

// tellRests takes in which servers rest for all instances, of those that this instance is in charge of, and tells the leader.
func (n *Node) tellRests(now time.Time) {
	for server, until := range n.admissions.restsUntil(now) {
		controllers := n.controllersOf(server, now)
		if len(controllers) > 0 && controllers[0].Name == n.settings.Name {
			n.restForAll(server, until)
			n.port.SendAll(n.otherAddresses(n.withLeader(nil, now)), restMessage(server, until, dgram.AskedAll)(now))
		}
	}
}

// observeLeave takes in that a server has said that it leaves, and tells those that may decide about its requests and keys.
func (n *Node) observeLeave(server string, source stated.Source) {
	now := time.Now()
	leaveBy := now.Add(n.cluster.drainTime)
	message := func(at time.Time) dgram.Message { return leaveMessage(server, leaveBy, at) }
	if middle, known := n.roster.Peer(source.Through); known && n.cluster.statements.HeardThrough(server, middle.Name) {
		// The server has told the instance in the middle, which only sees bytes.
		n.tellOnce([]roster.Peer{middle}, message)
	}
	before, _ := n.cluster.servers().Get(server)
	if !n.cluster.statements.ObserveLeave(server, leaveBy) {
		return
	}
	n.events.Record(event.StateChange, "server-leaves", "server", server, "leave-in", n.cluster.drainTime, "source", "response",
		"id", source.Request, "through", source.Through, "status", source.Status)
	n.applyStatement(server)
	if !before.Draining {
		// Otherwise they know it from the directory, or from another instance.
		n.tellOnce(n.withLeader(n.controllersOf(server, now), now), message)
	}
}

// handleLeave takes in that a server has told another instance that it leaves.
func (n *Node) handleLeave(m dgram.ServerLeave) {
	leaveIn := min(time.Duration(m.LeaveInMs)*time.Millisecond, n.cluster.drainTime)
	if !n.cluster.servers().Has(m.Server) || !n.cluster.statements.ObserveLeave(m.Server, time.Now().Add(leaveIn)) {
		return
	}
	n.events.Record(event.StateChange, "server-leaves", "server", m.Server, "leave-in", leaveIn, "source", "instance")
	n.applyStatement(m.Server)
}

// leaveMessage returns the message at a time that a server leaves.
func leaveMessage(server string, leaveBy, at time.Time) dgram.Message {
	return dgram.ServerLeave{Server: server, LeaveInMs: int(leaveBy.Sub(at).Milliseconds())}
}

// statementLoop tells others what servers have stated, and drops what is outdated, until the context ends.
func (n *Node) statementLoop(ctx context.Context) error {
	for round := 0; worker.Sleep(ctx, tellInterval); round++ {
		now := time.Now()
		ended := n.cluster.statements.Expire(n.cluster.servers().Has, now)
		for _, server := range ended.Limits {
			n.limitChanged(server, "expired")
		}
		for _, server := range ended.Rests {
			n.events.Record(event.StateChange, "server-rest-ended", "server", server)
		}
		for server, rate := range n.cluster.statements.SeenLimits(limitTellTime, now) {
			n.tellLimit(server, rate, now)
		}
		n.tellRests(now)
		n.logSendDelay(now)
		if round%leaveTellRounds == 0 {
			n.tellLeaves(now)
		}
	}
	return ctx.Err()
}

// logSendDelay logs that servers that leave get requests for a shorter time because this instance sends slowly, and the end of
// that.
func (n *Node) logSendDelay(now time.Time) {
	if slow := n.excessSendDelay() > 0; slow != n.sendsSlowly {
		n.sendsSlowly = slow
		n.events.Record(event.StateChange, "sends-slowly", "slow", slow, "delay", n.sendDelay.Longest(now), "reserve", drainReserve)
	}
}

// tellLimit tells the limit of a server if this instance is one of its controllers.
func (n *Node) tellLimit(server string, rate float64, now time.Time) {
	n.tellAsController(server, now, dgram.ServerLimit{Server: server, Rate: rate})
}

// tellLeaves tells which servers have said that they leave, of those that this instance is a controller of.
func (n *Node) tellLeaves(now time.Time) {
	for server, leaveBy := range n.cluster.statements.Leaves() {
		if n.cluster.servers().Has(server) {
			n.tellAsController(server, now, leaveMessage(server, leaveBy, now))
		}
	}
}

// tellAsController sends a message to those that may decide about the requests and keys of a server, if this instance is
// one of the server's controllers: the number of messages does not depend on that of the instances.
func (n *Node) tellAsController(server string, now time.Time, m dgram.Message) {
	controllers := n.controllersOf(server, now)
	if contains(controllers, n.settings.Name) {
		n.port.SendAll(n.otherAddresses(n.withLeader(controllers, now)), m)
	}
}

// tellOnce sends a message to some instances, and twice again in case it is lost. Message returns it for the time at which
// it is sent.
func (n *Node) tellOnce(receivers []roster.Peer, message func(at time.Time) dgram.Message) {
	to := n.otherAddresses(receivers)
	if len(to) == 0 {
		return
	}
	send := func() { n.port.SendAll(to, message(time.Now())) }
	send()
	time.AfterFunc(firstRetellDelay, send)
	time.AfterFunc(secondRetellDelay, send)
}

// controllersOf returns the instances that others ask to admit requests to a server.
func (n *Node) controllersOf(server string, now time.Time) []roster.Peer {
	n.admissions.mu.Lock()
	defer n.admissions.mu.Unlock()
	return n.admissions.controllersOf(server, now)
}

// withLeader returns the controllers of a server and the leader, which together decide about its requests and keys.
func (n *Node) withLeader(controllers []roster.Peer, now time.Time) []roster.Peer {
	if leader, found := n.roster.Leader(now); found && !contains(controllers, leader.Name) {
		return append(controllers, leader)
	}
	return controllers
}

// otherAddresses returns the addresses of peers but for that of this instance.
func (n *Node) otherAddresses(peers []roster.Peer) []netip.AddrPort {
	return addresses(slices.DeleteFunc(slices.Clone(peers), func(p roster.Peer) bool { return p.Name == n.settings.Name }))
}

// contains reports whether an instance is among peers.
func contains(peers []roster.Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p roster.Peer) bool { return p.Name == name })
}
