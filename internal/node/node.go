// Package node runs an instance on the users' platform: it starts the duties and joins them.
package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/holder"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// Platform is what the adapter brings.
type Platform struct {
	Store  follow.Store
	Orders holder.Orders
	Wire   edge.Wire
	// ConfigTopic, Servers and Owners are topics of the store, ConfigKey is the key of the
	// configuration.
	ConfigTopic    string
	ConfigKey string
	ServersTopic   string
	OwnersTopic    string
	// ReadyPath is the path that the balancer asks.
	ReadyPath    string
	DecodeConfig func(data []byte) (*rules.Config, error)
	// DecodeEvacuation returns the failure domain that a record of the topic of the configuration asks to evacuate, by
	// its key, false if it is about something else.
	DecodeEvacuation func(key string) (domain string, is bool)
	DecodeServer     func(id string, data []byte, readAt time.Time) (rules.Server, error)
}

// maxQueuedPeerUpdates is the number of messages with news that may wait. What does not fit is read from
// the store.
const maxQueuedPeerUpdates = 32

// Node is an instance.
type Node struct {
	settings    config.Serve
	platform    Platform
	events      *event.Log
	cluster     *clusterState
	roster      *roster.Roster
	port        *gram.Port
	admissions  *admissions
	loadTracker *loadTracker
	leases      *holder.Holder
	edge        *edge.Edge
	suspects    *edge.Suspects
	meters      *edge.Meters
	inlet       *inlet.Server
	// storeCalls counts the calls to the store by reason.
	storeCalls *expvar.Map
	// storeTimes holds how long calls to the store took that do not wait for news.
	storeTimes   *edge.Times
	incarnation  uint64
	updates      chan follow.Update
	readRequests map[string]chan struct{}
	peerUpdates  map[string]chan follow.News
	// broadcasts holds what was read of the configuration and the directory and is to be told to the others.
	broadcasts    map[string]chan follow.Update
	unreachableMu sync.Mutex
	// unreachableLoggedAt is when a keeper's silence was last logged.
	unreachableLoggedAt map[string]time.Time
	// completedMoves holds ranges that have come to their new owners and that the others are to be told of.
	completedMoves     chan gram.MovedRange
	heartbeatLeaderNow chan struct{}
	heartbeatAllNow    chan struct{}
	watches            map[string]*follow.Topic
	// storeAnsweredAt is when the store last answered this instance.
	storeAnsweredAt atomic.Int64
	lag             map[string]*lagDetector
	registered      chan struct{}
	stopping        chan struct{}
	// loggedReach is what was logged last; it belongs to the goroutine of updates.
	loggedReach storeReach
}

// storeReach is which topics of the store an instance takes for reachable.
type storeReach struct {
	owners    bool
	directory bool
}

// New returns an instance that is not started.
func New(settings config.Serve, around Platform, events *event.Log) (*Node, error) {
	port, err := gram.Listen(net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPorts[0])))
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{
		settings: settings, platform: around, events: events, port: port,
		roster: roster.New(settings.Name, settings.Domain),
		meters: edge.NewMeters(), suspects: edge.NewSuspects(), incarnation: rand.Uint64() | 1,
		unreachableLoggedAt: map[string]time.Time{}, storeCalls: new(expvar.Map).Init(), storeTimes: edge.NewTimes(),
		updates: make(chan follow.Update, 64), readRequests: map[string]chan struct{}{}, peerUpdates: map[string]chan follow.News{}, broadcasts: map[string]chan follow.Update{},
		lag: map[string]*lagDetector{}, completedMoves: make(chan gram.MovedRange, maxCompletedMoves), heartbeatLeaderNow: make(chan struct{}, 1), heartbeatAllNow: make(chan struct{}, 1), registered: make(chan struct{}), stopping: make(chan struct{}),
	}
	n.platform.Store = &instrumentedStore{Store: around.Store, calls: n.storeCalls, times: n.storeTimes, events: events}
	n.cluster = newClusterState(events, time.Duration(settings.Bounds.DrainSeconds*float64(time.Second))-drainReserve,
		evacuationTime(settings.Bounds))
	for _, topic := range []string{around.ConfigTopic, around.ServersTopic, around.OwnersTopic} {
		n.readRequests[topic] = make(chan struct{}, 1)
		n.lag[topic] = &lagDetector{}
		n.peerUpdates[topic] = make(chan follow.News, maxQueuedPeerUpdates)
	}
	for _, topic := range []string{around.ConfigTopic, around.ServersTopic} {
		n.broadcasts[topic] = make(chan follow.Update, maxQueuedBroadcasts)
	}
	n.loadTracker = newLoadTracker()
	n.admissions = newAdmissions(n)
	n.leases = holder.New(holder.Deps{
		Name: settings.Name, Domain: settings.Domain, Orders: around.Orders, Store: n.platform.Store,
		Topic: around.OwnersTopic, Incarnation: n.incarnation, Clock: clock.Boot{}, Roster: n.roster, Events: events,
		Servers: n.cluster.servers, Directory: n.cluster.snapshotVersion.Load, Services: n.cluster.dividedServices, Target: n.cluster.shortestTarget, Load: n.loadTracker.load, Powers: n.loadTracker.capacities,
		Again:        func() { n.requestRead(around.OwnersTopic) },
		DirectoryAge: func() time.Duration { return n.watches[around.ServersTopic].Age() },
		EntryTime:    entryTime(settings.EntrySeconds), ReadDirectory: func() { n.requestRead(around.ServersTopic) },
		Leading: n.leadershipChanged, Tell: n.broadcastOwnerChange, TellRegister: n.broadcastRegister, Settled: n.moveCompleted,
		Changed: n.ownersChanged, Announce: n.sendHeartbeatToLeader,
	})
	n.cluster.owners = n.leases.Owners
	n.watches = n.newWatches()
	budget := edge.NewBudget(settings.Bounds.RetryRatio,
		time.Duration(settings.Bounds.RetryWindowSeconds*float64(time.Second)),
		func() float64 { return settings.Bounds.RetrySlack / float64(max(n.instances(), 1)) }, time.Now)
	n.edge = edge.New(edge.Deps{
		Wire: around.Wire, World: n, Permits: n.admissions, Pool: edge.NewPool(n.connections), Budget: budget,
		Events: events, Meters: n.meters,
	})
	n.inlet = inlet.New(n.edge.Handle, n.limits)
	return n, nil
}

// The time after the start of a server in which its entry may be missing: a server writes it once in
// an interval, and the first time as soon as it runs. Renewals wait for it after a connection was
// lost, so that more than entryMost, half a lease, would cost the server its keys.
const (
	entryIntervalFactor = 1.1
	maxEntryTime        = 1100 * time.Millisecond
)

func entryTime(interval float64) time.Duration {
	if interval <= 0 {
		return maxEntryTime
	}
	return min(time.Duration(interval*entryIntervalFactor*float64(time.Second)), maxEntryTime)
}

// evacuationShare is the part of the time in which evacuated servers must get their last request that this instance uses:
// the rest is for what it cannot know, as how long the news of it took while the store was away.
const evacuationShare = 0.5

// evacuationTime returns how long after its evacuation is known a server may get requests. Without a bound of its own an
// evacuation is as urgent as a leaving server.
func evacuationTime(b config.Bounds) time.Duration {
	seconds := b.EvacuationSeconds * evacuationShare
	if seconds == 0 {
		seconds = b.DrainSeconds
	}
	return time.Duration(seconds*float64(time.Second)) - drainReserve
}

func (n *Node) instances() int { return n.roster.Len() }

// connectionShare is the part of a server's connections that all instances together use for
// requests. The rest is for orders, and for instances that join.
const connectionShare = 0.7

// connections returns how many connections this instance may open to a server of a service.
func (n *Node) connections(service string) int {
	c := n.cluster.config.Load()
	most := 100
	if c != nil && c.Services[service].MaxConns > 0 {
		most = c.Services[service].MaxConns
	}
	return max(int(float64(most)*connectionShare)/max(n.instances(), 1), 3)
}

func (n *Node) limits() inlet.Limits {
	c := n.cluster.config.Load()
	if c == nil {
		return inlet.DefaultLimits
	}
	return inlet.Limits(c.Limits)
}

// signalOnce wakes the reader of a channel that holds one element, unless it is to wake already.
func signalOnce(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (n *Node) requestRead(topic string) { signalOnce(n.readRequests[topic]) }

func (n *Node) sendHeartbeatToLeader() { signalOnce(n.heartbeatLeaderNow) }

func (n *Node) sendHeartbeatToAll() { signalOnce(n.heartbeatAllNow) }

// Run serves until the context ends or a signal asks to stop.
func (n *Node) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	n.events.Note(event.Belief, "start", "instance", n.settings.Name, "domain", n.settings.Domain,
		"incarnation", n.incarnation, "first-start", n.settings.FirstStart)
	// Callers that vanish are noticed by the limits on their time. Keep-alive probes would cost four
	// system calls for each connection.
	listener := net.ListenConfig{KeepAlive: -1}
	front, err := listener.Listen(ctx, "tcp4", n.settings.Front)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	duties := duty.New(ctx, 24)
	duties.Go("events", n.events.Run)
	duties.Go("port", n.port.Run)
	duties.Go("messages", n.receiveLoop)
	duties.Go("register", n.registerLoop)
	duties.Go("updates", n.updateLoop)
	for topic := range n.broadcasts {
		duties.Go("tell-"+topic, n.broadcastLoop(topic))
	}
	duties.Go("beats", n.heartbeatLoop)
	duties.Go("settled", n.broadcastMovesLoop)
	duties.Go("holder", n.leases.Run)
	duties.Go("permits", n.admissions.run)
	duties.Go("loads", n.reportLoop)
	duties.Go("ready", n.serveReady)
	duties.Go("metrics", n.serveMetrics)
	duties.Go("front", func(ctx context.Context) error { return n.inlet.Serve(ctx, front) })
	n.startWatches(duties)
	taken := 0
	for running := true; running; {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload()
				continue
			}
			n.stop(ctx, front)
			running = false
		case end := <-duties.Ends():
			taken++
			if end.Err != nil {
				n.events.Note(event.Belief, "duty-failed", "duty", end.Name, "error", end.Err)
				err = errors.Join(err, fmt.Errorf("node: duty %s: %w", end.Name, end.Err))
			}
			running = false
		}
	}
	return errors.Join(err, duties.Wait(taken))
}

// reload takes in that the settings may have changed. What can change while the process runs
// is the configuration, which does not stand in the settings.
func (n *Node) reload() {
	n.events.Note(event.Belief, "reload", "instance", n.settings.Name)
}

func (n *Node) entry(ended bool) roster.Entry {
	return roster.Entry{
		Address: net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPorts[0])), Domain: n.settings.Domain,
		Incarnation: n.incarnation, Share: n.cpuShare(), Ended: ended,
	}
}

func (n *Node) appendEntry(ctx context.Context, ended bool) error {
	value, err := n.entry(ended).Encode()
	if err != nil {
		return err
	}
	_, err = n.platform.Store.Append(ctx, n.platform.OwnersTopic, holder.InstanceKey(n.settings.Name), value, -1)
	return err
}

// fullLinkMbps is the speed of a link, in Mbit/s, from which on it does not bind what an instance can do for
// others.
const fullLinkMbps = 100

func (n *Node) cpuShare() float64 {
	return n.settings.CPUShare * min(1, n.settings.LinkMbps/fullLinkMbps)
}

func peerAddress(p roster.Peer) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(p.Address)
	return a, err == nil
}
