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
	Orders holder.LeaseClient
	Wire   edge.HeaderCodec
	// ConfigTopic, Servers and Owners are topics of the store, ConfigKey is the key of the
	// configuration.
	ConfigTopic  string
	ConfigKey    string
	ServersTopic string
	OwnersTopic  string
	// ReadyPath is the path that the balancer asks.
	ReadyPath    string
	DecodeConfig func(data []byte) (*rules.Config, error)
	// DecodeEvacuation returns the failure domain that a record of the topic of the configuration asks to evacuate, by
	// its key, false if it is about something else.
	DecodeEvacuation func(key string) (domain string, is bool)
	DecodeServer     func(id string, data []byte, readAt time.Time) (rules.Server, error)
}

// newsMost is the number of messages with news that may wait. What does not fit is read from
// the store.
const newsMost = 32

// Node is an instance.
type Node struct {
	settings config.Serve
	around   Platform
	events   *event.Log
	world    *world
	roster   *roster.Roster
	port     *gram.Port
	permits  *permits
	loads    *loads
	holder   *holder.Manager
	edge     *edge.Edge
	suspects *edge.CrashTracker
	meters   *edge.Meters
	inlet    *inlet.Server
	// calls counts the calls to the store by reason.
	calls *expvar.Map
	// times holds how long calls to the store took that do not wait for news.
	times       *edge.LatencyHistograms
	incarnation uint64
	updates     chan follow.Update
	again       map[string]chan struct{}
	news        map[string]chan follow.PeerUpdate
	// told holds what was read of the configuration and the directory and is to be told to the others.
	told     map[string]chan follow.Update
	silentMu sync.Mutex
	// silentAt is when a keeper's silence was last logged.
	silentAt map[string]time.Time
	// settled holds ranges that have come to their new owners and that the others are to be told of.
	settled chan gram.SettledRange
	beatNow chan struct{}
	beatAll chan struct{}
	topics  map[string]*follow.Watch
	// provenAt is when the store last answered this instance.
	provenAt   atomic.Int64
	behind     map[string]*behind
	registered chan struct{}
	stopping   chan struct{}
	// reachNoted is what was logged last; it belongs to the goroutine of updates.
	reachNoted reach
}

// reach is which topics of the store an instance takes for reachable.
type reach struct {
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
		settings: settings, around: around, events: events, port: port,
		roster: roster.New(settings.Name, settings.Domain),
		meters: edge.NewMeters(), suspects: edge.NewCrashTracker(), incarnation: rand.Uint64() | 1,
		silentAt: map[string]time.Time{}, calls: new(expvar.Map).Init(), times: edge.NewLatencyHistograms(),
		updates: make(chan follow.Update, 64), again: map[string]chan struct{}{}, news: map[string]chan follow.PeerUpdate{}, told: map[string]chan follow.Update{},
		behind: map[string]*behind{}, settled: make(chan gram.SettledRange, settledMost), beatNow: make(chan struct{}, 1), beatAll: make(chan struct{}, 1), registered: make(chan struct{}), stopping: make(chan struct{}),
	}
	n.around.Store = &countedStore{Store: around.Store, calls: n.calls, times: n.times, events: events}
	n.world = newWorld(events, time.Duration(settings.Bounds.DrainSeconds*float64(time.Second))-drainReserve,
		evacuateTime(settings.Bounds))
	for _, topic := range []string{around.ConfigTopic, around.ServersTopic, around.OwnersTopic} {
		n.again[topic] = make(chan struct{}, 1)
		n.behind[topic] = &behind{}
		n.news[topic] = make(chan follow.PeerUpdate, newsMost)
	}
	for _, topic := range []string{around.ConfigTopic, around.ServersTopic} {
		n.told[topic] = make(chan follow.Update, toldMost)
	}
	n.loads = newLoads()
	n.permits = newPermits(n)
	n.holder = holder.New(holder.Deps{
		Name: settings.Name, Domain: settings.Domain, LeaseClient: around.Orders, Store: n.around.Store,
		Topic: around.OwnersTopic, Incarnation: n.incarnation, Clock: clock.Boot{}, Roster: n.roster, Events: events,
		Servers: n.world.servers, DirectoryVersion: n.world.published.Load, Services: n.world.divided, TargetLatency: n.world.target, Load: n.loads.load, Capacities: n.loads.powers,
		RereadOwners: func() { n.readAgain(around.OwnersTopic) },
		DirectoryAge: func() time.Duration { return n.topics[around.ServersTopic].Age() },
		EntryDelay:   entryTime(settings.EntrySeconds), ReadDirectory: func() { n.readAgain(around.ServersTopic) },
		LeadershipChanged: n.leading, BroadcastOwners: n.tellOwners, BroadcastRegister: n.tellRegister, MoveCompleted: n.settledHere,
		OwnersChanged: n.ownersChanged, SendHeartbeat: n.announce,
	})
	n.world.owners = n.holder.View
	n.topics = n.newTopics()
	budget := edge.NewRetryBudget(settings.Bounds.RetryRatio,
		time.Duration(settings.Bounds.RetryWindowSeconds*float64(time.Second)),
		func() float64 { return settings.Bounds.RetrySlack / float64(max(n.instances(), 1)) }, time.Now)
	n.edge = edge.New(edge.Deps{
		Codec: around.Wire, Cluster: n, Admitter: n.permits, ConnPool: edge.NewConnPool(n.connections), RetryBudget: budget,
		Events: events, Meters: n.meters,
	})
	n.inlet = inlet.New(n.edge.Handle, n.limits)
	return n, nil
}

// The time after the start of a server in which its entry may be missing: a server writes it once in
// an interval, and the first time as soon as it runs. Renewals wait for it after a connection was
// lost, so that more than entryMost, half a lease, would cost the server its keys.
const (
	entrySlack = 1.1
	entryMost  = 1100 * time.Millisecond
)

func entryTime(interval float64) time.Duration {
	if interval <= 0 {
		return entryMost
	}
	return min(time.Duration(interval*entrySlack*float64(time.Second)), entryMost)
}

// evacuationShare is the part of the time in which evacuated servers must get their last request that this instance uses:
// the rest is for what it cannot know, as how long the news of it took while the store was away.
const evacuationShare = 0.5

// evacuateTime returns how long after its evacuation is known a server may get requests. Without a bound of its own an
// evacuation is as urgent as a leaving server.
func evacuateTime(b config.Bounds) time.Duration {
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
	c := n.world.config.Load()
	most := 100
	if c != nil && c.Services[service].MaxConns > 0 {
		most = c.Services[service].MaxConns
	}
	return max(int(float64(most)*connectionShare)/max(n.instances(), 1), 3)
}

func (n *Node) limits() inlet.Limits {
	c := n.world.config.Load()
	if c == nil {
		return inlet.DefaultLimits
	}
	return inlet.Limits(c.Limits)
}

// notify wakes the reader of a channel that holds one element, unless it is to wake already.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (n *Node) readAgain(topic string) { notify(n.again[topic]) }

func (n *Node) announce() { notify(n.beatNow) }

func (n *Node) announceToAll() { notify(n.beatAll) }

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
	duties.Go("messages", n.receive)
	duties.Go("register", n.register)
	duties.Go("updates", n.update)
	for topic := range n.told {
		duties.Go("tell-"+topic, n.tellUpdates(topic))
	}
	duties.Go("beats", n.beat)
	duties.Go("settled", n.tellSettled)
	duties.Go("holder", n.holder.Run)
	duties.Go("permits", n.permits.run)
	duties.Go("loads", n.report)
	duties.Go("ready", n.serveReady)
	duties.Go("metrics", n.serveMetrics)
	duties.Go("front", func(ctx context.Context) error { return n.inlet.Serve(ctx, front) })
	n.follow(duties)
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
		Incarnation: n.incarnation, Share: n.share(), Ended: ended,
	}
}

func (n *Node) putRecord(ctx context.Context, ended bool) error {
	value, err := n.entry(ended).Encode()
	if err != nil {
		return err
	}
	_, err = n.around.Store.Append(ctx, n.around.OwnersTopic, holder.InstanceKey(n.settings.Name), value, -1)
	return err
}

// fullLink is the speed of a link, in Mbit/s, from which on it does not bind what an instance can do for
// others.
const fullLink = 100

func (n *Node) share() float64 {
	return n.settings.CPUShare * min(1, n.settings.LinkMbps/fullLink)
}

func address(p roster.Peer) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(p.Address)
	return a, err == nil
}
