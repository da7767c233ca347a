package upstr

import (
	"errors"
	"net/http"
	"os"
	"time"

	"example.org/mustardring/internal/clock"
)

// attempt is one attempt to send a request to the server.
type attempt struct {
	// serial numbers the attempts of a client, from 1.
	serial    uint64
	request   *http.Request
	startedAt time.Time
	// deadline is when the head of the response must have arrived. dropDeadline is when the
	// server must have dropped the request at the latest.
	deadline     time.Time
	dropDeadline time.Time
	// done is SendOptions.Done.
	done func(sent bool)
	// stopContextWatch stops waiting for the end of the request's context.
	stopContextWatch func() bool
	// writeDone receives the result of a write that runs concurrently with reading the response.
	// It is nil if there is no such write, and after the result has been received.
	writeDone chan error
	// connSilent says that the attempt was given up because the connection went silent.
	connSilent bool
}

// writtenWhole reports whether the request has been written completely and without an error.
func (a *attempt) writtenWhole() bool {
	if a.writeDone == nil {
		return true
	}
	select {
	case err := <-a.writeDone:
		a.writeDone = nil
		return err == nil
	default:
		return false
	}
}

// writeDeadline returns the deadline for writing the request, or zero for none. A small request in
// memory fits the socket buffers, so writing it never blocks.
func (a *attempt) writeDeadline(o SendOptions) time.Time {
	if o.InMemory && a.request.ContentLength < writeBufferSize {
		return time.Time{}
	}
	return o.Deadline
}

// write writes the request. If its body is not in memory, write returns at once and the request is
// written concurrently, because the response may come before the end of the body.
func (a *attempt) write(c *conn, inMemory bool) error {
	if inMemory {
		return a.writeAll(c)
	}
	a.writeDone = make(chan error, 1)
	go func() {
		err := a.writeAll(c)
		if err != nil {
			// The server must not mistake the incomplete request for a complete one, and
			// the reader must not wait for a response.
			c.interrupt(a.serial)
		}
		a.writeDone <- err
	}()
	return nil
}

// writeAll writes the request and flushes the buffer.
func (a *attempt) writeAll(c *conn) error {
	if err := a.request.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// awaitResponse waits for the head of the response. On a reused connection, it fails if nothing
// arrives for the silence limit while the server responds on a new connection.
func (a *attempt) awaitResponse(c *conn) (*http.Response, error) {
	checkSilence := c.reused
	for {
		limit := a.deadline
		if checkSilence {
			limit = clock.Earlier(limit, time.Now().Add(c.client.silenceLimit()))
		}
		c.setReadDeadline(limit)
		_, err := c.in.Peek(1)
		if err == nil {
			if !c.hasHead() {
				c.setReadDeadline(a.deadline)
			}
			return c.readHead(a.request)
		}
		if !checkSilence || !errors.Is(err, os.ErrDeadlineExceeded) || a.expired() {
			return nil, err
		}
		checkSilence = false
		if c.client.Probe(a.request.Context()) == nil {
			a.connSilent = true
			c.client.closeIdle()
			return nil, ErrSilent
		}
	}
}

// expired reports whether the deadline has passed or the request's context has ended.
func (a *attempt) expired() bool {
	return !time.Now().Before(a.deadline) || a.request.Context().Err() != nil
}
