package roster

import (
	"maps"
	"time"
)

// How old knowledge may be acted on depends on whom an instance hears. One that hears neither a
// majority of its failure domain nor one of all may act on what it knows for a short time only, any
// other for longer: whoever knows more would be among those it hears, and say so. In return a decision
// that half of all and half of each domain have confirmed waits that short time for the rest, not the
// longer one. A domain that is cut off as a whole keeps the longer time, and the decision waits for it.
//
// Why that is safe: an instance that acts after the short time has heard a majority, itself among them,
// since before the decision was confirmed, and none of these knew of it then. It has not confirmed the
// decision itself. Half of a set, without that instance, and a majority of the set, less that instance,
// have a member in common, which would have known. The register changes, so Confirmed counts those
// only that were in it all the time, out of all that were in it at any time.

// contactLeast and contactBeats, in heartbeats, bound the time for which an instance that hears no
// majority may act on what it knows. One heartbeat brings its word to the others, the next theirs
// back, and one of the two may be lost. The least is above a lease of 2.2 seconds and three heartbeats:
// an instance that stood still for so long that it has lost contact has lost its leases anyway. With two
// seconds instances that stood still together withheld renewals of leases that had not run out.
//
// Without this a server that is lost within a second of an instance, which nobody can tell from one that is cut
// off with it, is without an owner until knowledge is too old for all (TestServerAndInstanceLost).
const (
	contactLeast = 3 * time.Second
	contactBeats = 3
)

// ContactTimeout returns that time, by the size of the largest failure domain: its majority is enough. All that
// were registered of late count: whoever knows of fewer acts for a shorter time.
func (r *Roster) ContactTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := maps.Clone(r.sizes)
	for _, l := range r.linger {
		sizes[l.entry.Domain]++
	}
	for _, d := range r.left {
		sizes[d.domain]++
	}
	most := 0
	for _, n := range sizes {
		most = max(most, n)
	}
	return max(contactLeast, contactBeats*pace(most))
}

// MajorityAgrees reports whether this instance and others that have heard from it since a time of its lease
// clock, and know of no record behind an offset, are more than half of those registered, or of those
// of its failure domain.
func (r *Roster) MajorityAgrees(since, end int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, near := r.count(func(p *Peer) bool {
		return p.Name == r.self || p.Heartbeat.EchoAt >= since && p.Heartbeat.Known <= end
	})
	return all.majority() || near.majority()
}

// MajorityAlive reports whether this instance hears more than half of the instances of its failure domain, or, where the domain has
// too few to tell, of all. Those of other domains send too seldom for their silence to show in time.
func (r *Roster) MajorityAlive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, near := r.count(func(p *Peer) bool { return r.alive(p, now) })
	if near.all < majorityLeast {
		return all.majority()
	}
	return near.majority()
}

// majorityLeast is the number of instances of a failure domain from which on a majority of them can be told.
const majorityLeast = 3

// count returns how many instances there are that count, of all and of those of the own failure domain; the lock is held.
func (r *Roster) count(counts func(p *Peer) bool) (all, near votes) {
	for _, p := range r.peers {
		v := votes{all: 1}
		if counts(p) {
			v.confirmed = 1
		}
		all = all.plus(v)
		if p.Domain == r.domain {
			near = near.plus(v)
		}
	}
	return all, near
}

// HalfOfDomainAlive reports whether half or more of the other instances of the own failure domain have been heard.
func (r *Roster) HalfOfDomainAlive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	near, heard := 0, 0
	for _, p := range r.sorted {
		if p.Domain != r.domain || p.Name == r.self {
			continue
		}
		near++
		if !p.HeardAt.IsZero() {
			heard++
		}
	}
	return 2*heard >= near
}

// departure is an instance that is no longer registered.
type departure struct {
	domain string
	at     time.Time
}

// votes counts the instances of a part of the register.
type votes struct {
	all       int
	confirmed int
}

func (v votes) enough() bool { return 2*v.confirmed >= v.all }

func (v votes) majority() bool { return 2*v.confirmed > v.all }

func (v votes) plus(o votes) votes { return votes{v.all + o.all, v.confirmed + o.confirmed} }

// HalfConfirmed reports whether, of those that were registered at some time since the given one, half or
// more have been so all the time and act by the records up to an offset, in all and in each failure
// domain.
func (r *Roster) HalfConfirmed(offset int64, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, domains := votes{}, map[string]votes{}
	count := func(domain string, confirmed int) {
		v := votes{1, confirmed}
		total, domains[domain] = total.plus(v), domains[domain].plus(v)
	}
	for _, p := range r.peers {
		confirmed := 0
		if !p.SinceAt.After(since) && p.Heartbeat.Confirmed > offset {
			confirmed = 1
		}
		count(p.Domain, confirmed)
	}
	for _, l := range r.linger {
		count(l.entry.Domain, 0)
	}
	maps.DeleteFunc(r.left, func(_ string, d departure) bool { return d.at.Before(since) })
	for name, d := range r.left {
		_, back := r.peers[name]
		if _, lingers := r.linger[name]; !back && !lingers {
			count(d.domain, 0)
		}
	}
	for _, v := range domains {
		if !v.enough() {
			return false
		}
	}
	return total.enough()
}
