package upstr

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens the connections of clients.
type Dialer interface {
	// DialServer connects to the server with a name at an address.
	DialServer(ctx context.Context, name, address string) (net.Conn, error)
	// Answered is called for each response of a server with the connection that DialServer returned.
	Answered(c net.Conn)
}

// dialServer opens a connection to the server, by a deadline.
func (cl *Client) dialServer(ctx context.Context, deadline time.Time) (net.Conn, error) {
	if cl.settings.Dialer != nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		return cl.settings.Dialer.DialServer(ctx, cl.settings.Name, cl.settings.Address)
	}
	dialer := cl.dialer
	dialer.Deadline = deadline
	return dialer.DialContext(ctx, "tcp", cl.settings.Address)
}
