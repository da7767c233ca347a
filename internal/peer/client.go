package peer

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one other instance. It connects when it is first used and again after a
// connection has ended.
type Client struct {
	address string
	config  *tls.Config
	count   func(in, out int)

	// lock guards conn. It is a channel so that a call which waits for another one's dial
	// gives up when its own context ends.
	lock chan struct{}
	conn *jsonrpc2.Conn
}

// NewClient returns a client of the instance at an IP address and port. Count, if not nil, is
// told of plain bytes read and written.
func NewClient(address string, config *tls.Config, count func(in, out int)) *Client {
	return &Client{address: address, config: config, count: count, lock: make(chan struct{}, 1)}
}

// Call runs a method at the peer and waits for the result or the end of the context. A call
// that ends by its context drops the connection: something between the two ends may have
// lost track of it, and a connection in that state stays silent for good while a new one
// works.
func Call[P, R any](ctx context.Context, c *Client, method Method, params P) (R, error) {
	var result R
	conn, err := c.connect(ctx)
	if err != nil {
		return result, fmt.Errorf("%w: %s: %w", ErrUnreachable, method, err)
	}
	if err := conn.Call(ctx, string(method), params, &result); err != nil {
		if ctx.Err() != nil {
			c.drop(conn)
		}
		return result, wrapCallError(method, err)
	}
	return result, nil
}

// Close ends the connection. The client may be used again.
func (c *Client) Close() {
	c.lock <- struct{}{}
	defer c.unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	select {
	case c.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer c.unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	dialer := tls.Dialer{Config: c.config}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.conn = jsonrpc2.NewConn(context.Background(), newStream(withCount(conn, c.count)), ignoreCalls{})
	return c.conn, nil
}

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.lock <- struct{}{}
	defer c.unlock()
	conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}

func (c *Client) unlock() {
	<-c.lock
}

// ignoreCalls ignores calls in the reverse direction, which no instance makes.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
