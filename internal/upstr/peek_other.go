//go:build !linux

package upstr

import "net"

// peeker is not implemented on this system.
type peeker struct{}

func newPeeker(net.Conn) *peeker { return &peeker{} }

// usable always returns true: the state of the connection is unknown.
func (p *peeker) usable() bool { return true }
