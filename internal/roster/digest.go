package roster

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/logpos"
)

// In a failure domain with more than maxDirectDomain instances, heartbeats do not go from each instance to each other
// one, which would cost as many messages a second as the square of their number. They go to a few hubs, the strongest
// instances of the domain, each of which sends a digest of what it has heard to all instances of its domain. One hub also
// sends the digest to the other domains.
const (
	maxDirectDomain = 64
	// hubCount is the number of hubs of a domain: two may be lost at the same time.
	hubCount = 3
	// DigestInterval is the time between two heartbeats to the hubs, and between two digests.
	DigestInterval = time.Second
	// hubTimeout is the time without a heartbeat after which an instance is not used as a hub. It is shorter than the
	// time after which the instance counts as lost, since without hubs all others would seem to be lost as well.
	hubTimeout = 2500 * time.Millisecond
)

// Report is the state of an instance in a digest. It is encoded by position: its fields keep their order.
type Report struct {
	Name        string
	Incarnation uint64
	// AgeMs is the age in milliseconds of the heartbeat that the report is about, when the digest was made. It is
	// not known how long that heartbeat was in transit unless Dated is set.
	AgeMs int64
	Dated bool
	// The other fields are those of the Heartbeat.
	Confirmed     logpos.Pos
	Known         logpos.Pos
	StoreOK       bool
	StoreAnswered bool
	Stopping      bool
	Failing       []string
	LatestEra     logpos.Era `msgpack:"-"`
}

// LargeDomain reports whether the instances of a failure domain exchange digests.
func (r *Roster) LargeDomain(domain string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.domainSizes[domain] > maxDirectDomain
}

// Hubs returns the hubs of this instance's failure domain, the strongest first. It may be one of them.
func (r *Roster) Hubs(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hubs []*Peer
	for _, p := range r.sorted {
		if p.Domain == r.domain && !p.Heartbeat.Stopping && (p.Name == r.self || p.SinceHeartbeat(now) <= hubTimeout) {
			hubs = append(hubs, p)
		}
	}
	slices.SortStableFunc(hubs, func(a, b *Peer) int { return -cmp.Compare(a.Share, b.Share) })
	out := make([]Peer, 0, hubCount)
	for _, p := range hubs[:min(len(hubs), hubCount)] {
		out = append(out, *p)
	}
	return out
}

// Reports returns the reports of the other instances of this instance's failure domain that are alive and have sent it
// heartbeats.
func (r *Roster) Reports(now time.Time, clockNow clock.Instant) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	for _, p := range r.sorted {
		if p.Domain != r.domain || p.Name == r.self || p.directAt.IsZero() || !r.alive(p, now) {
			continue
		}
		h := p.direct
		report := Report{
			Name: p.Name, Incarnation: p.Incarnation, AgeMs: now.Sub(p.directAt).Milliseconds() + 1,
			Confirmed: h.Confirmed, Known: h.Known, StoreOK: h.StoreOK, StoreAnswered: h.StoreAnswered, Stopping: h.Stopping, Failing: h.Failing,
			LatestEra: h.LatestEra,
		}
		if sentAt, dated := p.clockOffset.earliestSendTime(clock.Instant(h.SentAt), clockNow); dated {
			report.AgeMs, report.Dated = clockNow.Sub(sentAt).Milliseconds()+1, true
		}
		out = append(out, report)
	}
	return out
}

// maxReportDrift is the factor by which the age of a report may be understated because of clock drift.
const maxReportDrift = 1.02

// RecordDigest takes in the reports of the instances of a failure domain that a hub sent at sentAt by its lease clock.
//
// A report of a heartbeat is as good as the heartbeat itself: it states what the instance confirmed and knew. It is
// dated by the age of the heartbeat and the earliest time at which the hub can have sent the digest.
func (r *Roster) RecordDigest(hub string, sentAt int64, reports []Report, now time.Time, clockNow clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender := r.peers[hub]
	if sender == nil {
		return
	}
	digestAt, dated := sender.clockOffset.earliestSendTime(clock.Instant(sentAt), clockNow)
	transit := time.Duration(0)
	if dated {
		transit = clockNow.Sub(digestAt)
	}
	listed := make(map[string]bool, len(reports))
	for _, report := range reports {
		listed[report.Name] = true
		p := r.peers[report.Name]
		if p == nil || p.Name == r.self || p.Incarnation != report.Incarnation {
			continue
		}
		age := time.Duration(float64(report.AgeMs)*maxReportDrift) * time.Millisecond
		heardAt := now.Add(-transit - age)
		if !heardAt.After(p.HeartbeatAt) {
			continue
		}
		r.recordReport(p, report, heardAt, now)
		if dated && report.Dated {
			p.Heartbeat.EchoAt = max(p.Heartbeat.EchoAt, int64(digestAt.Add(-age)))
		}
	}
	if sender.Domain != r.domain {
		r.suspectUnlisted(sender, listed, now)
	}
}

// recordReport updates an instance by a report of a heartbeat that was heard at heardAt. The lock is held.
func (r *Roster) recordReport(p *Peer, report Report, heardAt, now time.Time) {
	h := p.Heartbeat
	if !slices.Equal(h.Failing, report.Failing) {
		r.ranking.version++
	}
	if r.resumes(p, heardAt) {
		p.ResumedAt = now
	}
	// The echo that is known belongs to an older statement, and may not stand beside a newer one that knows more.
	if report.Known > h.Known {
		h.EchoAt = 0
	}
	h.Name, h.Incarnation = report.Name, report.Incarnation
	h.Confirmed, h.Known = max(h.Confirmed, report.Confirmed), max(h.Known, report.Known)
	h.LatestEra = max(h.LatestEra, report.LatestEra)
	h.StoreOK, h.StoreAnswered, h.Stopping, h.Failing = report.StoreOK, report.StoreAnswered, report.Stopping, report.Failing
	p.Heartbeat, p.HeartbeatAt, p.suspected = h, heardAt, false
	r.refreshPeer(p, now)
}

// suspectUnlisted marks the instances of another domain as suspected that its hub has not heard for longer than the
// timeout within that domain. The lock is held.
func (r *Roster) suspectUnlisted(hub *Peer, listed map[string]bool, now time.Time) {
	timeout := time.Duration(maxMissedHeartbeats * float64(interval(r.domainSizes[hub.Domain])))
	for _, p := range r.sorted {
		if p.Domain != hub.Domain || p == hub || listed[p.Name] || p.suspected || p.SinceHeartbeat(now) <= timeout {
			continue
		}
		p.suspected = true
		r.refreshPeer(p, now)
	}
}
