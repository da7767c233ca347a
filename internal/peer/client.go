package peer

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one other instance. It connects on first use, and again after a connection has
// ended. It is safe for concurrent use.
type Client struct {
	address   string
	tlsConfig *tls.Config
	count     func(in, out int)

	// lock guards conn. It is a channel so that a call that waits for another call to dial
	// returns when its own context ends.
	lock chan struct{}
	conn *jsonrpc2.Conn
}

// NewClient returns a client of the instance at an IP address and port. If count is not nil, it
// is called with the numbers of plaintext bytes read and written.
func NewClient(address string, config *tls.Config, count func(in, out int)) *Client {
	return &Client{address: address, tlsConfig: config, count: count, lock: make(chan struct{}, 1)}
}

// Call runs a method at the peer and waits for the result or the end of the context. Its errors
// wrap ErrUnreachable, ErrUncertain or ErrRejected. A call that ends by its context closes the
// connection: a device between the two ends may have lost the state of the connection, which
// then never recovers, while a new connection works.
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

// Close closes the connection. The next call opens a new one.
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
	dialer := tls.Dialer{Config: c.tlsConfig}
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
