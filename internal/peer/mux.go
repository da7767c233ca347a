// Package peer implements typed calls between entry instances, as JSON-RPC 2.0 over mutual TLS.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Method is the name of a JSON-RPC method.
type Method string

// Handler handles the calls of one method.
type Handler interface {
	// Handle decodes the parameters, runs the call and returns its result.
	Handle(ctx context.Context, params json.RawMessage) (any, error)
}

// HandlerFunc adapts a function with typed parameters and results to a Handler.
type HandlerFunc[P, R any] func(ctx context.Context, params P) (R, error)

// Handle implements Handler.
func (f HandlerFunc[P, R]) Handle(ctx context.Context, raw json.RawMessage) (any, error) {
	var params P
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(ctx, params)
}

// Mux dispatches calls to the handlers of their methods.
type Mux struct {
	handlers map[Method]Handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Method]Handler)}
}

// Register sets the handler of a method. It must not be called after a Server has started to use
// the mux.
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

// Errors that the error of a Call wraps.
var (
	// ErrUnreachable means that no connection could be made, so the call did not reach the peer.
	ErrUnreachable = errors.New("peer: cannot connect")
	// ErrUncertain means that the call ended without a response: it may have run.
	ErrUncertain = errors.New("peer: no response")
	// ErrRejected means that the peer responded with an error.
	ErrRejected = errors.New("peer: call rejected")
)

// wrapCallError wraps the error of a call that was sent in ErrRejected or ErrUncertain.
func wrapCallError(method Method, err error) error {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return fmt.Errorf("%w: %s: %w", ErrRejected, method, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUncertain, method, err)
}
