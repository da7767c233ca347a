// Package entry is one running entry instance: the sockets, timers and goroutines round the
// cores that lead a failure domain, fold the log and decide about requests.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/front"
	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/meter"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
)

// Errors of an entry instance.
var (
	// ErrWorkerEnded says that a duty ended before the instance was stopped.
	ErrWorkerEnded = errors.New("entry: duty ended")
	// ErrListen says that an address of the settings cannot be listened on.
	ErrListen = errors.New("entry: cannot listen")
	// ErrDrain says that requests were still in flight when the drain deadline passed.
	ErrDrain = errors.New("entry: drain deadline passed")
)

// Capacities of the rings between duties. A full ring drops what is sent again anyway
// (exchanges, heartbeats) and blocks the sender of what is not.
const (
	eventCapacity  = 4096
	sendCapacity   = 4096
	appendCapacity = 1024
	maxWorkers     = 16
)

// Deps is what an instance depends on beside its settings.
type Deps struct {
	Settings config.Run
	// TLS authenticates this instance to others and them to it.
	TLS    *tls.Config
	Log    logcl.Log
	List   *listcl.Client
	Placer place.Placer
	Logger *log.Logger
	// Incarnation differs between all processes that ever ran under the instance's name.
	Incarnation uint64
	// Tracer makes a span for each hop of a request. Nil means none.
	Tracer trace.Tracer
}

// Entry is an entry instance.
type Entry struct {
	deps   Deps
	origin time.Time

	leaderCore *leader.Core
	homesCore  *homes.Core
	state      *state
	peers      *peers
	holders    *grantHolders
	replicator *replicator
	gateGains  *gateGains
	replaced   *replacedProcesses
	gateLease  *gateLease
	meter      *meter.Control
	loads      *loadCounter
	reports    *loadReports
	list       listTracker
	// nextDomainsAt is when the core of homes is next told which domains are heard. Only the
	// heartbeat duty touches it.
	nextDomainsAt leader.Time
	front         *front.Front
	// logState is the newest folded state of the log, or nil.
	logState atomic.Pointer[fold.State]
	// copiedHomes are the homes that another instance of the domain has read, or nil.
	copiedHomes atomic.Pointer[[]fold.Taken]

	events        chan event
	sends         chan leader.Send
	appends       chan leader.Append
	callerServer  *http.Server
	forwardServer *http.Server
	// leadership is the core's newest statement about itself, for heartbeats.
	leadership leadership
}

// New returns an instance that does nothing until Run.
func New(d Deps) (*Entry, error) {
	e := &Entry{
		deps:    d,
		origin:  time.Now(),
		state:   newState(d.Settings),
		events:  make(chan event, eventCapacity),
		sends:   make(chan leader.Send, sendCapacity),
		appends: make(chan leader.Append, appendCapacity),
	}
	lc := leader.DefaultConfig(d.Settings.Domain, d.Settings.Name, d.Incarnation)
	e.leaderCore = leader.New(lc, d.Placer)
	e.meter = meter.NewControl()
	e.homesCore = homes.New(homesConfig(lc))
	e.peers = newPeers(d.Settings, d.Incarnation, d.TLS, e.meter)
	e.holders = newGrantHolders(d.Incarnation, e.grantNow)
	e.loads = newLoadCounter(time.Now())
	e.reports = newLoadReports()
	e.gateGains = newGateGains()
	e.gateLease = &gateLease{}
	e.replaced = newReplacedProcesses()
	e.replicator = newReplicator(e.peers, e.gateGains, e.replaced, e.state, d.Logger)
	f, err := front.New(front.Deps{
		Instance:      d.Settings.Name,
		Domain:        d.Settings.Domain,
		Finder:        e.state.directory,
		Right:         gateChecker{holders: e.holders, gateLease: e.gateLease, now: e.now},
		Witness:       e.replicator,
		Ran:           e.countRequest,
		Home:          e.state.directory.FindHome,
		Forward:       newForwardTransport(d.TLS),
		ForwardScheme: "https",
		Tracer:        d.Tracer,
		Log:           d.Logger,
	})
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	e.front = f
	e.callerServer = newServer(f.Callers())
	e.forwardServer = newServer(f.Forwards())
	return e, nil
}

// homesConfig takes the bounds that another domain waits for from the leader that keeps to them.
func homesConfig(l leader.Config) homes.Config {
	c := homes.DefaultConfig(l.Domain)
	c.MoveBound = l.IsolationTimeout
	c.Pause = l.MaxPause
	c.DriftPerMille = l.DriftPerMille
	return c
}

// ControlCounters returns the counters of this instance's control traffic.
func (e *Entry) ControlCounters() *meter.Control {
	return e.meter
}

// RequestCounters returns the counters of the request path.
func (e *Entry) RequestCounters() expvar.Var {
	return e.front.Vars()
}

// now reads the monotonic clock of the cores.
func (e *Entry) now() leader.Time {
	return leader.Time(time.Since(e.origin))
}

// grantNow reads the monotonic clock of the grants that this instance holds.
func (e *Entry) grantNow() grant.Instant {
	return grant.Instant(time.Since(e.origin))
}

// newForwardTransport returns the transport for requests to other instances.
func newForwardTransport(config *tls.Config) http.RoundTripper {
	return &http.Transport{
		TLSClientConfig:     config.Clone(),
		MaxIdleConnsPerHost: maxForwardIdleConns,
		IdleConnTimeout:     forwardIdleTimeout,
		DisableCompression:  true,
	}
}

// Bounds of the connections that are kept to another instance.
const (
	maxForwardIdleConns = 256
	forwardIdleTimeout  = 90 * time.Second
)

// Run serves until the context ends, then stops gracefully: it hands its duties on, finishes
// the requests in flight and returns nil, or ErrDrain when they did not end in time.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	workers := duty.New(context.WithoutCancel(ctx), maxWorkers)
	servers := duty.New(context.WithoutCancel(ctx), maxWorkers)
	e.startWorkers(workers, listeners)
	e.startServers(servers, listeners)
	e.deps.Logger.Info("started", "instance", e.deps.Settings.Name, "domain", e.deps.Settings.Domain,
		"incarnation", e.deps.Incarnation, "callers", e.deps.Settings.CallerAddress)
	select {
	case end := <-workers.Ends():
		_ = servers.Wait(0)
		_ = workers.Wait(1)
		return fmt.Errorf("%w: %s: %w", ErrWorkerEnded, end.Name, end.Err)
	case end := <-servers.Ends():
		_ = servers.Wait(1)
		_ = workers.Wait(0)
		return fmt.Errorf("%w: %s: %w", ErrWorkerEnded, end.Name, end.Err)
	case <-ctx.Done():
	}
	drained := e.drain()
	closed := servers.Wait(0)
	return cmp.Or(drained, closed, workers.Wait(0))
}

// startServers starts the duties by which requests come in. They end before the others, which serve
// the requests that are still in flight.
func (e *Entry) startServers(group *duty.Group, l *listeners) {
	group.Go("caller-http", e.serveCallers(l.caller))
	group.Go("forward-http", e.serveForwards(l.forward))
}

// balancerDelay is for how long a stopping instance goes on serving, so that the balancer and
// the other instances have turned away before it closes its addresses.
const balancerDelay = 500 * time.Millisecond

func (e *Entry) awaitBalancer(ctx context.Context) {
	e.front.Refuse()
	duty.Pause(ctx, balancerDelay)
}

func (e *Entry) startWorkers(group *duty.Group, l *listeners) {
	group.Go("core", e.runCores)
	group.Go("exchanges", e.runExchanges)
	group.Go("log", e.runLog)
	group.Go("heartbeats", e.runHeartbeats)
	group.Go("list", e.runList)
	group.Go("witness", e.replicator.run)
	group.Go("loads", e.runLoads)
	group.Go("peer-server", peer.NewServer(l.peer, e.deps.TLS, e.newMux(), e.peers.countBytes).Run)
	group.Go("operator-http", e.serveOperators(l.operator))
}

// drain ends this instance's part in the domain while it still serves. The leadership goes
// first, so that the successor adopts leases that still run.
func (e *Entry) drain() error {
	e.deps.Logger.Info("stopping", "instance", e.deps.Settings.Name)
	e.state.stop()
	timeout := time.Duration(e.deps.Settings.DrainMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e.notifyLeaderCore(ctx, leader.Stopping{})
	e.announceLeaving(ctx)
	// From here on each answer asks its caller to connect anew, elsewhere: a caller whose kept
	// connection is closed cannot tell whether the request that it just wrote was read.
	e.callerServer.SetKeepAlivesEnabled(false)
	e.forwardServer.SetKeepAlivesEnabled(false)
	e.awaitBalancer(ctx)
	if err := e.front.Drain(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrDrain, err)
	}
	e.handOverRecords(ctx)
	e.deps.Logger.Info("drained", "instance", e.deps.Settings.Name)
	return nil
}
