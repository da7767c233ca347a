package stubs

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/pkg/caller"
)

// RunsPath returns, as a RunsPage, the requests that a backend server really ran. The query
// parameters "from" (an index) and "limit" (a count) select a page.
const RunsPath = "/.stand-in/runs"

// maxRecordedRuns limits the runs that one server records.
const maxRecordedRuns = 2_000_000

// defaultPageRuns is the greatest number of runs in a page if the query has no limit.
const defaultPageRuns = 100_000

// Run records one run of a request at a backend server. Times are in Unix microseconds.
type Run struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key,omitempty"`
	Epoch     string `json:"epoch,omitempty"`
	Start     int64  `json:"start"`
	// End is zero while the request runs, and stays zero if the request crashed the server.
	End int64 `json:"end"`
	// Stopped says that the caller cancelled the request or its deadline passed before the run
	// was over.
	Stopped bool `json:"stopped,omitempty"`
	// Frozen says that the server was frozen at the time when the run was to end.
	Frozen bool `json:"frozen,omitempty"`
	// Crashed says that the request crashed the server.
	Crashed bool `json:"crashed,omitempty"`
	// Incarnation is the number of the server process that ran it. It is 1 for the first process
	// and increases with each crash.
	Incarnation int `json:"incarnation"`
}

// RunsPage is a page of the runs of one server, with totals over all of its processes.
type RunsPage struct {
	Server string `json:"server"`
	Runs   []Run  `json:"runs"`
	// Total is the number of all runs. Forgotten is the number of those that were not recorded
	// because the server had reached its limit of recorded runs.
	Total     int `json:"total"`
	Forgotten int `json:"forgotten"`
	// Doubled maps each request ID that ran more than once at this server to its number of runs.
	Doubled map[string]int `json:"doubled"`
	// Shed and Refused count requests that did not run. Shed: the queue was full or the fault
	// switch Shed was set. Refused: no grant covered the request.
	Shed    int `json:"shed"`
	Refused int `json:"refused"`
	// MaxPresent is the greatest number of requests at the server at once, running or queued.
	MaxPresent int `json:"most-arrived"`
	// MaxConnections is the greatest number of open connections at the arrival of a request.
	MaxConnections int `json:"most-connections"`
}

// runs records what one server ran. It survives crashes of the server.
type runs struct {
	mu             sync.Mutex
	list           []Run
	counts         map[string]int
	forgotten      int
	shed           int
	refused        int
	presentCount   int
	maxPresent     int
	maxConnections int
	incarnation    int
}

func newRuns() *runs {
	return &runs{counts: make(map[string]int), incarnation: 1}
}

// arrive counts a new request and returns the number of requests at the server, including it.
func (r *runs) arrive(connections int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.presentCount++
	r.maxPresent = max(r.maxPresent, r.presentCount)
	r.maxConnections = max(r.maxConnections, connections)
	return r.presentCount
}

func (r *runs) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.presentCount--
}

func (r *runs) present() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.presentCount
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

func (r *runs) countRestart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation++
}

// begin records a run and returns its index, or -1 if no more runs are recorded.
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
	if len(r.list) >= maxRecordedRuns {
		r.forgotten++
		return -1
	}
	if run.RequestID != "" {
		r.counts[run.RequestID]++
	}
	r.list = append(r.list, run)
	return len(r.list) - 1
}

func (r *runs) end(index int, stopped, frozen bool) {
	r.update(index, func(run *Run) {
		run.End, run.Stopped, run.Frozen = time.Now().UnixMicro(), stopped, frozen
	})
}

func (r *runs) crash(index int) {
	r.update(index, func(run *Run) { run.Crashed = true })
}

// update changes the run at an index from begin. It ignores -1.
func (r *runs) update(index int, f func(*Run)) {
	if index < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.list[index])
}

// page returns at most limit runs from an index on, with the totals. It leaves Server empty.
func (r *runs) page(from, limit int) RunsPage {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := RunsPage{
		Runs:           []Run{},
		Total:          len(r.list) + r.forgotten,
		Forgotten:      r.forgotten,
		Doubled:        make(map[string]int),
		Shed:           r.shed,
		Refused:        r.refused,
		MaxPresent:     r.maxPresent,
		MaxConnections: r.maxConnections,
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
		limit = defaultPageRuns
	}
	page := s.runs.page(max(0, from), max(0, limit))
	page.Server = s.settings.Name
	writeJSON(w, http.StatusOK, page)
}
