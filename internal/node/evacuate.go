package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// evacuation is a failure domain whose servers are to get nothing more.
type evacuation struct {
	// record is what asks for it.
	record follow.Record
	// knownAt is when this instance heard of it. From closeAt on its servers get nothing more, keys or not.
	knownAt time.Time
	closeAt time.Time
	// emptied says that the servers have been seen without requests and keys.
	emptied bool
}

// evacuations is the failure domains that operators evacuate, and those that they have taken back. It has no input or
// output but its lines; world guards it.
type evacuations struct {
	events *event.Log
	// active holds the evacuated domains, back when others were taken back.
	active map[string]evacuation
	back   map[string]time.Time
}

func newEvacuations(events *event.Log) *evacuations {
	return &evacuations{events: events, active: map[string]evacuation{}, back: map[string]time.Time{}}
}

// backMost bounds the memory of domains that were taken back.
const backMost = 256

// begin takes in that a domain is to be evacuated. It reports whether that is new.
func (e *evacuations) begin(domain string, r follow.Record, now, closeAt time.Time) bool {
	if known, there := e.active[domain]; there {
		// Written again, it gives the domain no more time.
		known.record = r
		known.closeAt = clock.Earlier(known.closeAt, closeAt)
		e.active[domain] = known
		return false
	}
	e.active[domain] = evacuation{record: r, knownAt: now, closeAt: closeAt}
	e.events.Note(event.Belief, "evacuation", "domain", domain, "close-in", closeAt.Sub(now), "offset", r.Offset)
	return true
}

// end takes in that a domain is taken back. It reports whether it was evacuated.
func (e *evacuations) end(domain string, now time.Time, offset int64) bool {
	known, there := e.active[domain]
	if !there {
		return false
	}
	if len(e.back) >= backMost {
		clear(e.back)
	}
	delete(e.active, domain)
	e.back[domain] = now
	e.events.Note(event.Belief, "evacuation-ended", "domain", domain, "took", now.Sub(known.knownAt), "emptied", known.emptied, "offset", offset)
	return true
}

// records returns what asks for the evacuations in force, in the order of their offsets.
func (e *evacuations) records() []follow.Record {
	out := make([]follow.Record, 0, len(e.active))
	for _, v := range e.active {
		out = append(out, v.record)
	}
	slices.SortFunc(out, func(a, b follow.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// apply returns a server of a service as decisions are to see it.
//
// Servers of a domain that is taken back are taken for cold, whatever their entries say: they may have been started
// anew meanwhile, and an entry says so up to a second later.
func (e *evacuations) apply(s rules.Server, service rules.Service) rules.Server {
	s.ColdRate = service.ColdRate
	if at, was := e.back[s.Domain]; was && service.ColdTime > 0 {
		if warmAt := at.Add(service.ColdTime); warmAt.After(s.WarmAt) {
			s.WarmAt = warmAt
		}
	}
	if v, there := e.active[s.Domain]; there {
		s.Evacuated = true
		if s.LeaveBy.IsZero() || v.closeAt.Before(s.LeaveBy) {
			s.LeaveBy = v.closeAt
		}
	}
	return s
}

// takeEvacuations takes in what records of the operator's topic say of evacuations, the oldest of which can have been
// written the given time ago. Domain decodes the key of such a record. It reports whether anything changed.
func (w *world) takeEvacuations(u follow.Update, age time.Duration, domain func(key string) (string, bool)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	changed := false
	listed := map[string]bool{}
	for _, r := range u.Records {
		name, is := domain(r.Key)
		switch {
		case !is:
		case len(r.Value) == 0:
			changed = w.evacuated.end(name, now, r.Offset) || changed
		default:
			listed[name] = true
			changed = w.evacuated.begin(name, r, now, now.Add(w.evacuateTime-age)) || changed
		}
	}
	if u.Snapshot {
		for name := range maps.Clone(w.evacuated.active) {
			if !listed[name] {
				changed = w.evacuated.end(name, now, u.End) || changed
			}
		}
	}
	if changed {
		w.publish()
	}
	return changed
}

// evacuationRecords returns what asks for the evacuations in force.
func (w *world) evacuationRecords() []follow.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.evacuated.records()
}

// left is what an evacuated domain still has: requests that this instance sent there, and keys.
type left struct {
	requests int
	keys     int
}

// noteEmptied logs the evacuated domains that have become empty, and those that are not when they should be.
func (w *world) noteEmptied(leftAt func(domain string) left) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for domain, v := range w.evacuated.active {
		if v.emptied {
			continue
		}
		l := leftAt(domain)
		if v.emptied = l == (left{}); v.emptied {
			w.events.Note(event.Belief, "domain-empty", "domain", domain, "took", now.Sub(v.knownAt))
		} else if now.After(v.closeAt) && now.Sub(v.closeAt) < lookEvery {
			w.events.Note(event.Belief, "domain-not-empty", "domain", domain, "requests", l.requests, "keys", l.keys)
		}
		w.evacuated.active[domain] = v
	}
}

// evacuatedDomains returns the evacuated domains and for how long each has been known to be so.
func (w *world) evacuatedDomains() map[string]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]time.Duration{}
	for domain, v := range w.evacuated.active {
		out[domain] = time.Since(v.knownAt)
	}
	return out
}

// withEvacuations returns news of the operator's topic for the others: a configuration with all evacuations in force,
// so that it says all there is, whatever they missed before it.
func (n *Node) withEvacuations(u follow.Update) follow.Update {
	last := -1
	for i, r := range u.Records {
		if r.Key == n.around.ConfigKey {
			last = i
		}
	}
	if last < 0 {
		return u
	}
	u.Records = append(n.world.evacuationRecords(), u.Records[last])
	u.Snapshot = true
	return u
}

// noteEmptied logs which evacuated domains may be worked on.
func (n *Node) noteEmptied() { n.world.noteEmptied(n.leftAt) }

// leftAt returns what is left at the servers of a domain.
func (n *Node) leftAt(domain string) left {
	l := left{requests: n.edge.InFlight(domain)}
	servers := n.world.servers()
	for service, m := range n.holder.View().Maps {
		for _, r := range m.Ranges {
			if s, there := servers[r.Server]; there && s.Service == service && s.Domain == domain {
				l.keys += r.Len()
			}
		}
	}
	return l
}
