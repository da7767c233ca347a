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
	"go.opentelemetry.io/otel/trace"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// ErrDeps is returned by New when a dependency is missing.
var ErrDeps = errors.New("front: missing dependency")

// Right is this instance's right to send work to backend servers as their gate.
type Right interface {
	// Begin returns nil if the server may be sent the request at this moment. It is called
	// immediately before each write to a server. The Work is ended when the server is done.
	Begin(a Approach) (Work, error)
}

// Approach is a request that is about to be written to a server.
type Approach struct {
	Service string
	Server  string
	Hash    uint64
	// Divided says that each key of the service has one owner.
	Divided bool
	// Checks says that the server itself checks grants.
	Checks     bool
	Idempotent bool
}

// Work is a request that was written to a server.
type Work interface {
	// End says that the server is done with the request, or never got it.
	End()
}

// Witness is the memory that one other instance of the domain keeps of non-idempotent
// requests at this gate, so that the loss of one instance loses none.
type Witness interface {
	// Begin returns nil when one other instance remembers the mark, or when the domain has no
	// other instance. It is called before the first byte is written to a server.
	Begin(ctx context.Context, m policy.IdempotencyRecord) error
	// End tells the outcome to the instance that remembers the mark. It does not wait.
	End(m policy.IdempotencyRecord)
	// Recall returns the marks that the other instances of the domain hold for a range of a
	// service. Each mark is held by two instances, so one instance may fail to answer; an
	// error says that more did.
	Recall(ctx context.Context, service string, r keys.Range) ([]policy.IdempotencyRecord, error)
}

// Deps is what a Front depends on. Instance, Domain, Finder and Forward are required.
type Deps struct {
	// Instance and Domain are this instance's name and failure domain.
	Instance string
	Domain   string
	Finder   route.Finder
	// Home returns the destination of a named, non-idempotent request to a service that is
	// not divided: the gate in the domain that policy.Home names for the hash of the id, so
	// that a resend through any domain meets the memory of the first sending. Nil means
	// Finder.Find.
	Home func(service string, hash uint64) route.Destination
	// Right is asked before each write to a server. Nil means that it is always held.
	Right Right
	// Witness is nil when there is no other instance.
	Witness Witness
	// Forward carries requests to other instances, at URLs with ForwardScheme, https if empty.
	Forward       http.RoundTripper
	ForwardScheme string
	// CallerHeader names the request header that identifies a caller. Empty means the remote
	// address.
	CallerHeader string
	// Hint returns the last reported load of a server; it breaks ties only.
	Hint func(service, server string) float64
	// Ran is told of each request that ran, for the load of ranges.
	Ran func(service, server string, hash uint64, d time.Duration)
	// Tracer makes a span for each hop. Nil means none.
	Tracer trace.Tracer
	Log    *log.Logger
	// Bounds bound the memory of request ids of one service; zero means the default.
	Bounds policy.TableLimits
	// Patience is the least time for which a connection to a server may be silent before it
	// is doubted; zero means the default.
	Patience time.Duration
}

// Front is the request path of one instance.
type Front struct {
	deps     Deps
	origin   time.Time
	callers  http.Handler
	forwards http.Handler
	tickets  atomic.Uint64
	turn     atomic.Uint64
	buffered atomic.Int64

	mu       sync.RWMutex
	services map[string]*service
	lifted   []policy.Fingerprint

	draining atomic.Bool
	inFlight *inFlight
	meters   meters
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
	if d.Bounds == (policy.TableLimits{}) {
		d.Bounds = policy.DefaultTableLimits
	}
	f := &Front{deps: d, origin: time.Now(), services: make(map[string]*service), inFlight: newInFlight()}
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

// GateMoved says that another instance is the gate of a server now. What runs goes on to its
// end, what waits is looked up anew, and what was recalled for the server is recalled anew before it serves again.
func (f *Front) GateMoved(service, server string) {
	if s := f.known(service); s != nil {
		s.unrecall(server)
		s.move(server)
	}
}

// RightLost says that the right to send to a server that checks nothing has ended. All
// connections to it are closed at once, since another gate may use the server by now.
func (f *Front) RightLost(service, server string) {
	if s := f.known(service); s != nil {
		s.unrecall(server)
		s.cut(server)
	}
}

// Ready reports whether the balancer should send callers here.
func (f *Front) Ready() bool { return !f.draining.Load() }

// Refuse makes Ready report false. Requests are served as before.
func (f *Front) Refuse() { f.draining.Store(true) }

// Drain refuses readiness and returns when no request is in flight, or with the context's
// error. Requests that still come are served: the balancer's view lags.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	return f.inFlight.wait(ctx)
}

// Close closes the connections to servers. No request may be in flight.
func (f *Front) Close() {
	for _, s := range f.all() {
		s.close()
	}
}

// Marks returns what this instance remembers of requests in a range of a service, for
// another instance's Recall.
func (f *Front) Marks(service string, r keys.Range) []policy.IdempotencyRecord {
	s := f.known(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Records(f.now(), r)
}

// Witnessed takes in a mark for which another instance's Begin or End asks. It reports false
// when there is no room for it.
func (f *Front) Witnessed(m policy.IdempotencyRecord) bool {
	return f.service(m.Service).adopt(m)
}

// Blocks returns what is known of requests that may crash servers, for the other instances.
func (f *Front) Blocks() []policy.CrashRecord {
	var blocks []policy.CrashRecord
	for _, s := range f.all() {
		s.mu.Lock()
		blocks = append(blocks, s.core.CrashRecords(f.now())...)
		s.mu.Unlock()
	}
	return blocks
}

// Merge takes in the Blocks of another instance.
func (f *Front) Merge(blocks []policy.CrashRecord) {
	for _, b := range blocks {
		s := f.service(b.Service)
		s.mu.Lock()
		s.core.MergeCrashRecords([]policy.CrashRecord{b})
		s.mu.Unlock()
	}
}

// Lift replaces the set of blocked requests that operators let pass: the lifted-blocks of the
// bundle in force. Text that is no print is ignored and reported.
func (f *Front) Lift(texts []string) error {
	var faults []error
	prints := make([]policy.Fingerprint, 0, len(texts))
	for _, text := range texts {
		var p policy.Fingerprint
		if err := p.UnmarshalText([]byte(text)); err != nil {
			faults = append(faults, err)
			continue
		}
		prints = append(prints, p)
	}
	f.mu.Lock()
	f.lifted = prints
	f.mu.Unlock()
	for _, s := range f.all() {
		s.mu.Lock()
		s.core.SetLiftedBlocks(prints)
		s.mu.Unlock()
	}
	return errors.Join(faults...)
}

// now returns the present time of the policy's clock.
func (f *Front) now() policy.Time {
	return policy.Time(time.Since(f.origin))
}

// at returns the wall clock time of a policy time.
func (f *Front) at(t policy.Time) time.Time {
	return f.origin.Add(time.Duration(t))
}

// known returns a service that was seen before, nil otherwise.
func (f *Front) known(name string) *service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.services[name]
}

// service returns a service, a new one if it was not seen before.
func (f *Front) service(name string) *service {
	if s := f.known(name); s != nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = newService(f, name)
		s.core.SetLiftedBlocks(f.lifted)
		f.services[name] = s
	}
	return s
}

func (f *Front) all() []*service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]*service, 0, len(f.services))
	for _, s := range f.services {
		all = append(all, s)
	}
	return all
}

// outcomeHeader sets the headers that each answer carries.
func outcomeHeader(h http.Header, id string, outcome caller.Outcome) {
	values := [...]string{id, string(outcome)}
	h[caller.HeaderRequest] = values[0:1:1]
	h[caller.HeaderOutcome] = values[1:2:2]
}
