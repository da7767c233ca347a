package edge_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/upstr"
)

// write returns a script that writes a text, in which ID stands for the ID of the request.
func write(text string) func(c net.Conn, id string) {
	return func(c net.Conn, id string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id)) }
}

// writeEndlessly returns a script that writes a text and then another one again and again until the connection ends, with a
// pause each time.
func writeEndlessly(begin, text string, pause time.Duration) func(c net.Conn, id string) {
	if pause == 0 {
		text = strings.Repeat(text, 1+4096/len(text))
	}
	return func(c net.Conn, id string) {
		_, err := io.WriteString(c, strings.ReplaceAll(begin, "ID", id))
		for err == nil {
			_, err = io.WriteString(c, text)
			<-time.After(pause)
		}
	}
}

// hostileAnswers holds what a server may send in the place of an answer. Once is the status that the caller of a request gets
// that is not idempotent. One that is gets the answer to a second sending, unless the time was up.
var hostileAnswers = map[string]struct {
	script func(c net.Conn, id string)
	once   int
}{
	"another request":               {write("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"), http.StatusBadGateway},
	"another request, before":       {write("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nno"), http.StatusBadGateway},
	"another request, not run":      {write("HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
	"another request, endless":      {writeEndlessly("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", 0), http.StatusBadGateway},
	"no ID":                         {write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"), http.StatusBadGateway},
	"no ID, not run":                {write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
	"no ID, not the owner":          {write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
	"success without a signature":   {write("HTTP/1.1 200 OK\r\nId: ID\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nno"), http.StatusBadGateway},
	"two lengths":                   {write("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno!"), http.StatusBadGateway},
	"length that is too large":      {write("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9000000000000\r\n\r\nno"), http.StatusBadGateway},
	"endless line":                  {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\n", "x", 0), http.StatusBadGateway},
	"endless head":                  {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\n", "X: y\r\n", 0), http.StatusBadGateway},
	"endless informational":         {writeEndlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0), http.StatusBadGateway},
	"endless bytes":                 {writeEndlessly("", "\x00", 0), http.StatusBadGateway},
	"endless body":                  {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "x", 0), http.StatusBadGateway},
	"endless chunks":                {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0), http.StatusBadGateway},
	"endless chunk extension":       {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", 0), http.StatusBadGateway},
	"endless trailer":               {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 0), http.StatusBadGateway},
	"endless body of a rejection":   {writeEndlessly("HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\n\r\n", "x", 0), http.StatusBadGateway},
	"endless head, slow":            {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\n", "X: y\r\n", 10*time.Millisecond), http.StatusGatewayTimeout},
	"endless informational, slow":   {writeEndlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n", 10*time.Millisecond), http.StatusGatewayTimeout},
	"endless body, slow":            {writeEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "x", 10*time.Millisecond), http.StatusGatewayTimeout},
	"informational before the true": {write("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nfine"), http.StatusOK},
	"download without length": {func(c net.Conn, id string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nfine")
		_ = c.Close()
	}, http.StatusOK},
}

// maxOverrun is how long after the timeout of its route a request may be answered.
const maxOverrun = 500 * time.Millisecond

// timeoutOf returns the time that a request has. That whose answer ends by a bound in bytes has so much that it does not end
// by its deadline, however slow the machine is.
func timeoutOf(status int) time.Duration {
	if status == http.StatusGatewayTimeout {
		return 400 * time.Millisecond
	}
	return 20 * time.Second
}

// newHostileServer starts a server that answers the requests with one ID by a script the first time, and all others properly.
func newHostileServer(t *testing.T, script func(c net.Conn, id string)) *fakeServer {
	scripted := make(chan struct{}, 1)
	scripted <- struct{}{}
	return newFakeServer(t, func(run int, c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "victim" {
			select {
			case <-scripted:
				script(c, "victim")
				return
			default:
			}
		}
		respondOK(run, c, r)
	})
}

// Guards against bytes that are no answer: they pass for one, or for "not run"; they come without end and take time, memory and
// connections; or other requests to that server wait or get the wrong answer.
func TestHostileAnswers(t *testing.T) {
	for name, test := range hostileAnswers {
		for kindName, kind := range map[string]rules.Kind{"idempotent": rules.Idempotent, "not idempotent": rules.NonIdempotent} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				is := is.New(t)
				b := newHostileServer(t, test.script)
				f := newFixture(kind, b)
				timeout := timeoutOf(test.once)
				f.cluster.config.Hosts["a.example"][0].Timeout = timeout
				is.Equal(f.send(t.Context(), "Id", "before").Status, http.StatusOK) // leaves a connection to use again
				want := test.once
				if kind == rules.Idempotent && want == http.StatusBadGateway {
					want = http.StatusOK
				}
				type answer struct {
					status int
					took   time.Duration
				}
				answered := make(chan answer, 1)
				go func() {
					began := time.Now()
					reply := f.send(t.Context(), "Id", "victim", "Left", "60000")
					answered <- answer{reply.Status, time.Since(began)}
				}()
				for range 4 {
					is.Equal(f.send(t.Context(), "Id", "beside").Status, http.StatusOK)
				}
				got := <-answered
				is.Equal(got.status, want)
				is.True(got.took < timeout+maxOverrun)
				is.Equal(f.send(t.Context(), "Id", "after").Status, http.StatusOK)
				held, _ := f.edge.ReplyMemory.Snapshot()
				is.Equal(held, int64(0))
			})
		}
	}
}

// Guards against an instance that reads a response without end for another instance.
func TestHostileAnswersForAnotherInstance(t *testing.T) {
	for name, test := range hostileAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, _, _, r := newCarryFixture(t, rules.Idempotent, nil)
			s := rules.Server{ID: "s0", Service: "books", Address: newHostileServer(t, test.script).listener.Addr().String(), Slots: 2}
			f.cluster.servers["s0"] = s
			for _, id := range []string{"before", "victim", "after"} {
				ok := id != "victim" || test.once == http.StatusOK
				r.Header.Set("Id", id)
				reply, err := f.edge.SendFor(r.Clone(context.Background()), s.ID, s.Address, time.Now().Add(timeoutOf(test.once)))
				is.Equal(err == nil, ok)
				is.True(err == nil || !errors.Is(err, upstr.ErrNotSent))
				is.True(err != nil || reply.Header.Get("Id") == id)
			}
		})
	}
}

// Guards against a response without a body that is refused because of the length of the body that it stands for.
func TestLengthOfABodyThatDoesNotFollow(t *testing.T) {
	for name, test := range map[string]struct{ method, status string }{
		"head": {http.MethodHead, "200 OK"}, "not modified": {http.MethodGet, "304 Not Modified"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(rules.Idempotent, newFakeServer(t, func(_ int, c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+test.status+"\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 9000000000000\r\n\r\n")
			}))
			r := httptest.NewRequest(test.method, "http://a.example/x", nil)
			r.Header = http.Header{"Id": {"id-1"}, "Left": {"900"}}
			is.Equal(strconv.Itoa(f.edge.Handle(t.Context(), r).Status), test.status[:3])
		})
	}
}
