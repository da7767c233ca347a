package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Path is the path of requests for a tunnel.
const Path = "/servers"

// maxAnswerSize bounds the response to a request for a tunnel in bytes.
const maxAnswerSize = 8 << 10

// protocol is the protocol that a request for a tunnel upgrades to.
const protocol = "mustardring-tunnel"

// The headers of a request for a tunnel and of its response.
const (
	headerServer      = "Mustardring-Server"
	headerInstance    = "Mustardring-Instance"
	headerIncarnation = "Mustardring-Incarnation"
	headerReason      = "Mustardring-Reason"
)

// Reason says why a tunnel was refused.
type Reason string

// The reasons.
const (
	// Unregistered means that the sender is not a registered instance as far as the receiver knows.
	Unregistered Reason = "unregistered"
	// UnknownServer means that the receiver knows no such server, or that the server accepts no more requests.
	UnknownServer Reason = "unknown-server"
	// NoPath means that the receiver has lost its own path to the server.
	NoPath Reason = "no-path"
	// Unreachable means that the receiver tried and could not connect to the server.
	Unreachable Reason = "unreachable"
	// Busy means that the receiver carries as many tunnels as it can, or is about to stop.
	Busy Reason = "busy"
)

// RefusedError is the error of a tunnel that was refused.
type RefusedError struct{ Reason Reason }

// Error implements error.
func (e *RefusedError) Error() string { return "tunnel: refused: " + string(e.Reason) }

// errSurplus means that bytes came before anything was sent.
var errSurplus = errors.New("tunnel: unexpected bytes")

// Request asks for a tunnel to a server.
type Request struct {
	Server string
	// Instance and Incarnation are those of the sender, as it has registered itself.
	Instance    string
	Incarnation uint64
}

// Settings are the settings of the end of a tunnel.
type Settings struct {
	// Via is the name of the instance to go through, and Address its address.
	Via     string
	Address string
	// Dial connects to that instance.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Usable reports whether the tunnel may carry another request.
	Usable func() bool
	// OnClose is called each time that the tunnel is closed.
	OnClose func(*Conn)
}

// Open asks an instance for a tunnel to a server. If the instance refuses, the error is a *RefusedError.
func Open(ctx context.Context, s Settings, r Request) (*Conn, error) {
	raw, err := s.Dial(ctx, "tcp4", s.Address)
	if err != nil {
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.New("tunnel: not a TCP connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.SetDeadline(time.Unix(1, 0)) })
	err = handshake(tcp, r, s.Address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &Conn{TCPConn: tcp, via: s.Via, usable: s.Usable, onClose: s.OnClose}, nil
}

// handshake sends a request for a tunnel and reads the response.
func handshake(c net.Conn, r Request, host string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+host+Path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	request.Header.Set(headerServer, r.Server)
	request.Header.Set(headerInstance, r.Instance)
	request.Header.Set(headerIncarnation, strconv.FormatUint(r.Incarnation, 10))
	if err := request.Write(c); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	in := bufio.NewReader(io.LimitReader(c, maxAnswerSize))
	response, err := http.ReadResponse(in, request)
	if err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	_ = response.Body.Close()
	switch {
	case response.StatusCode != http.StatusSwitchingProtocols:
		return &RefusedError{Reason(response.Header.Get(headerReason))}
	case in.Buffered() > 0:
		return errSurplus
	}
	return nil
}

// ParseRequest decodes a request for a tunnel. It reports whether it is one.
func ParseRequest(r *http.Request) (Request, bool) {
	incarnation, err := strconv.ParseUint(r.Header.Get(headerIncarnation), 10, 64)
	out := Request{Server: r.Header.Get(headerServer), Instance: r.Header.Get(headerInstance), Incarnation: incarnation}
	return out, err == nil && out.Server != "" && out.Instance != "" && r.Header.Get("Upgrade") == protocol
}

// Refuse answers a request for a tunnel that is refused.
func Refuse(w http.ResponseWriter, reason Reason) {
	w.Header().Set(headerReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}
