package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

const (
	// chunk is the size of the buffer through which an answer streams. It bounds the memory
	// that a slow reader holds. An answer that fits is read whole before its first byte goes
	// to the caller.
	chunk = 32 << 10
	// maxKept is the largest answer that is kept for a resend.
	maxKept = 8 << 10
	// stall is how long a caller may take to accept one chunk.
	stall = 30 * time.Second
	// smallAnswer fits the buffers between here and the caller, so that no deadline is needed.
	smallAnswer = 2 << 10
)

var chunks = sync.Pool{New: func() any { return new([chunk]byte) }}

// answer passes the server's answer on. It returns true when the answer broke before any of
// it went to the caller, and the request is to be tried once more.
func (j *job) answer(w http.ResponseWriter, slot policy.Slot, t route.Target, r *http.Response) (*refusal, bool) {
	buffer := chunks.Get().(*[chunk]byte)
	defer chunks.Put(buffer)
	outcome := outcomeOf(r)
	set := func() {
		copyHeader(w.Header(), r.Header)
		outcomeHeader(w.Header(), j.id, outcome)
		w.Header().Set(caller.HeaderServer, slot.Server)
	}
	if r.ContentLength < 0 || r.ContentLength > chunk || j.Method == http.MethodHead {
		set()
		if err := stream(w, r, buffer); err != nil {
			j.cut(t, slot, err)
		}
		j.ended(r, outcome, nil)
		return nil, false
	}
	whole := buffer[:r.ContentLength]
	if err := readWhole(r.Body, whole); err != nil {
		return j.unanswered(slot, t, err)
	}
	set()
	j.ended(r, outcome, whole)
	// The answer was read whole: a connection that breaks from here on is the caller's.
	_ = writeWhole(w, r.StatusCode, whole)
	return nil, false
}

// readWhole reads a body of known length to its end, so that the server is known to be done.
func readWhole(from io.Reader, to []byte) error {
	if _, err := io.ReadFull(from, to); err != nil {
		return err
	}
	var one [1]byte
	if _, err := from.Read(one[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// writeWhole writes an answer that is in memory.
func writeWhole(w http.ResponseWriter, status int, body []byte) error {
	if len(body) > smallAnswer {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(stall))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// ended says that the request had its answer, of which whole is the body if it is in memory.
func (j *job) ended(r *http.Response, outcome caller.Outcome, whole []byte) {
	if outcome != caller.Ran {
		j.service.doubt(j.policy)
		j.tellEnd(outcome, 0)
		return
	}
	var kept *policy.StoredResponse
	if j.policy.HasRecord() && whole != nil && len(whole) <= maxKept {
		kept = &policy.StoredResponse{Status: r.StatusCode, Header: make(http.Header, len(r.Header)), Body: append([]byte(nil), whole...)}
		copyHeader(kept.Header, r.Header)
	}
	if j.policy.HasRecord() || j.policy.Fingerprint != 0 {
		j.service.answered(j.policy, r.StatusCode, kept)
	}
	j.tellEnd(caller.Ran, r.StatusCode)
}

// replay gives a resend the answer to the first sending.
func (j *job) replay(w http.ResponseWriter, k *policy.StoredResponse) {
	j.front.meters.replayed.Add(1)
	copyHeader(w.Header(), k.Header)
	outcomeHeader(w.Header(), j.id, caller.Ran)
	w.Header().Set(caller.HeaderReplayed, "true")
	w.Header().Set("Content-Length", strconv.Itoa(len(k.Body)))
	_ = writeWhole(w, k.Status, k.Body)
}

// errCaller is wrapped by errors of writing to the caller.
var errCaller = errors.New("front: caller does not take the answer")

// cut ends an answer that broke on its way. The caller's connection is aborted: a cut answer
// must not look whole.
func (j *job) cut(t route.Target, slot policy.Slot, err error) {
	j.front.meters.cut.Add(1)
	j.front.deps.Log.Warn("answer-cut", "request", j.id, "service", j.request.service, "server", slot.Server, "error", err)
	if !errors.Is(err, errCaller) && faultOf(err) == policy.ConnectionLost {
		j.blame(t, slot)
	}
	j.service.doubt(j.policy)
	j.tellEnd(caller.Unknown, 0)
	panic(http.ErrAbortHandler)
}

// stream passes an answer on as it comes.
func stream(w http.ResponseWriter, r *http.Response, buffer *[chunk]byte) error {
	flush := r.ContentLength < 0
	control := http.NewResponseController(w)
	w.WriteHeader(r.StatusCode)
	for {
		n, err := r.Body.Read(buffer[:])
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(stall))
			if _, failure := w.Write(buffer[:n]); failure != nil {
				return errors.Join(errCaller, failure)
			}
			if flush {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			_ = control.SetWriteDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// outcomeOf returns what an answer says of its request. A server that sheds load without
// saying so may or may not have begun the work.
func outcomeOf(r *http.Response) caller.Outcome {
	switch r.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return caller.Unknown
	default:
		return caller.Ran
	}
}

// epochText returns the header form of an epoch: log.sub.incarnation.sequence.
func epochText(e grant.Epoch) string {
	buffer := make([]byte, 0, 64)
	for i, n := range [...]uint64{e.Term.Log, e.Term.Sub, e.Term.Incarnation, e.Sequence} {
		if i > 0 {
			buffer = append(buffer, '.')
		}
		buffer = strconv.AppendUint(buffer, n, 10)
	}
	return string(buffer)
}
