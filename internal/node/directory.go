package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// directory is the servers as their entries state them. Each name has one life at a time, the one
// that started last. It has no input or output but its lines; world guards it.
type directory struct {
	events *event.Log
	// servers holds the servers by the id of their life. It is never changed, only replaced.
	servers map[string]rules.Server
	// lives holds the newest life by name, also of servers whose entry is gone.
	lives map[string]rules.Server
	// missing holds the names whose entry is gone although the server may still be there.
	missing map[string]struct{}
}

// livesMost bounds the memory of servers that are gone.
const livesMost = 8192

func newDirectory(events *event.Log) *directory {
	return &directory{
		events: events, servers: map[string]rules.Server{}, lives: map[string]rules.Server{}, missing: map[string]struct{}{},
	}
}

// decodeEntry reads the entry of a server that stands under a name.
type decodeEntry func(name string, data []byte, readAt time.Time) (rules.Server, error)

// take takes in news. LeaveBy is until when servers that leave by it may get requests.
func (d *directory) take(u follow.Update, now, leaveBy time.Time, decode decodeEntry) {
	d.servers = maps.Clone(d.servers)
	many := len(u.Records) >= notedMost
	var joined []rules.Server
	listed := make(map[string]bool, len(u.Records))
	for _, r := range u.Records {
		if len(r.Value) == 0 {
			d.missing[r.Key] = struct{}{}
			continue
		}
		listed[r.Key] = true
		s, err := decode(r.Key, r.Value, now)
		if err != nil {
			// Another writer stored it. It names no server to use, nor does it say that the server
			// of that name is gone: what that one said of itself last holds until it says more, or
			// its entry is removed. To drop it instead would let anyone who can write an entry take
			// a server out that works.
			d.events.Note(event.Belief, "entry-malformed", "server", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		if d.put(r, s, now, leaveBy, !many) {
			joined = append(joined, s)
		}
	}
	if many {
		d.noteJoined(joined, u.End)
	}
	if u.Snapshot {
		for _, s := range d.servers {
			if name := rules.NameOf(s.ID); !listed[name] {
				d.missing[name] = struct{}{}
			}
		}
	}
	d.dropUnstated()
}

// dropUnstated drops the servers without a start where most state theirs: another writer listed
// them, or an older life would pass for a server of its own.
func (d *directory) dropUnstated() {
	stated := 0
	for _, s := range d.servers {
		if s.StartedAt != 0 {
			stated++
		}
	}
	if 2*stated <= len(d.servers) {
		return
	}
	maps.DeleteFunc(d.servers, func(id string, s rules.Server) bool {
		if s.StartedAt == 0 {
			d.events.Note(event.Belief, "entry-malformed", "server", id, "error", "no start, though most servers state theirs")
		}
		return s.StartedAt == 0
	})
}

// notedMost is the number of entries in one piece of news from which on servers that join are logged together.
const notedMost = 16

// noteJoined logs servers that joined together, a line for each service and failure domain: a line for each of
// a thousand servers is most of what an instance writes at its start.
func (d *directory) noteJoined(servers []rules.Server, offset int64) {
	type place struct{ service, domain string }
	ids := map[place][]string{}
	for _, s := range servers {
		at := place{s.Service, s.Domain}
		ids[at] = append(ids[at], s.ID)
	}
	for at, members := range ids {
		slices.Sort(members)
		d.events.Note(event.Belief, "servers", "service", at.service, "domain", at.domain, "count", len(members),
			"servers", strings.Join(members, ","), "offset", offset)
	}
}

// put takes in the entry of a life of a server, unless it is older than what is known: news come
// over several ways, and a store that lost its history answers with what was. Noted says whether a server
// that is new gets a line. It reports whether the server is new and ready.
func (d *directory) put(r follow.Record, s rules.Server, now, leaveBy time.Time, noted bool) (joined bool) {
	old, known := d.lives[r.Key]
	if known && older(s, old) {
		d.events.Note(event.Belief, "entry-outdated", "server", s.ID, "known", old.ID, "sequence", s.Sequence,
			"sequence-known", old.Sequence, "offset", r.Offset)
		return false
	}
	if known && old.ID != s.ID {
		// The life before has ended, whatever its entry said: nobody can reach it any more.
		if _, there := d.servers[old.ID]; there {
			d.events.Note(event.Belief, "server-started-again", "server", s.ID, "before", old.ID, "offset", r.Offset)
		}
		delete(d.servers, old.ID)
	}
	delete(d.missing, r.Key)
	old, known = d.servers[s.ID]
	if s.Draining {
		s.LeaveBy = leaveBy
		if known && old.Draining {
			s.LeaveBy = old.LeaveBy
		}
	}
	if turned := known && old.Draining != s.Draining; turned || !known && (noted || s.Draining) {
		d.events.Note(event.Belief, "server", "server", s.ID, "service", s.Service, "address", s.Address,
			"domain", s.Domain, "draining", s.Draining, "leave-in", s.LeavesIn(now), "warm-in", s.WarmAt.Sub(now),
			"offset", r.Offset)
	}
	d.servers[s.ID] = s
	d.remember(r.Key, s)
	return !known && !s.Draining
}

// older reports whether an entry says less than what is known: it is of an earlier life, or was
// said earlier in the same one. The first said by a life of a server whose lives all have names of
// their own is never older.
func older(s, known rules.Server) bool {
	if s.StartedAt != known.StartedAt {
		return s.StartedAt < known.StartedAt
	}
	return s.Sequence < known.Sequence
}

// remember keeps which life of a name is the newest.
func (d *directory) remember(name string, s rules.Server) {
	if len(d.lives) >= livesMost {
		maps.DeleteFunc(d.lives, func(_ string, s rules.Server) bool {
			_, there := d.servers[s.ID]
			return !there
		})
	}
	d.lives[name] = s
}

// close bounds the time for which servers whose entry is missing may get requests. The entry may
// come back, but if the server has left it must not get them for longer than one that drains.
func (d *directory) close(leaveBy time.Time) {
	for name := range d.missing {
		s, known := d.servers[d.lives[name].ID]
		if known && s.LeaveBy.IsZero() {
			s.LeaveBy = leaveBy
			d.servers[s.ID] = s
		}
	}
}

// forget drops the servers whose entry is missing. It reports whether there were any.
func (d *directory) forget() bool {
	if len(d.missing) == 0 {
		return false
	}
	d.servers = maps.Clone(d.servers)
	for name := range d.missing {
		id := d.lives[name].ID
		if s, known := d.servers[id]; known {
			d.events.Note(event.Belief, "server-gone", "server", id, "service", s.Service)
			delete(d.servers, id)
		}
		delete(d.missing, name)
	}
	return true
}
