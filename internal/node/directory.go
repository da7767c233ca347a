package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/rules"
)

// directory holds the servers as their entries state them. Of each name, only the incarnation that started last
// counts. It does no I/O but for log lines; the lock of clusterState guards it.
type directory struct {
	events *event.Log
	// servers holds the servers by the id of their incarnation, withStart is the number of those that state their start.
	servers   map[string]rules.Server
	withStart int
	// changed holds the ids of the servers that were added, changed or removed since the last call of takeChanged.
	changed map[string]struct{}
	// newest holds the newest incarnation by name, also of servers whose entry is gone.
	newest map[string]rules.Server
	// missing holds the names whose entry is gone although the server may still be there.
	missing map[string]struct{}
}

// minIncarnations is the number of names that newest may hold in any case. It keeps servers that are gone until there
// are as many of them as of listed ones, so that dropping them costs little for each entry.
const minIncarnations = 8192

func newDirectory(events *event.Log) *directory {
	return &directory{
		events: events, servers: map[string]rules.Server{}, changed: map[string]struct{}{}, newest: map[string]rules.Server{}, missing: map[string]struct{}{},
	}
}

// decodeEntry decodes the entry of a server, given its name.
type decodeEntry func(name string, data []byte, readAt time.Time) (rules.Server, error)

// decodedEntry is an entry of the directory: a server, or why the entry describes none.
type decodedEntry struct {
	server rules.Server
	err    error
}

// decodeEntries decodes the entries in an update, by the index of their records.
func decodeEntries(u follow.Update, now time.Time, decode decodeEntry) []decodedEntry {
	entries := make([]decodedEntry, len(u.Records))
	for i, r := range u.Records {
		if len(r.Value) > 0 {
			entries[i].server, entries[i].err = decode(r.Key, r.Value, now)
		}
	}
	return entries
}

// apply applies an update of the directory, whose entries were decoded. Servers that this update says are draining may
// get requests until leaveBy.
func (d *directory) apply(u follow.Update, entries []decodedEntry, now, leaveBy time.Time) {
	grouped := len(u.Records) >= minGroupedEntries
	var joined []rules.Server
	listed := make(map[string]bool, len(u.Records))
	for i, r := range u.Records {
		if len(r.Value) == 0 {
			d.missing[r.Key] = struct{}{}
			continue
		}
		listed[r.Key] = true
		if u.Returned && d.outdatedByReturn(r.Key, entries[i].server) {
			continue
		}
		s, err := entries[i].server, entries[i].err
		if err != nil {
			// Another writer stored this entry. It describes no usable server, and does not mean that the server of that
			// name is gone: the last valid entry holds until the server writes another one or its entry is removed.
			// Otherwise anyone who can write an entry could take a working server out.
			d.events.Record(event.StateChange, "entry-malformed", "server", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		if d.put(r, s, now, leaveBy, !grouped) {
			joined = append(joined, s)
		}
	}
	if grouped {
		d.logJoined(joined, u.End)
	}
	if u.Snapshot {
		for _, s := range d.servers {
			if name := rules.NameOf(s.ID); !listed[name] {
				d.missing[name] = struct{}{}
			}
		}
	}
	d.dropWithoutStart()
}

// outdatedByReturn reports whether an entry that the store lists after it has come back from an older copy states nothing
// newer: the server is known to be gone, or the entry is the known one or an earlier one. A server that is not gone writes its
// entry again.
func (d *directory) outdatedByReturn(name string, s rules.Server) bool {
	known, found := d.newest[name]
	if !found || known.ID != s.ID {
		return false
	}
	if _, present := d.servers[known.ID]; !present {
		d.events.Record(event.StateChange, "entry-outdated", "server", s.ID, "reason", "gone before the store returned")
		return true
	}
	if s.Sequence <= known.Sequence {
		delete(d.missing, name)
		return true
	}
	return false
}

// dropWithoutStart drops the servers without a start time if most servers state theirs: such an entry is from another
// writer, or of an older incarnation that would pass for a server of its own.
func (d *directory) dropWithoutStart() {
	if d.withStart == len(d.servers) || 2*d.withStart <= len(d.servers) {
		return
	}
	for id, s := range d.servers {
		if s.StartedAt == 0 {
			d.events.Record(event.StateChange, "entry-malformed", "server", id, "error", "no start, though most servers state theirs")
			d.remove(id)
		}
	}
}

// set adds or replaces a server.
func (d *directory) set(s rules.Server) {
	d.remove(s.ID)
	d.servers[s.ID] = s
	if s.StartedAt != 0 {
		d.withStart++
	}
}

// remove removes a server if it is there.
func (d *directory) remove(id string) {
	d.changed[id] = struct{}{}
	s, found := d.servers[id]
	if !found {
		return
	}
	if s.StartedAt != 0 {
		d.withStart--
	}
	delete(d.servers, id)
}

// takeChanged returns the ids of the servers that have changed since the last call.
func (d *directory) takeChanged() map[string]struct{} {
	out := d.changed
	d.changed = map[string]struct{}{}
	return out
}

// minGroupedEntries is the number of entries in an update from which on servers that join are logged together.
const minGroupedEntries = 16

// maxLoggedServers is the number of servers that a line names.
const maxLoggedServers = 20

// logJoined logs servers that joined together, in one line per service and failure domain that names some of them: all
// servers would be most of what an instance logs at its start with a thousand servers.
func (d *directory) logJoined(servers []rules.Server, offset logpos.Pos) {
	type place struct{ service, domain string }
	ids := map[place][]string{}
	for _, s := range servers {
		at := place{s.Service, s.Domain}
		ids[at] = append(ids[at], s.ID)
	}
	for at, members := range ids {
		slices.Sort(members)
		d.events.Record(event.StateChange, "servers", "service", at.service, "domain", at.domain, "count", len(members),
			"servers", strings.Join(members[:min(len(members), maxLoggedServers)], ","), "offset", offset)
	}
}

// put applies the entry of one incarnation of a server unless it is older than what is known: updates arrive over
// several paths, and a store that lost its history returns older records. LogNew says whether a new server is logged.
// It reports whether the server is new and ready.
func (d *directory) put(r follow.Record, s rules.Server, now, leaveBy time.Time, logNew bool) (joined bool) {
	old, known := d.newest[r.Key]
	if known && older(s, old) {
		d.events.Record(event.StateChange, "entry-outdated", "server", s.ID, "known", old.ID, "sequence", s.Sequence,
			"sequence-known", old.Sequence, "offset", r.Offset)
		return false
	}
	if known && old.ID != s.ID {
		// The previous incarnation has ended, whatever its entry said: it cannot be reached any more.
		if _, found := d.servers[old.ID]; found {
			d.events.Record(event.StateChange, "server-started-again", "server", s.ID, "before", old.ID, "offset", r.Offset)
		}
		d.remove(old.ID)
	}
	delete(d.missing, r.Key)
	old, known = d.servers[s.ID]
	if s.Draining {
		s.LeaveBy = leaveBy
		if known && old.Draining {
			s.LeaveBy = old.LeaveBy
		}
	}
	if changed := known && old.Draining != s.Draining; changed || !known && (logNew || s.Draining) {
		d.events.Record(event.StateChange, "server", "server", s.ID, "service", s.Service, "address", s.Address,
			"domain", s.Domain, "draining", s.Draining, "leave-in", s.LeavesIn(now), "warm-in", s.WarmAt.Sub(now),
			"offset", r.Offset)
	}
	d.set(s)
	d.setNewest(r.Key, s)
	return !known && !s.Draining
}

// older reports whether an entry is outdated by the known one: it is of an earlier incarnation, or an earlier entry
// of the same one. Where each incarnation of a server has a name of its own, its first entry is never outdated.
func older(s, known rules.Server) bool {
	if s.StartedAt != known.StartedAt {
		return s.StartedAt < known.StartedAt
	}
	return s.Sequence < known.Sequence
}

// setNewest records the newest incarnation of a name.
func (d *directory) setNewest(name string, s rules.Server) {
	if len(d.newest) >= max(minIncarnations, 2*len(d.servers)) {
		maps.DeleteFunc(d.newest, func(_ string, s rules.Server) bool {
			_, found := d.servers[s.ID]
			return !found
		})
	}
	d.newest[name] = s
}

// close limits the time for which servers whose entry is missing may get requests. The entry may come back, but a
// server that has left must not get requests for longer than one that drains.
func (d *directory) close(leaveBy time.Time) {
	for name := range d.missing {
		s, known := d.servers[d.newest[name].ID]
		if known && s.LeaveBy.IsZero() {
			s.LeaveBy = leaveBy
			d.set(s)
		}
	}
}

// removeMissing drops the servers whose entry is missing. It reports whether there were any.
func (d *directory) removeMissing() bool {
	if len(d.missing) == 0 {
		return false
	}
	for name := range d.missing {
		id := d.newest[name].ID
		if s, known := d.servers[id]; known {
			d.events.Record(event.StateChange, "server-gone", "server", id, "service", s.Service)
			d.remove(id)
		}
		delete(d.missing, name)
	}
	return true
}
