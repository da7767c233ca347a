package inlet

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The constants of the memory for bodies. Sizes are in bytes.
const (
	// smallBody is the size up to which bodies are counted but always accepted. The read buffer of the connection may hold
	// that much anyway, and small requests go on while uploads fill the memory.
	smallBody = readBufferSize
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected body.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// holdWeight is the divisor of the moving average of hold times: a body counts for 1/holdWeight.
	holdWeight = 16
)

// BodyRejection is a request that was rejected because its body did not fit. Sizes are in bytes.
type BodyRejection struct {
	// Request is the head of the request. Its body must not be read.
	Request *http.Request
	// Length is the stated length of the body, -1 for a chunked one; Read is how much of it had been accepted.
	Length int64
	Read   int64
	// Held is what was held of the limit, including what had been accepted of this body.
	Held       int64
	Limit      int64
	RetryAfter time.Duration
}

// MemoryDeps holds the dependencies of a Memory.
type MemoryDeps struct {
	// Rejected is called for each rejected request. It must not block; nil means that nothing is called.
	Rejected func(BodyRejection)
}

// Memory counts the bytes of request bodies and of replies that the connections of a server hold. A body is held from
// its first byte, or its head if that states its length, until its handler has returned; a reply from then on until it has
// been written or discarded. Bodies that do not fit are rejected. Replies always fit, since their requests have run; they
// only leave less for bodies. A Memory may be used by several goroutines.
type Memory struct {
	deps  MemoryDeps
	limit int64

	mu       sync.Mutex
	held     int64
	peak     int64
	rejected int64
	// holdTime is the moving average of how long bodies above smallBody are held, each counted as at most maxRetryAfter.
	holdTime time.Duration
}

// MemorySnapshot is the state of a Memory. Sizes are in bytes.
type MemorySnapshot struct {
	Held int64
	// Peak is the highest value of Held, and Rejected the number of rejected requests, both since the start.
	Peak     int64
	Rejected int64
}

// NewMemory returns a Memory with a limit in bytes. If the limit is zero, it counts but rejects nothing.
func NewMemory(limit int64, d MemoryDeps) *Memory {
	return &Memory{deps: d, limit: limit, holdTime: minRetryAfter}
}

// Snapshot returns the current state.
func (m *Memory) Snapshot() MemorySnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemorySnapshot{Held: m.held, Peak: m.peak, Rejected: m.rejected}
}

// reserve counts n more bytes and returns true, or returns false if they do not fit.
func (m *Memory) reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && n > m.limit-m.held {
		return false
	}
	m.hold(n)
	return true
}

// add counts n more bytes, whether they fit or not. A negative number releases bytes.
func (m *Memory) add(n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hold(n)
}

// hold counts n more bytes. The caller has locked m.
func (m *Memory) hold(n int64) {
	m.held += n
	m.peak = max(m.peak, m.held)
}

// observe adds to the average how long a body was held.
func (m *Memory) observe(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdTime += (min(took, maxRetryAfter) - m.holdTime) / holdWeight
}

// reject counts the rejection of a request, of whose body some bytes had been accepted, and returns its reply.
//
// The status is 503 even if the body is larger than the whole limit: 413 would tell the caller that it is never accepted,
// which only Limits.BodyBytes says. This limit differs between instances, and the caller may reach another one.
func (m *Memory) reject(r *http.Request, read int64) *Reply {
	m.mu.Lock()
	m.rejected++
	held, retryAfter := m.held, max(m.holdTime, minRetryAfter)
	m.mu.Unlock()
	if m.deps.Rejected != nil {
		m.deps.Rejected(BodyRejection{
			Request: r, Length: r.ContentLength, Read: read, Held: held, Limit: m.limit, RetryAfter: retryAfter,
		})
	}
	reply := errorReply(http.StatusServiceUnavailable)
	reply.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return reply
}

// replySize returns the memory that a reply, which may be nil, holds.
func replySize(r *Reply) int64 {
	if r == nil {
		return 0
	}
	return int64(cap(r.Body))
}

// bodyBuffer takes in the body of a request. A nil bodyBuffer is that of a request without a body.
type bodyBuffer struct {
	memory *Memory
	data   []byte
	// reserved is the number of bytes that are counted for the body, and since when it began.
	reserved int64
	since    time.Time
}

// newBodyBuffer returns a buffer for a body of a stated length, -1 if it is not known, and whether the body fits. A stated
// length is allocated at once only if it counts against a limit, since the rest may never arrive.
func newBodyBuffer(m *Memory, length int64) (*bodyBuffer, bool) {
	b := &bodyBuffer{memory: m, since: time.Now()}
	size := max(length, 0)
	if !b.reserve(size) {
		return b, false
	}
	if m.limit <= 0 {
		size = min(size, writeBufferSize)
	}
	b.data = make([]byte, 0, size)
	return b, true
}

// reserve raises the reservation to size bytes, and returns false if they do not fit.
func (b *bodyBuffer) reserve(size int64) bool {
	missing := size - b.reserved
	switch {
	case missing <= 0:
		return true
	case size <= smallBody:
		b.memory.add(missing)
	case !b.memory.reserve(missing):
		return false
	}
	b.reserved = size
	return true
}

// write appends bytes of the body, and returns false if they do not fit.
func (b *bodyBuffer) write(p []byte) bool {
	if need := len(b.data) + len(p); need > cap(b.data) {
		// A quarter more than needed keeps copying in proportion to the size. The last bytes that fit need no reserve.
		size := need + need/4
		if need <= smallBody {
			size = min(size, smallBody)
		}
		if !b.reserve(int64(size)) {
			if size = need; !b.reserve(int64(size)) {
				return false
			}
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	b.data = append(b.data, p...)
	return true
}

// release releases the body after its handler has returned, or if there will be none. It does nothing the second time.
func (b *bodyBuffer) release() {
	if b == nil || b.reserved == 0 {
		return
	}
	if b.reserved > smallBody {
		b.memory.observe(time.Since(b.since))
	}
	b.discard()
}

// discard releases a rejected body. How long it was held says nothing about the others.
func (b *bodyBuffer) discard() {
	b.memory.add(-b.reserved)
	b.reserved, b.data = 0, nil
}

// memoryBody is a request body in memory.
type memoryBody struct {
	*bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (memoryBody) Close() error { return nil }

// ReadBody returns the body of a request. If the request comes from a Server, that is the memory that its Memory counts,
// not a copy, and must not be changed.
func ReadBody(r *http.Request) ([]byte, error) {
	if b, ok := r.Body.(memoryBody); ok {
		return b.data, nil
	}
	return io.ReadAll(r.Body)
}
