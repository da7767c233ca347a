package edge

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"example.org/mustardring/internal/upstr"
)

const (
	// smallReply is the size in bytes up to which a response always fits.
	smallReply = 64 << 10
	// maxStatedAlloc bounds what is allocated for a response because of the length that it states, in bytes.
	maxStatedAlloc = 1 << 20
	// minReplyBuffer is the size of the first buffer for a response without a length, in bytes.
	minReplyBuffer = 4 << 10
)

// errReplyTooLarge is the error of a response that does not fit into the memory for responses.
var errReplyTooLarge = fmt.Errorf("%w: response too large", upstr.ErrInDoubt)

// ReplyMemory bounds the memory of the responses that are being read from servers, which may have no end. A response above
// smallReply may take as much as is left free when it has taken it: one alone half of the limit, two a third each. So there
// is always room for others. A ReplyMemory may be used by several goroutines.
type ReplyMemory struct {
	limit int64

	mu       sync.Mutex
	held     int64
	rejected int64
}

// NewReplyMemory returns a ReplyMemory with a limit in bytes.
func NewReplyMemory(limit int64) *ReplyMemory { return &ReplyMemory{limit: limit} }

// Snapshot returns how many bytes are held, and how many responses did not fit since the start.
func (m *ReplyMemory) Snapshot() (held, rejected int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.rejected
}

// ReadAll reads the body of a response, of a length that it states or -1, to its end. The error of one that does not fit wraps
// upstr.ErrInDoubt.
func (m *ReplyMemory) ReadAll(body io.Reader, length int64) ([]byte, error) {
	var reserved int64
	defer func() { m.release(reserved) }()
	grow := func(size int64) error {
		if !m.reserve(&reserved, size) {
			return fmt.Errorf("%w: %d bytes, %d stated", errReplyTooLarge, size, length)
		}
		return nil
	}
	// What is stated and does not fit is not waited for.
	if err := grow(length); err != nil {
		return nil, err
	}
	// One byte more than stated leaves room to read the end.
	size := int64(minReplyBuffer)
	if length >= 0 {
		size = min(length, maxStatedAlloc) + 1
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			size = 2 * int64(cap(data))
			if length >= 0 {
				size = min(size, length+1)
			}
			if err := grow(size); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserve raises a reservation to size bytes, or counts a rejection and returns false if they do not fit.
func (m *ReplyMemory) reserve(reserved *int64, size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if size <= *reserved {
		return true
	}
	held := m.held + size - *reserved
	if size > smallReply && size > m.limit-held {
		m.rejected++
		return false
	}
	m.held, *reserved = held, size
	return true
}

// release ends a reservation.
func (m *ReplyMemory) release(reserved int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= reserved
}
