package stubs

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ServerFault holds the fault switches of a backend server. A POST replaces all of them.
type ServerFault struct {
	// FreezeUntil, in Unix milliseconds, stops the whole server until then. It accepts
	// connections but answers nothing, and continues afterwards as a paused process does.
	FreezeUntil int64 `json:"freeze-until,omitempty"`
	// DropConnections closes the connections that are open now.
	DropConnections bool `json:"drop-connections,omitempty"`
	// SilenceConnections makes the connections that are open now lose all requests and responses
	// from now on, without closing them. New connections work.
	SilenceConnections bool `json:"silence-connections,omitempty"`
	// HalfAnswers truncates this many responses in the middle and closes their connections.
	HalfAnswers int `json:"half-answers,omitempty"`
	// WrongLengths gives this many responses a Content-Length below that of their body, so
	// that a client that reuses the connection may read the rest as the next response.
	WrongLengths int `json:"wrong-lengths,omitempty"`
	// Poison is a key or request ID. A request with it crashes the server while it runs.
	Poison string `json:"poison,omitempty"`
	// Crash ends the server now.
	Crash bool `json:"crash,omitempty"`
	// RestartMillis is how long a crashed server stays down, 1000 if zero.
	RestartMillis int64 `json:"restart-ms,omitempty"`
	// Shed makes the server reject each request before it runs.
	Shed bool `json:"shed,omitempty"`
	// ColdUntil, in Unix milliseconds, is the end of a cold start, during which each request
	// takes ten times as long.
	ColdUntil int64 `json:"cold-until,omitempty"`
	// Health is what the health endpoint reports, whatever the state of the server: "down", or
	// "up" for any other value.
	Health string `json:"health,omitempty"`
}

// defaultRestartMillis applies when ServerFault.RestartMillis is not set.
const defaultRestartMillis = 1000

// faults holds the fault switches of one server and counts down the limited ones.
type faults struct {
	mu      sync.Mutex
	current ServerFault
}

func (f *faults) get() ServerFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faults) set(s ServerFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.DropConnections, s.SilenceConnections, s.Crash = false, false, false
	f.current = s
}

// corruptResponse decides how to corrupt the next response, if at all, and counts that down.
func (f *faults) corruptResponse() (half, wrongLength bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current.HalfAnswers > 0:
		f.current.HalfAnswers--
		return true, false
	case f.current.WrongLengths > 0:
		f.current.WrongLengths--
		return false, true
	default:
		return false, false
	}
}

// waitWhileFrozen waits until the server is not frozen and reports whether it was. It waits even if
// the client has disconnected, because a frozen process does not notice.
func (f *faults) waitWhileFrozen() (frozen bool) {
	for {
		wait := time.Until(time.UnixMilli(f.get().FreezeUntil))
		if wait <= 0 {
			return frozen
		}
		frozen = true
		time.Sleep(min(wait, 50*time.Millisecond))
	}
}

// connections tracks the open connections of one server.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]*connection
}

// connection is the state of one open connection.
type connection struct {
	// silent makes the connection lose requests and responses.
	silent atomic.Bool
}

// connectionKey is the context key of the *connection that a request came in on.
type connectionKey struct{}

func newConnections() *connections {
	return &connections{open: make(map[net.Conn]*connection)}
}

// opened is the ConnContext callback of an http.Server.
func (c *connections) opened(ctx context.Context, conn net.Conn) context.Context {
	state := &connection{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = state
	return context.WithValue(ctx, connectionKey{}, state)
}

// stateChanged is the ConnState callback of an http.Server. It forgets closed connections.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// drop closes all connections except the one that ctx belongs to.
func (c *connections) drop(ctx context.Context) {
	own, _ := ctx.Value(connectionKey{}).(*connection)
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if state != own {
			conn.Close()
		}
	}
}

// silence makes all connections that are open now silent.
func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.open {
		state.silent.Store(true)
	}
}

// waitIfSilent returns true at once unless the connection of the request is silent. If it is,
// waitIfSilent waits until the client gives up and returns false.
func waitIfSilent(ctx context.Context) bool {
	state, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || !state.silent.Load() {
		return true
	}
	<-ctx.Done()
	return false
}
