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
	// ErrDuty says that a duty ended before the instance was stopped.
	ErrDuty = errors.New("entry: duty ended")
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
	maxDuties      = 16
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

	core    *leader.Core
	homes   *homes.Core
	state   *state
	peers   *peers
	holders *holders
	witness *witness
	gained  *gains
	losses  *losses
	lease   *gateClock
	meter   *meter.Control
	loads   *loads
	reports *reports
	listing listing
	// domainsAt is when the core of homes is next told which domains are heard. Only the
	// heartbeat duty touches it.
	domainsAt leader.Time
	front     *front.Front
	// folded is the newest folded state of the log, or nil.
	folded atomic.Pointer[fold.State]
	// copied are the homes that another instance of the domain has read, or nil.
	copied atomic.Pointer[[]fold.DomainHomes]

	events        chan event
	sends         chan leader.Send
	appends       chan leader.Append
	callerServer  *http.Server
	forwardServer *http.Server
	// coreView is the core's newest statement about itself, for heartbeats.
	coreView coreView
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
	leading := leader.DefaultConfig(d.Settings.Domain, d.Settings.Name, d.Incarnation)
	e.core = leader.New(leading, d.Placer)
	e.meter = meter.NewControl()
	e.homes = homes.New(homesConfig(leading))
	e.peers = newPeers(d.Settings, d.Incarnation, d.TLS, e.meter)
	e.holders = newHolders(d.Incarnation, e.clock)
	e.loads = newLoads(time.Now())
	e.reports = newReports()
	e.gained = newGains()
	e.lease = &gateClock{}
	e.losses = newLosses()
	e.witness = newWitness(e.peers, e.gained, e.losses, e.state, d.Logger)
	f, err := front.New(front.Deps{
		Instance:         d.Settings.Name,
		Domain:           d.Settings.Domain,
		Finder:           e.state.directory,
		Authorizer:       right{holders: e.holders, lease: e.lease, now: e.now},
		Replicator:       e.witness,
		ObserveRun:       e.ran,
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

// homesConfig takes the bounds that another domain waits for from the leader that keeps to them.
func homesConfig(l leader.Config) homes.Config {
	c := homes.DefaultConfig(l.Domain)
	c.IsolationTimeout = l.IsolationTimeout
	c.MaxPause = l.MaxPause
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

// clock reads the monotonic clock of the grants that this instance holds.
func (e *Entry) clock() grant.Instant {
	return grant.Instant(time.Since(e.origin))
}

// newForwardTransport returns the transport for requests to other instances.
func newForwardTransport(config *tls.Config) http.RoundTripper {
	return &http.Transport{
		TLSClientConfig:     config.Clone(),
		MaxIdleConnsPerHost: forwardIdle,
		IdleConnTimeout:     forwardIdleTime,
		DisableCompression:  true,
	}
}

// Bounds of the connections that are kept to another instance.
const (
	forwardIdle     = 256
	forwardIdleTime = 90 * time.Second
)

// Run serves until the context ends, then stops gracefully: it hands its duties on, finishes
// the requests in flight and returns nil, or ErrDrain when they did not end in time.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	group := duty.New(context.WithoutCancel(ctx), maxDuties)
	doors := duty.New(context.WithoutCancel(ctx), maxDuties)
	e.start(group, listeners)
	e.open(doors, listeners)
	e.deps.Logger.Info("started", "instance", e.deps.Settings.Name, "domain", e.deps.Settings.Domain,
		"incarnation", e.deps.Incarnation, "callers", e.deps.Settings.CallerAddress)
	select {
	case end := <-group.Ends():
		_ = doors.Wait(0)
		_ = group.Wait(1)
		return fmt.Errorf("%w: %s: %w", ErrDuty, end.Name, end.Err)
	case end := <-doors.Ends():
		_ = doors.Wait(1)
		_ = group.Wait(0)
		return fmt.Errorf("%w: %s: %w", ErrDuty, end.Name, end.Err)
	case <-ctx.Done():
	}
	drained := e.drain()
	closed := doors.Wait(0)
	return cmp.Or(drained, closed, group.Wait(0))
}

// open starts the duties by which requests come in. They end before the others, which serve
// the requests that are still in flight.
func (e *Entry) open(group *duty.Group, l *listeners) {
	group.Go("caller-http", e.serveCallers(l.caller))
	group.Go("forward-http", e.serveForwards(l.forward))
}

// balancerTime is for how long a stopping instance goes on serving, so that the balancer and
// the other instances have turned away before it closes its addresses.
const balancerTime = 500 * time.Millisecond

func (e *Entry) balancerLag(ctx context.Context) {
	e.front.SetNotReady()
	duty.Pause(ctx, balancerTime)
}

func (e *Entry) start(group *duty.Group, l *listeners) {
	group.Go("core", e.runCore)
	group.Go("exchanges", e.runExchanges)
	group.Go("log", e.runLog)
	group.Go("heartbeats", e.runHeartbeats)
	group.Go("list", e.runList)
	group.Go("witness", e.witness.run)
	group.Go("loads", e.runLoads)
	group.Go("peer-server", peer.NewServer(l.peer, e.deps.TLS, e.mux(), e.peers.count).Run)
	group.Go("operator-http", e.serveOperators(l.operator))
}

// drain ends this instance's part in the domain while it still serves. The leadership goes
// first, so that the successor adopts leases that still run.
func (e *Entry) drain() error {
	e.deps.Logger.Info("stopping", "instance", e.deps.Settings.Name)
	e.state.stop()
	limit := time.Duration(e.deps.Settings.DrainMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	e.tell(ctx, leader.Stopping{})
	e.announceStop(ctx)
	// From here on each answer asks its caller to connect anew, elsewhere: a caller whose kept
	// connection is closed cannot tell whether the request that it just wrote was read.
	e.callerServer.SetKeepAlivesEnabled(false)
	e.forwardServer.SetKeepAlivesEnabled(false)
	e.balancerLag(ctx)
	if err := e.front.Drain(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrDrain, err)
	}
	e.handOver(ctx)
	e.deps.Logger.Info("drained", "instance", e.deps.Settings.Name)
	return nil
}
