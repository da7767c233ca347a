// Package front takes requests from callers and from other entry instances, and sees each to
// its one answer: it runs at the gate of a backend server, or goes on to another instance.
package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// ErrDeps is returned by New when a dependency is missing.
var ErrDeps = errors.New("front: missing dependency")

// Right is this instance's right to send work to backend servers that do not check grants.
type Right interface {
	// Check returns nil if the server may be sent a request with the hash at this moment. It
	// is called immediately before each write to a server that does not check grants.
	Check(service, server string, hash uint64) error
}

// Witness is the memory that one other instance of the domain keeps of non-idempotent
// requests at this gate.
type Witness interface {
	// Begin returns nil when another instance remembers the mark. It is called before the
	// first byte is written to a server.
	Begin(ctx context.Context, m policy.Mark) error
	// End tells the outcome to the instance that remembers the mark. It does not wait.
	End(m policy.Mark)
	// Recall returns the marks that the other instances of the domain hold for a service. An
	// error says that an instance which may hold some did not answer.
	Recall(ctx context.Context, service string) ([]policy.Mark, error)
}

// Deps is what a Front depends on. The zero values of Right, Witness, Log, CallerHeader and
// Hint are allowed.
type Deps struct {
	// Instance and Domain are this instance's name and failure domain.
	Instance string
	Domain   string
	Finder   route.Finder
	// Right is asked for servers that do not check grants. Nil means that it is always held.
	Right Right
	// Witness is nil when there is no other instance.
	Witness Witness
	// Forward carries requests to other instances, at URLs with ForwardScheme.
	Forward       http.RoundTripper
	ForwardScheme string
	// CallerHeader names the request header that identifies a caller. Empty means the remote
	// address.
	CallerHeader string
	// Hint returns the last reported load of a server; it breaks ties only.
	Hint func(service, server string) float64
	Log  *log.Logger
}

// Front is the request path of one instance.
type Front struct {
	deps     Deps
	origin   time.Time
	callers  http.Handler
	forwards http.Handler
	tickets  atomic.Uint64
	turn     atomic.Uint64

	mu    sync.Mutex
	gates map[string]*gate

	draining atomic.Bool
	inFlight inFlight
}

// New returns the request path of one instance.
func New(d Deps) (*Front, error) {
	if d.Finder == nil || d.Forward == nil || d.Instance == "" || d.Domain == "" {
		return nil, fmt.Errorf("%w: Instance, Domain, Finder and Forward are required", ErrDeps)
	}
	if d.Log == nil {
		d.Log = log.New(io.Discard)
	}
	if d.ForwardScheme == "" {
		d.ForwardScheme = "https"
	}
	f := &Front{deps: d, origin: time.Now(), gates: make(map[string]*gate)}
	var err error
	if f.callers, err = f.handler(fromCaller); err != nil {
		return nil, err
	}
	if f.forwards, err = f.handler(fromInstance); err != nil {
		return nil, err
	}
	return f, nil
}

// Callers returns the handler for callers: /{service}/{rest...}.
func (f *Front) Callers() http.Handler { return f.callers }

// Forwards returns the handler for requests that other instances forward. Only instances may
// reach it: it believes their headers.
func (f *Front) Forwards() http.Handler { return f.forwards }

// RightLost closes all connections to a server to which this instance may no longer send.
func (f *Front) RightLost(service, server string) {
	f.mu.Lock()
	gates := make([]*gate, 0, len(f.gates))
	for _, g := range f.gates {
		gates = append(gates, g)
	}
	f.mu.Unlock()
	for _, g := range gates {
		if g.service == service {
			g.cut(server)
		}
	}
}

// Ready reports whether the balancer should send callers here.
func (f *Front) Ready() bool { return !f.draining.Load() }

// Drain refuses readiness and returns when no request is in flight, or with the context's
// error. Requests that still come are served: the balancer's view lags.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	return f.inFlight.wait(ctx)
}

// now returns the present time of the policy's clock.
func (f *Front) now() policy.Time {
	return policy.Time(time.Since(f.origin))
}

// at returns the wall clock time of a policy time.
func (f *Front) at(t policy.Time) time.Time {
	return f.origin.Add(time.Duration(t))
}

// outcomeHeader sets the headers that each answer carries.
func outcomeHeader(h http.Header, id string, outcome caller.Outcome) {
	h.Set(caller.HeaderRequest, id)
	h.Set(caller.HeaderOutcome, string(outcome))
}
