package stubs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

// Paths of a backend server besides those of package grant, RunsPath and FaultPath. All other
// paths match runPattern and run a request.
const (
	HealthPath = "/healthz"
	runPattern = "/"
)

// coldFactor is how many times as long a request takes during a cold start.
const coldFactor = 10

// Server is a stand-in for one backend server. It survives crashes, which replace its process.
type Server struct {
	settings    ServerSettings
	runs        *runs
	faults      *faults
	connections *connections
	newChecker  func() grantChecker

	// mu guards the fields below. A crash replaces process, and a restart sets address again.
	mu      sync.Mutex
	process *process
	address string
	// load is what the load endpoint reports until loadValidUntil.
	load           Load
	loadValidUntil time.Time
}

// process is the state of a server that a crash discards.
type process struct {
	checker grantChecker
	slots   chan struct{}
	http    *http.Server
	ended   chan struct{}
}

// NewServer returns a server that has not started yet.
func NewServer(s ServerSettings) *Server {
	_, _, _ = s.check()
	return &Server{
		settings:    s,
		runs:        newRuns(),
		faults:      &faults{},
		connections: newConnections(),
		newChecker:  func() grantChecker { return newGrantChecker(s) },
		address:     s.Address,
	}
}

// Address returns the IP address and port at which the server listens. It is the configured address
// until the server has started.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens and serves until ctx ends. It returns a channel that is closed when the server has
// stopped.
func (s *Server) Start(ctx context.Context) (<-chan struct{}, error) {
	ended := make(chan struct{})
	if s.settings.ColdMillis > 0 {
		s.faults.set(ServerFault{ColdUntil: time.Now().UnixMilli() + s.settings.ColdMillis})
	}
	if err := s.listen(ctx); err != nil {
		return nil, err
	}
	go func() {
		defer close(ended)
		<-ctx.Done()
		s.mu.Lock()
		p := s.process
		s.process = nil
		s.mu.Unlock()
		if p != nil {
			_ = p.http.Close()
			<-p.ended
		}
	}()
	return ended, nil
}

// listen starts a new process of the server, which has no grant and no fence yet.
func (s *Server) listen(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address())
	if err != nil {
		return fmt.Errorf("stubs: server %s: %w", s.settings.Name, err)
	}
	p := &process{
		checker: s.newChecker(),
		slots:   make(chan struct{}, s.settings.Slots),
		ended:   make(chan struct{}),
	}
	p.http = &http.Server{
		Handler:     s.handler(p),
		ConnContext: s.connections.opened,
		ConnState:   s.connections.stateChanged,
	}
	s.mu.Lock()
	s.process = p
	s.address = listener.Addr().String()
	s.mu.Unlock()
	go func() {
		defer close(p.ended)
		_ = p.http.Serve(listener)
	}()
	return nil
}

// crash ends process p and starts another one after the restart delay of the fault switches. It does
// nothing if p is no longer the current process.
func (s *Server) crash(ctx context.Context, p *process) {
	s.mu.Lock()
	if s.process != p {
		s.mu.Unlock()
		return
	}
	s.process = nil
	s.mu.Unlock()
	restart := time.Duration(s.faults.get().RestartMillis) * time.Millisecond
	if restart <= 0 {
		restart = defaultRestartMillis * time.Millisecond
	}
	s.runs.countRestart()
	go s.restartAt(ctx, p, time.Now().Add(restart))
}

// restartAt closes p, waits until it has ended and starts a new process at the given time.
func (s *Server) restartAt(ctx context.Context, p *process, at time.Time) {
	_ = p.http.Close()
	<-p.ended
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		_ = s.listen(ctx)
	case <-ctx.Done():
	}
}

func (s *Server) handler(p *process) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RunsPath, s.handleRuns)
	mux.HandleFunc("POST "+FaultPath, func(w http.ResponseWriter, r *http.Request) { s.handleFault(w, r, p) })
	mux.HandleFunc("POST "+grant.ExchangePath, s.withFaults(func(w http.ResponseWriter, r *http.Request) { s.handleExchange(w, r, p) }))
	mux.HandleFunc("GET "+grant.LoadPath, s.withFaults(s.handleLoad))
	mux.HandleFunc("GET "+HealthPath, s.withFaults(s.handleHealth))
	mux.HandleFunc(runPattern, s.withFaults(func(w http.ResponseWriter, r *http.Request) { s.handleRun(w, r, p) }))
	return mux
}

// withFaults makes a handler wait while the server is frozen and never answer on a silent
// connection. The handlers for fault switches and recorded runs are not wrapped, so that a test
// always reaches them.
func (s *Server) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !waitIfSilent(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		s.faults.waitWhileFrozen()
		h(w, r)
	}
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request, p *process) {
	var f ServerFault
	if !readJSON(w, r, &f) {
		return
	}
	s.faults.set(f)
	if f.SilenceConnections {
		s.connections.silence()
	}
	if f.DropConnections {
		s.connections.drop(r.Context())
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	if f.Crash {
		s.crash(context.WithoutCancel(r.Context()), p)
	}
}

func (s *Server) handleExchange(w http.ResponseWriter, r *http.Request, p *process) {
	var x grant.Exchange
	if !readJSON(w, r, &x) {
		return
	}
	answer := p.checker.exchange(x)
	s.faults.waitWhileFrozen()
	if !waitIfSilent(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// Load is the JSON response at grant.LoadPath: the load that a server reports of itself.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Cold says that the server is in its cold start.
	Cold bool `json:"cold,omitempty"`
	// Shedding says that the server rejects all requests.
	Shedding bool `json:"shedding,omitempty"`
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.reportedLoad(time.Now()))
}

// reportedLoad returns the load as of at most LoadLagMillis ago. An endpoint that lags may report
// a full server as free, and the reverse.
func (s *Server) reportedLoad(now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.loadValidUntil) {
		return s.load
	}
	s.load = s.currentLoad(now)
	s.loadValidUntil = now.Add(time.Duration(s.settings.LoadLagMillis) * time.Millisecond)
	return s.load
}

func (s *Server) currentLoad(now time.Time) Load {
	f := s.faults.get()
	present := s.runs.present()
	running := min(present, s.settings.Slots)
	return Load{
		Running:  running,
		Waiting:  present - running,
		Slots:    s.settings.Slots,
		Cold:     f.isCold(now),
		Shedding: f.Shed,
	}
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.faults.get().Health == "down" {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("up\n"))
}

func (f ServerFault) isCold(now time.Time) bool {
	return now.UnixMilli() < f.ColdUntil
}

// refuse answers a request that did not run, with the outcome not-run in the header.
func (s *Server) refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(caller.HeaderOutcome, string(caller.NotRun))
	w.Header().Set(caller.HeaderServer, s.settings.Name)
	http.Error(w, reason, status)
}
