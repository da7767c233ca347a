package leader

import (
	"fmt"
	"time"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/grant"
)

const (
	// recordPeriod bounds the records to one a service in this time.
	recordPeriod = Time(200 * time.Millisecond)
	// recordRetry is when a record that the log has not acknowledged is made anew.
	recordRetry = Time(5 * time.Second)
)

// recording is a record that waits for the log, with the epochs that it acknowledges.
type recording struct {
	id     string
	epochs map[string]grant.Epoch
	retry  Time
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
	if c.log.away || !c.log.read || c.now < l.recordAt {
		return
	}
	l.recordAt = c.now + recordPeriod
	for _, s := range c.services {
		if r, waiting := l.recording[s.Name]; waiting && c.now < r.retry {
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
		h := l.holdings[c.current(b)]
		if h == nil || !h.owns || !h.live || h.epoch.IsZero() || c.offset(h) != 0 {
			continue
		}
		made.Assignments = append(made.Assignments, record.Assignment{Server: h.server, Epoch: h.epoch, Ranges: h.set})
		made.Provisional = made.Provisional || h.ackedAway
		epochs[h.server] = h.epoch
	}
	delete(l.recording, s.Name)
	if len(epochs) == 0 {
		return
	}
	l.recordSerial++
	id := fmt.Sprintf("assign/%s/%s/%s/%d", c.config.Domain, s.Name, l.term, l.recordSerial)
	l.recording[s.Name] = recording{id: id, epochs: epochs, retry: c.now + recordRetry}
	c.emit(Append{ID: id, Record: made})
}

func (c *Core) appended(ev Appended) {
	l := c.lead
	if l == nil {
		return
	}
	for name, r := range l.recording {
		if r.id != ev.ID {
			continue
		}
		for server, epoch := range r.epochs {
			l.recorded[server] = recorded{epoch: epoch, offset: ev.Offset}
		}
		delete(l.recording, name)
		l.tableDirty = true
	}
}

// offset returns the log offset that acknowledges the set of a holder, or zero.
func (c *Core) offset(h *holding) uint64 {
	if r := c.lead.recorded[h.server]; r.epoch == h.epoch {
		return r.offset
	}
	if a, found := c.log.assigned[h.server]; found && a.Assignment.Epoch == h.epoch {
		return a.Offset
	}
	return 0
}
