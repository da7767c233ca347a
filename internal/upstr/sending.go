package upstr

import (
	"errors"
	"net/http"
	"os"
	"time"

	"example.org/mustardring/internal/clock"
)

// sending is one request on its way to a server.
type sending struct {
	serial  uint64
	request *http.Request
	began   time.Time
	// deadline is when the answer's head must be there, and until when the server must have
	// dropped the work at the latest.
	deadline time.Time
	until    time.Time
	// done is called once, when the server is done with the request or known to have
	// dropped it.
	done func(sent bool)
	// stop ends the watch on the request's context.
	stop func() bool
	// writing reports the end of a write that goes on beside the reading; nil when the
	// request was written as a whole before.
	writing chan error
	// silent says that the connection was given up because nothing comes from it.
	silent bool
}

// written reports whether the whole request was written without an error.
func (s *sending) written() bool {
	if s.writing == nil {
		return true
	}
	select {
	case err := <-s.writing:
		s.writing = nil
		return err == nil
	default:
		return false
	}
}

// writeDeadline returns the deadline of writing. A request that fits the buffers of both ends
// is never blocked, and needs none.
func (s *sending) writeDeadline(o SendOptions) time.Time {
	if o.InMemory && s.request.ContentLength < writeBuffer {
		return time.Time{}
	}
	return o.Deadline
}

// write writes the request. A body that is not in memory is written beside the reading of the
// answer, which may come before the body's end.
func (s *sending) write(c *conn, inMemory bool) error {
	if inMemory {
		return s.writeAll(c)
	}
	s.writing = make(chan error, 1)
	go func() {
		err := s.writeAll(c)
		if err != nil {
			// The server must not take what came for the whole, and the reader must not wait.
			c.interrupt(s.serial)
		}
		s.writing <- err
	}()
	return nil
}

func (s *sending) writeAll(c *conn) error {
	if err := s.request.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// await reads the head of the answer. On a connection that was used before it gives up when
// the connection is silent and the server is not.
func (s *sending) await(c *conn) (*http.Response, error) {
	patient := c.reused
	for {
		limit := s.deadline
		if patient {
			limit = clock.Earlier(limit, time.Now().Add(c.server.patience()))
		}
		c.await(limit)
		_, err := c.in.Peek(1)
		if err == nil {
			if !c.hasHead() {
				c.await(s.deadline)
			}
			return c.awaitHead(s.request)
		}
		if !patient || !errors.Is(err, os.ErrDeadlineExceeded) || s.over() {
			return nil, err
		}
		patient = false
		if c.server.Probe(s.request.Context()) == nil {
			s.silent = true
			c.server.dropIdle()
			return nil, ErrSilent
		}
	}
}

// over reports whether nobody waits for the answer any more.
func (s *sending) over() bool {
	return !time.Now().Before(s.deadline) || s.request.Context().Err() != nil
}
