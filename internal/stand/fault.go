package stand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ServerFault are the fault switches of a backend server. A POST replaces them all.
type ServerFault struct {
	// FreezeUntil, in Unix milliseconds, stops the whole server until then: it accepts
	// connections, answers nothing, and goes on afterwards as if nothing had happened.
	FreezeUntil int64 `json:"freeze-until,omitempty"`
	// DropConnections closes the connections that are open now.
	DropConnections bool `json:"drop-connections,omitempty"`
	// SilenceConnections makes the connections that are open now silent for good: requests
	// on them do not arrive and answers do not leave. New connections work.
	SilenceConnections bool `json:"silence-connections,omitempty"`
	// HalfAnswers cuts this many answers in the middle and closes their connections.
	HalfAnswers int `json:"half-answers,omitempty"`
	// WrongLengths gives this many answers a Content-Length below that of their body, so
	// that a careless reader takes the rest for the next answer.
	WrongLengths int `json:"wrong-lengths,omitempty"`
	// Poison is the key or request ID whose request crashes the server in the middle.
	Poison string `json:"poison,omitempty"`
	// Crash ends the server now.
	Crash bool `json:"crash,omitempty"`
	// RestartMillis is for how long a crashed server stays down, 1000 if unstated.
	RestartMillis int64 `json:"restart-ms,omitempty"`
	// Shed refuses each request before it runs.
	Shed bool `json:"shed,omitempty"`
	// ColdUntil, in Unix milliseconds, is until when each request takes ten times as long.
	ColdUntil int64 `json:"cold-until,omitempty"`
	// Health is what the health endpoint says whatever the truth: "up" or "down".
	Health string `json:"health,omitempty"`
}

const defaultRestart = 1000

// faults holds the switches of one server.
type faults struct {
	mu  sync.Mutex
	now ServerFault
}

func (f *faults) get() ServerFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faults) set(s ServerFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.DropConnections, s.SilenceConnections, s.Crash = false, false, false
	f.now = s
}

// spoil counts one answer and says how to spoil it.
func (f *faults) spoil() (half, wrongLength bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.now.HalfAnswers > 0:
		f.now.HalfAnswers--
		return true, false
	case f.now.WrongLengths > 0:
		f.now.WrongLengths--
		return false, true
	default:
		return false, false
	}
}

// thaw waits while the server is frozen and reports whether it was. It returns even when the
// peer has gone: a frozen process does not know.
func (f *faults) thaw() (frozen bool) {
	for {
		wait := time.Until(time.UnixMilli(f.get().FreezeUntil))
		if wait <= 0 {
			return frozen
		}
		frozen = true
		time.Sleep(min(wait, 50*time.Millisecond))
	}
}

// connections knows the open connections of one server.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]*connection
}

type connection struct {
	silent atomic.Bool
}

type connectionKey struct{}

func newConnections() *connections {
	return &connections{open: make(map[net.Conn]*connection)}
}

// begin is the ConnContext of an http.Server.
func (c *connections) begin(ctx context.Context, conn net.Conn) context.Context {
	state := &connection{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = state
	return context.WithValue(ctx, connectionKey{}, state)
}

// changed is the ConnState of an http.Server.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
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

// drop closes all connections but the one that ctx belongs to.
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

func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.open {
		state.silent.Store(true)
	}
}

// pass waits for good on a silent connection, until its peer gives it up.
func pass(ctx context.Context) bool {
	state, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok || !state.silent.Load() {
		return true
	}
	<-ctx.Done()
	return false
}
