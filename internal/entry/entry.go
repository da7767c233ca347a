// Package entry runs one entry instance. It owns the sockets, timers and goroutines around the
// cores, which do no I/O themselves: they lead a failure domain, read the log and decide about
// requests.
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
	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/front"
	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/meter"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/worker"
	"example.org/mustardring/pkg/grant"
)

// Errors of an entry instance.
var (
	// ErrWorkerEnded is returned by Run when a worker ends before the instance is stopped.
	ErrWorkerEnded = errors.New("entry: worker ended before the instance was stopped")
	// ErrListen is returned by Run when an address of the settings cannot be listened on.
	ErrListen = errors.New("entry: cannot listen")
	// ErrDrain is returned by Run when requests are still in flight at the drain deadline.
	ErrDrain = errors.New("entry: requests in flight at the drain deadline")
)

// Capacities of the channels between workers. When a channel is full, messages that are
// repeated anyway (exchanges, heartbeats) are dropped; senders of other messages block.
const (
	eventCapacity  = 4096
	sendCapacity   = 4096
	appendCapacity = 1024
	maxWorkers     = 16
)

// Deps are the settings and dependencies of an instance. Run needs all of them but Tracer.
type Deps struct {
	Settings config.Run
	// TLS authenticates this instance and the other instances to each other.
	TLS    *tls.Config
	Log    logcl.Log
	List   *listcl.Client
	Placer place.Placer
	Logger *log.Logger
	// Incarnation is unique among all processes that ever ran under the instance's name.
	Incarnation uint64
	// Tracer creates a span for each hop of a request. If nil, there are no spans.
	Tracer trace.Tracer
}

// Entry is one entry instance. It implements admin.Source.
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
	meter      *meter.Counters
	loads      *loadCounter
	reports    *loadReports
	list       listTracker
	// nextDomainsAt is when the reachable domains are next reported to the homes core. Only the
	// heartbeat worker uses it.
	nextDomainsAt leader.Time
	front         *front.Front
	// logState is the newest state folded from the log. It is nil before the first read.
	logState atomic.Pointer[fold.State]
	// copiedHomes are the homes received from another instance of the domain, or nil.
	copiedHomes atomic.Pointer[[]fold.DomainHomes]

	events        chan event
	sends         chan leader.Send
	appends       chan leader.Append
	callerServer  *http.Server
	forwardServer *http.Server
	// leadership tells the other workers whether this instance leads.
	leadership leadership
}

// New returns an instance that opens no socket and starts no goroutine before Run.
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
	e.meter = meter.NewCounters()
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
		Instance:         d.Settings.Name,
		Domain:           d.Settings.Domain,
		Finder:           e.state.directory,
		Authorizer:       gateChecker{holders: e.holders, gateLease: e.gateLease, now: e.now},
		Replicator:       e.replicator,
		ObserveRun:       e.countRequest,
		FindHome:         e.state.directory.FindHome,
		ForwardTransport: newForwardTransport(d.TLS),
		ForwardScheme:    "https",
		Tracer:           d.Tracer,
		Log:              d.Logger,
	})
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	e.front = f
	e.callerServer = newServer(f.CallerHandler())
	e.forwardServer = newServer(f.ForwardHandler())
	return e, nil
}

// homesConfig returns the configuration of the homes core. The times that another domain waits
// before it takes over homes are those that the leader of this domain keeps to.
func homesConfig(l leader.Config) homes.Config {
	c := homes.DefaultConfig(l.Domain)
	c.IsolationTimeout = l.IsolationTimeout
	c.MaxPause = l.MaxPause
	c.DriftPerMille = l.DriftPerMille
	return c
}

// ControlCounters returns the counters of this instance's traffic with the log, other instances and
// servers, apart from requests.
func (e *Entry) ControlCounters() *meter.Counters {
	return e.meter
}

// RequestCounters returns the counters of the request path.
func (e *Entry) RequestCounters() expvar.Var {
	return e.front.Vars()
}

// now returns the time on the monotonic clock of the cores, which starts at zero in New.
func (e *Entry) now() leader.Time {
	return leader.Time(time.Since(e.origin))
}

// grantNow returns the same time as now, in the type used by grants.
func (e *Entry) grantNow() grant.Instant {
	return grant.Instant(time.Since(e.origin))
}

// newForwardTransport returns the transport for requests that are forwarded to other instances.
func newForwardTransport(config *tls.Config) http.RoundTripper {
	return &http.Transport{
		TLSClientConfig:     config.Clone(),
		MaxIdleConnsPerHost: maxForwardIdleConns,
		IdleConnTimeout:     forwardIdleTimeout,
		DisableCompression:  true,
	}
}

// Bounds of the idle connections that are kept to each other instance.
const (
	maxForwardIdleConns = 256
	forwardIdleTimeout  = 90 * time.Second
)

// Run serves until the context is done and then stops gracefully: it gives up the leadership,
// finishes the requests in flight and hands over its idempotency records. It returns nil,
// ErrDrain if requests were still in flight at the drain deadline, ErrListen, or ErrWorkerEnded.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	workers := worker.New(context.WithoutCancel(ctx), maxWorkers)
	servers := worker.New(context.WithoutCancel(ctx), maxWorkers)
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

// startServers starts the HTTP servers of callers and forwarded requests. They stop before the
// other workers, which the requests in flight still need.
func (e *Entry) startServers(group *worker.Group, l *listeners) {
	group.Go("caller-http", e.serveCallers(l.caller))
	group.Go("forward-http", e.serveForwards(l.forward))
}

// balancerDelay is how long a stopping instance continues to serve, so that the balancer and the
// other instances stop sending requests before its listeners are closed.
const balancerDelay = 500 * time.Millisecond

// awaitBalancer reports the instance as not ready and waits for balancerDelay.
func (e *Entry) awaitBalancer(ctx context.Context) {
	e.front.SetNotReady()
	worker.Sleep(ctx, balancerDelay)
}

func (e *Entry) startWorkers(group *worker.Group, l *listeners) {
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

// drain takes this instance out of its domain while it still serves. It gives up the leadership
// first, so that the next leader adopts leases that are still valid.
func (e *Entry) drain() error {
	e.deps.Logger.Info("stopping", "instance", e.deps.Settings.Name)
	e.state.stop()
	timeout := time.Duration(e.deps.Settings.DrainMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e.notifyLeaderCore(ctx, leader.Stopping{})
	e.announceLeaving(ctx)
	// From here on each response closes its connection, so that callers reconnect to another
	// instance. A caller whose idle connection is closed while it writes a request cannot tell
	// whether the request was read.
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
