package homes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// declare states the homes of this domain in the log where they differ from what the log
// has, and frees those of silent domains. Only the leader does this: it alone knows what its
// servers may still act on.
func (c *Core) declare() {
	if c.bundle == nil || c.state == nil || !c.state.MayLead() {
		return
	}
	c.take()
	for i := range c.bundle.Services {
		if s := &c.bundle.Services[i]; s.Divided && s.Isolation == bundle.IsolationMove {
			c.evict(s)
		}
	}
}

// take states what the domain wants and what it cannot leave yet, unless that is what it has.
//
// A range that a server may still act on is never left out: another domain may grant it as
// soon as it is. And before a range is left out, a majority of the voters is taught so. A
// successor that is cut off from the log might otherwise grant the range again while the
// statement is under way, and both domains would serve it.
func (c *Core) take() {
	if !c.held.Settled {
		return
	}
	var services []record.ServiceHomes
	changes, leaves := false, false
	for _, name := range c.divided() {
		taken := c.takenBy(name, c.config.Domain)
		state := keys.Union(c.wantedOf(name), keys.Intersect(taken.Ranges, c.held.Ranges[name]))
		given := keys.Subtract(state, c.takenByOthers(name))
		changes = changes || taken.Evicted || taken.Notice != 0 || !slices.Equal(given, taken.Ranges)
		leaves = leaves || !keys.Covers(given, taken.Ranges)
		services = append(services, record.ServiceHomes{Service: name, Ranges: state})
	}
	if !changes {
		return
	}
	base := c.base()
	if leaves && c.held.MajorityFence <= base {
		fence := base + 1
		c.fence = max(c.fence, fence)
		c.effects = append(c.effects, DistributeFence{Fence: fence})
		return
	}
	c.append("homes", base, record.HomesTaken{
		Domain:   c.config.Domain,
		Version:  c.bundle.Version,
		Log:      c.held.LogTerm,
		Base:     base,
		Services: services,
	})
}

// divided returns the divided services of the bundle and those that this domain still has
// homes of, sorted.
func (c *Core) divided() []string {
	var names []string
	for _, s := range c.bundle.Services {
		if s.Divided {
			names = append(names, s.Name)
		}
	}
	for _, t := range c.homes {
		if t.Domain == c.config.Domain && len(t.Ranges) > 0 {
			names = append(names, t.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (c *Core) wantedOf(service string) []keys.Range {
	s := c.bundle.Service(service)
	if s == nil || !s.Divided {
		return nil
	}
	return c.wanted(s)
}

func (c *Core) takenByOthers(service string) []keys.Range {
	var all []keys.Range
	for _, t := range c.homes {
		if t.Service == service && t.Domain != c.config.Domain {
			all = append(all, t.Ranges...)
		}
	}
	return all
}

// evict frees the ranges of domains that were not heard for long, first by notice. A domain
// that is merely cut off from this one, but not from the log, objects to the notice.
func (c *Core) evict(s *bundle.Service) {
	for _, t := range c.homes {
		if t.Service != s.Name || t.Evicted || len(t.Ranges) == 0 || !c.silent(t.Domain) {
			continue
		}
		if t.Notice != 0 && c.now <= c.noticedAt[t.Notice]+Time(c.config.EvictAfter) {
			continue
		}
		base := fold.HomesBase(c.homes, t.Domain)
		c.append("evict", base, record.HomesEvicted{
			Domain:  t.Domain,
			Service: s.Name,
			By:      c.config.Domain,
			Base:    base,
			Notice:  t.Notice,
		})
	}
}

// append asks for a record. Its ID names what the statement is based on, so that a repeated
// append folds to one, and a later statement with the same content does not.
func (c *Core) append(kind string, base uint64, r record.Record) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%v", r))
	id := fmt.Sprintf("%s/%s/%d/%s", kind, c.config.Domain, base, hex.EncodeToString(sum[:8]))
	if at, sent := c.sentAt[id]; sent && c.now < at+Time(c.config.AppendInterval) {
		return
	}
	c.sentAt[id] = c.now
	c.forget()
	c.effects = append(c.effects, Append{ID: id, Record: r})
}

// maxSent bounds the memory of what was asked for.
const maxSent = 1024

func (c *Core) forget() {
	if len(c.sentAt) <= maxSent {
		return
	}
	for id, at := range c.sentAt {
		if c.now >= at+Time(c.config.AppendInterval) {
			delete(c.sentAt, id)
		}
	}
}
