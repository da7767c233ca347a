package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/paths"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/upstr"
)

var (
	// errServerClosed is the error of a request that was not sent because the server does not
	// accept it any more.
	errServerClosed = errors.New("edge: server no longer accepts the request")
	// errDirectoryOutdated is the error of a request that was not sent because every server that takes it may have left.
	errDirectoryOutdated = errors.New("edge: news of the directory are overdue")
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
}

// noUserAgent keeps net/http from adding its own User-Agent.
var noUserAgent = []string{""}

// outgoing returns the request as it is sent on, but for what HeaderCodec.EncodeTarget sets.
func (q *request) outgoing(ctx context.Context) *http.Request {
	out := (&http.Request{
		Method: q.Method, URL: q.target, Host: q.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(q.Header)+2), ContentLength: int64(len(q.body)),
	}).WithContext(ctx)
	if len(q.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	copyEndToEndHeaders(out.Header, q.Header)
	if _, found := out.Header["User-Agent"]; !found {
		out.Header["User-Agent"] = noUserAgent
	}
	return out
}

// send sends the request, which was admitted at a time, to a server and returns the response once its head has arrived. The
// caller must read and close the body.
func (q *request) send(ctx context.Context, to rules.Server, admittedAt time.Time) (*http.Response, error) {
	out := q.outgoing(ctx)
	client := q.edge.ConnPool.clientFor(to)
	return client.Send(out, upstr.SendOptions{
		Deadline: q.deadline, InMemory: true, Done: func(bool) {}, Verify: q.verify,
		// A response without an ID belongs to a request without one only if the connection has carried no other.
		NewConn: q.info.ID == "", AvoidConns: q.usedConns,
		BeforeWrite: func(s upstr.Sending) error {
			q.through = paths.Via(s.Conn)
			if q.through != "" && q.ownPath {
				return errNoOwnPath
			}
			// The time left does not include that for the connection.
			q.edge.Codec.EncodeTarget(out.Header, to.ID, time.Until(q.deadline))
			if err := q.checkServer(to.ID, time.Since(admittedAt)); err != nil {
				return err
			}
			q.beginSending(s)
			return nil
		},
		Written: func() {
			now := time.Now()
			q.writeDelay = now.Sub(q.checkedAt)
			q.edge.Cluster.ObserveSendDelay(q.writeDelay, now)
		},
	})
}

// checkServer returns an error if the server no longer accepts the request. It is called immediately
// before the first byte is written; took is the time that it took to get a connection.
//
// Getting a connection can take long on a busy instance. Without this check, a request that was
// admitted in time could reach a server that has left since, or has asked for rest. What comes after it is measured, see
// Cluster.ObserveSendDelay.
func (q *request) checkServer(server string, took time.Duration) error {
	now := time.Now()
	q.checkedAt = now
	s, found := q.edge.Cluster.Server(server)
	q.dispatchDelay, q.leavesIn = took, s.LeavesIn(now)
	bounded := s.Cold(now) || s.RateLimit > 0
	if !found || s.Closed(q.divided, now) || q.serverRests(server) || bounded && took > maxBoundedDispatchDelay {
		return errServerClosed
	}
	if q.undivided && q.edge.Cluster.DirectoryOutdated() {
		return errDirectoryOutdated
	}
	return nil
}

// maxBoundedDispatchDelay is how long after its admission a request may be sent to a server that
// bears a bounded rate. The admission controller limits the requests to it in each period of time. A
// request that waits longer for its connection would arrive among the requests of a later period.
const maxBoundedDispatchDelay = 300 * time.Millisecond

// copyEndToEndHeaders copies all headers but the hop-by-hop ones.
func copyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
}

// readWhole reads a response to its end. A response that was cut short or is too large returns an error, so that
// the caller never gets a part of a response as if it were complete.
func (e *Edge) readWhole(r *http.Response) (*inlet.Reply, error) {
	defer r.Body.Close()
	length := r.ContentLength
	if r.Request.Method == http.MethodHead || r.StatusCode == http.StatusNotModified {
		length = 0 // what is stated is the length of a body that does not follow
	}
	body, err := e.ReplyMemory.ReadAll(r.Body, length)
	if err != nil {
		return nil, err
	}
	h := make(http.Header, len(r.Header))
	copyEndToEndHeaders(h, r.Header)
	return &inlet.Reply{Status: r.StatusCode, Header: h, Body: body}, nil
}

// The settings of connections to servers.
const (
	// serverIdleTimeout is below the ten seconds after which servers close idle connections.
	serverIdleTimeout = 8 * time.Second
	// ServerUserTimeout is the time after which a connection to an unreachable machine ends. On a
	// lossy link, the recovery from three lost packets in a row takes longer than that only about
	// once in ten thousand cases.
	ServerUserTimeout = 1200 * time.Millisecond
	// serverSilenceTimeout is longer than any deadline, so that a server that has not responded
	// yet is never probed.
	serverSilenceTimeout = time.Minute
)

// ConnPool holds the connections of this instance to the servers.
type ConnPool struct {
	// Connections returns the connection limit of one server of a service, which may change with the
	// number of instances. It is called for each request and becomes upstr.Settings.MaxConns.
	Connections func(service string) int
	// Extra, if not nil, returns how many more connections this instance may open to a server. It is called for each
	// request.
	Extra func(s rules.Server) int
	// Dialer opens the connections; nil means that they are opened directly.
	Dialer upstr.Dialer

	mu      sync.Mutex
	clients map[string]*pooledClient
}

// pooledClient is the client of a server and its connection limit.
type pooledClient struct {
	*upstr.Client
	maxConns int
	extra    int
}

// NewConnPool returns a pool without connections. The arguments become ConnPool.Connections and ConnPool.Dialer.
func NewConnPool(connections func(service string) int, dialer upstr.Dialer) *ConnPool {
	return &ConnPool{Connections: connections, Dialer: dialer, clients: map[string]*pooledClient{}}
}

// clientFor returns the client of a server, a new one if there is none.
func (p *ConnPool) clientFor(s rules.Server) *upstr.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxConns, extra := p.Connections(s.Service), 0
	if p.Extra != nil {
		extra = p.Extra(s)
	}
	client := p.clients[s.ID]
	if client == nil {
		client = &pooledClient{maxConns: maxConns, Client: upstr.NewClient(upstr.Settings{
			Name: s.ID, Address: s.Address, MaxConns: maxConns, Slots: s.Slots,
			IdleTimeout: serverIdleTimeout, SilenceTimeout: serverSilenceTimeout, NoDeathMonitor: true, CancelByFullClose: true, UserTimeout: ServerUserTimeout,
			Dialer: p.Dialer,
		})}
		p.clients[s.ID] = client
	}
	if client.maxConns != maxConns || client.extra != extra {
		client.maxConns, client.extra = maxConns, extra
		client.SetMaxConns(maxConns, extra)
	}
	return client.Client
}

// hasIdle reports whether a request to a server would reuse a connection.
func (p *ConnPool) hasIdle(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[server]
	return c != nil && c.HasIdle()
}

// CloseIdle closes the idle connections to all servers.
func (p *ConnPool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.CloseIdle()
	}
}

// CloseIdleTo closes the idle connections to a server.
func (p *ConnPool) CloseIdleTo(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[server]; c != nil {
		c.CloseIdle()
	}
}

// CloseUnusable closes the idle connections to some servers that cannot carry another request.
func (p *ConnPool) CloseUnusable(servers map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server := range servers {
		if c := p.clients[server]; c != nil {
			c.CloseUnusable()
		}
	}
}

// Retain drops the clients of all servers for which exists returns false. Their connections are
// closed as soon as they are idle.
func (p *ConnPool) Retain(exists func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.clients {
		if !exists(id) {
			c.Close()
			delete(p.clients, id)
		}
	}
}
