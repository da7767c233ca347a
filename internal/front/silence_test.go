package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
)

// startSilentServer starts a server that never responds on the connection of the first request for
// /silent, while other connections work.
func startSilentServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	var silenced atomic.Bool
	var mu sync.Mutex
	var conns []net.Conn
	serve := func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil || r.URL.Path == "/silent" && silenced.CompareAndSwap(false, true) {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			group.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	return l.Addr().String()
}

// A device between gate and server drops the state of a connection, and the connection goes silent.
// An idempotent request on it is retried on a new connection. The slot of the first attempt stays
// occupied, since the server may still run it, and the other slot remains usable.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	i := start(t, "one", func(d *Deps) { d.SilenceTimeout = 20 * time.Millisecond })
	i.finder.set(here(testService(), startSilentServer(t)))
	for range 12 {
		is.Equal(do(t, get(is, i.callers.URL+"/oddaja/page")).outcome(), caller.Ran)
	}
	got := do(t, get(is, i.callers.URL+"/oddaja/silent"))
	is.Equal(got.outcome(), caller.Ran)
	is.Equal(string(got.body), "ok")
	is.Equal(i.front.Status()[0].Servers[0].Busy, 1)
	is.Equal(do(t, get(is, i.callers.URL+"/oddaja/page")).outcome(), caller.Ran)
}
