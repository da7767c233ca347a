package paths

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/upstr"
)

// The errors of Deps.Open.
var (
	// ErrUnreachable means that the other instance could not connect to the server either.
	ErrUnreachable = errors.New("paths: server unreachable from the other instance")
	// ErrNoPath means that the other instance has lost its own path to the server.
	ErrNoPath = errors.New("paths: other instance has no path to the server")
	// errNoInstance means that there is no instance to go through.
	errNoInstance = errors.New("paths: no other instance to go through")
	// errNothing means that no connection is attempted, as none has been opened for some time.
	errNothing = errors.New("paths: no server is reached")
)

const (
	// directTimeout limits an attempt to connect to a server.
	directTimeout = 600 * time.Millisecond
	// hedgeDelay is how long a connection may take to open before another instance is asked for one as well. It is longer
	// than an instance is held up by its processor quota, which is counted per tenth of a second.
	hedgeDelay = 150 * time.Millisecond
	// throughTimeout limits the time to connect through other instances, of which maxInstancesAsked are asked.
	throughTimeout    = 500 * time.Millisecond
	maxInstancesAsked = 3
	// askInterval is how long an instance may take before the next one is asked as well.
	askInterval = 100 * time.Millisecond
)

// Server is the server to connect to.
type Server struct {
	ID string
	// Address is an IP address with port.
	Address string
}

// Deps holds the dependencies of a Dialer.
type Deps struct {
	Table *Table
	// Direct connects to a server.
	Direct func(ctx context.Context, s Server) (net.Conn, error)
	// Choose returns the instance that a choice for a server stands for, and false if there is none. Instances that reach
	// no server themselves are left out.
	Choose func(server string, choice int) (instance string, ok bool)
	// Open connects to a server through an instance. Its errors may wrap ErrUnreachable or ErrNoPath.
	Open func(ctx context.Context, instance string, s Server) (net.Conn, error)
	// PathSilent is called when a path is lost and nothing comes back on it, so that connections that are open cannot be
	// relied on.
	PathSilent func(server string)
	Events     *event.Log
}

// Dialer opens connections to servers. It implements upstr.Dialer.
type Dialer struct {
	Deps
	// counts holds the number of connections by how they were opened, and of failures.
	counts *expvar.Map
}

// NewDialer returns a Dialer with the given dependencies.
func NewDialer(d Deps) *Dialer { return &Dialer{Deps: d, counts: new(expvar.Map).Init()} }

// Counts returns the number of connections by how they were opened, and of failures.
func (d *Dialer) Counts() *expvar.Map { return d.counts }

// throughConn is a connection that was opened through another instance.
type throughConn interface {
	net.Conn
	// Via returns the name of that instance.
	Via() string
}

// Via returns the instance that a connection goes through, and an empty string for a connection of this instance's own.
func Via(c net.Conn) string {
	if t, ok := c.(throughConn); ok {
		return t.Via()
	}
	return ""
}

// Answered implements upstr.Dialer.
func (d *Dialer) Answered(c net.Conn) {
	if Via(c) == "" {
		d.Table.Answered()
		return
	}
	d.Table.Reached()
}

// dialResult is the result of one of the two ways to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial is an attempt to connect to a server. Direct and through take the results of the two ways to connect; they are
// nil until those have been started, and done once the result has been received.
type dial struct {
	*Dialer
	server     Server
	direct     chan dialResult
	through    chan dialResult
	directErr  error
	throughErr error
}

// DialServer implements upstr.Dialer. It connects directly or through another instance, whichever is expected to work,
// and in the other way as well if that fails or takes long. Errors wrap upstr.ErrUnreachable if another instance tried to
// connect to the server in vain, or if there is none to ask, and no instance is known to reach it.
//
// What the attempt shows of the path is recorded also after ctx has ended.
func (d *Dialer) DialServer(ctx context.Context, server, address string) (net.Conn, error) {
	a := &dial{Dialer: d, server: Server{ID: server, Address: address}}
	done := make(chan dialResult, 1)
	go func() {
		c, err := a.run(context.WithoutCancel(ctx))
		done <- dialResult{c, err}
	}()
	select {
	case r := <-done:
		return r.conn, r.err
	case <-ctx.Done():
		go discard(done)
		return nil, context.Cause(ctx)
	}
}

// run connects in one way or the other. It returns within directTimeout and throughTimeout.
func (a *dial) run(ctx context.Context) (net.Conn, error) {
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	switch a.Table.Route(a.server.ID, time.Now()).(type) {
	case Direct:
		a.startDirect(ctx)
	case Through:
		a.startThrough(ctx)
	case Probe:
		a.startDirect(ctx)
		a.startThrough(ctx)
	case None:
		return nil, errNothing
	}
	for a.directErr == nil || a.throughErr == nil {
		select {
		case r := <-a.direct:
			if r.err == nil {
				a.connected()
				if a.through != nil && a.throughErr == nil {
					go discard(a.through)
				}
				return r.conn, nil
			}
			a.directErr = r.err
			a.startThrough(ctx)
		case r := <-a.through:
			if r.err == nil {
				a.passedOn()
				return r.conn, nil
			}
			a.throughErr = r.err
			a.startDirect(ctx)
		case <-hedge.C:
			a.startThrough(ctx)
		}
	}
	return nil, a.failure()
}

// startDirect starts to connect directly, if that has not been done.
func (a *dial) startDirect(ctx context.Context) {
	if a.direct == nil {
		a.direct = make(chan dialResult, 1)
		go connect(ctx, a.direct, directTimeout, a.server, a.Direct)
	}
}

// startThrough starts to connect through another instance, if that has not been done.
func (a *dial) startThrough(ctx context.Context) {
	if a.through == nil {
		a.through = make(chan dialResult, 1)
		go connect(ctx, a.through, throughTimeout, a.server, a.openThrough)
	}
}

// connect connects to a server in one of the two ways, within a time, and sends the result.
func connect(ctx context.Context, result chan<- dialResult, within time.Duration, s Server, open func(context.Context, Server) (net.Conn, error)) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := open(ctx, s)
	result <- dialResult{c, err}
}

// discard closes a connection that is not needed any more, once it has been opened.
func discard(result <-chan dialResult) {
	if r := <-result; r.err == nil {
		_ = r.conn.Close()
	}
}

// openThrough asks up to maxInstancesAsked instances for a connection to a server, the next one when the last has refused or
// has not answered for askInterval. It returns the errors of all if none can help.
func (d *Dialer) openThrough(ctx context.Context, s Server) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &asking{Dialer: d, server: s, choice: d.Table.Choice(s.ID), asked: map[string]struct{}{}, answers: make(chan answer, maxInstancesAsked)}
	var failed error
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			if a.askNext(ctx) {
				next.Reset(askInterval)
			}
		case r := <-a.answers:
			a.running--
			if r.err == nil {
				d.Table.SetChoice(s.ID, r.choice)
				go a.discard()
				return r.conn, nil
			}
			failed = errors.Join(failed, fmt.Errorf("through %s: %w", r.instance, r.err))
			next.Reset(0)
		}
		if a.exhausted && a.running == 0 {
			d.Table.SetChoice(s.ID, a.choice)
			if failed == nil {
				return nil, errNoInstance
			}
			return nil, failed
		}
	}
}

// asking is an attempt to connect to a server through one of several instances.
type asking struct {
	*Dialer
	server Server
	// choice is the next choice to try, asked holds the instances that have been asked.
	choice int
	asked  map[string]struct{}
	// running is the number of instances that have not answered yet, exhausted says that no more will be asked.
	running   int
	exhausted bool
	answers   chan answer
}

// answer is the answer of an instance, which a choice stands for.
type answer struct {
	dialResult
	instance string
	choice   int
}

// askNext asks the next instance that has not been asked, and reports whether there was one.
func (a *asking) askNext(ctx context.Context) bool {
	for range maxChoices {
		if len(a.asked) == maxInstancesAsked {
			break
		}
		choice := a.choice
		instance, ok := a.Choose(a.server.ID, choice)
		if !ok {
			break
		}
		a.choice = (choice + 1) % maxChoices
		if _, done := a.asked[instance]; done {
			continue
		}
		a.asked[instance] = struct{}{}
		a.running++
		go func() {
			c, err := a.Open(ctx, instance, a.server)
			a.answers <- answer{dialResult{c, err}, instance, choice}
		}()
		return true
	}
	a.exhausted = true
	return false
}

// discard closes the connections that other instances still open.
func (a *asking) discard() {
	for range a.running {
		if r := <-a.answers; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// connected records a direct connection.
func (a *dial) connected() {
	a.counts.Add("direct", 1)
	if a.Table.Connected(a.server.ID) {
		a.Events.Record(event.StateChange, "path-regained", "server", a.server.ID, "paths-lost", a.Table.LostCount())
	}
}

// passedOn records a connection through another instance. If the direct one has not come yet its result is awaited in the
// background.
func (a *dial) passedOn() {
	a.counts.Add("through", 1)
	a.Table.Reached()
	switch {
	case a.directErr != nil:
		a.lost(a.directErr)
	case a.direct != nil:
		a.Table.Suspect(a.server.ID, time.Now())
		go func() {
			r := <-a.direct
			if r.err == nil {
				_ = r.conn.Close()
				a.connected()
				return
			}
			a.lost(r.err)
		}()
	}
}

// lost records that this instance does not reach a server that another one reaches.
func (a *dial) lost(err error) {
	reachedNone := a.Table.ReachesNone()
	news := a.Table.Lost(a.server.ID, time.Now())
	if news {
		a.Events.Record(event.StateChange, "path-lost", "server", a.server.ID, "paths-lost", a.Table.LostCount(), "error", err)
	}
	reachesNone := a.Table.ReachesNone()
	if reachesNone && !reachedNone {
		a.Events.Record(event.StateChange, "all-paths-lost", "paths-lost", a.Table.LostCount())
	}
	if news && !reachedNone && errors.Is(err, context.DeadlineExceeded) {
		a.PathSilent(a.server.ID)
	}
}

// failure records that a server was reached in neither way and returns the error.
func (a *dial) failure() error {
	a.counts.Add("failed", 1)
	a.Table.Unreachable(a.server.ID, time.Now())
	err := errors.Join(a.directErr, a.throughErr)
	tried := errors.Is(a.throughErr, ErrUnreachable) || errors.Is(a.throughErr, errNoInstance)
	if !tried || errors.Is(a.throughErr, ErrNoPath) {
		return err
	}
	return fmt.Errorf("%w: %w", upstr.ErrUnreachable, err)
}

// DialOwn connects to a server on behalf of another instance, without going through a third one.
func (d *Dialer) DialOwn(ctx context.Context, s Server) (net.Conn, error) {
	if d.Table.IsLost(s.ID) {
		return nil, ErrNoPath
	}
	ctx, cancel := context.WithTimeout(ctx, throughTimeout/2)
	defer cancel()
	c, err := d.Direct(ctx, s)
	if err != nil {
		d.counts.Add("for-others-failed", 1)
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	d.counts.Add("for-others", 1)
	d.Table.Connected(s.ID)
	return c, nil
}
