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
	// chunkBytes is the size of the buffer through which a response is streamed. It bounds the
	// memory that a slow caller uses. A response that fits is read completely before its first byte
	// is written to the caller.
	chunkBytes = 32 << 10
	// maxStoredBytes is the size of the largest response body that is stored for resends.
	maxStoredBytes = 8 << 10
	// callerWriteTimeout is how long a caller may take to accept one chunk.
	callerWriteTimeout = 30 * time.Second
	// smallResponseBytes is the size up to which a response is written without a deadline, because
	// it fits the socket buffers.
	smallResponseBytes = 2 << 10
)

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// writeResponse passes on the response of the server. It returns true if the request is to be
// retried: the response ended early, before any of it was written to the caller. If it ends early
// after that, writeResponse panics with http.ErrAbortHandler.
func (g *gateRequest) writeResponse(w http.ResponseWriter, slot policy.Slot, t route.Target, r *http.Response) (*refusal, bool) {
	buffer := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buffer)
	outcome := responseOutcome(r)
	setHeaders := func() {
		copyHeader(w.Header(), r.Header)
		setOutcomeHeaders(w.Header(), g.id, outcome)
		w.Header().Set(caller.HeaderServer, slot.Server)
	}
	if r.ContentLength < 0 || r.ContentLength > chunkBytes || g.Method == http.MethodHead {
		setHeaders()
		if err := stream(w, r, buffer); err != nil {
			g.abortResponse(t, slot, err)
		}
		g.complete(r, outcome, nil)
		return nil, false
	}
	body := buffer[:r.ContentLength]
	if err := readWhole(r.Body, body); err != nil {
		return g.handleNoResponse(slot, t, err)
	}
	setHeaders()
	g.complete(r, outcome, body)
	// The response is complete, so an error from here on is one of the connection to the caller.
	_ = writeWhole(w, r.StatusCode, body)
	return nil, false
}

// readWhole reads a body of known length and its io.EOF, after which the server is known to be
// done.
func readWhole(from io.Reader, to []byte) error {
	if _, err := io.ReadFull(from, to); err != nil {
		return err
	}
	var extra [1]byte
	if _, err := from.Read(extra[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// writeWhole writes a response whose body is in memory.
func writeWhole(w http.ResponseWriter, status int, body []byte) error {
	if len(body) > smallResponseBytes {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// complete records that the request got a complete response. The body is nil if it was streamed.
func (g *gateRequest) complete(r *http.Response, outcome caller.Outcome, body []byte) {
	if outcome != caller.Ran {
		g.service.recordUnknown(g.policyRequest)
		g.replicateOutcome(outcome, 0)
		return
	}
	var stored *policy.StoredResponse
	if g.policyRequest.HasRecord() && body != nil && len(body) <= maxStoredBytes {
		stored = &policy.StoredResponse{Status: r.StatusCode, Header: make(http.Header, len(r.Header)), Body: append([]byte(nil), body...)}
		copyHeader(stored.Header, r.Header)
	}
	if g.policyRequest.HasRecord() || g.policyRequest.Fingerprint != 0 {
		g.service.complete(g.policyRequest, r.StatusCode, stored)
	}
	g.replicateOutcome(caller.Ran, r.StatusCode)
}

// replay responds to a resend with the stored response.
func (g *gateRequest) replay(w http.ResponseWriter, stored *policy.StoredResponse) {
	g.front.counters.resendsReplayed.Add(1)
	copyHeader(w.Header(), stored.Header)
	setOutcomeHeaders(w.Header(), g.id, caller.Ran)
	w.Header().Set(caller.HeaderReplayed, "true")
	w.Header().Set("Content-Length", strconv.Itoa(len(stored.Body)))
	_ = writeWhole(w, stored.Status, stored.Body)
}

// errCallerWrite is wrapped by errors of writing to the caller.
var errCallerWrite = errors.New("front: writing response to caller failed")

// abortResponse ends a response that was streamed in part. It aborts the connection to the caller,
// which must not mistake the response for a complete one.
func (g *gateRequest) abortResponse(t route.Target, slot policy.Slot, err error) {
	g.front.counters.answersCut.Add(1)
	g.front.deps.Log.Warn("answer-cut", "request", g.id, "service", g.request.service, "server", slot.Server, "error", err)
	if !errors.Is(err, errCallerWrite) && faultOf(err) == policy.ConnectionLost {
		g.checkServerLoss(t, slot)
	}
	g.service.recordUnknown(g.policyRequest)
	g.replicateOutcome(caller.Unknown, 0)
	panic(http.ErrAbortHandler)
}

// stream copies a response to the caller as it arrives. It flushes each chunk if the length is
// unknown.
func stream(w http.ResponseWriter, r *http.Response, buffer *[chunkBytes]byte) error {
	flush := r.ContentLength < 0
	control := http.NewResponseController(w)
	w.WriteHeader(r.StatusCode)
	for {
		n, err := r.Body.Read(buffer[:])
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return errors.Join(errCallerWrite, werr)
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

// responseOutcome returns the outcome of a request that got the response. A server that sheds load
// without an outcome header may or may not have begun the request.
func responseOutcome(r *http.Response) caller.Outcome {
	switch r.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return caller.Unknown
	default:
		return caller.Ran
	}
}

// epochText returns an epoch as a header value: log.sub.incarnation.sequence, for example 3.1.7.9.
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
