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

// Authorizer is this instance's right to send work to backend servers as their gate.
type Authorizer interface {
	// Begin returns nil if the server may be sent the request at this moment. It is called
	// immediately before each write to a server. The Work is ended when the server is done.
	Begin(a Attempt) (Work, error)
}

// Attempt is a request that is about to be written to a server.
type Attempt struct {
	Service string
	Server  string
	Hash    uint64
	// Divided says that each key of the service has one owner.
	Divided bool
	// ChecksGrants says that the server itself checks grants.
	ChecksGrants bool
	Idempotent   bool
}

// Work is a request that was written to a server.
type Work interface {
	// End says that the server is done with the request, or never got it.
	End()
}

// Replicator is the memory that one other instance of the domain keeps of non-idempotent
// requests at this gate, so that the loss of one instance loses none.
type Replicator interface {
	// Replicate returns nil when one other instance remembers the mark, or when the domain has no
	// other instance. It is called before the first byte is written to a server.
	Replicate(ctx context.Context, m policy.IdempotencyRecord) error
	// ReplicateOutcome tells the outcome to the instance that remembers the mark. It does not wait.
	ReplicateOutcome(m policy.IdempotencyRecord)
	// Recover returns the marks that the other instances of the domain hold for a range of a
	// service. Each mark is held by two instances, so one instance may fail to answer; an
	// error says that more did.
	Recover(ctx context.Context, service string, r keys.Range) ([]policy.IdempotencyRecord, error)
}

// Deps is what a Front depends on. Instance, Domain, Finder and Forward are required.
type Deps struct {
	// Instance and Domain are this instance's name and failure domain.
	Instance string
	Domain   string
	Finder   route.Finder
	// FindHome returns the destination of a named, non-idempotent request to a service that is
	// not divided: the gate in the domain that policy.Home names for the hash of the id, so
	// that a resend through any domain meets the memory of the first sending. Nil means
	// Finder.Find.
	FindHome func(service string, hash uint64) route.Destination
	// Authorizer is asked before each write to a server. Nil means that it is always held.
	Authorizer Authorizer
	// Replicator is nil when there is no other instance.
	Replicator Replicator
	// ForwardTransport carries requests to other instances, at URLs with ForwardScheme, https if empty.
	ForwardTransport http.RoundTripper
	ForwardScheme    string
	// CallerHeader names the request header that identifies a caller. Empty means the remote
	// address.
	CallerHeader string
	// Hint returns the last reported load of a server; it breaks ties only.
	Hint func(service, server string) float64
	// ObserveRun is told of each request that ran, for the load of ranges.
	ObserveRun func(service, server string, hash uint64, d time.Duration)
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
	if d.Finder == nil || d.ForwardTransport == nil || d.Instance == "" || d.Domain == "" {
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

// CallerHandler returns the handler for callers: /{service}/{rest...}.
func (f *Front) CallerHandler() http.Handler { return f.callers }

// ForwardHandler returns the handler for requests that other instances forward. Only instances may
// reach it: it believes their headers.
func (f *Front) ForwardHandler() http.Handler { return f.forwards }

// GateMoved says that another instance is the gate of a server now. What runs goes on to its
// end, what waits is looked up anew, and what was recalled for the server is recalled anew before it serves again.
func (f *Front) GateMoved(service, server string) {
	if s := f.known(service); s != nil {
		s.unrecall(server)
		s.move(server)
	}
}

// LeaseLost says that the right to send to a server that checks nothing has ended. All
// connections to it are closed at once, since another gate may use the server by now.
func (f *Front) LeaseLost(service, server string) {
	if s := f.known(service); s != nil {
		s.unrecall(server)
		s.cut(server)
	}
}

// Ready reports whether the balancer should send callers here.
func (f *Front) Ready() bool { return !f.draining.Load() }

// SetNotReady makes Ready report false. Requests are served as before.
func (f *Front) SetNotReady() { f.draining.Store(true) }

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

// Records returns what this instance remembers of requests in a range of a service, for
// another instance's Recall.
func (f *Front) Records(service string, r keys.Range) []policy.IdempotencyRecord {
	s := f.known(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Records(f.now(), r)
}

// AddRecord takes in a mark for which another instance's Begin or End asks. It reports false
// when there is no room for it.
func (f *Front) AddRecord(m policy.IdempotencyRecord) bool {
	return f.service(m.Service).adopt(m)
}

// CrashRecords returns what is known of requests that may crash servers, for the other instances.
func (f *Front) CrashRecords() []policy.CrashRecord {
	var blocks []policy.CrashRecord
	for _, s := range f.all() {
		s.mu.Lock()
		blocks = append(blocks, s.core.CrashRecords(f.now())...)
		s.mu.Unlock()
	}
	return blocks
}

// MergeCrashRecords takes in the Blocks of another instance.
func (f *Front) MergeCrashRecords(blocks []policy.CrashRecord) {
	for _, b := range blocks {
		s := f.service(b.Service)
		s.mu.Lock()
		s.core.MergeCrashRecords([]policy.CrashRecord{b})
		s.mu.Unlock()
	}
}

// SetLiftedBlocks replaces the set of blocked requests that operators let pass: the lifted-blocks of the
// bundle in force. Text that is no print is ignored and reported.
func (f *Front) SetLiftedBlocks(texts []string) error {
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
