package inlet

import (
	"net/http"
	"strconv"
	"time"
)

// writeReplies writes the replies in the order of their requests. Once the last reply has been written, or one could not be, it
// discards the remaining ones.
func (c *conn) writeReplies() {
	ended := false
	for e := range c.pipeline {
		reply := <-e.reply
		if ended {
			c.recordUnwritten(reply)
		} else {
			ended = c.deliver(e.method, reply)
		}
		c.replyDone(reply)
		if ended {
			// The caller is to know at once that nothing more comes.
			c.closeWrite()
			c.interrupt()
		}
	}
}

// deliver writes a reply, which may be nil, and reports whether it is the last one.
func (c *conn) deliver(method string, reply *Reply) (last bool) {
	if reply == nil || reply.Abort {
		c.stateClose(Aborted)
		c.cancel()
		return true
	}
	last = c.isLastReply()
	if err := c.writeReply(method, reply, last); err != nil {
		c.setReason(WriteFailed)
		c.recordUnwritten(reply)
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		c.cancel()
		return true
	}
	c.recordWritten(reply.ID)
	return last
}

// stateClose records that the caller learns from what it receives that the connection ends, and why.
func (c *conn) stateClose(r EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReasonLocked(r)
	c.closing, c.closeStated = true, true
}

// closeWrite sends the end of the stream.
func (c *conn) closeWrite() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// replyDone counts a request as done and releases its reply. That must not happen before its reply has been written: if
// the process ended after the handler but before the last byte, the reply would be cut short.
func (c *conn) replyDone(reply *Reply) {
	c.server.memory.add(-replySize(reply))
	c.mu.Lock()
	c.pending--
	c.repliedAt = time.Now()
	c.mu.Unlock()
	c.server.inFlight.Add(-1)
}

// isLastReply reports whether the next reply is the last one of the connection. While the server
// drains, that is the first reply behind which no other request is pending; the connection then
// accepts no more requests.
func (c *conn) isLastReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 1 && c.server.draining.Load() {
		c.closing = true
		c.setReasonLocked(Stopping)
	}
	c.closeStated = c.closing && c.pending == 1
	return c.closeStated
}

// writeReply writes the reply to a request with a method, see pipelineEntry, with "Connection: close" if it is the last one.
func (c *conn) writeReply(method string, reply *Reply, last bool) error {
	w := c.out
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(reply.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(reply.Status))
	_, _ = w.WriteString("\r\n")
	if err := reply.Header.Write(w); err != nil {
		return err
	}
	if hasBody(reply.Status) {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(reply.Body)))
		_, _ = w.WriteString("\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if method != http.MethodHead {
		if _, err := w.Write(reply.Body); err != nil {
			return err
		}
	}
	return w.Flush()
}

// hasBody reports whether responses with a status may have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
