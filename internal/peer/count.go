package peer

import "net"

// countingConn reports the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	count func(in, out int)
}

// withCount returns a connection that reports to count, or conn itself if count is nil.
func withCount(conn net.Conn, count func(in, out int)) net.Conn {
	if count == nil {
		return conn
	}
	return countingConn{Conn: conn, count: count}
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(0, n)
	return n, err
}
