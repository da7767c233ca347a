package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/upstr"
)

// fakeCarrier implements edge.Carrier. It returns an error, or a response if that is nil: one with status 200 and the ID of
// the request unless another one is set.
type fakeCarrier struct {
	err      error
	response string
	calls    int
}

func (c *fakeCarrier) Carry(o edge.Carriage) (*http.Response, string, error) {
	c.calls++
	if c.err != nil {
		return nil, "i1", c.err
	}
	text := c.response
	if text == "" {
		text = responseTo(o.Request.Header.Get("Id"), "200 OK", "", "")
	}
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), o.Request)
	return response, "i1", err
}

// newCarryFixture returns a fixture with a service that is divided by key, its carrier and server, and a request for a key.
func newCarryFixture(t *testing.T, kind rules.Kind, err error) (*fixture, *fakeCarrier, *fakeServer, *http.Request) {
	b := newFakeServer(t, respondOK)
	f, c := newFixture(kind, b), &fakeCarrier{err: err}
	f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.cluster.owner, f.edge.Carrier = shard.Range{To: 100, Server: "s0"}, c
	r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
	r.Header = http.Header{"Id": {"id-1"}, "Left": {"900"}, "Key": {"5"}}
	return f, c, b, r
}

// Guards against a request that is carried although it must not run twice, or although no connection is saved.
func TestWhatIsCarried(t *testing.T) {
	tests := map[string]struct {
		kind    rules.Kind
		prepare func(f *fixture, r *http.Request)
		calls   int
	}{
		"idempotent":     {rules.Idempotent, func(*fixture, *http.Request) {}, 1},
		"non-idempotent": {rules.NonIdempotent, func(*fixture, *http.Request) {}, 0},
		"body":           {rules.Idempotent, func(_ *fixture, r *http.Request) { r.Body = io.NopCloser(strings.NewReader("b")) }, 0},
		"no key":         {rules.Idempotent, func(_ *fixture, r *http.Request) { r.Header.Del("Key") }, 0},
		"near deadline":  {rules.Idempotent, func(_ *fixture, r *http.Request) { r.Header.Set("Left", "70") }, 0},
		"bounded rate": {rules.Idempotent, func(f *fixture, _ *http.Request) {
			f.cluster.servers["s0"] = rules.Server{ID: "s0", Service: "books", Address: f.cluster.servers["s0"].Address, RateLimit: 5}
		}, 0},
		"idle connection": {rules.Idempotent, func(f *fixture, r *http.Request) {
			c := f.edge.Carrier
			f.edge.Carrier = nil
			f.edge.Handle(t.Context(), r)
			f.edge.Carrier = c
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, c, _, r := newCarryFixture(t, test.kind, nil)
			test.prepare(f, r)
			f.edge.Handle(t.Context(), r)
			is.Equal(c.calls, test.calls)
		})
	}
}

// Guards against 503 for a request that may have run, retries beyond the budget, and a server that is blamed for a lost peer.
func TestCarriedRequestFails(t *testing.T) {
	inDoubt := fmt.Errorf("%w: peer lost", upstr.ErrInDoubt)
	tests := map[string]struct {
		err     error
		retries float64
		status  int
		runs    int32
		outcome admit.Outcome
		crashed int32
	}{
		"not sent":              {upstr.ErrNotSent, 0, http.StatusOK, 1, admit.Answered, 0},
		"in doubt":              {inDoubt, 0, http.StatusBadGateway, 0, admit.Cancelled, 0},
		"in doubt, with budget": {inDoubt, 100, http.StatusOK, 1, admit.Cancelled, 0},
		"server lost":           {fmt.Errorf("%w: %w", upstr.ErrInDoubt, upstr.ErrLost), 0, http.StatusBadGateway, 0, admit.Lost, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, c, b, r := newCarryFixture(t, rules.Idempotent, test.err)
			f.edge.RetryBudget = newBudget(0, test.retries)
			is.Equal(f.edge.Handle(t.Context(), r).Status, test.status)
			is.Equal(b.runs.Load(), test.runs)
			is.Equal(f.admitter.outcomes[0], test.outcome)
			is.Equal(f.cluster.crashed.Load(), test.crashed)
			is.Equal(c.calls, 1)
		})
	}
}

// Guards against a second sending over a connection that this instance does not know, and against the answer to another
// request that came through an instance.
func TestSendingsAfterACarriedOneGoDirectly(t *testing.T) {
	for name, response := range map[string]string{
		"rejected":        responseTo("id-1", "503 X", "Not-Run: 1\r\nRunning: 0\r\n", ""),
		"another request": responseTo("id-0", "200 OK", "", "other"),
		"no request":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, c, b, r := newCarryFixture(t, rules.Idempotent, nil)
			f.admitter.earlier, f.edge.RepeatRejected = admit.Earlier{LastTry: true}, true
			c.response = response
			reply := f.edge.Handle(t.Context(), r)
			is.Equal(reply.Status, http.StatusOK)
			is.Equal(string(reply.Body), "fine")
			is.Equal(c.calls, 1)
			is.Equal(b.runs.Load(), int32(1))
		})
	}
}

// Guards against an instance that passes on the answer to another request, and then uses the connection again, on which
// the right answer comes next.
func TestSentForAnotherInstance(t *testing.T) {
	is := is.New(t)
	b := newFakeServer(t, func(run int, c net.Conn, r *http.Request) {
		if run == 2 {
			_, _ = io.WriteString(c, responseTo("id-0", "503 X", "Not-Run: 1\r\n", ""))
		}
		respondOK(run, c, r)
	})
	f, _, _, r := newCarryFixture(t, rules.Idempotent, nil)
	s := rules.Server{ID: "s0", Service: "books", Address: b.listener.Addr().String(), Slots: 2}
	f.cluster.servers["s0"] = s
	for number := 1; number <= 3; number++ {
		r.Header.Set("Id", "id-"+strconv.Itoa(number))
		reply, err := f.edge.SendFor(r, s.ID, s.Address, time.Now().Add(time.Second))
		is.Equal(err != nil, number == 2)
		if err != nil {
			is.True(errors.Is(err, upstr.ErrInDoubt))
			continue
		}
		is.Equal(reply.Header.Get("Id"), r.Header.Get("Id"))
	}
}
