package node

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/upstr"
)

// serverDialTimeout limits an attempt to connect to a server.
const serverDialTimeout = 2 * time.Second

// serverDialer opens the connections to servers for requests of callers, and logs what that shows of the paths to them. It
// implements upstr.Dialer.
type serverDialer struct {
	dial   upstr.DialFunc
	events *event.Log
	// counts holds the number of connections by how they were opened, and of failures.
	counts *expvar.Map

	mu sync.Mutex
	// failedInRow holds the servers that could not be connected to since the last connection or response of any server,
	// which was at answeredAt.
	failedInRow map[string]struct{}
	answeredAt  time.Time
}

func newServerDialer(dial upstr.DialFunc, events *event.Log) *serverDialer {
	return &serverDialer{dial: dial, events: events, counts: new(expvar.Map).Init(), failedInRow: map[string]struct{}{}}
}

// DialServer implements upstr.Dialer.
func (d *serverDialer) DialServer(ctx context.Context, name, address string) (net.Conn, error) {
	began := time.Now()
	c, err := d.connect(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.counts.Add("direct", 1)
		d.answered()
		return c, nil
	}
	d.counts.Add("failed", 1)
	d.failedInRow[name] = struct{}{}
	d.events.Record(event.StateChange, "server-not-connected", "server", name, "took", time.Since(began),
		"servers-in-row", len(d.failedInRow), "answer-age", time.Since(d.answeredAt), "error", err)
	return nil, err
}

// connect opens a connection and sets its options.
func (d *serverDialer) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, serverDialTimeout)
	defer cancel()
	c, err := d.dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := upstr.Configure(c, edge.ServerUserTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Answered implements upstr.Dialer.
func (d *serverDialer) Answered(net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered()
}

// answered records a sign of life of a server. The lock is held.
func (d *serverDialer) answered() {
	clear(d.failedInRow)
	d.answeredAt = time.Now()
}
