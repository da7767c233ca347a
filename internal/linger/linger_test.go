package linger_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/linger"
)

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), c.(*net.TCPConn)
}

// Guards against a reset that destroys what the peer has yet to receive, as it still sends.
func TestPeerReceivesAllThoughItSends(t *testing.T) {
	tests := map[string]linger.Input{"discarded": linger.Discard, "kept": linger.Keep}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			_ = far.SetReadBuffer(64 << 10)
			sent := bytes.Repeat([]byte("x"), 256<<10)
			_, err := near.Write(sent)
			is.NoErr(err)
			ended := make(chan linger.Queue, 1)
			go func() { ended <- linger.Close(near, input, 5*time.Second) }()
			received := 0
			for part := make([]byte, 16<<10); err == nil; {
				var n int
				_, _ = far.Write([]byte("more"))
				n, err = far.Read(part)
				received += n
			}
			is.Equal(err, io.EOF)
			is.Equal(received, len(sent))
			select {
			case <-ended:
				t.Fatal("closed before the peer")
			default:
			}
			_ = far.Close()
			is.Equal((<-ended).Unacked, 0)
		})
	}
}

// Guards against a connection that is kept for a peer which receives nothing, however much it sends.
func TestSilentPeerIsGivenUp(t *testing.T) {
	tests := map[string]linger.Input{"discarded": linger.Discard, "kept": linger.Keep}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			go func() {
				for err := error(nil); err == nil; _, err = far.Write(make([]byte, 100)) {
					time.Sleep(time.Millisecond)
				}
			}()
			began := time.Now()
			linger.Close(near, input, 200*time.Millisecond)
			is.True(time.Since(began) >= 200*time.Millisecond)
			is.True(time.Since(began) < 2*time.Second)
		})
	}
}

// Guards against a write that never ends, to a peer that receives nothing.
func TestWriteToASilentPeerFails(t *testing.T) {
	is := is.New(t)
	near, _ := pair(t)
	began := time.Now()
	n, err := linger.Write(near, make([]byte, 64<<20), 100*time.Millisecond)
	is.True(err != nil)
	is.True(n < 64<<20)
	is.True(time.Since(began) < 5*time.Second)
}
