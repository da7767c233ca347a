package leader

import (
	"fmt"
	"time"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/grant"
)

const (
	// recordInterval is the minimum time between two assignment records of a service.
	recordInterval = Time(200 * time.Millisecond)
	// recordRetryDelay is the time after which a record that the log has not acknowledged is
	// replaced by a new one.
	recordRetryDelay = Time(5 * time.Second)
)

// pendingRecord is an assignment record that the log has not acknowledged yet. It has the
// epochs of the recorded grants by server.
type pendingRecord struct {
	id      string
	epochs  map[string]grant.Epoch
	retryAt Time
}

// recorded is the newest grant of a server that the log has acknowledged in this term.
type recorded struct {
	epoch  grant.Epoch
	offset uint64
}

// record appends the range sets that servers have acknowledged and that the log does not
// have. While the log is unavailable nothing is queued: when it is available again, the sets
// of that time are appended.
func (c *Core) record() {
	l := c.lead
	if c.log.unavailable || !c.log.everRead || c.now < l.recordAt {
		return
	}
	l.recordAt = c.now + recordInterval
	for _, s := range c.services {
		if r, waiting := l.pendingRecords[s.Name]; waiting && c.now < r.retryAt {
			continue
		}
		c.recordService(s)
	}
}

// recordService appends one record with the unrecorded sets of a service, if there are any.
func (c *Core) recordService(s *service) {
	l := c.lead
	made := record.AssignmentMade{Domain: c.config.Domain, Service: s.Name}
	epochs := make(map[string]grant.Epoch)
	for _, b := range s.Servers {
		h := l.holders[c.currentHolder(b)]
		if h == nil || !h.ownsRanges || !h.live || h.epoch.IsZero() || c.logOffset(h) != 0 {
			continue
		}
		made.Assignments = append(made.Assignments, record.Assignment{Server: h.server, Epoch: h.epoch, Ranges: h.ranges})
		made.Provisional = made.Provisional || h.ackedWithoutLog
		epochs[h.server] = h.epoch
	}
	delete(l.pendingRecords, s.Name)
	if len(epochs) == 0 {
		return
	}
	l.recordSerial++
	id := fmt.Sprintf("assign/%s/%s/%s/%d", c.config.Domain, s.Name, l.term, l.recordSerial)
	l.pendingRecords[s.Name] = pendingRecord{id: id, epochs: epochs, retryAt: c.now + recordRetryDelay}
	c.emit(Append{ID: id, Record: made})
}

func (c *Core) handleAppended(ev Appended) {
	l := c.lead
	if l == nil {
		return
	}
	for name, r := range l.pendingRecords {
		if r.id != ev.ID {
			continue
		}
		for server, epoch := range r.epochs {
			l.recorded[server] = recorded{epoch: epoch, offset: ev.Offset}
		}
		delete(l.pendingRecords, name)
		l.tableDirty = true
	}
}

// logOffset returns the offset of the log record that has the present set of a holder, or zero
// if none is known.
func (c *Core) logOffset(h *holder) uint64 {
	if r := c.lead.recorded[h.server]; r.epoch == h.epoch {
		return r.offset
	}
	if a, found := c.log.assigned[h.server]; found && a.Assignment.Epoch == h.epoch {
		return a.Offset
	}
	return 0
}
