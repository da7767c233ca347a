package inlet

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"example.org/mustardring/internal/linger"
)

// EndReason says why a connection ended.
type EndReason string

// The reasons.
const (
	// CallerClosed and CallerReset mean that the caller ended the connection.
	CallerClosed EndReason = "caller-closed"
	CallerReset  EndReason = "caller-reset"
	// Idle means that no request came for Limits.IdleTimeout.
	Idle EndReason = "idle"
	// Stopping means that the server drains or has finished.
	Stopping EndReason = "stopping"
	// Asked means that the caller asked with its last request for the connection to be closed.
	Asked EndReason = "asked"
	// Refused means that a request could not be read or was too large.
	Refused EndReason = "refused"
	// Aborted means that a handler aborted.
	Aborted EndReason = "aborted"
	// WriteFailed means that a reply could not be written.
	WriteFailed EndReason = "write-failed"
)

// End is the end of a connection. Sizes are in bytes.
type End struct {
	// Reason is why the connection ended, the first one if there are several.
	Reason EndReason
	// Remote is the address of the caller.
	Remote string
	// Replies is the number of replies that were written, and Written the number of their bytes.
	Replies int
	Written int64
	// Queue is what the connection held in the kernel when it was closed.
	linger.Queue
	// UnwrittenIDs are the IDs of requests whose replies were ready and not written completely, UnackedIDs those of replies that the
	// caller's kernel had not acknowledged completely, at most maxPipelined of each.
	UnwrittenIDs, UnackedIDs []string
	// Waited is the time from the last written byte to the end.
	Waited time.Duration
}

// Notable reports whether the caller may lack a reply that was ready.
func (e End) Notable() bool { return len(e.UnwrittenIDs)+len(e.UnackedIDs) > 0 }

// writtenReply is the ID of a request whose reply was written, and how many bytes were written on the connection then.
type writtenReply struct {
	id  string
	end int64
}

// record is what has become of the replies of a connection. The lock of its connection guards it.
type record struct {
	reason    EndReason
	replies   int
	written   int64
	writtenAt time.Time
	// last holds the replies that were written last.
	last      []writtenReply
	unwritten []string
}

// setReason sets the reason of the end, unless there is one.
func (c *conn) setReason(r EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReasonLocked(r)
}

func (c *conn) setReasonLocked(r EndReason) {
	if c.record.reason == "" {
		c.record.reason = r
	}
}

// recordWritten records that the reply to a request was written.
func (c *conn) recordWritten(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.replies++
	c.record.writtenAt = time.Now()
	if len(c.record.last) == maxPipelined {
		c.record.last = slices.Delete(c.record.last, 0, 1)
	}
	c.record.last = append(c.record.last, writtenReply{id, c.record.written})
}

// recordUnwritten records that the reply to a request, nil if there is none, was ready and not written completely.
func (c *conn) recordUnwritten(reply *Reply) {
	if reply == nil || reply.Abort || reply.ID == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.record.unwritten) < maxPipelined {
		c.record.unwritten = append(c.record.unwritten, reply.ID)
	}
}

// Write implements io.Writer. It writes as long as the caller receives something, and counts what is written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := linger.Write(c.raw, p, writeTimeout)
	c.mu.Lock()
	c.record.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// describeEnd returns the end of the connection, given what the kernel held at last.
func (c *conn) describeEnd(queue linger.Queue) End {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := End{
		Reason: c.record.reason, Remote: c.raw.RemoteAddr().String(), Replies: c.record.replies, Written: c.record.written,
		Queue: queue, UnwrittenIDs: c.record.unwritten,
	}
	if !c.record.writtenAt.IsZero() {
		e.Waited = time.Since(c.record.writtenAt)
	}
	for _, r := range c.record.last {
		if r.end > c.record.written-int64(queue.Unacked) {
			e.UnackedIDs = append(e.UnackedIDs, r.id)
		}
	}
	return e
}

// end closes the connection once the caller has received what was written.
func (c *conn) end() {
	silence := max(c.server.limits().IdleTimeout, writeTimeout)
	queue := linger.QueueOf(c.raw)
	c.mu.Lock()
	broken, input := c.broken, linger.Keep
	received := queue.Unacked <= 0 && time.Since(c.record.writtenAt) >= silence
	if c.closeStated {
		// The caller knows that what it has sent behind that reply was not read.
		input = linger.Discard
	}
	c.mu.Unlock()
	if broken || received {
		_ = c.raw.Close()
	} else {
		queue = linger.Close(c.raw, input, silence)
	}
	if c.server.Ended != nil {
		c.server.Ended(c.describeEnd(queue))
	}
}

// discardInput reads and discards what the caller sends behind its last request, while replies are pending, so that it is noticed
// if the caller leaves.
func (c *conn) discardInput() {
	c.setReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.raw); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerLeft(err)
	}
}

// callerLeft cancels the handlers after reading has failed, with a nil error at the end of the stream.
func (c *conn) callerLeft(err error) {
	c.mu.Lock()
	c.broken = true
	c.setReasonLocked(readEnd(err))
	c.mu.Unlock()
	c.cancel()
}

// interrupt makes reading fail from now on.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptLocked()
}

func (c *conn) interruptLocked() {
	if !c.interrupted {
		c.interrupted = true
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReadDeadline sets the read deadline unless reading was interrupted.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.raw.SetReadDeadline(t)
	}
}

// Open is the state of all open connections of a server.
type Open struct {
	Conns int
	// InFlight is the number of requests whose reply has not been written.
	InFlight int64
	// Unacked is the number of bytes of replies that callers have not acknowledged.
	Unacked int
}

// Open returns the state of all open connections.
func (s *Server) Open() Open {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Open{Conns: len(s.conns), InFlight: s.InFlight()}
	for c := range s.conns {
		o.Unacked += max(linger.QueueOf(c.raw).Unacked, 0)
	}
	return o
}
