package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/rules"
)

// evacuation is the evacuation of a failure domain: its servers are to get no more requests.
type evacuation struct {
	// record is the record that asks for the evacuation.
	record follow.Record
	// knownAt is when this instance learned of the evacuation. From closeAt on, the servers get no more requests,
	// whether or not they own keys.
	knownAt time.Time
	closeAt time.Time
	// listBy is when the evacuation ends unless a record asks for it again, zero if one does: the store has come back from an
	// older copy, which lacks the record.
	listBy time.Time
	// empty is set once the domain has been seen without requests and keys.
	empty bool
}

// evacuations holds the failure domains that operators evacuate, and those whose evacuation has ended. It does no I/O
// but for log lines; the lock of clusterState guards it.
type evacuations struct {
	events *event.Log
	// active holds the evacuations in force by domain, ended the times at which others ended.
	active map[string]evacuation
	ended  map[string]time.Time
}

func newEvacuations(events *event.Log) *evacuations {
	return &evacuations{events: events, active: map[string]evacuation{}, ended: map[string]time.Time{}}
}

// maxEnded bounds the number of domains in ended. When it is reached, all of them are dropped.
const maxEnded = 256

// begin starts the evacuation of a domain. It reports whether that is new.
func (e *evacuations) begin(domain string, r follow.Record, now, closeAt time.Time) bool {
	if known, found := e.active[domain]; found {
		// A repeated record does not give the domain more time.
		known.record, known.listBy = r, time.Time{}
		known.closeAt = clock.Earlier(known.closeAt, closeAt)
		e.active[domain] = known
		return false
	}
	e.active[domain] = evacuation{record: r, knownAt: now, closeAt: closeAt}
	e.events.Record(event.StateChange, "evacuation", "domain", domain, "close-in", closeAt.Sub(now), "offset", r.Offset)
	return true
}

// end ends the evacuation of a domain. It reports whether the domain was being evacuated.
func (e *evacuations) end(domain string, now time.Time, offset logpos.Pos) bool {
	known, found := e.active[domain]
	if !found {
		return false
	}
	if len(e.ended) >= maxEnded {
		clear(e.ended)
	}
	delete(e.active, domain)
	e.ended[domain] = now
	e.events.Record(event.StateChange, "evacuation-ended", "domain", domain, "took", now.Sub(known.knownAt), "emptied", known.empty, "offset", offset)
	return true
}

// records returns the records of the evacuations in force, in the order of their offsets.
func (e *evacuations) records() []follow.Record {
	out := make([]follow.Record, 0, len(e.active))
	for _, v := range e.active {
		out = append(out, v.record)
	}
	slices.SortFunc(out, func(a, b follow.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// apply returns a server with the effects of evacuations, as requests are to see it.
//
// Servers of a domain whose evacuation has ended are treated as cold, whatever their entries say: they may have been
// restarted meanwhile, and an entry shows that up to a second late.
func (e *evacuations) apply(s rules.Server, service rules.Service) rules.Server {
	s.ColdRate = service.ColdRate
	if at, found := e.ended[s.Domain]; found && service.ColdTime > 0 {
		if warmAt := at.Add(service.ColdTime); warmAt.After(s.WarmAt) {
			s.WarmAt = warmAt
		}
	}
	if v, found := e.active[s.Domain]; found {
		s.Evacuated = true
		if s.LeaveBy.IsZero() || v.closeAt.Before(s.LeaveBy) {
			s.LeaveBy = v.closeAt
		}
	}
	return s
}

// applyEvacuations applies the records of an update that start or end evacuations. The oldest of them can have been
// written as long ago as age. Domain decodes the key of such a record. It reports whether anything changed.
func (c *clusterState) applyEvacuations(u follow.Update, age time.Duration, domain func(key string) (string, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	changed := false
	listed := map[string]bool{}
	for _, r := range u.Records {
		name, ok := domain(r.Key)
		switch {
		case !ok:
		case u.Returned && c.evacuations.endedSince(name, now.Add(-operatorReturnTime)):
			// It was ended in a record that the store has lost.
		case len(r.Value) == 0:
			changed = c.evacuations.end(name, now, r.Offset) || changed
		default:
			listed[name] = true
			changed = c.evacuations.begin(name, r, now, now.Add(c.evacuationTime-age)) || changed
		}
	}
	for name, v := range maps.Clone(c.evacuations.active) {
		switch {
		case !u.Snapshot || listed[name]:
		case u.Returned:
			v.listBy = now.Add(operatorReturnTime)
			c.evacuations.active[name] = v
		case v.listBy.IsZero():
			changed = c.evacuations.end(name, now, u.End) || changed
		}
	}
	if changed {
		c.publish()
	}
	return changed
}

// operatorReturnTime is how long what operators have written may be missing after the store has come back from an older copy.
const operatorReturnTime = 10 * time.Second

// endedSince reports whether the evacuation of a domain has ended after a time.
func (e *evacuations) endedSince(domain string, since time.Time) bool {
	at, found := e.ended[domain]
	return found && at.After(since)
}

// endUnlisted ends the evacuations that the store has lost and that operators have not asked for again.
func (c *clusterState) endUnlisted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, changed := time.Now(), false
	for name, v := range maps.Clone(c.evacuations.active) {
		if !v.listBy.IsZero() && now.After(v.listBy) {
			changed = c.evacuations.end(name, now, v.record.Offset) || changed
		}
	}
	if changed {
		c.publish()
	}
	return changed
}

// evacuationRecords returns the records of the evacuations in force.
func (c *clusterState) evacuationRecords() []follow.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuations.records()
}

// remaining is what is left in an evacuated domain: requests in progress that this instance sent there, and keys.
type remaining struct {
	requests int
	keys     int
}

// logEmptied logs once for each evacuated domain that it has become empty, and that it has not when its time is over.
func (c *clusterState) logEmptied(remainingIn func(domain string) remaining) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for domain, v := range c.evacuations.active {
		if v.empty {
			continue
		}
		rest := remainingIn(domain)
		if v.empty = rest == (remaining{}); v.empty {
			c.events.Record(event.StateChange, "domain-empty", "domain", domain, "took", now.Sub(v.knownAt))
		} else if now.After(v.closeAt) && now.Sub(v.closeAt) < checkInterval {
			c.events.Record(event.StateChange, "domain-not-empty", "domain", domain, "requests", rest.requests, "keys", rest.keys)
		}
		c.evacuations.active[domain] = v
	}
}

// evacuatedDomains returns the evacuated domains and for how long each evacuation has been known.
func (c *clusterState) evacuatedDomains() map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]time.Duration{}
	for domain, v := range c.evacuations.active {
		out[domain] = time.Since(v.knownAt)
	}
	return out
}

// withEvacuations returns an update of ConfigTopic as it is broadcast: a configuration goes with all evacuations in
// force, as a snapshot that is complete whatever the receivers have missed before.
func (n *Node) withEvacuations(u follow.Update) follow.Update {
	last := -1
	for i, r := range u.Records {
		if r.Key == n.platform.ConfigKey {
			last = i
		}
	}
	if last < 0 {
		return u
	}
	u.Records = append(n.cluster.evacuationRecords(), u.Records[last])
	u.Snapshot = true
	return u
}

// logEmptied logs which evacuated domains are empty, so that operators can work on them.
func (n *Node) logEmptied() { n.cluster.logEmptied(n.remainingIn) }

// remainingIn returns what is left in a domain: requests in progress, and keys that its servers own.
func (n *Node) remainingIn(domain string) remaining {
	rest := remaining{requests: n.edge.InFlight(domain)}
	servers := n.cluster.servers()
	for service, m := range n.leases.View().Maps {
		for _, r := range m.Ranges {
			if s, found := servers.Get(r.Server); found && s.Service == service && s.Domain == domain {
				rest.keys += r.Len()
			}
		}
	}
	return rest
}
