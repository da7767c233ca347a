package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// chunk is the size of the buffer through which an answer streams. It bounds the memory that
// a slow reader holds.
const chunk = 32 << 10

// stall is how long a caller may take to accept one chunk.
const stall = 30 * time.Second

var chunks = sync.Pool{New: func() any { return new([chunk]byte) }}

// stream passes an answer on. If it ends early, the caller's connection is aborted: a cut
// answer must not look whole.
func (f *Front) stream(w http.ResponseWriter, q *request, response *http.Response) {
	buffer := chunks.Get().(*[chunk]byte)
	defer chunks.Put(buffer)
	flush := response.ContentLength < 0
	control := http.NewResponseController(w)
	w.WriteHeader(response.StatusCode)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(stall))
			if _, failure := w.Write(buffer[:n]); failure != nil {
				panic(http.ErrAbortHandler)
			}
			if flush {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			f.deps.Log.Warn("answer cut", "request", q.id, "service", q.service, "error", err)
			panic(http.ErrAbortHandler)
		}
	}
	_ = control.SetWriteDeadline(time.Time{})
}
