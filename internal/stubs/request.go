package stubs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// QueryBytes is the query parameter that asks a backend server to add this many bytes (spaces)
// after the JSON of its response, to simulate a large download.
const QueryBytes = "bytes"

// fillChunkBytes is the size of the writes that add bytes to a response, and of the buffers for
// reading bodies.
const fillChunkBytes = 32 << 10

// Reply is the JSON response of a backend server to a request that ran.
type Reply struct {
	Server    string `json:"server"`
	Service   string `json:"service"`
	Key       string `json:"key,omitempty"`
	RequestID string `json:"request-id,omitempty"`
	Epoch     string `json:"epoch,omitempty"`
	// BodyBytes and BodyHash (XXH64, hexadecimal) describe the request body that arrived.
	BodyBytes int64  `json:"body-bytes"`
	BodyHash  string `json:"body-hash"`
}

// errCrashed ends a request that crashed its server.
var errCrashed = errors.New("stubs: server crashed")

// bodyBuffers holds buffers for reading bodies. They are reused because the stand-in has to cost
// little in comparison with the system that it helps to measure.
var bodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, fillChunkBytes)
	return &buffer
}}

// handleRun rejects a request if the queue is full, waits for a slot, checks the grant, runs the
// request and answers it.
func (s *Server) handleRun(w http.ResponseWriter, r *http.Request, p *process) {
	present := s.runs.arrive(s.connections.count())
	defer s.runs.leave()
	if s.faults.get().Shed || present > s.settings.Slots+s.settings.Queue {
		s.runs.countShed()
		w.Header().Set("Retry-After", "1")
		s.refuse(w, http.StatusServiceUnavailable, "shed")
		return
	}
	hash := xxhash.New()
	buffer := bodyBuffers.Get().(*[]byte)
	size, err := io.CopyBuffer(hash, r.Body, *buffer)
	bodyBuffers.Put(buffer)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "body cut")
		return
	}
	ctx, cancel := deadlineContext(r)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		s.refuse(w, http.StatusGatewayTimeout, "no slot before the deadline")
		return
	}
	work, err := s.admit(r, p)
	if err != nil {
		s.runs.countRefused()
		s.refuse(w, http.StatusMisdirectedRequest, err.Error())
		return
	}
	defer work.End()
	if err := s.run(ctx, r, p); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.faults.waitWhileFrozen()
	if !waitIfSilent(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, r, Reply{
		Server:    s.settings.Name,
		Service:   s.settings.Service,
		Key:       r.Header.Get(caller.HeaderKey),
		RequestID: r.Header.Get(caller.HeaderRequestID),
		Epoch:     r.Header.Get(caller.HeaderEpoch),
		BodyBytes: size,
		BodyHash:  fmt.Sprintf("%016x", hash.Sum64()),
	})
}

// admit checks the request against the grant, and again right before it takes effect: the server
// may be frozen in between, and the grant may expire meanwhile.
func (s *Server) admit(r *http.Request, p *process) (work, error) {
	w, err := p.checker.begin(keys.Hash(s.settings.Service, r.Header.Get(caller.HeaderKey)))
	if err != nil {
		return nil, err
	}
	s.faults.waitWhileFrozen()
	if err := w.Check(); err != nil {
		w.End()
		return nil, err
	}
	return w, nil
}

// deadlineContext returns a context that ends when the client disconnects or the deadline in the
// request header passes.
func deadlineContext(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(r.Header.Get(caller.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), time.UnixMilli(millis))
}

// run records the run, which is the effect of the request, and then takes the configured time. It
// returns early with an error if the request is cancelled, passes its deadline or crashes the
// server.
func (s *Server) run(ctx context.Context, r *http.Request, p *process) error {
	index := s.runs.begin(r)
	f := s.faults.get()
	if f.isPoison(r) {
		s.runs.crash(index)
		s.crash(context.WithoutCancel(r.Context()), p)
		return errCrashed
	}
	duration := time.Duration(s.settings.RunMillis * float64(time.Millisecond))
	if f.isCold(time.Now()) {
		duration *= coldFactor
	}
	if duration <= 0 {
		s.runs.end(index, false, false)
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.runs.end(index, false, s.faults.waitWhileFrozen())
		return nil
	case <-ctx.Done():
		s.runs.end(index, true, s.faults.waitWhileFrozen())
		return ctx.Err()
	}
}

// isPoison reports whether the request crashes the server.
func (f ServerFault) isPoison(r *http.Request) bool {
	if f.Poison == "" {
		return false
	}
	return r.Header.Get(caller.HeaderKey) == f.Poison || r.Header.Get(caller.HeaderRequestID) == f.Poison
}

// reply writes the response, corrupted if the fault switches say so.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, reply Reply) {
	body, err := json.Marshal(reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fill, _ := strconv.ParseInt(r.URL.Query().Get(QueryBytes), 10, 64)
	half, wrongLength := s.faults.corruptResponse()
	if wrongLength {
		writeWrongLength(w, s.settings.Name, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(body))+fill, 10))
	w.Header().Set(caller.HeaderOutcome, string(caller.Ran))
	w.Header().Set(caller.HeaderServer, s.settings.Name)
	if half {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	writeFill(w, fill)
}

// writeFill writes n spaces, which JSON allows after a value.
func writeFill(w io.Writer, n int64) {
	if n <= 0 {
		return
	}
	chunk := make([]byte, min(n, fillChunkBytes))
	for i := range chunk {
		chunk[i] = ' '
	}
	for n > 0 {
		part := chunk[:min(n, int64(len(chunk)))]
		if _, err := w.Write(part); err != nil {
			return
		}
		n -= int64(len(part))
	}
}

// writeWrongLength states half the length of the body as Content-Length and sends the whole body.
func writeWrongLength(w http.ResponseWriter, name string, body []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s",
		len(body)/2, caller.HeaderOutcome, caller.Ran, caller.HeaderServer, name, body)
	_ = buffer.Flush()
}
