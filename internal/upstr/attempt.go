package upstr

import (
	"errors"
	"net/http"
	"os"
	"time"

	"example.org/mustardring/internal/clock"
)

// attempt is one request on its way to a server.
type attempt struct {
	serial    uint64
	request   *http.Request
	startedAt time.Time
	// deadline is when the answer's head must be there, and until when the server must have
	// dropped the work at the latest.
	deadline     time.Time
	dropDeadline time.Time
	// done is called once, when the server is done with the request or known to have
	// dropped it.
	done func(sent bool)
	// stopContextWatch ends the watch on the request's context.
	stopContextWatch func() bool
	// writeDone reports the end of a write that goes on beside the reading; nil when the
	// request was written as a whole before.
	writeDone chan error
	// connSilent says that the connection was given up because nothing comes from it.
	connSilent bool
}

// writtenWhole reports whether the whole request was written without an error.
func (s *attempt) writtenWhole() bool {
	if s.writeDone == nil {
		return true
	}
	select {
	case err := <-s.writeDone:
		s.writeDone = nil
		return err == nil
	default:
		return false
	}
}

// writeDeadline returns the deadline of writing. A request that fits the buffers of both ends
// is never blocked, and needs none.
func (s *attempt) writeDeadline(o SendOptions) time.Time {
	if o.InMemory && s.request.ContentLength < writeBufferSize {
		return time.Time{}
	}
	return o.Deadline
}

// write writes the request. A body that is not in memory is written beside the reading of the
// answer, which may come before the body's end.
func (s *attempt) write(c *conn, inMemory bool) error {
	if inMemory {
		return s.writeAll(c)
	}
	s.writeDone = make(chan error, 1)
	go func() {
		err := s.writeAll(c)
		if err != nil {
			// The server must not take what came for the whole, and the reader must not wait.
			c.interrupt(s.serial)
		}
		s.writeDone <- err
	}()
	return nil
}

func (s *attempt) writeAll(c *conn) error {
	if err := s.request.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// awaitResponse reads the head of the answer. On a connection that was used before it gives up when
// the connection is silent and the server is not.
func (s *attempt) awaitResponse(c *conn) (*http.Response, error) {
	patient := c.reused
	for {
		limit := s.deadline
		if patient {
			limit = clock.Earlier(limit, time.Now().Add(c.client.silenceLimit()))
		}
		c.setReadDeadline(limit)
		_, err := c.in.Peek(1)
		if err == nil {
			if !c.hasHead() {
				c.setReadDeadline(s.deadline)
			}
			return c.readHead(s.request)
		}
		if !patient || !errors.Is(err, os.ErrDeadlineExceeded) || s.expired() {
			return nil, err
		}
		patient = false
		if c.client.Probe(s.request.Context()) == nil {
			s.connSilent = true
			c.client.closeIdle()
			return nil, ErrSilent
		}
	}
}

// expired reports whether nobody waits for the answer any more.
func (s *attempt) expired() bool {
	return !time.Now().Before(s.deadline) || s.request.Context().Err() != nil
}
