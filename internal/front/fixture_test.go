package front

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

// finder is a route.Finder whose answer tests set.
type finder struct {
	mu   sync.Mutex
	dest route.Destination
}

func (f *finder) Find(string, uint64) route.Destination {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dest
}

func (f *finder) set(d route.Destination) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dest = d
}

// testService is a divided service with short limits.
func testService() *bundle.Service {
	return &bundle.Service{
		Name: "oddaja", Divided: true,
		Limits: bundle.Limits{Queue: 8, BodyBytes: 1 << 20, RequestMillis: 60_000, CrashServers: 2, BlockMillis: 60_000},
	}
}

// here returns the destination of a gate for servers that check grants.
func here(s *bundle.Service, addresses ...string) route.Local {
	d := route.Local{Service: s}
	for i, address := range addresses {
		d.Servers = append(d.Servers, route.Target{
			Server: &bundle.Server{
				Name: "oddaja-" + string(rune('a'+i)), Address: address, ChecksGrants: true, Slots: 2, Connections: 110,
			},
			Epoch: grant.Epoch{Term: grant.Term{Log: 3, Sub: 1, Incarnation: 7}, Sequence: 9},
		})
	}
	return d
}

// instance is a Front with its two listeners.
type instance struct {
	front    *Front
	finder   *finder
	callers  *httptest.Server
	forwards *httptest.Server
	// open counts the connections of callers that were taken.
	open atomic.Int32
}

func (i *instance) count(_ net.Conn, s http.ConnState) {
	if s == http.StateNew {
		i.open.Add(1)
	}
}

// awaitOpen waits until a number of connections were taken.
func (i *instance) awaitOpen(n int32) {
	for i.open.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

// start returns an instance on loopback that ends with the test.
func start(t testing.TB, name string, change func(*Deps)) *instance {
	t.Helper()
	i := &instance{finder: &finder{}}
	transport := &http.Transport{}
	d := Deps{Instance: name, Domain: "klet", Finder: i.finder, ForwardTransport: transport, ForwardScheme: "http"}
	if change != nil {
		change(&d)
	}
	f, err := New(d)
	if err != nil {
		t.Fatal(err)
	}
	i.front = f
	i.callers = httptest.NewUnstartedServer(f.CallerHandler())
	i.callers.Config.ConnState = i.count
	i.callers.Start()
	i.forwards = httptest.NewServer(f.ForwardHandler())
	t.Cleanup(func() {
		i.callers.Close()
		f.Close()
		transport.CloseIdleConnections()
		i.forwards.Close()
	})
	return i
}

// backend returns a backend server and its address.
func backend(t testing.TB, handle http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return address(s)
}

func address(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// answer is what a caller sees.
type answer struct {
	status int
	header http.Header
	body   []byte
	// cut is the error with which the body ended, nil if it was whole.
	cut error
}

// do sends a request and returns the answer, as far as it came.
func do(t testing.TB, r *http.Request) answer {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, cut: err}
}

// outcome returns what the answer says of the request.
func (a answer) outcome() caller.Outcome {
	return caller.Outcome(a.header.Get(caller.HeaderOutcome))
}

// problem returns the answer's problem.
func (a answer) problem(t testing.TB) caller.Problem {
	t.Helper()
	var p caller.Problem
	if err := json.Unmarshal(a.body, &p); err != nil {
		t.Fatalf("%v: %q", err, a.body)
	}
	return p
}

// post returns a request with a key.
func post(is *is.I, url, body string, header ...string) *http.Request {
	is.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Mustardring-Key", "volume-7")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// awaitWaiting waits until a number of requests wait at the gate.
func (i *instance) awaitWaiting(service string, n int) {
	for {
		s := i.front.service(service)
		s.mu.Lock()
		waiting := s.core.Waiting()
		s.mu.Unlock()
		if waiting >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
