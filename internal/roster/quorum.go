package roster

import (
	"maps"
	"time"

	"example.org/mustardring/internal/logpos"
)

// The maximum age of a view on which an instance may act depends on whether a majority agrees with it, that
// is, knows of no newer record. Without the agreement of a majority of all instances, or of those of its
// failure domain, the maximum is ContactTimeout, else a longer time that the caller sets. In return, the
// leader may assume that nobody acts on an older view any more once half of all instances and half of those
// of each domain have confirmed a decision and ContactTimeout has passed. Without these confirmations it has
// to wait for the longer time: the instances of a domain that is cut off as a whole agree with one another.
//
// This is safe: suppose an instance acts on a view without the decision, more than ContactTimeout after the
// decision was confirmed by half. A majority, including that instance, agreed with its view after the
// confirmation, and the instance itself has not confirmed. Half of a set, not including the instance, and
// a majority of the set without the instance have a member in common. That member knew the decision and
// cannot have agreed. Because registrations change, HalfConfirmed counts as confirming only instances that
// were registered throughout, out of all that were registered at any time.

// The timeout is contactIntervals heartbeat intervals, or minContactTimeout if that is more. One heartbeat
// carries the view of the instance to the others, the next one carries theirs back, and one of the two may
// be lost.
//
// The minimum exceeds the lease time of 2.2 seconds plus three heartbeat intervals, so that an instance that
// was suspended for long enough to lose contact has lost its leases anyway. With two seconds, instances that
// were suspended together withheld renewals of leases that had not expired.
//
// Without a timeout of its own for instances that lack a majority, the keys of a server that is lost within a
// second of an instance have no owner until all views are too old, because nobody can tell whether the two
// have failed or are cut off together (TestServerAndInstanceLost in package lease).
const (
	minContactTimeout = 3 * time.Second
	contactIntervals  = 3
)

// ContactTimeout returns the maximum age of a view on which an instance may act if no majority agrees with
// it. It depends on the size of the largest failure domain, because the agreement of a majority of one
// domain is sufficient. Instances that were recently registered count, too: an instance that does not know
// of them uses a shorter timeout, which is safe.
func (r *Roster) ContactTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := maps.Clone(r.domainSizes)
	for _, m := range r.removed {
		sizes[m.entry.Domain]++
	}
	for _, d := range r.departed {
		sizes[d.domain]++
	}
	largest := 0
	for _, n := range sizes {
		largest = max(largest, n)
	}
	return max(minContactTimeout, contactIntervals*interval(largest))
}

// MajorityAgrees reports whether more than half of all registered instances, or of those of this instance's
// failure domain, agree that there is no record of owners at offset end or later. Another instance agrees if
// it has said so after it received a heartbeat that this one sent at the time since or later. The time is
// one of this instance's lease clock, in nanoseconds.
func (r *Roster) MajorityAgrees(since int64, end logpos.Pos) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, domain := r.countWhere(func(p *Peer) bool {
		return p.Name == r.self || p.Heartbeat.EchoAt >= since && p.agrees(end)
	})
	return all.majority() || domain.majority()
}

// HalfKnows reports whether at least half of all instances, and of those of each failure domain, know of an era of the store
// and of no record of owners at offset end or later. They do not agree with views that hold such records.
func (r *Roster) HalfKnows(era logpos.Era, end logpos.Pos) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, domains := tally{}, map[string]tally{}
	for _, p := range r.peers {
		v := tally{total: 1}
		if h := p.Heartbeat; p.Name == r.self || h.LatestEra >= era && h.Known <= end {
			v.matching = 1
		}
		total, domains[p.Domain] = total.plus(v), domains[p.Domain].plus(v)
	}
	for _, m := range r.removed {
		v := tally{total: 1}
		total, domains[m.entry.Domain] = total.plus(v), domains[m.entry.Domain].plus(v)
	}
	for _, v := range domains {
		if !v.atLeastHalf() {
			return false
		}
	}
	return total.atLeastHalf()
}

// MajorityAlive reports whether more than half of the instances of this instance's failure domain are alive,
// including itself, or more than half of all instances if the domain has less than minMajorityDomain.
// Instances of other domains send heartbeats too rarely for their loss to be detected in time.
func (r *Roster) MajorityAlive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, domain := r.countWhere(func(p *Peer) bool { return r.alive(p, now) })
	if domain.total < minMajorityDomain {
		return all.majority()
	}
	return domain.majority()
}

// minMajorityDomain is the size from which on the majority of a failure domain says something: with fewer
// instances, the loss of a single one leaves no majority.
const minMajorityDomain = 3

// countWhere counts the instances that satisfy a condition, among all and among those of this instance's
// failure domain. The lock is held.
func (r *Roster) countWhere(satisfies func(p *Peer) bool) (all, domain tally) {
	for _, p := range r.peers {
		v := tally{total: 1}
		if satisfies(p) {
			v.matching = 1
		}
		all = all.plus(v)
		if p.Domain == r.domain {
			domain = domain.plus(v)
		}
	}
	return all, domain
}

// HeardFromHalf reports whether this instance has ever received a heartbeat from at least half of the
// other instances of its failure domain.
func (r *Roster) HeardFromHalf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, heard := 0, 0
	for _, p := range r.sorted {
		if p.Domain != r.domain || p.Name == r.self {
			continue
		}
		total++
		if !p.HeartbeatAt.IsZero() {
			heard++
		}
	}
	return 2*heard >= total
}

// departure is an instance that is no longer registered.
type departure struct {
	domain string
	at     time.Time
}

// tally counts the instances of a set, and those of them that satisfy a condition.
type tally struct {
	total    int
	matching int
}

func (t tally) atLeastHalf() bool { return 2*t.matching >= t.total }

func (t tally) majority() bool { return 2*t.matching > t.total }

func (t tally) plus(o tally) tally { return tally{t.total + o.total, t.matching + o.matching} }

// HalfConfirmed reports whether the record at an offset is confirmed by at least half of all instances and
// at least half of those of each failure domain. Instances that were registered at any time since the given
// one count; only those that have been registered ever since count as confirming.
func (r *Roster) HalfConfirmed(offset logpos.Pos, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, domains := tally{}, map[string]tally{}
	count := func(domain string, confirmed int) {
		v := tally{1, confirmed}
		total, domains[domain] = total.plus(v), domains[domain].plus(v)
	}
	for _, p := range r.peers {
		confirmed := 0
		if !p.RegisteredSince.After(since) && p.Heartbeat.Confirmed > offset {
			confirmed = 1
		}
		count(p.Domain, confirmed)
	}
	for _, m := range r.removed {
		count(m.entry.Domain, 0)
	}
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return d.at.Before(since) })
	for name, d := range r.departed {
		_, registered := r.peers[name]
		if _, removed := r.removed[name]; !registered && !removed {
			count(d.domain, 0)
		}
	}
	for _, v := range domains {
		if !v.atLeastHalf() {
			return false
		}
	}
	return total.atLeastHalf()
}
