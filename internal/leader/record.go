package leader

import (
	"fmt"
	"time"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/grant"
)

const (
	// recordInterval bounds the records to one a service in this time.
	recordInterval = Time(200 * time.Millisecond)
	// recordRetryDelay is when a record that the log has not acknowledged is made anew.
	recordRetryDelay = Time(5 * time.Second)
)

// pendingRecord is a record that waits for the log, with the epochs that it acknowledges.
type pendingRecord struct {
	id      string
	epochs  map[string]grant.Epoch
	retryAt Time
}

// recorded is what the log acknowledged of a server.
type recorded struct {
	epoch  grant.Epoch
	offset uint64
}

// record appends the sets that servers acknowledged and the log does not have. While the log
// is away nothing is queued: the sets as they are then are appended when it is back.
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

// logOffset returns the log offset that acknowledges the set of a holder, or zero.
func (c *Core) logOffset(h *holder) uint64 {
	if r := c.lead.recorded[h.server]; r.epoch == h.epoch {
		return r.offset
	}
	if a, found := c.log.assigned[h.server]; found && a.Assignment.Epoch == h.epoch {
		return a.Offset
	}
	return 0
}
