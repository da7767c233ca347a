package inlet_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/inlet"
)

// pipeListener accepts connections in memory, which synctest runs on a fake clock.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, open := <-l; open {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return nil }

func (l pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l <- far
	return near
}

// servePipes serves requests whose handler runs for the milliseconds that their host states, and replies with as many bytes as
// their path states. Logged counts the calls of MemoryDeps.Rejected.
func servePipes(t *testing.T, limit int64) (l pipeListener, s *inlet.Server, m *inlet.Memory, logged *atomic.Int64) {
	l, logged = make(pipeListener), new(atomic.Int64)
	m = inlet.NewMemory(limit, inlet.MemoryDeps{Rejected: func(inlet.BodyRejection) { logged.Add(1) }})
	s = inlet.New(func(ctx context.Context, r *http.Request) *inlet.Reply {
		ms, _ := strconv.Atoi(r.Host)
		size, _ := strconv.Atoi(r.URL.Path[1:])
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
			return okReply(strings.Repeat("x", size))
		case <-ctx.Done():
			return nil
		}
	}, defaultLimits, m)
	serveOn(t, s, l)
	return l, s, m, logged
}

// post sends a body on a connection of its own. It returns the status, zero if there is no reply, and the Retry-After in seconds.
func (l pipeListener) post(host string, body io.Reader) (status int, retryAfter float64) {
	c := l.dial()
	defer c.Close()
	r, _ := http.NewRequest(http.MethodPost, "http://"+host+"/0", body)
	go func() { _ = r.Write(c) }()
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, retryAfter
}

// Uploads that arrive faster than they end must not take more than the limit, apart from the first 4 KB of each, and must not
// keep small requests from being served.
func TestUploadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit, callers, uploads = 2 << 20, 200, 10
		l, _, m, logged := servePipes(t, limit)
		var rejected atomic.Int64
		var group sync.WaitGroup
		for i := range callers {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			group.Go(func() {
				for range uploads {
					size := int(min(random.ExpFloat64()*(60<<10), 360<<10))
					if i%4 == 0 {
						size = random.IntN(200)
					}
					body := bytes.NewReader(make([]byte, size))
					// A MultiReader has no length, so its body is sent in chunks.
					status, retryAfter := l.post("50", []io.Reader{body, io.MultiReader(body)}[i%2])
					if status == http.StatusServiceUnavailable && size > 4<<10 && retryAfter >= 0.1 && retryAfter <= 2 {
						rejected.Add(1)
					} else if status != http.StatusOK {
						t.Errorf("%d bytes: status %d, Retry-After %v", size, status, retryAfter)
					}
				}
			})
		}
		group.Wait()
		synctest.Wait()
		got := m.Snapshot()
		is.True(got.Peak > limit/2 && got.Peak <= limit+callers*4<<10)
		is.True(got.Rejected > callers && got.Rejected < callers*uploads)
		is.Equal(got, inlet.MemorySnapshot{Peak: got.Peak, Rejected: rejected.Load()})
		is.Equal(got.Rejected, logged.Load())
	})
}

// Whatever way a request ends, the bytes of its body and its reply must be released, and only once.
func TestMemoryIsReleased(t *testing.T) {
	const post, large = "POST /0 HTTP/1.1\r\nHost: 9000\r\n", "GET /1000000 HTTP/1.1\r\nHost: 0\r\n\r\n"
	stated, chunked := post+"Content-Length: 40000\r\n\r\n", post+"Transfer-Encoding: chunked\r\n\r\n"
	chunk, whole := "2000\r\n"+strings.Repeat("x", 0x2000)+"\r\n", stated+strings.Repeat("x", 40000)
	leave := func(c net.Conn, _ *inlet.Server) { _ = c.Close() }
	wait := func(net.Conn, *inlet.Server) { time.Sleep(21 * time.Second) }
	send := func(text string) func(net.Conn, *inlet.Server) {
		return func(c net.Conn, _ *inlet.Server) { _, _ = io.WriteString(c, text) }
	}
	finish := func(c net.Conn, s *inlet.Server) {
		s.Finish()
		_, _ = io.WriteString(c, whole[len(stated)+3:])
	}
	tests := map[string]struct {
		send string
		held int64 // at least, after what is sent
		then func(net.Conn, *inlet.Server)
	}{
		"caller leaves in a stated body":       {stated + "abc", 40000, leave},
		"caller leaves in a chunked body":      {chunked + chunk, 0x2000, leave},
		"sender is too slow":                   {stated + "abc", 40000, wait},
		"chunk is malformed":                   {chunked + chunk, 0x2000, send("what is this\r\n")},
		"chunked body outgrows the memory":     {chunked + chunk, 0x2000, send(strings.Repeat(chunk, 8))},
		"caller leaves while the request runs": {whole, 40000, leave},
		"caller leaves in the reply":           {large, 1000000, leave},
		"reader is too slow":                   {large, 1000000, wait},
		"replies wait behind a slow reader":    {large + large, 2000000, wait},
		"server stops in a body":               {"GET /0 HTTP/1.1\r\nHost: 9000\r\n\r\n" + stated + "abc", 40000, finish},
		"request behind the last one":          {strings.Replace(whole, "Host", "Connection: close\r\nHost", 1) + stated, 40000, wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, s, m, _ := servePipes(t, 64<<10)
				c := l.dial()
				defer c.Close()
				go func() { _, _ = io.WriteString(c, test.send) }()
				synctest.Wait()
				held := m.Snapshot().Held
				is.True(held >= test.held && held < test.held+test.held/2)
				test.then(c, s)
				synctest.Wait()
				is.Equal(m.Snapshot().Held, int64(0))
			})
		})
	}
}

// Replies to slow readers take memory from uploads but are delivered. Retry-After must follow the time for which bodies are held.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, _, _, _ := servePipes(t, 64<<10)
		upload := func() (int, float64) { return l.post("1500", bytes.NewReader(make([]byte, 40000))) }
		for range 50 {
			_, _ = upload()
		}
		c := l.dial()
		defer c.Close()
		_, _ = io.WriteString(c, "GET /1000000 HTTP/1.1\r\nHost: 0\r\n\r\n")
		synctest.Wait()
		status, retryAfter := upload()
		is.True(status == http.StatusServiceUnavailable && retryAfter > 1.4 && retryAfter <= 1.5)
		status, _ = l.post("0", nil)
		is.Equal(status, http.StatusOK)
		body, _ := readReply(t, bufio.NewReader(c))
		is.Equal(len(body), 1000000)
		status, _ = upload()
		is.Equal(status, http.StatusOK)
	})
}

// A caller that sends its whole body before it reads must get the 503 and not a reset connection, and neither the rejected
// request nor those behind it may run.
func TestRejectedUpload(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	sent := make(chan struct{})
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply {
		ran.Add(1)
		<-sent
		return okReply("done")
	}, defaultLimits, inlet.NewMemory(64<<10, inlet.MemoryDeps{}))
	c, in := dial(t, serve(t, s))
	const get, post = "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16777216\r\n\r\n"
	_, err := io.WriteString(c, get+post+strings.Repeat("x", 16<<20)+get) // more than the socket buffers hold
	close(sent)
	is.NoErr(err)
	_, last := readReply(t, in)
	is.True(!last)
	response, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.True(response.StatusCode == http.StatusServiceUnavailable && response.Close)
	is.Equal(response.Header.Get("Retry-After"), "0.100")
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(ran.Load(), int64(1))
}
