package stand

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

// The paths of a backend server besides those of package grant. Any other path runs a request.
const (
	HealthPath = "/healthz"
	allPaths   = "/"
)

// coldFactor is how much longer a request takes during a cold start.
const coldFactor = 10

// Server stands in for one backend server.
type Server struct {
	settings    ServerSettings
	runs        *runs
	faults      *faults
	connections *connections
	newGuard    func() guard

	// mu guards what a crash replaces, and the load shown.
	mu      sync.Mutex
	process *process
	address string
	// load is what the load endpoint shows until loadUntil.
	load      Load
	loadUntil time.Time
}

// process is what a crash of the server ends.
type process struct {
	guard guard
	slots chan struct{}
	http  *http.Server
	ended chan struct{}
}

// NewServer returns a server that has not started.
func NewServer(s ServerSettings) *Server {
	_, _, _ = s.check()
	return &Server{
		settings:    s,
		runs:        newRuns(),
		faults:      &faults{},
		connections: newConnections(),
		newGuard:    func() guard { return newGuard(s) },
		address:     s.Address,
	}
}

// Address returns the IP number and port at which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens and serves until ctx ends. The channel it returns is closed afterwards.
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

// listen starts a process at the server's place, with no grant and no fence.
func (s *Server) listen(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address())
	if err != nil {
		return fmt.Errorf("stand: server %s: %w", s.settings.Name, err)
	}
	p := &process{
		guard: s.newGuard(),
		slots: make(chan struct{}, s.settings.Slots),
		ended: make(chan struct{}),
	}
	p.http = &http.Server{
		Handler:     s.handler(p),
		ConnContext: s.connections.begin,
		ConnState:   s.connections.changed,
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

// crash ends the process and starts another one after the stated time.
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
		restart = defaultRestart * time.Millisecond
	}
	s.runs.restart()
	go s.revive(ctx, p, time.Now().Add(restart))
}

func (s *Server) revive(ctx context.Context, p *process, at time.Time) {
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
	mux.HandleFunc("POST "+grant.ExchangePath, s.mortal(func(w http.ResponseWriter, r *http.Request) { s.handleExchange(w, r, p) }))
	mux.HandleFunc("GET "+grant.LoadPath, s.mortal(s.handleLoad))
	mux.HandleFunc("GET "+HealthPath, s.mortal(s.handleHealth))
	mux.HandleFunc(allPaths, s.mortal(func(w http.ResponseWriter, r *http.Request) { s.handleRun(w, r, p) }))
	return mux
}

// mortal makes a handler subject to frozen servers and silent connections.
func (s *Server) mortal(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !pass(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		s.faults.thaw()
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
	answer := p.guard.exchange(x)
	s.faults.thaw()
	if !pass(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// Load is what a server says of its own load at grant.LoadPath.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Cold says that the server is in its cold start.
	Cold bool `json:"cold,omitempty"`
	// Shedding says that the server refuses work.
	Shedding bool `json:"shedding,omitempty"`
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.shownLoad(time.Now()))
}

// shownLoad returns the load as of up to the stated lag ago: an endpoint that lags shows a
// server as free when it is full, and the reverse.
func (s *Server) shownLoad(now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.loadUntil) {
		return s.load
	}
	s.load = s.presentLoad(now)
	s.loadUntil = now.Add(time.Duration(s.settings.LoadLagMillis) * time.Millisecond)
	return s.load
}

func (s *Server) presentLoad(now time.Time) Load {
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

// refuse answers a request that did not run.
func (s *Server) refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(caller.HeaderOutcome, string(caller.NotRun))
	w.Header().Set(caller.HeaderServer, s.settings.Name)
	http.Error(w, reason, status)
}
