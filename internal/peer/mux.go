// Package peer carries typed calls between entry instances: jsonrpc2 over mutual TLS.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Method names a call.
type Method string

// Handler answers the calls of one method.
type Handler interface {
	// Handle decodes the parameters, runs the call and returns its result.
	Handle(ctx context.Context, params json.RawMessage) (any, error)
}

// HandlerFunc makes a Handler of a function over typed parameters and results.
type HandlerFunc[P, R any] func(ctx context.Context, params P) (R, error)

// Handle implements Handler.
func (f HandlerFunc[P, R]) Handle(ctx context.Context, raw json.RawMessage) (any, error) {
	var params P
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(ctx, params)
}

// Mux finds the handler of a method.
type Mux struct {
	handlers map[Method]Handler
}

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Method]Handler)}
}

// Register adds the handler of a method. It must not be called once the mux serves.
func Register[P, R any](m *Mux, method Method, handle func(ctx context.Context, params P) (R, error)) {
	m.handlers[method] = HandlerFunc[P, R](handle)
}

func (m *Mux) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, found := m.handlers[Method(req.Method)]
	if !found {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	return h.Handle(ctx, *req.Params)
}

// Errors of calls.
var (
	// ErrUnreachable says that no connection could be had, so the call did not reach the peer.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrUncertain says that the connection ended before the answer: the call may have run.
	ErrUncertain = errors.New("peer: no answer")
	// ErrRejected says that the peer answered with an error.
	ErrRejected = errors.New("peer: refused")
)

func wrapCallError(method Method, err error) error {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return fmt.Errorf("%w: %s: %w", ErrRejected, method, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUncertain, method, err)
}
