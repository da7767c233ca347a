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

// updateLog appends the homes of this domain to the log where they differ from what the log
// has, and frees those of unreachable domains. Only a leader does this, because only it knows
// what its servers may still act on.
func (c *Core) updateLog() {
	if c.bundle == nil || c.state == nil || !c.state.MayLead() {
		return
	}
	c.stateHomes()
	for i := range c.bundle.Services {
		if s := &c.bundle.Services[i]; s.Divided && s.Isolation == bundle.IsolationMove {
			c.evictUnreachable(s)
		}
	}
}

// stateHomes appends a statement of the ranges that this domain should serve, and of those
// that it cannot give up yet, unless the log has exactly these.
//
// A range that a server may still act on is never given up, because another domain may grant
// it as soon as the log says so. And before a range is given up, a majority of the voters
// must have stored the new fence. Otherwise a successor that cannot reach the log might grant
// the range again while the statement is on its way, and both domains would serve it.
func (c *Core) stateHomes() {
	if !c.leaderState.Settled {
		return
	}
	var services []record.ServiceHomes
	changes, releases := false, false
	for _, name := range c.dividedServices() {
		taken := c.takenBy(name, c.config.Domain)
		stated := keys.Union(c.wantedOfService(name), keys.Intersect(taken.Ranges, c.leaderState.Ranges[name]))
		obtained := keys.Subtract(stated, c.takenByOthers(name))
		changes = changes || taken.Evicted || taken.Notice != 0 || !slices.Equal(obtained, taken.Ranges)
		releases = releases || !keys.Covers(obtained, taken.Ranges)
		services = append(services, record.ServiceHomes{Service: name, Ranges: stated})
	}
	if !changes {
		return
	}
	base := c.base()
	if releases && c.leaderState.MajorityFence <= base {
		fence := base + 1
		c.fence = max(c.fence, fence)
		c.effects = append(c.effects, DistributeFence{Fence: fence})
		return
	}
	c.append("homes", base, record.HomesTaken{
		Domain:   c.config.Domain,
		Version:  c.bundle.Version,
		Log:      c.leaderState.LogTerm,
		Base:     base,
		Services: services,
	})
}

// dividedServices returns the names of the divided services of the bundle and of the services
// of which this domain still has homes, sorted.
func (c *Core) dividedServices() []string {
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

func (c *Core) wantedOfService(service string) []keys.Range {
	s := c.bundle.Service(service)
	if s == nil || !s.Divided {
		return nil
	}
	return c.wantedRanges(s)
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

// evictUnreachable frees the ranges of a service that unreachable domains have taken: first
// by a notice and, if EvictAfter passes without an objection, by an eviction. A domain that
// is unreachable from here but can reach the log objects by stating its homes again.
func (c *Core) evictUnreachable(s *bundle.Service) {
	for _, t := range c.homes {
		if t.Service != s.Name || t.Evicted || len(t.Ranges) == 0 || !c.unreachable(t.Domain) {
			continue
		}
		if t.Notice != 0 && c.now <= c.noticeReadAt[t.Notice]+Time(c.config.EvictAfter) {
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

// append requests the append of a record. Its ID includes the base of the statement, so that
// a repeated append counts once, but a later statement with the same content is a new one.
func (c *Core) append(kind string, base uint64, r record.Record) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%v", r))
	id := fmt.Sprintf("%s/%s/%d/%s", kind, c.config.Domain, base, hex.EncodeToString(sum[:8]))
	if at, requested := c.requestedAt[id]; requested && c.now < at+Time(c.config.AppendInterval) {
		return
	}
	c.requestedAt[id] = c.now
	c.pruneRequests()
	c.effects = append(c.effects, Append{ID: id, Record: r})
}

// maxTrackedRequests is the length of requestedAt above which entries older than
// AppendInterval are removed.
const maxTrackedRequests = 1024

func (c *Core) pruneRequests() {
	if len(c.requestedAt) <= maxTrackedRequests {
		return
	}
	for id, at := range c.requestedAt {
		if c.now >= at+Time(c.config.AppendInterval) {
			delete(c.requestedAt, id)
		}
	}
}
