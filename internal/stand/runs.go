package stand

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/pkg/caller"
)

// RunsPath shows, as a RunsPage, what a backend server really ran. The query parameters
// "from" and "limit" choose a part.
const RunsPath = "/.stand-in/runs"

// maxRuns bounds the runs that one server remembers.
const maxRuns = 2_000_000

// defaultPage is the number of runs in a page whose limit is unstated.
const defaultPage = 100_000

// Run is one request that a backend server began to run. Times are in Unix microseconds.
type Run struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key,omitempty"`
	Epoch     string `json:"epoch,omitempty"`
	Start     int64  `json:"start"`
	// End is zero while the request runs, and for ever if the server crashed.
	End int64 `json:"end"`
	// Stopped says that the caller cancelled it, or its deadline passed, before its end.
	Stopped bool `json:"stopped,omitempty"`
	// Frozen says that the server was frozen while it ran.
	Frozen bool `json:"frozen,omitempty"`
	// Crashed says that the request was one that crashes servers.
	Crashed bool `json:"crashed,omitempty"`
	// Incarnation counts the processes that ran at the server's place, from 1.
	Incarnation int `json:"incarnation"`
}

// RunsPage is a part of the runs of one server.
type RunsPage struct {
	Server string `json:"server"`
	Runs   []Run  `json:"runs"`
	// Total is the number of runs, and Forgotten those beyond what the server remembers.
	Total     int `json:"total"`
	Forgotten int `json:"forgotten"`
	// Doubled has each request ID that ran more than once at this server, with its count.
	Doubled map[string]int `json:"doubled"`
	// Shed and Refused count requests that did not run: for want of a slot, and of a grant.
	Shed    int `json:"shed"`
	Refused int `json:"refused"`
	// MostArrived is the greatest number of requests present at once, running or waiting.
	MostArrived int `json:"most-arrived"`
	// MostConnections is the greatest number of connections seen open by a request.
	MostConnections int `json:"most-connections"`
}

// runs remembers what one server ran. It outlives the crashes of the server.
type runs struct {
	mu              sync.Mutex
	list            []Run
	counts          map[string]int
	forgotten       int
	shed            int
	refused         int
	arrived         int
	mostArrived     int
	mostConnections int
	incarnation     int
}

func newRuns() *runs {
	return &runs{counts: make(map[string]int), incarnation: 1}
}

// arrive notes a request and returns how many are present, it included.
func (r *runs) arrive(connections int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived++
	r.mostArrived = max(r.mostArrived, r.arrived)
	r.mostConnections = max(r.mostConnections, connections)
	return r.arrived
}

func (r *runs) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived--
}

func (r *runs) present() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

func (r *runs) countShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shed++
}

func (r *runs) countRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *runs) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation++
}

// begin remembers a run and returns its place, or -1 beyond the bound.
func (r *runs) begin(req *http.Request) int {
	run := Run{
		RequestID: req.Header.Get(caller.HeaderRequestID),
		Key:       req.Header.Get(caller.HeaderKey),
		Epoch:     req.Header.Get(caller.HeaderEpoch),
		Start:     time.Now().UnixMicro(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Incarnation = r.incarnation
	if len(r.list) >= maxRuns {
		r.forgotten++
		return -1
	}
	if run.RequestID != "" {
		r.counts[run.RequestID]++
	}
	r.list = append(r.list, run)
	return len(r.list) - 1
}

func (r *runs) end(place int, stopped, frozen bool) {
	r.change(place, func(run *Run) {
		run.End, run.Stopped, run.Frozen = time.Now().UnixMicro(), stopped, frozen
	})
}

func (r *runs) crash(place int) {
	r.change(place, func(run *Run) { run.Crashed = true })
}

func (r *runs) change(place int, f func(*Run)) {
	if place < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.list[place])
}

// page returns the runs from a place on.
func (r *runs) page(from, limit int) RunsPage {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := RunsPage{
		Runs:            []Run{},
		Total:           len(r.list) + r.forgotten,
		Forgotten:       r.forgotten,
		Doubled:         make(map[string]int),
		Shed:            r.shed,
		Refused:         r.refused,
		MostArrived:     r.mostArrived,
		MostConnections: r.mostConnections,
	}
	if from < len(r.list) {
		part := r.list[from:]
		page.Runs = append(page.Runs, part[:min(limit, len(part))]...)
	}
	for id, n := range r.counts {
		if n > 1 {
			page.Doubled[id] = n
		}
	}
	return page
}

func (s *Server) handleRuns(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		limit = defaultPage
	}
	page := s.runs.page(max(0, from), max(0, limit))
	page.Server = s.settings.Name
	writeJSON(w, http.StatusOK, page)
}
