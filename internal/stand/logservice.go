package stand

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

// FaultPath takes the fault switches of a stand-in by POST and shows them by GET.
const FaultPath = "/.stand-in/fault"

// maxWait bounds how long the log service holds back an empty answer.
const maxWait = 30 * time.Second

// maxAppend bounds the bytes of one append.
const maxAppend = 64 << 20

// LogFault are the fault switches of the log service. A POST replaces them all.
type LogFault struct {
	// Down refuses each call before it takes effect.
	Down bool `json:"down,omitempty"`
	// SlowMillis holds back each answer. An append takes effect before the wait.
	SlowMillis int64 `json:"slow-ms,omitempty"`
	// LoseAnswers breaks the connection of this many appends after they took effect.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// StartAnew forgets everything at once and takes a new identity.
	StartAnew bool `json:"start-anew,omitempty"`
	// ForgetBelow forgets the records with lower offsets at once.
	ForgetBelow uint64 `json:"forget-below,omitempty"`
}

// LogService is an http.Handler that stands in for the platform's log. It writes a repeated
// append again: the log of the platform is not said to know repetitions.
type LogService struct {
	settings LogSettings
	limiter  *rate.Limiter
	mux      *http.ServeMux

	mu       sync.Mutex
	fault    LogFault
	entries  []kept
	next     uint64
	identity uint64
	changed  chan struct{}
	appends  int
}

type kept struct {
	entry record.Entry
	// until is when the record is forgotten, zero for never.
	until time.Time
}

// NewLogService returns an empty log.
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

// Appends returns the number of appends that took effect.
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
		l.wake()
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
	answer, slow, lost := l.add(req)
	if !sleep(r, slow) {
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// add appends and reports what the fault switches do to the answer.
func (l *LogService) add(req logcl.AppendRequest) (answer logcl.AppendResponse, slow time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := kept{entry: record.Entry{Offset: l.next, ID: req.ID, Data: req.Data}}
	if l.settings.RetainMillis > 0 {
		k.until = time.Now().Add(time.Duration(l.settings.RetainMillis) * time.Millisecond)
	}
	l.entries = append(l.entries, k)
	l.next++
	l.appends++
	l.retain(time.Now())
	l.wake()
	if l.fault.LoseAnswers > 0 {
		l.fault.LoseAnswers--
		lost = true
	}
	answer = logcl.AppendResponse{Offset: k.entry.Offset, Identity: l.name()}
	return answer, time.Duration(l.fault.SlowMillis) * time.Millisecond, lost
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
	batch, ok := l.await(r, from, limit)
	if !ok || !sleep(r, l.slow()) {
		return
	}
	if from < batch.Oldest {
		writeJSON(w, http.StatusGone, batch)
		return
	}
	writeJSON(w, http.StatusOK, batch)
}

// await returns the batch as soon as it has entries or a gap, the log starts anew, or the
// stated time is over. It returns false when the reader has gone.
func (l *LogService) await(r *http.Request, from uint64, limit int) (logcl.Batch, bool) {
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

func waitUntil(r *http.Request) time.Time {
	now := time.Now()
	millis, err := strconv.ParseInt(r.URL.Query().Get(logcl.QueryWaitUntil), 10, 64)
	if err != nil {
		return now
	}
	until := time.UnixMilli(millis)
	if bound := now.Add(maxWait); until.After(bound) {
		return bound
	}
	return until
}

func (l *LogService) batch(from uint64, limit int) (logcl.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retain(time.Now())
	oldest := l.next - uint64(len(l.entries))
	batch := logcl.Batch{Entries: []record.Entry{}, Oldest: oldest, Next: l.next, Identity: l.name()}
	if from >= oldest && from < l.next {
		part := l.entries[from-oldest:]
		for _, k := range part[:min(limit, len(part))] {
			batch.Entries = append(batch.Entries, k.entry)
		}
	}
	return batch, l.changed
}

func (l *LogService) retain(now time.Time) {
	if n := l.settings.RetainCount; n > 0 && len(l.entries) > n {
		l.forgetBelow(l.next - uint64(n))
	}
	forgotten := 0
	for _, k := range l.entries {
		if k.until.IsZero() || k.until.After(now) {
			break
		}
		forgotten++
	}
	l.entries = slices.Delete(l.entries, 0, forgotten)
}

func (l *LogService) forgetBelow(offset uint64) {
	oldest := l.next - uint64(len(l.entries))
	if offset <= oldest {
		return
	}
	l.entries = slices.Delete(l.entries, 0, int(min(offset, l.next)-oldest))
}

func (l *LogService) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *LogService) name() string {
	return fmt.Sprintf("%016x", l.identity)
}

func (l *LogService) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault.Down
}

func (l *LogService) slow() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.fault.SlowMillis) * time.Millisecond
}

// sleep waits and returns false when the peer has gone before.
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

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppend))
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
