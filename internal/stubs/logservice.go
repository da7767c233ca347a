package stubs

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
)

// FaultPath is the path of each stand-in that takes its fault switches as a POST of JSON.
const FaultPath = "/.stand-in/fault"

// maxReadWait limits how long a read waits for new entries.
const maxReadWait = 30 * time.Second

// maxBodyBytes limits the JSON body of a request to a stand-in, such as an append.
const maxBodyBytes = 64 << 20

// LogFault holds the fault switches of the log service. A POST replaces all of them.
type LogFault struct {
	// Down makes appends and reads fail with status 503, without effect.
	Down bool `json:"down,omitempty"`
	// SlowMillis delays each response. An append takes effect before the delay.
	SlowMillis int64 `json:"slow-ms,omitempty"`
	// LoseAnswers makes this many appends take effect and then breaks their connections.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// StartAnew drops all records at once, restarts offsets at zero and changes the identity.
	StartAnew bool `json:"start-anew,omitempty"`
	// ForgetBelow drops the records with lower offsets at once.
	ForgetBelow uint64 `json:"forget-below,omitempty"`
}

// LogService is an http.Handler that stands in for the platform's log. It does not deduplicate
// appends by ID, because the platform's log does not promise to.
type LogService struct {
	settings LogSettings
	limiter  *rate.Limiter
	mux      *http.ServeMux

	mu       sync.Mutex
	fault    LogFault
	entries  []retained
	next     uint64
	identity uint64
	changed  chan struct{}
	appends  int
}

// retained is a log record with its expiry.
type retained struct {
	entry record.Entry
	// expiresAt is when the record is dropped, or zero for never.
	expiresAt time.Time
}

// NewLogService returns an empty log. The burst of its append limit is a quarter of a second's
// appends, at least one.
func NewLogService(s LogSettings) *LogService {
	if s.AppendRate == 0 {
		s.AppendRate = defaultAppendRate
	}
	burst := max(1, int(s.AppendRate/4))
	l := &LogService{
		settings: s,
		limiter:  rate.NewLimiter(rate.Limit(s.AppendRate), burst),
		mux:      http.NewServeMux(),
		identity: uint64(time.Now().UnixNano()),
		changed:  make(chan struct{}),
	}
	l.mux.HandleFunc("POST "+logcl.AppendPath, l.handleAppend)
	l.mux.HandleFunc("GET "+logcl.ReadPath, l.handleRead)
	l.mux.HandleFunc("POST "+FaultPath, l.handleFault)
	return l
}

// ServeHTTP implements http.Handler.
func (l *LogService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// Appends returns the number of appends that took effect, including those of dropped records.
func (l *LogService) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// SetFault replaces the fault switches.
func (l *LogService) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.StartAnew {
		l.entries, l.next = nil, 0
		l.identity++
		l.notifyReaders()
	}
	if f.ForgetBelow > 0 {
		l.forgetBelow(f.ForgetBelow)
	}
	f.StartAnew, f.ForgetBelow = false, 0
	l.fault = f
}

func (l *LogService) handleFault(w http.ResponseWriter, r *http.Request) {
	var f LogFault
	if !readJSON(w, r, &f) {
		return
	}
	l.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (l *LogService) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req logcl.AppendRequest
	if !readJSON(w, r, &req) {
		return
	}
	if l.isDown() {
		http.Error(w, "log down", http.StatusServiceUnavailable)
		return
	}
	if !l.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "append rate", http.StatusTooManyRequests)
		return
	}
	response, slow, lost := l.add(req)
	if !sleep(r, slow) {
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, response)
}

// add appends a record. It returns the response, how long to delay it, and whether to lose it.
func (l *LogService) add(req logcl.AppendRequest) (response logcl.AppendResponse, slow time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := retained{entry: record.Entry{Offset: l.next, ID: req.ID, Data: req.Data}}
	if l.settings.RetainMillis > 0 {
		k.expiresAt = time.Now().Add(time.Duration(l.settings.RetainMillis) * time.Millisecond)
	}
	l.entries = append(l.entries, k)
	l.next++
	l.appends++
	l.dropExpired(time.Now())
	l.notifyReaders()
	if l.fault.LoseAnswers > 0 {
		l.fault.LoseAnswers--
		lost = true
	}
	response = logcl.AppendResponse{Offset: k.entry.Offset, Identity: l.identityText()}
	return response, time.Duration(l.fault.SlowMillis) * time.Millisecond, lost
}

func (l *LogService) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseUint(r.URL.Query().Get(logcl.QueryFrom), 10, 64)
	limit, err2 := strconv.Atoi(r.URL.Query().Get(logcl.QueryLimit))
	if err1 != nil || err2 != nil || limit < 1 {
		http.Error(w, "from and limit must be numbers", http.StatusBadRequest)
		return
	}
	if l.isDown() {
		http.Error(w, "log down", http.StatusServiceUnavailable)
		return
	}
	batch, ok := l.waitForBatch(r, from, limit)
	if !ok || !sleep(r, l.responseDelay()) {
		return
	}
	if from < batch.Oldest {
		writeJSON(w, http.StatusGone, batch)
		return
	}
	writeJSON(w, http.StatusOK, batch)
}

// waitForBatch returns a batch as soon as the log has entries from the offset from on, the offset is
// not the next one (after a gap or a restart of the log), or the wait time of the request is over. It
// returns false if the client disconnects.
func (l *LogService) waitForBatch(r *http.Request, from uint64, limit int) (logcl.Batch, bool) {
	timer := time.NewTimer(time.Until(waitUntil(r)))
	defer timer.Stop()
	for {
		batch, changed := l.batch(from, limit)
		if len(batch.Entries) > 0 || from != batch.Next {
			return batch, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, true
		case <-r.Context().Done():
			return logcl.Batch{}, false
		}
	}
}

// waitUntil returns the time until which a read waits for entries: the one in its query, but at most
// maxReadWait from now, or now if the query has none.
func waitUntil(r *http.Request) time.Time {
	now := time.Now()
	millis, err := strconv.ParseInt(r.URL.Query().Get(logcl.QueryWaitUntil), 10, 64)
	if err != nil {
		return now
	}
	until := time.UnixMilli(millis)
	if bound := now.Add(maxReadWait); until.After(bound) {
		return bound
	}
	return until
}

// batch returns the entries at from, at most limit, and a channel that is closed at the next change.
func (l *LogService) batch(from uint64, limit int) (logcl.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(time.Now())
	oldest := l.next - uint64(len(l.entries))
	batch := logcl.Batch{Entries: []record.Entry{}, Oldest: oldest, Next: l.next, Identity: l.identityText()}
	if from >= oldest && from < l.next {
		part := l.entries[from-oldest:]
		for _, k := range part[:min(limit, len(part))] {
			batch.Entries = append(batch.Entries, k.entry)
		}
	}
	return batch, l.changed
}

// dropExpired drops the records beyond RetainCount and RetainMillis.
func (l *LogService) dropExpired(now time.Time) {
	if n := l.settings.RetainCount; n > 0 && len(l.entries) > n {
		l.forgetBelow(l.next - uint64(n))
	}
	expired := 0
	for _, k := range l.entries {
		if k.expiresAt.IsZero() || k.expiresAt.After(now) {
			break
		}
		expired++
	}
	l.entries = slices.Delete(l.entries, 0, expired)
}

func (l *LogService) forgetBelow(offset uint64) {
	oldest := l.next - uint64(len(l.entries))
	if offset <= oldest {
		return
	}
	l.entries = slices.Delete(l.entries, 0, int(min(offset, l.next)-oldest))
}

// notifyReaders ends the wait of all reads that wait for a change.
func (l *LogService) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *LogService) identityText() string {
	return fmt.Sprintf("%016x", l.identity)
}

func (l *LogService) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault.Down
}

func (l *LogService) responseDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.fault.SlowMillis) * time.Millisecond
}

// sleep waits for d. It returns false if the client disconnects before.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// readJSON decodes the body into value. On an error it answers with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
