package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/paths"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/worker"
)

// The rule for instances that are cut off from all servers: from stableWindow after the cut on, first tries there are
// served minRelativeShare as often as elsewhere, or no more than maxFailed and one in maxFailedShare fail.
const (
	stableWindow     = 3 * time.Second
	minRelativeShare = 2.0 / 3
	maxFailed        = 10
	maxFailedShare   = 50
)

// errCutSilently is the state of a path on which nothing comes back.
var errCutSilently = errors.New("nothing comes back")

// pathCluster is a number of instances with their dialers and rosters, in virtual time and without a network.
type pathCluster struct {
	nodes map[string]*Node
	names []string

	mu sync.Mutex
	// cut holds what happens to the paths of instances that are cut off.
	cut map[string]error
	// carried counts the tunnels by the instance that carries them, dials the direct connections tried at instances
	// that are cut off.
	carried map[string]int
	dials   int
}

// tunnelConn is a connection through another instance.
type tunnelConn struct {
	net.Conn
	via string
}

func (c tunnelConn) Via() string { return c.via }
func (tunnelConn) Close() error  { return nil }

// ownConn is a connection of an instance's own.
type ownConn struct{ net.Conn }

func (ownConn) Close() error { return nil }

// newPathCluster returns instances that know each other, in four failure domains.
func newPathCluster(instances int) *pathCluster {
	pc := &pathCluster{nodes: map[string]*Node{}, cut: map[string]error{}, carried: map[string]int{}}
	for i := range instances {
		pc.names = append(pc.names, fmt.Sprintf("i%d", i))
	}
	for i, name := range pc.names {
		n := &Node{
			settings: config.Serve{Name: name, Domain: domainOf(i)}, roster: roster.New(name, domainOf(i)),
			events: event.New(io.Discard, log.ErrorLevel), incarnation: 1,
		}
		for j, other := range pc.names {
			n.roster.Put(other, roster.Entry{Address: fmt.Sprintf("127.0.0.1:%d", 1000+j), Domain: domainOf(j), Incarnation: 1, Share: 1}, time.Now())
		}
		n.dialer = paths.NewDialer(paths.Deps{
			Table: paths.NewTable(), Choose: n.chooseInstance, PathSilent: func(string) {}, Events: n.events,
			Direct: func(ctx context.Context, _ paths.Server) (net.Conn, error) { return pc.dial(ctx, name) },
			Open:   pc.open,
		})
		pc.nodes[name] = n
	}
	return pc
}

// domainOf returns the failure domain of an instance.
func domainOf(i int) string { return fmt.Sprintf("d%d", i%4) }

// dial connects an instance to a server itself.
func (pc *pathCluster) dial(ctx context.Context, name string) (net.Conn, error) {
	pc.mu.Lock()
	failure := pc.cut[name]
	if failure != nil {
		pc.dials++
	}
	pc.mu.Unlock()
	time.Sleep(time.Millisecond)
	switch {
	case errors.Is(failure, errCutSilently):
		<-ctx.Done()
		return nil, ctx.Err()
	case failure != nil:
		return nil, failure
	default:
		return ownConn{}, nil
	}
}

// open connects to a server through an instance.
func (pc *pathCluster) open(ctx context.Context, instance string, s paths.Server) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	if _, err := pc.nodes[instance].dialer.DialOwn(ctx, s); err != nil {
		return nil, err
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.carried[instance]++
	return tunnelConn{via: instance}, nil
}

// beat passes heartbeats on until the context ends: to all instances at the interval at which a change is noticed, and in
// large failure domains at those of digests, to the own domain and to the others.
func (pc *pathCluster) beat(ctx context.Context) error {
	interval, foreignInterval := tunnelCheckInterval, tunnelCheckInterval
	if first := pc.nodes[pc.names[0]].roster; first.LargeDomain(domainOf(0)) {
		interval, foreignInterval = roster.DigestInterval, foreignDigestInterval
	}
	var foreignAt time.Time
	for worker.Sleep(ctx, interval) {
		foreign := !time.Now().Before(foreignAt)
		if foreign {
			foreignAt = time.Now().Add(foreignInterval)
		}
		for i, name := range pc.names {
			h := roster.Heartbeat{Name: name, Incarnation: 1}
			if pc.nodes[name].dialer.Table.ReachesNone() {
				h.Failing = []string{roster.AllServers}
			}
			for j, other := range pc.names {
				if foreign || domainOf(i) == domainOf(j) {
					pc.nodes[other].roster.RecordHeartbeat(h, time.Now())
				}
			}
		}
	}
	return ctx.Err()
}

// serve sends requests from the callers of all instances for a time. It returns how many were sent and served at those
// that are cut off, and at the others.
func (pc *pathCluster) serve(lasts time.Duration) (there, elsewhere struct{ sent, served int }) {
	const (
		interval = 50 * time.Millisecond
		servers  = 40
		patience = 600 * time.Millisecond
	)
	var mu sync.Mutex
	var requests sync.WaitGroup
	for n := range int(lasts / interval) {
		for i, name := range pc.names {
			requests.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				_, err := pc.nodes[name].dialer.DialServer(ctx, fmt.Sprintf("s%d", (n*7+i)%servers), "127.0.0.1:1")
				pc.mu.Lock()
				counts := &elsewhere
				if pc.cut[name] != nil {
					counts = &there
				}
				pc.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				counts.sent++
				if err == nil {
					counts.served++
				}
			})
		}
		time.Sleep(interval)
	}
	requests.Wait()
	return there, elsewhere
}

// Guards against callers who are not served at instances that have lost their paths to all servers, whatever the number of
// instances and of those, and against load on the others or on servers that grows with them.
func TestRuleOfLostPaths(t *testing.T) {
	cuts := map[string]func(i, instances int) bool{
		"one":         func(i, _ int) bool { return i == 1 },
		"a domain":    func(i, _ int) bool { return domainOf(i) == "d1" },
		"half":        func(i, instances int) bool { return i < instances/2 },
		"all but one": func(i, _ int) bool { return i != 2 },
	}
	for _, instances := range []int{8, 70, 300} {
		for name, isCut := range cuts {
			for how, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "silent": errCutSilently} {
				t.Run(fmt.Sprintf("%s of %d %s", name, instances, how), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						checkRuleOfLostPaths(t, instances, failure, isCut)
					})
				})
			}
		}
	}
}

// checkRuleOfLostPaths cuts the paths of some of a number of instances and checks how their callers are served.
func checkRuleOfLostPaths(t *testing.T, instances int, failure error, isCut func(i, instances int) bool) {
	is := is.New(t)
	pc := newPathCluster(instances)
	ctx, cancel := context.WithCancel(t.Context())
	group := worker.New(ctx, 1)
	group.Go("heartbeats", pc.beat)
	defer func() {
		cancel()
		_ = group.Wait(0)
		time.Sleep(time.Second) // for what the dialers do in the background
	}()
	time.Sleep(time.Second)
	cut := 0
	pc.mu.Lock()
	for i, name := range pc.names {
		if isCut(i, instances) {
			pc.cut[name] = failure
			cut++
		}
	}
	pc.mu.Unlock()
	pc.serve(stableWindow)
	pc.mu.Lock()
	pc.dials = 0
	clear(pc.carried)
	pc.mu.Unlock()
	const lasts = 4 * time.Second
	there, elsewhere := pc.serve(lasts)
	share := float64(there.served) / float64(there.sent)
	t.Logf("served there %+v, elsewhere %+v; %d direct dials, carried %d at most", there, elsewhere, pc.dials, most(pc.carried))
	is.Equal(elsewhere.served, elsewhere.sent)
	is.True(share >= minRelativeShare || there.sent-there.served <= maxFailed+there.sent/maxFailedShare)
	// Each instance that is cut off probes twice a second for all servers together.
	is.True(pc.dials <= cut*int(2*lasts/time.Second+2))
	// The tunnels are spread over the others.
	if others := instances - cut; others > 8 {
		is.True(most(pc.carried) <= 6*there.sent/others+40)
	}
}

// most returns the largest value.
func most(counts map[string]int) int {
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	return largest
}

// Guards against a door for those who are not registered instances, and against tunnels to servers that get no more
// requests.
func TestWhoMayOpenATunnel(t *testing.T) {
	type request struct {
		instance    string
		incarnation string
		server      string
		from        string
	}
	valid := request{"i1", "1", "s1", "127.0.0.1:5"}
	change := func(f func(r *request)) request {
		r := valid
		f(&r)
		return r
	}
	cases := map[string]struct {
		request request
		status  int
		reason  tunnel.Reason
	}{
		"unknown instance":    {change(func(r *request) { r.instance = "i9" }), http.StatusServiceUnavailable, tunnel.Unregistered},
		"another incarnation": {change(func(r *request) { r.incarnation = "2" }), http.StatusServiceUnavailable, tunnel.Unregistered},
		"another address":     {change(func(r *request) { r.from = "127.0.0.2:5" }), http.StatusServiceUnavailable, tunnel.Unregistered},
		"malformed":           {change(func(r *request) { r.incarnation = "x" }), http.StatusBadRequest, ""},
		"unknown server":      {change(func(r *request) { r.server = "s9" }), http.StatusServiceUnavailable, tunnel.UnknownServer},
		"closed server":       {change(func(r *request) { r.server = "left" }), http.StatusServiceUnavailable, tunnel.UnknownServer},
		"lost path":           {change(func(r *request) { r.server = "lost" }), http.StatusServiceUnavailable, tunnel.NoPath},
		"dead server":         {valid, http.StatusServiceUnavailable, tunnel.Unreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pc := newPathCluster(2)
			n := pc.nodes["i0"]
			n.stopping = make(chan struct{})
			n.cluster = newTestState()
			servers := map[string]rules.Server{}
			for _, id := range []string{"s1", "lost", "left"} {
				servers[id] = rules.Server{ID: id, Service: "books", Address: "127.0.0.1:1"}
			}
			left := servers["left"]
			left.Draining, left.LeaveBy = true, time.Now().Add(-time.Second)
			servers["left"] = left
			n.cluster.snapshot.Store(rules.NewServerSet(servers))
			n.dialer.Table.Lost("lost", time.Now())
			pc.cut["i0"] = syscall.ECONNREFUSED
			r := httptest.NewRequest(http.MethodPost, tunnel.Path, nil)
			r.RemoteAddr = c.request.from
			r.Header.Set("Upgrade", "mustardring-tunnel")
			r.Header.Set("Mustardring-Server", c.request.server)
			r.Header.Set("Mustardring-Instance", c.request.instance)
			r.Header.Set("Mustardring-Incarnation", c.request.incarnation)
			w := httptest.NewRecorder()
			n.handleTunnel(t.Context(), w, r)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Mustardring-Reason"), string(c.reason))
			is.Equal(n.tunnels.carriedCount(), 0)
		})
	}
}

// Guards against requests that are blocked, at all instances, as ones that crash servers, because one instance has lost its
// paths.
func TestLostPathIsNoCrash(t *testing.T) {
	cases := map[string]struct {
		cut     []string
		crashes bool
	}{
		"path lost":   {[]string{"i0"}, false},
		"server lost": {[]string{"i0", "i1", "i2", "i3"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(2 * time.Second) // for what the dialers do in the background
				pc := newPathCluster(4)
				for _, name := range c.cut {
					pc.cut[name] = syscall.ECONNREFUSED
				}
				n := pc.nodes["i0"]
				port, err := dgram.Listen("127.0.0.1:0")
				is.NoErr(err)
				n.port, n.suspects = port, edge.NewCrashTracker()
				for _, server := range []string{"s1", "s2", "s3"} {
					n.ReportCrash(7, rules.Server{ID: server, Address: "127.0.0.1:1"})
				}
				time.Sleep(2 * time.Second)
				is.Equal(n.Quarantined(7), c.crashes)
			})
		})
	}
}
