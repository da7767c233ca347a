package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/upstr"
)

const (
	// peerConnIdleTimeout is longer than the time between two requests of one instance through another, in systems of up to
	// a hundred instances. No instance closes idle connections of others.
	peerConnIdleTimeout = 30 * time.Second
	// maxPeerConns is the number of connections to one peer, maxCarryPeers that of peers to which connections are kept. A
	// connection takes 40 KB of memory, at both ends together.
	maxPeerConns  = 32
	maxCarryPeers = 256
	// unknownPathTime is for how long a peer that does not know the path is given up, giveUpTime the same for one that
	// stops, is not reached, or has lost a request.
	unknownPathTime = 30 * time.Second
	giveUpTime      = 3 * time.Second
)

// The errors of a request for which its peer is given up for a time.
var (
	errUnknownPath     = errors.New("node: peer sends no requests for others")
	errPeerStops       = errors.New("node: peer is stopping")
	errPeerUnreachable = errors.New("node: peer is not reached")
	errPeerLost        = errors.New("node: no complete answer of the peer")
)

// giveUps holds for how long a peer is given up, by the reason.
var giveUps = map[error]time.Duration{
	errUnknownPath: unknownPathTime, errPeerStops: giveUpTime, errPeerUnreachable: giveUpTime, errPeerLost: giveUpTime,
}

// errNoCarrier is the error of a request that cannot go through a peer.
var errNoCarrier = fmt.Errorf("%w: no instance to go through", upstr.ErrNotSent)

// carrier sends requests over the connections of the instances that admitted them. It implements edge.Carrier.
type carrier struct {
	node *Node
	// counts holds the number of requests by result.
	counts *expvar.Map

	mu    sync.Mutex
	peers map[string]*carryPeer
}

// carryPeer holds the connections to one incarnation of an instance.
type carryPeer struct {
	*upstr.Client
	roster.Peer
	// givenUp is why no request goes through the peer until resumeAt. It is kept until a request has gone through again,
	// and nil after that.
	givenUp  error
	resumeAt time.Time
}

func newCarrier(n *Node) *carrier {
	return &carrier{node: n, counts: new(expvar.Map).Init(), peers: map[string]*carryPeer{}}
}

// peerConns opens connections to instances. It implements upstr.Dialer.
type peerConns struct{}

// DialServer implements upstr.Dialer.
func (peerConns) DialServer(ctx context.Context, _, address string) (net.Conn, error) {
	return newPeerDialer().DialContext(ctx, "tcp4", address)
}

// Answered implements upstr.Dialer.
func (peerConns) Answered(net.Conn) {}

// Carry implements edge.Carrier.
func (c *carrier) Carry(o edge.Carriage) (*http.Response, string, error) {
	p := c.peerFor(o, time.Now())
	if p == nil {
		return nil, "", errNoCarrier
	}
	response, err := c.exchange(p, o)
	if !errors.Is(context.Cause(o.Request.Context()), context.Canceled) {
		c.record(p, err, time.Now())
	}
	return response, p.Name, err
}

// peerFor returns the instance that admitted a request, nil if the request cannot go through it: it is this one, does not
// run as usual, or one of the two has no path of its own to the server.
func (c *carrier) peerFor(o edge.Carriage, now time.Time) *carryPeer {
	granted, ok := o.Admission.(*admission)
	if !ok || granted.controllerName == "" || !c.node.dialer.Table.HasOwnPath(o.Server.ID) {
		return nil
	}
	p, known := c.node.roster.Peer(granted.controllerName)
	if !known || !c.node.roster.AliveNamed(p.Name, now) || p.Heartbeat.Stopping || p.Heartbeat.ReachesNone() ||
		slices.Contains(p.Heartbeat.Failing, o.Server.ID) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.peers[p.Name]
	if current == nil || current.Incarnation != p.Incarnation || current.Address != p.Address {
		if current = c.replace(current, p); current == nil {
			return nil
		}
	}
	if now.Before(current.resumeAt) {
		return nil
	}
	return current
}

// replace returns a peer that takes the place of an earlier incarnation, which may be nil. It returns nil if connections to
// as many peers as possible are in use. The lock is held.
func (c *carrier) replace(old *carryPeer, p roster.Peer) *carryPeer {
	next := &carryPeer{Peer: p}
	switch {
	case old != nil:
		old.Close()
		next.givenUp = old.givenUp
	case len(c.peers) >= maxCarryPeers:
		for name, other := range c.peers {
			if other.OpenConns() == 0 {
				delete(c.peers, name)
			}
		}
		if len(c.peers) >= maxCarryPeers {
			return nil
		}
	}
	next.Client = upstr.NewClient(upstr.Settings{
		// A client may open a third of Settings.MaxConns.
		Name: p.Name, Address: p.Address, MaxConns: 3 * maxPeerConns, IdleTimeout: peerConnIdleTimeout, SilenceTimeout: time.Minute,
		NoDeathMonitor: true, CancelByFullClose: true, UserTimeout: peerUserTimeout, Dialer: peerConns{},
	})
	c.peers[p.Name] = next
	return next
}

// exchange sends a request to a peer and returns the response of the server.
func (c *carrier) exchange(p *carryPeer, o edge.Carriage) (*http.Response, error) {
	var inner bytes.Buffer
	errInner := o.Request.Write(&inner)
	outer, errOuter := http.NewRequestWithContext(o.Request.Context(), http.MethodPost, "http://"+p.Address+pathRequests, &inner)
	if err := errors.Join(errInner, errOuter); err != nil {
		return nil, fmt.Errorf("%w: %w", upstr.ErrNotSent, err)
	}
	outer.Header = http.Header{
		"User-Agent": {""}, headerServer: {o.Server.ID}, headerAddress: {o.Server.Address}, headerInstance: {c.node.settings.Name},
		headerIncarnation: {strconv.FormatUint(c.node.incarnation, 10)},
	}
	connected := false
	response, err := p.Send(outer, upstr.SendOptions{
		Deadline: o.Deadline, InMemory: true, Done: func(bool) {},
		BeforeWrite: func(upstr.Sending) error {
			connected = true
			outer.Header.Set(headerLeft, strconv.FormatInt(time.Until(o.Deadline).Milliseconds(), 10))
			return o.BeforeWrite()
		},
	})
	if errors.Is(err, upstr.ErrNotSent) && !connected && !errors.Is(err, upstr.ErrConnLimit) {
		return nil, fmt.Errorf("%w: %w", errPeerUnreachable, err)
	}
	if err != nil {
		return nil, lostPeer(err)
	}
	defer response.Body.Close()
	data, err := c.node.replyMemory.ReadAll(response.Body, response.ContentLength)
	if err != nil {
		return nil, lostPeer(err)
	}
	return decodeCarried(response, data, o.Request)
}

// lostPeer returns the error for one of a connection to a peer. The loss of that connection says nothing about the server,
// so that the result does not wrap upstr.ErrLost.
func lostPeer(err error) error {
	if !errors.Is(err, upstr.ErrLost) {
		return err
	}
	return fmt.Errorf("%w: %w: %s", upstr.ErrInDoubt, errPeerLost, err.Error())
}

// record counts the result of a request that was to go through a peer, and gives the peer up or takes it back.
func (c *carrier) record(p *carryPeer, err error, now time.Time) {
	result := "lost"
	if err == nil {
		result = "sent"
	} else if errors.Is(err, upstr.ErrNotSent) {
		result = "not-sent"
	}
	c.counts.Add(result, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	for reason, pause := range giveUps {
		if !errors.Is(err, reason) {
			continue
		}
		if !errors.Is(p.givenUp, reason) {
			c.node.events.Record(event.StateChange, "carrier-given-up", "instance", p.Name, "reason", reason, "for", pause, "error", err)
		}
		p.givenUp, p.resumeAt = reason, now.Add(pause)
		return
	}
	if err == nil && p.givenUp != nil {
		c.node.events.Record(event.StateChange, "carrier-regained", "instance", p.Name, "reason", p.givenUp)
		p.givenUp = nil
	}
}

// spareConns is how many connections the instance in charge of a server may have beyond one for each slot. Up to as many
// requests wait for a slot at the server.
const spareConns = 2

// extraConnections returns how many connections the instance in charge of a server may open to it beyond its part of
// maxConns: one for each slot and spareConns, or none if the sum over all instances might then exceed maxConns.
//
// The sum is that of the parts of all instances and of what two of them may have in addition, as two may take themselves for
// the one in charge. Each part counts twice: half of the instances may be cut off and removed from the register, unknown to
// those that are left but with their connections open. Their parts are not larger, as they know of more instances.
func extraConnections(maxConns, instances, slots int) int {
	own := upstr.OwnConns(ownConnections(maxConns, instances), slots)
	extra := slots + spareConns
	if 2*instances*own+2*extra > maxConns {
		return 0
	}
	return extra
}

// decodeCarried returns the response of a server to a request, or the error, given the answer of a peer with its content.
func decodeCarried(answer *http.Response, data []byte, r *http.Request) (*http.Response, error) {
	reason := answer.Header.Get(headerReason)
	switch answer.Header.Get(headerOutcome) {
	case outcomeSent:
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), r)
		if err != nil {
			return nil, fmt.Errorf("%w: malformed answer of a peer: %w", upstr.ErrInDoubt, err)
		}
		return response, nil
	case outcomeNotSent:
		if reason == reasonStopping {
			return nil, fmt.Errorf("%w: %w", upstr.ErrNotSent, errPeerStops)
		}
		return nil, fmt.Errorf("%w by a peer: %s", upstr.ErrNotSent, reason)
	case outcomeInDoubt:
		if cause := inDoubtReasons[reason]; cause != nil {
			return nil, fmt.Errorf("%w at a peer: %w", upstr.ErrInDoubt, cause)
		}
		return nil, fmt.Errorf("%w at a peer: %s", upstr.ErrInDoubt, reason)
	}
	if answer.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%w: %w", upstr.ErrNotSent, errUnknownPath)
	}
	return nil, fmt.Errorf("%w: peer answered with status %d", upstr.ErrInDoubt, answer.StatusCode)
}
