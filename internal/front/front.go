// Package front handles the requests of callers and those that other entry instances forward.
//
// All requests to a backend server pass through one entry instance, the gate of the server. If this
// instance is the gate of a server that may serve a request, it sends the request there; otherwise
// it forwards the request to another instance. Each request gets one response.
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

// Authorizer decides whether this instance may send requests to backend servers as their gate.
type Authorizer interface {
	// Begin returns an error if the request must not be sent to the server now. It is called
	// immediately before the first byte of each attempt is written. Work.End is called when the
	// server is done.
	Begin(a Attempt) (Work, error)
}

// Attempt describes a request that is about to be written to a server.
type Attempt struct {
	Service string
	Server  string
	// Hash is the hash of the key by which the request was routed.
	Hash uint64
	// Divided says that each key of the service is owned by one server.
	Divided bool
	// ChecksGrants says that the server itself refuses requests for keys that it does not own.
	ChecksGrants bool
	Idempotent   bool
}

// Work is a request that the Authorizer has allowed.
type Work interface {
	// End is called when the server is done with the request, or never got it.
	End()
}

// Replicator copies the idempotency records of this gate to one other instance of the failure
// domain, so that no record is lost when one instance is lost.
type Replicator interface {
	// Replicate returns nil when another instance holds the record, or when the domain has no other
	// instance. It is called before the first byte is written to a server.
	Replicate(ctx context.Context, rec policy.IdempotencyRecord) error
	// ReplicateOutcome updates the copy of the record with the outcome of the request. It does not
	// wait for the other instance.
	ReplicateOutcome(rec policy.IdempotencyRecord)
	// Recover returns the records that the other instances of the domain hold for a range of a
	// service. Each record is held by two instances, so one of them may fail to answer. It returns
	// an error if records may be missing.
	Recover(ctx context.Context, service string, r keys.Range) ([]policy.IdempotencyRecord, error)
}

// Deps is what a Front depends on. Instance, Domain, Finder and ForwardTransport are required.
type Deps struct {
	// Instance and Domain are this instance's name and failure domain.
	Instance string
	Domain   string
	Finder   route.Finder
	// FindHome returns the destination of a non-idempotent request with a request id to a service
	// that is not divided. It is the gate in the domain that policy.HomeDomain returns for the hash
	// of the id, so that resends through any domain reach the same idempotency table. Nil means
	// Finder.Find.
	FindHome func(service string, hash uint64) route.Destination
	// Authorizer is called before each write to a server. Nil allows all requests.
	Authorizer Authorizer
	// Replicator is nil if there is no other instance.
	Replicator Replicator
	// ForwardTransport sends requests to other instances, at URLs with ForwardScheme. An empty
	// scheme means https.
	ForwardTransport http.RoundTripper
	ForwardScheme    string
	// CallerHeader names the request header that identifies a caller. Empty means the remote
	// address.
	CallerHeader string
	// LoadHint returns the last reported load of a server; it breaks ties only.
	LoadHint func(service, server string) float64
	// ObserveRun, if not nil, is called with the duration of each request to which a server has
	// responded. The load of ranges is computed from it.
	ObserveRun func(service, server string, hash uint64, d time.Duration)
	// Tracer makes a span for each hop. Nil disables tracing.
	Tracer trace.Tracer
	Log    *log.Logger
	// TableLimits are the limits of the idempotency table of each service; zero means
	// policy.DefaultTableLimits.
	TableLimits policy.TableLimits
	// SilenceTimeout is how long a request waits at least, on a reused connection without a
	// response, before the connection is checked for having gone silent; zero means
	// upstr.DefaultSilenceTimeout.
	SilenceTimeout time.Duration
}

// Front is the request path of one instance. Its methods may be called concurrently.
type Front struct {
	deps           Deps
	clockStart     time.Time
	callerHandler  http.Handler
	forwardHandler http.Handler
	lastTicket     atomic.Uint64
	nextAddress    atomic.Uint64
	bufferedBytes  atomic.Int64

	mu           sync.RWMutex
	services     map[string]*service
	liftedBlocks []policy.Fingerprint

	draining atomic.Bool
	inFlight *inFlight
	counters counters
}

// New returns a Front. It returns ErrDeps if a required dependency is missing.
func New(d Deps) (*Front, error) {
	if d.Finder == nil || d.ForwardTransport == nil || d.Instance == "" || d.Domain == "" {
		return nil, fmt.Errorf("%w: Instance, Domain, Finder and ForwardTransport are required", ErrDeps)
	}
	if d.Log == nil {
		d.Log = log.New(io.Discard)
	}
	if d.ForwardScheme == "" {
		d.ForwardScheme = "https"
	}
	if d.TableLimits == (policy.TableLimits{}) {
		d.TableLimits = policy.DefaultTableLimits
	}
	f := &Front{deps: d, clockStart: time.Now(), services: make(map[string]*service), inFlight: newInFlight()}
	var err error
	if f.callerHandler, err = f.newHandler(fromCaller); err != nil {
		return nil, err
	}
	if f.forwardHandler, err = f.newHandler(fromInstance); err != nil {
		return nil, err
	}
	return f, nil
}

// CallerHandler returns the handler for callers: /{service}/{rest...}.
func (f *Front) CallerHandler() http.Handler { return f.callerHandler }

// ForwardHandler returns the handler for requests that other instances forward. Only instances may
// have access to it, since it trusts headers that callers must not set.
func (f *Front) ForwardHandler() http.Handler { return f.forwardHandler }

// GateMoved is called when another instance has become the gate of a server. Requests that run
// there continue, and queued requests are routed again. The idempotency records are recovered again
// before this instance next sends a deduplicated request to the server.
func (f *Front) GateMoved(service, server string) {
	if s := f.knownService(service); s != nil {
		s.dropRecovered(server)
		s.dequeueMoved(server)
	}
}

// LeaseLost is called when the lease that this instance holds on behalf of a server that does not
// check grants has ended. All connections to the server are closed at once, because another gate
// may already use the server. The idempotency records are recovered again as after GateMoved.
func (f *Front) LeaseLost(service, server string) {
	if s := f.knownService(service); s != nil {
		s.dropRecovered(server)
		s.closeConns(server)
	}
}

// Ready reports whether the load balancer should send callers here.
func (f *Front) Ready() bool { return !f.draining.Load() }

// SetNotReady makes Ready report false. Requests are still served.
func (f *Front) SetNotReady() { f.draining.Store(true) }

// Drain makes Ready report false and returns when no request is in flight, or with the context's
// error. Requests that still arrive are served, because the load balancer notices only later.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	return f.inFlight.wait(ctx)
}

// Close closes the connections to servers. No request may be in flight.
func (f *Front) Close() {
	for _, s := range f.allServices() {
		s.close()
	}
}

// Records returns the idempotency records that this instance holds for a range of a service. Other
// instances get them through Replicator.Recover.
func (f *Front) Records(service string, r keys.Range) []policy.IdempotencyRecord {
	s := f.knownService(service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Records(f.now(), r)
}

// AddRecord adds or updates an idempotency record of another instance. It returns false if the
// table is full.
func (f *Front) AddRecord(rec policy.IdempotencyRecord) bool {
	return f.service(rec.Service).addRecord(rec)
}

// CrashRecords returns the records of requests that may crash servers, for the other instances.
func (f *Front) CrashRecords() []policy.CrashRecord {
	var records []policy.CrashRecord
	for _, s := range f.allServices() {
		s.mu.Lock()
		records = append(records, s.core.CrashRecords(f.now())...)
		s.mu.Unlock()
	}
	return records
}

// MergeCrashRecords adds the CrashRecords of another instance.
func (f *Front) MergeCrashRecords(records []policy.CrashRecord) {
	for _, rec := range records {
		s := f.service(rec.Service)
		s.mu.Lock()
		s.core.MergeCrashRecords([]policy.CrashRecord{rec})
		s.mu.Unlock()
	}
}

// SetLiftedBlocks replaces the set of requests that operators have unblocked, the lifted-blocks of
// the bundle in force. It ignores texts that are not fingerprints and returns an error for them.
func (f *Front) SetLiftedBlocks(texts []string) error {
	var errs []error
	fingerprints := make([]policy.Fingerprint, 0, len(texts))
	for _, text := range texts {
		var fp policy.Fingerprint
		if err := fp.UnmarshalText([]byte(text)); err != nil {
			errs = append(errs, err)
			continue
		}
		fingerprints = append(fingerprints, fp)
	}
	f.mu.Lock()
	f.liftedBlocks = fingerprints
	f.mu.Unlock()
	for _, s := range f.allServices() {
		s.mu.Lock()
		s.core.SetLiftedBlocks(fingerprints)
		s.mu.Unlock()
	}
	return errors.Join(errs...)
}

// now returns the time since the Front was created, the clock of package policy.
func (f *Front) now() policy.Time {
	return policy.Time(time.Since(f.clockStart))
}

// wallTime converts a time of the policy clock to wall-clock time.
func (f *Front) wallTime(t policy.Time) time.Time {
	return f.clockStart.Add(time.Duration(t))
}

// knownService returns the service, or nil if no request for it has arrived yet.
func (f *Front) knownService(name string) *service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.services[name]
}

// service returns the service and creates it if necessary.
func (f *Front) service(name string) *service {
	if s := f.knownService(name); s != nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = newService(f, name)
		s.core.SetLiftedBlocks(f.liftedBlocks)
		f.services[name] = s
	}
	return s
}

func (f *Front) allServices() []*service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]*service, 0, len(f.services))
	for _, s := range f.services {
		all = append(all, s)
	}
	return all
}

// setOutcomeHeaders sets the headers that every response has. Both values share one array, which
// saves an allocation.
func setOutcomeHeaders(h http.Header, id string, outcome caller.Outcome) {
	values := [...]string{id, string(outcome)}
	h[caller.HeaderRequest] = values[0:1:1]
	h[caller.HeaderOutcome] = values[1:2:2]
}
