// Package node runs an instance: it connects the parts of the system to each other, to the other instances and to
// the platform, and runs their goroutines.
package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
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
	"example.org/mustardring/internal/delay"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/join"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/paths"
	"example.org/mustardring/internal/retry"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/stated"
	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/internal/worker"
)

// Platform is what the adapter of a platform provides: the calls to outside systems and the decoders of their data.
type Platform struct {
	Store       follow.Store
	LeaseClient lease.Client
	// DialServer connects to a backend server.
	DialServer upstr.DialFunc
	Codec      edge.HeaderCodec
	// Delay measures how long what this instance sends takes. Store may allow for it in its limits of time. Nil means that only
	// the Node uses one.
	Delay *delay.Gauge
	// ConfigTopic, ServersTopic and OwnersTopic are topics of the store: the configuration and the evacuations of the
	// operators, the directory of servers, and the owners with the register of instances. ConfigKey is the key of
	// the configuration in its topic.
	ConfigTopic  string
	ConfigKey    string
	ServersTopic string
	OwnersTopic  string
	// ReadyPath is the path of the readiness check of the load balancer.
	ReadyPath    string
	DecodeConfig func(data []byte) (*rules.Config, error)
	// DecodeEvacuation returns the failure domain that a record of ConfigTopic asks to evacuate, given the key of the
	// record, or false if the record is about something else.
	DecodeEvacuation func(key string) (domain string, ok bool)
	// DecodeServer returns the server that an entry of the directory states, given the key of the entry.
	DecodeServer func(id string, data []byte, readAt time.Time) (rules.Server, error)
}

// maxQueuedUpdates is the number of updates of a topic that may be queued until they are applied.
const maxQueuedUpdates = 16

// maxQueuedPeerUpdates is the number of updates of peers that may be queued per topic. What does not fit is dropped
// and read from the store later.
const maxQueuedPeerUpdates = 32

// Node is an instance: one process of the system. It also implements the interface through which the edge sees the
// cluster.
type Node struct {
	settings   config.Serve
	platform   Platform
	events     *event.Log
	cluster    *clusterState
	roster     *roster.Roster
	port       *dgram.Port
	admissions *admissions
	dialer     *paths.Dialer
	tunnels    tunnels
	carrier    *carrier
	// carried is the number of requests of other instances that this one is sending to servers.
	carried atomic.Int64
	// loggedNothing is whether it was logged last that no server is reached. Only tunnelLoop uses it.
	loggedNothing bool
	loadTracker   *loadTracker
	leases        *lease.Manager
	edge          *edge.Edge
	suspects      *edge.CrashTracker
	meters        *edge.Meters
	inlet         *inlet.Server
	// callerConns counts the connections of callers that have ended, by reason, and the replies that may not have arrived.
	callerConns *expvar.Map
	bodyMemory  *inlet.Memory
	replyMemory *edge.ReplyMemory
	// storeCalls counts appends by topic and kind of record, and reads by topic and reason.
	storeCalls *expvar.Map
	// storeTimes records the latencies of calls to the store, except for reads that wait for new records.
	storeTimes *edge.LatencyHistograms
	// incarnation is drawn at random at each start of the process, which was at startedAt, and at startedInstant by the lease clock.
	incarnation    uint64
	startedAt      time.Time
	startedInstant clock.Instant
	// updates takes, by topic, the updates of the watches. readRequests, by topic, asks a watch for a read at once;
	// peerUpdates, by topic, passes it what peers have read.
	updates      map[string]chan follow.Update
	readRequests map[string]chan struct{}
	peerUpdates  map[string]chan follow.PeerUpdate
	// broadcasts takes, by topic, the updates of the configuration and the directory that are to be broadcast.
	broadcasts map[string]chan follow.Update
	// unreachableMu guards unreachableLoggedAt, which holds, by instance, when it was last logged that this controller
	// does not answer.
	unreachableMu       sync.Mutex
	unreachableLoggedAt map[string]time.Time
	// completedMoves takes the ranges whose completed moves are to be broadcast.
	completedMoves chan dgram.MovedRange
	// heartbeatLeaderNow and heartbeatAllNow ask for a heartbeat at once.
	heartbeatLeaderNow chan struct{}
	heartbeatAllNow    chan struct{}
	// newestConfig is the newest configuration that is known. Only the worker that applies ConfigTopic uses it.
	newestConfig configRecord
	// viewRequests holds the instance whose view viewLoop gets next.
	viewRequests chan string
	watches      map[string]*follow.Watch
	// storeAnsweredAt is when the store last answered a read of this instance, by the lease clock; zero for never.
	storeAnsweredAt atomic.Int64
	// lag holds the detectors of peers that know more, by topic.
	lag map[string]*lagDetector
	// stopping is closed when the instance begins to stop.
	stopping chan struct{}
	// topics holds copies of the configuration and the directory for peers, ownersCopy the encoded owners. topicCalls
	// holds an element for each peer that waits for a topic.
	topics     map[string]*topicCopy
	ownersCopy ownersCopy
	topicCalls chan struct{}
	peerClient *http.Client
	// peersAhead holds, by topic, the name of the last peer that knew more for too long.
	peersAhead sync.Map
	// heard holds the instances from which this one can get topics before it knows the register. topicsKnown is set
	// once all topics are known.
	heard       *heardPeers
	topicsKnown atomic.Bool
	// joined is closed once start is set.
	joined chan struct{}
	start  start
	// starters is the number of instances that start together with this one, as far as seeds have told.
	starters atomic.Int64
	// joinMu guards joinBook, which holds the starting instances if this one is a seed.
	joinMu   sync.Mutex
	joinBook *join.Book
	// placeMu guards currentPlace, which was computed at placedAt for placedAmong registered instances.
	placeMu      sync.Mutex
	currentPlace join.Place
	placedAt     time.Time
	placedAmong  int
	// loggedReach is what was logged last, sizeLogged says that the number of instances was. Only checkLoop uses them.
	loggedReach storeReach
	sizeLogged  bool
	// configEnd is the latest end of the topic of the configuration that another instance knows.
	configEnd atomic.Int64
	// overdue tells since when news of the directory are missing.
	overdue overdueNews
	// sendDelay measures how long what this instance sends takes to arrive. sendsSlowly says that the last change that
	// was logged was an excess over drainReserve; only statementLoop uses it.
	sendDelay   *delay.Gauge
	sendsSlowly bool
	// plans holds the shard.Report of the last plan of each service that this instance made as the leader.
	plans sync.Map
	// workReportedAt holds, by service, when the last ServerReport was sent. Only reportSpeedsLoop uses it.
	workReportedAt map[string]time.Time
}

// storeReach states for which topics the last calls to the store succeeded.
type storeReach struct {
	owners    bool
	directory bool
}

// New returns an instance that listens for messages of its peers but is not started yet; see Run.
func New(settings config.Serve, platform Platform, events *event.Log) (*Node, error) {
	port, err := dgram.Listen(net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPorts[0])))
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{
		settings: settings, platform: platform, events: events, port: port,
		roster: roster.New(settings.Name, settings.Domain),
		meters: edge.NewMeters(), suspects: edge.NewCrashTracker(), incarnation: rand.Uint64() | 1, startedAt: time.Now(), startedInstant: clock.Boot{}.Now(),
		unreachableLoggedAt: map[string]time.Time{}, workReportedAt: map[string]time.Time{}, storeCalls: new(expvar.Map).Init(), storeTimes: edge.NewLatencyHistograms(),
		updates: map[string]chan follow.Update{}, readRequests: map[string]chan struct{}{}, peerUpdates: map[string]chan follow.PeerUpdate{}, broadcasts: map[string]chan follow.Update{},
		lag: map[string]*lagDetector{}, completedMoves: make(chan dgram.MovedRange, maxCompletedMoves), heartbeatLeaderNow: make(chan struct{}, 1), heartbeatAllNow: make(chan struct{}, 1), viewRequests: make(chan string, 1), stopping: make(chan struct{}),
		topics: map[string]*topicCopy{}, topicCalls: make(chan struct{}, maxTopicCalls), sendDelay: platform.Delay, joined: make(chan struct{}), heard: newHeardPeers(),
	}
	if n.sendDelay == nil {
		n.sendDelay = &delay.Gauge{}
	}
	n.peerClient = newPeerClient(n.dialPeer)
	n.platform.Store = &instrumentedStore{Store: platform.Store, calls: n.storeCalls, times: n.storeTimes, events: events}
	n.cluster = newClusterState(events, time.Duration(settings.Bounds.DrainSeconds*float64(time.Second))-drainReserve,
		evacuationTime(settings.Bounds))
	for _, topic := range []string{platform.ConfigTopic, platform.ServersTopic, platform.OwnersTopic} {
		n.updates[topic] = make(chan follow.Update, maxQueuedUpdates)
		n.readRequests[topic] = make(chan struct{}, 1)
		n.lag[topic] = &lagDetector{}
		n.peerUpdates[topic] = make(chan follow.PeerUpdate, maxQueuedPeerUpdates)
	}
	n.joinBook = join.NewBook(n.entry(false).Address)
	for _, topic := range []string{platform.ConfigTopic, platform.ServersTopic} {
		n.topics[topic] = newTopicCopy()
		n.broadcasts[topic] = make(chan follow.Update, maxQueuedBroadcasts)
	}
	n.loadTracker = newLoadTracker(settings.Overload.SpeedRanges)
	n.admissions = newAdmissions(n)
	n.leases = lease.New(lease.Deps{
		Name: settings.Name, Domain: settings.Domain, LeaseClient: platform.LeaseClient, Store: n.platform.Store,
		Topic: platform.OwnersTopic, Incarnation: n.incarnation, Clock: clock.Boot{}, Roster: n.roster, Events: events,
		ServerLeaves: func(server string) { n.observeLeave(server, stated.Source{}) },
		Servers:      n.cluster.servers, DirectoryVersion: n.cluster.snapshotVersion.Load, Services: n.cluster.dividedServices, TargetLatency: n.cluster.shortestTarget, Load: n.loadTracker.load, Capacities: n.loadTracker.capacities,
		SpeedRanges: settings.Overload.SpeedRanges, RejectRates: n.loadTracker.rejectRates, Work: n.loadTracker.workTimes,
		Planned: func(service string, r shard.Report) { n.plans.Store(service, r) },
		Probe:   n.probeServer, RereadOwners: func() { n.requestRead(platform.OwnersTopic) },
		ExcessSendDelay: n.excessSendDelay,
		DirectoryAge:    func() time.Duration { return n.watches[platform.ServersTopic].Age() },
		EntryDelay:      entryTime(settings.EntrySeconds), ReadDirectory: n.requireDirectory, QueryIncarnation: n.queryIncarnation,
		LeadershipChanged: n.leadershipChanged, BroadcastOwners: n.broadcastOwnerChange, BroadcastRegister: n.broadcastRegister, MoveCompleted: n.moveCompleted,
		FetchView: n.requestView, EraChanged: n.sendHeartbeatToAll, OwnersChanged: n.ownersChanged, SendHeartbeat: n.sendHeartbeatToLeader,
	})
	n.cluster.owners = n.leases.View
	n.watches = n.newWatches()
	n.tunnels.opened = map[*tunnel.Conn]string{}
	n.dialer = n.newDialer()
	budget := retry.NewBudget(settings.Bounds.RetryRatio,
		time.Duration(settings.Bounds.RetryWindowSeconds*float64(time.Second)),
		func() (float64, bool) { return n.shareOf(settings.Bounds.RetrySlack) }, time.Now)
	n.replyMemory = edge.NewReplyMemory(replyMemory(settings))
	deps := edge.Deps{
		Codec: platform.Codec, Cluster: n, Admitter: n.admissions, ConnPool: edge.NewConnPool(n.connections, n.dialer), ReplyMemory: n.replyMemory, RetryBudget: budget,
		Events: events, Meters: n.meters, Identity: identityOf(settings.Overload), CallerNames: callerNames(settings.Overload),
		RepeatRejected: settings.Overload.RepeatRejected,
	}
	n.carrier = newCarrier(n)
	if settings.Overload.ShareConnections {
		deps.Carrier, deps.ConnPool.Extra = n.carrier, n.extraConnections
	}
	n.edge = edge.New(deps)
	n.callerConns = new(expvar.Map).Init()
	n.bodyMemory = inlet.NewMemory(bodyMemory(settings), inlet.MemoryDeps{Rejected: n.recordBodyRejection})
	n.inlet = inlet.New(n.edge.Handle, n.limits, n.bodyMemory)
	n.inlet.Refused = n.recordRefusal
	n.inlet.Ended = n.recordCallerConn
	return n, nil
}

// entryIntervalFactor and maxEntryTime determine how long after the start of a server its entry in the directory may be
// missing. A server writes its entry as soon as it runs and then once per interval. After a lost connection, renewals
// wait for the entry: more than maxEntryTime, half a lease, would cost the server its keys.
const (
	entryIntervalFactor = 1.1
	maxEntryTime        = 1100 * time.Millisecond
)

// entryTime returns how long an entry may be missing, given the interval in seconds at which servers write theirs, zero
// if that is not known.
func entryTime(interval float64) time.Duration {
	if interval <= 0 {
		return maxEntryTime
	}
	return min(time.Duration(interval*entryIntervalFactor*float64(time.Second)), maxEntryTime)
}

// evacuationShare is the part of the time limit of an evacuation after which this instance sends no more requests. The
// rest covers delays that it cannot know, such as how long the record took to arrive during an outage of the store.
const evacuationShare = 0.5

// evacuationTime returns for how long servers may get requests after their evacuation is known. If the settings have no
// limit for evacuations, that for draining servers applies.
func evacuationTime(b config.Bounds) time.Duration {
	seconds := b.EvacuationSeconds * evacuationShare
	if seconds == 0 {
		seconds = b.DrainSeconds
	}
	return time.Duration(seconds*float64(time.Second)) - drainReserve
}

// connectionShare is the part of the connections of a server that all instances together use for requests. The rest is
// for grants and releases of leases, and for instances that join.
const connectionShare = 0.7

// minConnections is the number of connections that each instance may open to a server in a system of any size.
const minConnections = 3

// connections returns how many connections this instance may open to each server of a service.
func (n *Node) connections(service string) int {
	size, known := n.roster.Size().(roster.Known)
	if !known {
		return minConnections
	}
	return ownConnections(n.maxConnections(service), size.Instances)
}

// ownConnections returns the part of maxConns connections that one of some instances may use.
func ownConnections(maxConns, instances int) int {
	share := math.Floor(float64(maxConns)*connectionShare) / float64(instances)
	return max(int(share), minConnections)
}

// defaultMaxConnections is the number of connections that a server accepts if its service does not state it.
const defaultMaxConnections = 100

// maxConnections returns how many connections a server of a service accepts from all instances together.
func (n *Node) maxConnections(service string) int {
	if c := n.cluster.config.Load(); c != nil && c.Services[service].MaxConns > 0 {
		return c.Services[service].MaxConns
	}
	return defaultMaxConnections
}

// extraConnections returns how many connections this instance may open to a server in addition because it is in charge of it.
func (n *Node) extraConnections(s rules.Server) int {
	size, known := n.roster.Size().(roster.Known)
	if !known || n.roster.First(s.ID, s.Domain, time.Now()) != n.settings.Name {
		return 0
	}
	return extraConnections(n.maxConnections(s.Service), size.Instances, s.Slots)
}

// limits returns the limits of the configuration on requests of callers, or the defaults before it is known.
func (n *Node) limits() inlet.Limits {
	c := n.cluster.config.Load()
	if c == nil {
		return inlet.DefaultLimits
	}
	return inlet.Limits(c.Limits)
}

// recordBodyRejection logs a request that was rejected because its body did not fit into the memory for bodies.
func (n *Node) recordBodyRejection(r inlet.BodyRejection) {
	info := n.platform.Codec.DecodeRequest(r.Request.Header)
	n.events.Record(event.Failure, "body-rejected", "id", info.ID, "status", http.StatusServiceUnavailable, "host", r.Request.Host,
		"path", r.Request.URL.Path, "length", r.Length, "read", r.Read, "held", r.Held, "limit", r.Limit, "retry-after", r.RetryAfter)
}

// recordRefusal logs a request that could not be read.
func (n *Node) recordRefusal(r inlet.Refusal) {
	var id string
	if r.Request != nil {
		id = n.platform.Codec.DecodeRequest(r.Request.Header).ID
	}
	n.events.Record(event.Failure, "unread", "id", id, "status", r.Status, "pending", r.Pending, "error", r.Err)
}

// recordCallerConn counts the end of a connection of a caller, and logs it if the caller may lack a reply that was ready.
func (n *Node) recordCallerConn(e inlet.End) {
	n.callerConns.Add(string(e.Reason), 1)
	if !e.Notable() {
		return
	}
	n.callerConns.Add("replies-unwritten", int64(len(e.UnwrittenIDs)))
	n.callerConns.Add("replies-unacknowledged", int64(len(e.UnackedIDs)))
	n.events.Record(event.Failure, "caller-conn", "why", e.Reason, "unwritten", e.UnwrittenIDs, "unacknowledged", e.UnackedIDs,
		"replies", e.Replies, "written", e.Written, "unacked-bytes", e.Unacked, "unread-bytes", e.Unread, "waited", e.Waited,
		"stopping", n.isStopping(), "remote", e.Remote)
}

// signalOnce sends on a channel of capacity one, unless a signal is already pending.
func signalOnce(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// requestRead asks the watch of a topic to read the store at once.
func (n *Node) requestRead(topic string) { signalOnce(n.readRequests[topic]) }

// requireDirectory asks for a copy of the directory that is complete up to an instant. Without the instant another instance
// would answer with an older copy while its own read waits for records.
func (n *Node) requireDirectory(asOf clock.Instant) {
	n.watches[n.platform.ServersTopic].Require(asOf)
	n.requestRead(n.platform.ServersTopic)
}

// sendHeartbeatToLeader asks heartbeatLoop for a heartbeat to the leader at once.
func (n *Node) sendHeartbeatToLeader() { signalOnce(n.heartbeatLeaderNow) }

// sendHeartbeatToAll asks heartbeatLoop for a heartbeat to all instances at once.
func (n *Node) sendHeartbeatToAll() { signalOnce(n.heartbeatAllNow) }

// Run serves until the context ends, a worker ends, or SIGTERM or SIGINT asks for a graceful stop. It returns the
// joined errors of the workers.
func (n *Node) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	n.events.Record(event.StateChange, "start", "instance", n.settings.Name, "domain", n.settings.Domain,
		"incarnation", n.incarnation, "first-start", n.settings.FirstStart)
	// Timeouts detect callers that vanish. TCP keep-alive would cost four system calls per connection.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	listener, err := listenConfig.Listen(ctx, "tcp4", n.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	group := worker.New(ctx, 32)
	group.Go("events", n.events.Run)
	group.Go("port", n.port.Run)
	group.Go("messages", n.receiveLoop)
	group.Go("join", n.joinLoop)
	group.Go("register", n.registerLoop)
	group.Go("register-starters", n.registerStartersLoop)
	group.Go("peers", n.servePeers(n.entry(false).Address))
	if n.settings.ControlAddress != "" {
		group.Go("seed", n.servePeers(n.settings.ControlAddress))
	}
	group.Go("checks", n.checkLoop)
	for topic := range n.updates {
		group.Go("apply-"+topic, n.updateLoop(topic))
	}
	for topic := range n.broadcasts {
		group.Go("tell-"+topic, n.broadcastLoop(topic))
	}
	group.Go("beats", n.heartbeatLoop)
	group.Go("digests", n.digestLoop)
	group.Go("views", n.viewLoop)
	group.Go("settled", n.broadcastMovesLoop)
	group.Go("crashes", n.queryCrashesLoop)
	group.Go("holder", n.leases.Run)
	group.Go("permits", n.admissions.run)
	if n.settings.Overload.SpeedRanges {
		group.Go("loads", n.reportSpeedsLoop)
	} else {
		group.Go("loads", n.reportLoop)
	}
	group.Go("statements", n.statementLoop)
	group.Go("tunnels", n.tunnelLoop)
	group.Go("ready", n.serveReady)
	group.Go("metrics", n.serveMetrics)
	group.Go("front", func(ctx context.Context) error { return n.inlet.Serve(ctx, listener) })
	n.startWatches(group)
	ended := 0
	for running := true; running; {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload()
				continue
			}
			n.stop(ctx, listener)
			running = false
		case end := <-group.Ends():
			ended++
			if end.Err != nil {
				n.events.Record(event.StateChange, "duty-failed", "duty", end.Name, "error", end.Err)
				err = errors.Join(err, fmt.Errorf("node: worker %s: %w", end.Name, end.Err))
			}
			running = false
		}
	}
	return errors.Join(err, group.Wait(ended))
}

// reload handles SIGHUP. It only logs it: the settings do not change while the process runs, and the configuration
// comes from the store.
func (n *Node) reload() {
	n.events.Record(event.StateChange, "reload", "instance", n.settings.Name)
}

// entry returns the record of this instance for the register.
func (n *Node) entry(ended bool) roster.Entry {
	return roster.Entry{
		Address: net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPorts[0])), Domain: n.settings.Domain,
		Incarnation: n.incarnation, Share: n.workShare(), Ended: ended,
	}
}

// appendEntry writes the record of this instance to the register and returns its offset. Ended says that the instance
// stops. If expectedEnd is not negative, the record is written only there.
func (n *Node) appendEntry(ctx context.Context, ended bool, expectedEnd logpos.Pos) (logpos.Pos, error) {
	value, err := n.entry(ended).Encode()
	if err != nil {
		return 0, err
	}
	offset, err := n.platform.Store.Append(ctx, n.platform.OwnersTopic, []follow.Record{{Key: lease.InstanceKey(n.settings.Name), Value: value}}, expectedEnd)
	if err == nil {
		n.leases.RecordAnswer()
	}
	return offset, err
}

// fullLinkMbps is the speed of a link, in Mbit/s, from which on it does not limit the work of an instance on
// behalf of others.
const fullLinkMbps = 100

// workShare returns the capacity of this instance for work on behalf of others: its share of a core, less on a slow
// link.
func (n *Node) workShare() float64 {
	return n.settings.CPUShare * min(1, n.settings.LinkMbps/fullLinkMbps)
}

// peerAddress returns the address that a peer receives messages on, false if its record holds no valid one.
func peerAddress(p roster.Peer) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(p.Address)
	return a, err == nil
}
