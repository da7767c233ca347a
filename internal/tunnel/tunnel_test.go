package tunnel_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/tunnel"
	"example.org/mustardring/internal/upstr"
)

// listen accepts connections and handles each with a function, until the test ends. It returns the address.
func listen(t *testing.T, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// middle is an instance that carries tunnels to one server.
type middle struct {
	address string
	allowed func() bool
	refuses tunnel.Reason
	// senders takes the connection to the sender of each tunnel that was accepted.
	senders chan net.Conn
	// ended takes a value when a tunnel has ended.
	ended chan struct{}
}

// newMiddle starts a middle in front of a server.
func newMiddle(t *testing.T, server string) *middle {
	t.Helper()
	m := &middle{allowed: func() bool { return true }, senders: make(chan net.Conn, 8), ended: make(chan struct{}, 8)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.address = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := tunnel.ParseRequest(r); !ok || m.refuses != "" {
			tunnel.Refuse(w, m.refuses)
			return
		}
		to, err := net.Dial("tcp4", server)
		if err != nil {
			tunnel.Refuse(w, tunnel.Unreachable)
			return
		}
		sender, err := tunnel.Accept(w)
		if err != nil {
			return
		}
		m.senders <- sender
		tunnel.Carry(sender, to, m.allowed)
		m.ended <- struct{}{}
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return m
}

// open opens a tunnel through the middle.
func (m *middle) open() (*tunnel.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return tunnel.Open(ctx, tunnel.Settings{
		Via: "middle", Address: m.address, Dial: (&net.Dialer{}).DialContext, Usable: func() bool { return true }, OnClose: func(*tunnel.Conn) {},
	}, tunnel.Request{Server: "s1", Instance: "i1", Incarnation: 1})
}

// Guards against a response that seems complete although it broke off, at the server or in the middle.
func TestEndOfTheServersBytes(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 10_000)
	cases := map[string]struct {
		// end ends the connection of the server, after it has sent body.
		end      func(server *net.TCPConn, sender net.Conn)
		complete bool
	}{
		"server closes": {func(server *net.TCPConn, _ net.Conn) { _ = server.Close() }, true},
		"server resets": {func(server *net.TCPConn, _ net.Conn) {
			_ = server.SetLinger(0)
			_ = server.Close()
		}, false},
		"middle ends": {func(_ *net.TCPConn, sender net.Conn) { _ = sender.Close() }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := make(chan *net.TCPConn, 1)
			address := listen(t, func(s *net.TCPConn) {
				_, _ = s.Read(make([]byte, 1))
				_, _ = s.Write(body)
				servers <- s
			})
			m := newMiddle(t, address)
			conn, err := m.open()
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("x"))
			is.NoErr(err)
			got := make([]byte, len(body))
			_, err = io.ReadFull(conn, got)
			is.NoErr(err)
			is.True(bytes.Equal(got, body))
			c.end(<-servers, <-m.senders)
			_, err = conn.Read(make([]byte, 1))
			is.True(err != nil)
			is.Equal(errors.Is(err, io.EOF), c.complete)
		})
	}
}

// Guards against a server that works on after the caller has left.
func TestServerHearsThatTheCallerLeft(t *testing.T) {
	is := is.New(t)
	left := make(chan time.Time, 1)
	address := listen(t, func(s *net.TCPConn) {
		_, _ = io.Copy(io.Discard, s)
		left <- time.Now()
	})
	m := newMiddle(t, address)
	conn, err := m.open()
	is.NoErr(err)
	_, err = conn.Write([]byte("work"))
	is.NoErr(err)
	began := time.Now()
	is.NoErr(conn.Close())
	is.True((<-left).Sub(began) < 500*time.Millisecond)
	<-m.ended
}

// Guards against a request that reaches a server which accepts no more of them, over a tunnel that was opened before.
func TestTunnelEndsWhenTheServerLeaves(t *testing.T) {
	is := is.New(t)
	bodies := make(chan string, 2)
	address := listen(t, func(s *net.TCPConn) {
		in := bufio.NewReader(s)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				close(bodies)
				return
			}
			bodies <- line
			_, _ = s.Write([]byte("done\n"))
		}
	})
	m := newMiddle(t, address)
	accepts := true
	m.allowed = func() bool { return accepts }
	conn, err := m.open()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	_, _ = conn.Write([]byte("one\n"))
	answer, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(answer, "done\n")
	accepts = false
	conn.BeginRequest()
	_, _ = conn.Write([]byte("two\n"))
	_, err = in.ReadString('\n')
	is.True(errors.Is(err, upstr.ErrNotPassedOn))
	is.Equal(<-bodies, "one\n")
	_, more := <-bodies
	is.True(!more)
}

// Guards against a request whose body is cut because its server begins to leave while it is sent.
func TestRequestInProgressIsSentWhole(t *testing.T) {
	is := is.New(t)
	received := make(chan int64, 1)
	address := listen(t, func(s *net.TCPConn) {
		n, _ := io.Copy(io.Discard, s)
		received <- n
	})
	m := newMiddle(t, address)
	calls := 0
	m.allowed = func() bool { calls++; return calls == 1 }
	conn, err := m.open()
	is.NoErr(err)
	body := make([]byte, 1<<20)
	_, err = conn.Write(body)
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.Equal(<-received, int64(len(body)))
}

func TestRefusedTunnel(t *testing.T) {
	reasons := map[string]tunnel.Reason{"no path": tunnel.NoPath, "busy": tunnel.Busy, "unregistered": tunnel.Unregistered}
	for name, reason := range reasons {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMiddle(t, "127.0.0.1:1")
			m.refuses = reason
			_, err := m.open()
			var refused *tunnel.RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, reason)
		})
	}
}

// Guards against a request that waits for an instance in the middle that stands still.
func TestMiddleStandsStill(t *testing.T) {
	is := is.New(t)
	m := &middle{address: listen(t, func(*net.TCPConn) {})}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := tunnel.Open(ctx, tunnel.Settings{Address: m.address, Dial: (&net.Dialer{}).DialContext}, tunnel.Request{Server: "s1", Instance: "i1"})
	is.True(err != nil)
	is.True(time.Since(began) < 400*time.Millisecond)
}

// Guards against calling a request not passed on whose beginning has reached the server.
func TestRefusalAfterBytesOfTheServer(t *testing.T) {
	is := is.New(t)
	address := listen(t, func(s *net.TCPConn) {
		_, _ = bufio.NewReader(s).ReadString('\n')
		_, _ = s.Write([]byte("early\n"))
	})
	m := newMiddle(t, address)
	requests := 0
	m.allowed = func() bool { requests++; return requests == 1 }
	conn, err := m.open()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	conn.BeginRequest()
	_, _ = conn.Write([]byte("first part\n"))
	_, err = in.ReadString('\n')
	is.NoErr(err)
	_, _ = conn.Write([]byte("second part\n"))
	_, err = in.ReadString('\n')
	is.True(err != nil)
	is.True(!errors.Is(err, upstr.ErrNotPassedOn))
}
