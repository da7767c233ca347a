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
	// errOtherAnswer says that a server sent the answer to another request.
	errOtherAnswer = errors.New("edge: answer to another request")
	// errClosed says that the server takes no more requests, or not this one now.
	errClosed = errors.New("edge: the server takes the request no more")
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
}

// noAgent keeps net/http from adding a User-Agent of its own.
var noAgent = []string{""}

// send sends the request to a server and returns the head of its answer.
func (q *request) send(ctx context.Context, s rules.Server) (*http.Response, error) {
	out := (&http.Request{
		Method: q.Method, URL: q.URL, Host: q.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(q.Header)+2), ContentLength: int64(len(q.body)),
	}).WithContext(ctx)
	if len(q.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	copyHeader(out.Header, q.Header)
	if _, found := out.Header["User-Agent"]; !found {
		out.Header["User-Agent"] = noAgent
	}
	q.edge.Codec.EncodeTarget(out.Header, s.ID, time.Until(q.limitAt))
	pool := q.edge.ConnPool.server(s)
	began := time.Now()
	return pool.Send(out, upstr.SendOptions{
		Deadline: q.limitAt, InMemory: true, Done: func(bool) {},
		BeforeWrite: func() error { return q.dispatch(s.ID, time.Since(began)) },
	})
}

// dispatch decides, immediately before the first byte, whether the server still takes the request.
//
// It guards against the time until a connection is there, which is long on a busy instance: a request whose
// permit came in time would reach a server beyond its own. After this look only the way to the server is left.
func (q *request) dispatch(server string, took time.Duration) error {
	now := time.Now()
	s, found := q.edge.Cluster.Server(server)
	q.dispatched, q.leaving = took, s.LeavesIn(now)
	if !found || s.Closed(q.divided, now) || s.Cold(now) && took > coldSendMost {
		return errClosed
	}
	return nil
}

// coldSendMost is how long after its permit a request may be sent to a cold server: one that waited longer for its
// connection would arrive among those of another span.
const coldSendMost = 300 * time.Millisecond

// copyHeader copies the headers that concern more than one connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopHeaders {
		delete(to, name)
	}
}

// whole reads an answer to its end. Only then is it known to be whole: a part must not reach
// the caller as if it were all.
func whole(r *http.Response) (*inlet.Reply, error) {
	defer r.Body.Close()
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, 1<<20)) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(r.Body); err != nil {
		return nil, err
	}
	h := make(http.Header, len(r.Header))
	copyHeader(h, r.Header)
	return &inlet.Reply{Status: r.StatusCode, Header: h, Body: body.Bytes()}, nil
}

// The settings of connections to servers.
const (
	// idleTime is below the ten seconds after which servers close idle connections.
	idleTime = 8 * time.Second
	// unacknowledged ends a connection to a machine that has gone dark. Three packets in a row
	// that get lost on a bad link take longer only once in some ten thousand.
	unacknowledged = 1200 * time.Millisecond
	// quietMost is beyond all deadlines: a server is not asked in between whether it lives.
	quietMost = time.Minute
)

// ConnPool holds the connections to servers.
type ConnPool struct {
	// Connections returns how many connections this instance may open to one server.
	Connections func(service string) int

	mu      sync.Mutex
	servers map[string]*upstr.Client
}

// NewConnPool returns a pool.
func NewConnPool(connections func(service string) int) *ConnPool {
	return &ConnPool{Connections: connections, servers: map[string]*upstr.Client{}}
}

func (p *ConnPool) server(s rules.Server) *upstr.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[s.ID]
	if known == nil {
		known = upstr.NewClient(upstr.Settings{
			Name: s.ID, Address: s.Address, MaxConns: p.Connections(s.Service), Slots: s.Slots,
			IdleTimeout: idleTime, SilenceTimeout: quietMost, NoDeathMonitor: true, CancelByFullClose: true, UserTimeout: unacknowledged,
		})
		p.servers[s.ID] = known
	}
	return known
}

// Retain closes the connections to servers that are gone.
func (p *ConnPool) Retain(there func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		if !there(id) {
			s.Close()
			delete(p.servers, id)
		}
	}
}
