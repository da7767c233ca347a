package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/retry"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/upstr"
)

// carryCodec implements edge.HeaderCodec. Each request has a key.
type carryCodec struct{}

func (carryCodec) DecodeRequest(http.Header) edge.RequestInfo { return edge.RequestInfo{HasKey: true} }
func (carryCodec) EncodeTarget(h http.Header, server string, _ time.Duration) {
	h.Set("Target", server)
}
func (carryCodec) DecodeResponse(r *http.Response, _ time.Time) edge.ResponseInfo {
	return edge.ResponseInfo{Signed: true, NotRun: r.Header.Get("Not-Run") != ""}
}

// carryNode is an instance in front of server s1, which owns all keys. As an edge.Admitter it has i1 admit all requests.
type carryNode struct{ *Node }

func (carryNode) Owner(string, uint16) (shard.Range, bool, <-chan struct{}) {
	return shard.Range{To: 1<<16 - 1, Server: "s1"}, true, nil
}
func (n carryNode) Acquire(context.Context, admit.Request, string) (edge.Admission, *admit.Rejected) {
	p, _ := n.roster.Peer("i1")
	return &admission{admissions: n.admissions, server: "s1", controllerName: "i1", controller: netip.MustParseAddrPort(p.Address)}, nil
}

func newCarryNode(t *testing.T, name, server string, timeout time.Duration) carryNode {
	port, err := dgram.Listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	n := carryNode{&Node{
		settings: config.Serve{Name: name, Domain: "d0", Overload: config.Overload{ShareConnections: true}}, roster: roster.New(name, "d0"), port: port, incarnation: 1,
		events: event.New(io.Discard, log.ErrorLevel), stopping: make(chan struct{}), cluster: newTestState(),
		loadTracker: newLoadTracker(false), suspects: edge.NewCrashTracker(), platform: Platform{DialServer: new(net.Dialer).DialContext},
	}}
	n.tunnels.opened = map[*tunnel.Conn]string{}
	n.replyMemory = edge.NewReplyMemory(4 << 20)
	n.admissions, n.carrier, n.dialer = newAdmissions(n.Node), newCarrier(n.Node), n.newDialer()
	route := &rules.Route{Kind: rules.Idempotent, Timeout: timeout, MaxAttempts: 2, Services: []rules.WeightedService{{Service: "books"}}}
	n.cluster.config.Store(&rules.Config{
		Services: map[string]rules.Service{"books": {Divided: true}}, Hosts: map[string][]*rules.Route{"a.example": {route}},
	})
	n.cluster.snapshot.Store(rules.NewServerSet(map[string]rules.Server{"s1": {ID: "s1", Service: "books", Address: server, Slots: 2}}))
	n.edge = edge.New(edge.Deps{
		Codec: carryCodec{}, Cluster: n, Admitter: n, Carrier: n.carrier, ConnPool: edge.NewConnPool(n.connections, n.dialer), ReplyMemory: n.replyMemory,
		RetryBudget: retry.NewBudget(0, time.Second, func() (float64, bool) { return 0, true }, time.Now),
		Events:      n.events, Meters: edge.NewMeters(),
	})
	return n
}

// carryPair is two instances, of which the second one admits and carries the requests of the first, and the server.
type carryPair struct {
	first, second carryNode
	// peers answers the calls to the second instance, asked counts those for a request to send. Server handles a request by
	// writing to its connection, runs counts the requests to it.
	peers  http.Handler
	asked  atomic.Int32
	server func(c net.Conn, r *http.Request)
	runs   atomic.Int32
}

func newCarryPair(t *testing.T, timeout time.Duration) *carryPair {
	p := &carryPair{server: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
					p.runs.Add(1)
					p.server(c, r)
				}
			}()
		}
	}()
	p.first, p.second = newCarryNode(t, "i0", l.Addr().String(), timeout), newCarryNode(t, "i1", l.Addr().String(), timeout)
	p.peers = p.second.peerHandler(t.Context())
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathRequests {
			p.asked.Add(1)
		}
		p.peers.ServeHTTP(w, r)
	}))
	t.Cleanup(s.CloseClientConnections)
	for _, n := range []carryNode{p.first, p.second} {
		n.roster.Put("i0", roster.Entry{Address: "127.0.0.1:1", Domain: "d0", Incarnation: 1}, time.Now())
		n.roster.Put("i1", roster.Entry{Address: s.Listener.Addr().String(), Domain: "d0", Incarnation: 1}, time.Now())
	}
	return p
}

func respondWith(response string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, response) }
}

// send handles a request at the first instance.
func (p *carryPair) send(ctx context.Context, method, uri string) *inlet.Reply {
	r := httptest.NewRequest(method, uri, nil)
	r.Host, r.Header = "a.example", http.Header{"Expect": {"a miracle"}, "Mustardring-Outcome": {"x", "y"}, "Keep-Alive": {"1"}}
	return p.first.edge.Handle(ctx, r)
}

// Guards against requests and responses that change because they go through another instance.
func TestCarriedMessagesAreUnchanged(t *testing.T) {
	tests := map[string]struct{ method, uri, response string }{
		"headers":      {"GET", "/a//b/../c?x=%2F;y&z", "404 Gone\r\nEtag: a\r\nEtag: b\r\nMustardring-Reason: x\r\nContent-Length: 2\r\n\r\nno"},
		"chunked":      {"GET", "/", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
		"head":         {"HEAD", "/", "200 OK\r\nContent-Length: 9\r\nEtag: 1\r\n\r\n"},
		"not modified": {"GET", "/", "304 Not Modified\r\nEtag: 1\r\n\r\n"},
		"odd status":   {"OPTIONS", "/*", "299 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		"not run":      {"GET", "/", "503 X\r\nNot-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, seen := newCarryPair(t, 8*time.Second), make(chan string, 2)
			p.server = func(c net.Conn, r *http.Request) {
				seen <- fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header)
				respondWith("HTTP/1.1 "+test.response)(c, r)
			}
			carried := p.send(t.Context(), test.method, test.uri)
			p.first.edge.Carrier = nil
			is.Equal(carried, p.send(t.Context(), test.method, test.uri))
			is.Equal(<-seen, <-seen)
			is.Equal(p.asked.Load(), int32(1))
		})
	}
}

// tunnelDialer implements upstr.Dialer with connections that go through another instance.
type tunnelDialer struct{}

func (tunnelDialer) DialServer(ctx context.Context, _, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	return tunnelConn{c, "i9"}, err
}
func (tunnelDialer) Answered(net.Conn) {}

// cut makes the second instance answer as usual, but close the connection when some percent of the bytes have been sent.
func (p *carryPair) cut(percent int) {
	p.peers = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var out strings.Builder
		recorded := httptest.NewRecorder()
		p.second.handleCarry(recorded, r)
		_ = recorded.Result().Write(&out)
		c, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(c, out.String()[:out.Len()*percent/100])
		_ = c.Close()
	})
}

// writeWithoutEnd writes a head and a body until that fails.
func writeWithoutEnd(w io.Writer, head string) {
	_, err := io.WriteString(w, head)
	for block := strings.Repeat("x", 4096); err == nil; {
		_, err = io.WriteString(w, block)
	}
}

// Guards against requests that run twice or not at all, or are said not to have run when they may have, when the second
// instance or the server does not answer as usual, against instances that are asked again and again in vain, and against responses without end.
func TestCarriedThroughAnUnusualInstance(t *testing.T) {
	stops := roster.Heartbeat{Name: "i1", Incarnation: 1, Stopping: true}
	tests := map[string]struct {
		prepare func(p *carryPair)
		// want holds the statuses of two requests, how often the server ran one and the second instance was asked, and the counts.
		want string
	}{
		"as usual":         {func(*carryPair) {}, `200 200 2 2 {"sent": 2}`},
		"previous release": {func(p *carryPair) { p.peers = http.NotFoundHandler() }, `200 200 2 1 {"not-sent": 1}`},
		"stopping":         {func(p *carryPair) { close(p.second.stopping) }, `200 200 2 1 {"not-sent": 1}`},
		"known to stop":    {func(p *carryPair) { p.first.roster.RecordHeartbeat(stops, time.Now()) }, `200 200 2 0 {}`},
		"suspected":        {func(p *carryPair) { p.first.roster.Suspect("i1", time.Now()) }, `200 200 2 0 {}`},
		"upgraded": {func(p *carryPair) {
			now := p.peers
			p.peers = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				e, _ := p.first.roster.Peer("i1")
				e.Incarnation, p.peers = 2, now
				p.first.roster.Put("i1", e.Entry, time.Now())
				http.NotFound(w, r)
			})
		}, `200 200 2 2 {"not-sent": 1, "sent": 1}`},
		"own path lost":   {func(p *carryPair) { p.first.dialer.Table.Suspect("s1", time.Now()) }, `200 200 2 0 {}`},
		"its path lost":   {func(p *carryPair) { p.second.dialer.Table.Suspect("s1", time.Now()) }, `200 200 2 2 {"not-sent": 2}`},
		"through a third": {func(p *carryPair) { p.second.edge.ConnPool.Dialer = tunnelDialer{} }, `200 200 2 2 {"not-sent": 2}`},
		"unknown server":  {func(p *carryPair) { p.second.cluster.snapshot.Store(&rules.ServerSet{}) }, `200 200 2 2 {"not-sent": 2}`},
		"other address": {func(p *carryPair) {
			s, _ := p.second.Server("s1")
			s.Address = strings.Replace(s.Address, "127.0.0.1", "localhost", 1)
			p.second.cluster.snapshot.Store(rules.NewServerSet(map[string]rules.Server{"s1": s}))
		}, `200 200 2 2 {"not-sent": 2}`},
		"unknown sender": {func(p *carryPair) { p.second.roster.Remove("i0", time.Now()) }, `200 200 2 2 {"not-sent": 2}`},
		"breaks at once": {func(p *carryPair) { p.cut(0) }, `502 200 2 1 {"lost": 1}`},
		"breaks in head": {func(p *carryPair) { p.cut(20) }, `502 200 2 1 {"lost": 1}`},
		"breaks in body": {func(p *carryPair) { p.cut(99) }, `502 200 2 1 {"lost": 1}`},
		"server sends no end": {func(p *carryPair) {
			p.server = func(c net.Conn, _ *http.Request) { writeWithoutEnd(c, "HTTP/1.1 200 OK\r\n\r\n") }
		}, `502 502 2 2 {"lost": 2}`},
		"sends no end": {func(p *carryPair) {
			p.peers = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerOutcome, outcomeSent)
				writeWithoutEnd(w, "HTTP/1.1 200 OK\r\n\r\n")
			})
		}, `502 502 0 2 {"lost": 2}`},
		"server breaks off": {func(p *carryPair) {
			p.server = func(c net.Conn, r *http.Request) {
				respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfin")(c, r)
				_ = c.Close()
			}
		}, `502 502 2 2 {"lost": 2}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newCarryPair(t, 8*time.Second)
			test.prepare(p)
			first := p.send(t.Context(), "GET", "/")
			p.first.edge.ConnPool.CloseIdle()
			second := p.send(t.Context(), "GET", "/")
			is.Equal(fmt.Sprint(first.Status, " ", second.Status, p.runs.Load(), p.asked.Load(), " ", p.first.carrier.counts), test.want)
		})
	}
}

// Guards against a server that works on for a caller who has left or whose time is over, and an instance that ends meanwhile.
func TestCallerOfACarriedRequestLeaves(t *testing.T) {
	for name, leaves := range map[string]bool{"caller leaves": true, "deadline": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			timeout, startedAt := time.Second, time.Now()
			if leaves {
				timeout = 10 * time.Second
			}
			p, closed := newCarryPair(t, timeout), make(chan int64)
			p.server = func(c net.Conn, _ *http.Request) {
				carried := p.second.carried.Load()
				if leaves {
					leave()
				}
				_, _ = c.Read(make([]byte, 1))
				closed <- carried
			}
			reply := p.send(ctx, "GET", "/")
			is.True(reply.Abort == leaves && (leaves || reply.Status == http.StatusGatewayTimeout))
			is.Equal(<-closed, int64(1))
			is.True(time.Since(startedAt) < 8*time.Second)
			is.Equal(p.asked.Load(), int32(1))
		})
	}
}

// Guards against connections beyond what a server accepts: two instances take themselves for the one in charge, and the
// half of the instances that is lost keeps what it had.
func TestConnectionsOfInstancesInCharge(t *testing.T) {
	const instances = 80
	is := is.New(t)
	for _, maxConns := range []int{60, 110, 330, 650, 660, 1000, 10_000} {
		for slots := 1; slots <= 8; slots++ {
			own := func(among int) int { return upstr.OwnConns(ownConnections(maxConns, among), slots) }
			before, after := extraConnections(maxConns, instances, slots), extraConnections(maxConns, instances/2, slots)
			is.True(before == 0 || instances*own(instances)+2*before <= maxConns)
			is.True(after == 0 || instances/2*(own(instances)+own(instances/2))+2*after <= maxConns)
			is.True(before == slots+2 || maxConns < 10_000)
		}
	}
}

// flushWatch notes how many requests are carried when an answer is flushed.
type flushWatch struct {
	*httptest.ResponseRecorder
	node    *Node
	carried []int64
}

func (w *flushWatch) Flush() {
	w.carried = append(w.carried, w.node.carried.Load())
	w.ResponseRecorder.Flush()
}

// Guards against an instance that ends its stop while the answer to a request of another one has not been written.
func TestCarriedRequestCountsUntilItsAnswerIsWritten(t *testing.T) {
	tests := map[string]string{"answered": "i0", "refused": "unknown"}
	for name, sender := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newCarryPair(t, 8*time.Second)
			outer := httptest.NewRequest(http.MethodPost, pathRequests, strings.NewReader("GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"))
			outer.RemoteAddr = "127.0.0.1:9"
			server, _ := p.second.cluster.servers().Get("s1")
			outer.Header = http.Header{
				headerServer: {"s1"}, headerInstance: {sender}, headerIncarnation: {"1"}, headerLeft: {"2000"},
				headerAddress: {server.Address},
			}
			w := &flushWatch{ResponseRecorder: httptest.NewRecorder(), node: p.second.Node}
			p.second.handleCarry(w, outer)
			is.Equal(w.carried, []int64{1})
			is.Equal(p.second.carried.Load(), int64(0))
			is.Equal(w.Header().Get(headerOutcome) == outcomeSent, sender == "i0")
		})
	}
}
