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
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/upstr"
)

var (
	// errMismatchedResponse says that a server sent the answer to another request.
	errMismatchedResponse = errors.New("edge: answer to another request")
	// errServerClosed says that the server takes no more requests, or not this one now.
	errServerClosed = errors.New("edge: the server takes the request no more")
)

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
}

// noUserAgent keeps net/http from adding a User-Agent of its own.
var noUserAgent = []string{""}

// send sends the request to a server and returns the head of its answer.
func (q *request) send(ctx context.Context, s rules.Server) (*http.Response, error) {
	out := (&http.Request{
		Method: q.Method, URL: q.URL, Host: q.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(q.Header)+2), ContentLength: int64(len(q.body)),
	}).WithContext(ctx)
	if len(q.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	copyEndToEndHeaders(out.Header, q.Header)
	if _, found := out.Header["User-Agent"]; !found {
		out.Header["User-Agent"] = noUserAgent
	}
	q.edge.Codec.EncodeTarget(out.Header, s.ID, time.Until(q.deadline))
	pool := q.edge.ConnPool.clientFor(s)
	began := time.Now()
	return pool.Send(out, upstr.SendOptions{
		Deadline: q.deadline, InMemory: true, Done: func(bool) {},
		BeforeWrite: func() error { return q.checkServer(s.ID, time.Since(began)) },
	})
}

// checkServer decides, immediately before the first byte, whether the server still takes the request.
//
// It guards against the time until a connection is there, which is long on a busy instance: a request whose
// permit came in time would reach a server beyond its own. After this look only the way to the server is left.
func (q *request) checkServer(server string, took time.Duration) error {
	now := time.Now()
	s, found := q.edge.Cluster.Server(server)
	q.dispatchDelay, q.leavesIn = took, s.LeavesIn(now)
	if !found || s.Closed(q.divided, now) || s.Cold(now) && took > maxColdDispatchDelay {
		return errServerClosed
	}
	return nil
}

// maxColdDispatchDelay is how long after its permit a request may be sent to a cold server: one that waited longer for its
// connection would arrive among those of another span.
const maxColdDispatchDelay = 300 * time.Millisecond

// copyEndToEndHeaders copies the headers that concern more than one connection.
func copyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
}

// readWhole reads an answer to its end. Only then is it known to be whole: a part must not reach
// the caller as if it were all.
func readWhole(r *http.Response) (*inlet.Reply, error) {
	defer r.Body.Close()
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, 1<<20)) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(r.Body); err != nil {
		return nil, err
	}
	h := make(http.Header, len(r.Header))
	copyEndToEndHeaders(h, r.Header)
	return &inlet.Reply{Status: r.StatusCode, Header: h, Body: body.Bytes()}, nil
}

// The settings of connections to servers.
const (
	// serverIdleTimeout is below the ten seconds after which servers close idle connections.
	serverIdleTimeout = 8 * time.Second
	// serverUserTimeout ends a connection to a machine that has gone dark. Three packets in a row
	// that get lost on a bad link take longer only once in some ten thousand.
	serverUserTimeout = 1200 * time.Millisecond
	// serverSilenceTimeout is beyond all deadlines: a server is not asked in between whether it lives.
	serverSilenceTimeout = time.Minute
)

// ConnPool holds the connections to servers.
type ConnPool struct {
	// Connections returns how many connections this instance may open to one server.
	Connections func(service string) int

	mu      sync.Mutex
	clients map[string]*upstr.Client
}

// NewConnPool returns a pool.
func NewConnPool(connections func(service string) int) *ConnPool {
	return &ConnPool{Connections: connections, clients: map[string]*upstr.Client{}}
}

func (p *ConnPool) clientFor(s rules.Server) *upstr.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.clients[s.ID]
	if known == nil {
		known = upstr.NewClient(upstr.Settings{
			Name: s.ID, Address: s.Address, MaxConns: p.Connections(s.Service), Slots: s.Slots,
			IdleTimeout: serverIdleTimeout, SilenceTimeout: serverSilenceTimeout, NoDeathMonitor: true, CancelByFullClose: true, UserTimeout: serverUserTimeout,
		})
		p.clients[s.ID] = known
	}
	return known
}

// Retain closes the connections to servers that are gone.
func (p *ConnPool) Retain(there func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.clients {
		if !there(id) {
			s.Close()
			delete(p.clients, id)
		}
	}
}
