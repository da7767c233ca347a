//go:build !linux

package upstr

import "net"

// quiet reports true where it cannot be found out.
func quiet(net.Conn) bool { return true }
