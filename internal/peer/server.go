package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits of a server: open connections, running calls, and the time for a TLS handshake.
const (
	maxConnections   = 512
	maxCalls         = 1024
	handshakeTimeout = 5 * time.Second
)

// Server accepts calls from other instances.
type Server struct {
	listener    net.Listener
	mux         *Mux
	count       func(in, out int)
	connections chan struct{}
	calls       chan struct{}
}

// NewServer returns a server that accepts TLS connections on the listener. The TLS
// configuration must require and verify a client certificate. If count is not nil, it is called
// with the numbers of plaintext bytes read and written.
func NewServer(listener net.Listener, config *tls.Config, mux *Mux, count func(in, out int)) *Server {
	return &Server{
		listener:    tls.NewListener(listener, config),
		mux:         mux,
		count:       count,
		connections: make(chan struct{}, maxConnections),
		calls:       make(chan struct{}, maxCalls),
	}
}

// Run accepts connections until the context ends or the listener fails, and returns that error.
// A connection beyond the limit is closed at once.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		select {
		case s.connections <- struct{}{}:
			go s.serve(ctx, conn)
		default:
			conn.Close()
		}
	}
}

// serve handles one connection. It completes the TLS handshake, which verifies the certificate
// of the peer, before it reads a byte of a call. A process without a certificate of the
// authority can thus call nothing.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { <-s.connections }()
	defer conn.Close()
	if err := handshake(ctx, conn.(*tls.Conn)); err != nil {
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.limitCalls).SuppressErrClosed())
	c := jsonrpc2.NewConn(ctx, newStream(withCount(conn, s.count)), handler)
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
		c.Close()
	}
}

// handshake performs the TLS handshake with a timeout, so that a client that sends nothing
// cannot occupy a connection slot for long.
func handshake(ctx context.Context, conn *tls.Conn) error {
	bounded, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return conn.HandshakeContext(bounded)
}

// limitCalls dispatches a call to the mux, or rejects it if maxCalls are already running.
func (s *Server) limitCalls(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	select {
	case s.calls <- struct{}{}:
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many calls"}
	}
	defer func() { <-s.calls }()
	return s.mux.handle(ctx, conn, req)
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}
