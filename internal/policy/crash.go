package policy

import (
	"cmp"
	"slices"
	"time"
)

// The limits of the crash records of one service. When there are more suspects, the record that
// expires first is evicted; of the losses of one suspect, the newest are kept.
const (
	maxSuspects = 1024
	maxLosses   = 16
)

// crashWindow is the time within which losses at one server count as one crash. Requests with
// the same fingerprint run at the same server concurrently, and when it crashes each of them
// sees its connection end: counted one by one, a single crash would block a request that only
// ran beside the cause. The ends of the connections are seen within 0.1 seconds, and a server
// takes longer than that to start again.
const crashWindow = 200 * time.Millisecond

// Loss is the loss of a server while a request ran there.
type Loss struct {
	Server string `json:"server"`
	// AtNanos is when the gate saw the loss, in Unix nanoseconds: two losses may be less than a
	// millisecond apart.
	AtNanos int64 `json:"at-ns"`
}

// CrashRecord is what is known of a request that is suspected to crash servers. Instances
// exchange these records; merging two records of one request keeps the losses of both.
type CrashRecord struct {
	Service     string      `json:"service"`
	Fingerprint Fingerprint `json:"print"`
	Losses      []Loss      `json:"losses,omitempty"`
	// ClearedNanos is when the request last got a complete response, in Unix nanoseconds.
	// Losses up to then do not count: a request that crashes servers gets no response.
	ClearedNanos int64 `json:"cleared-ns,omitempty"`
	// UntilMillis is when the record expires, in Unix milliseconds.
	UntilMillis int64 `json:"until-ms"`
}

// merge adds what another record of the same request says. The result does not depend on the
// order in which records are merged.
func (r *CrashRecord) merge(other CrashRecord) {
	r.ClearedNanos = max(r.ClearedNanos, other.ClearedNanos)
	r.UntilMillis = max(r.UntilMillis, other.UntilMillis)
	for _, l := range other.Losses {
		if !slices.Contains(r.Losses, l) {
			r.Losses = append(r.Losses, l)
		}
	}
	r.Losses = slices.DeleteFunc(r.Losses, func(l Loss) bool { return l.AtNanos <= r.ClearedNanos })
	slices.SortFunc(r.Losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.AtNanos, b.AtNanos), cmp.Compare(a.Server, b.Server))
	})
	if len(r.Losses) > maxLosses {
		r.Losses = slices.Delete(r.Losses, 0, len(r.Losses)-maxLosses)
	}
}

// Suspicion is the degree to which a request is suspected to crash servers.
type Suspicion int

// The degrees of suspicion. A Suspect request may run, but never at the same server as another
// suspect: if the server were lost, it would be unknown which of the two caused it. A Blocked
// request is rejected.
const (
	Unsuspected Suspicion = iota
	Suspect
	Blocked
)

// CrashTracker finds the requests of one service that crash the servers which run them. A
// request is blocked after a number of crashes between which it got no response. A request that
// only ran beside the cause is cleared by its next response.
type CrashTracker struct {
	service string
	records map[Fingerprint]*CrashRecord
	// lifted holds the requests that operators have unblocked.
	lifted map[Fingerprint]struct{}
	// pending holds the lost connections of which it is not known yet whether the server was
	// lost.
	pending map[Fingerprint][]Loss
}

// NewCrashTracker returns a tracker without records for a service.
func NewCrashTracker(service string) *CrashTracker {
	return &CrashTracker{
		service: service, records: make(map[Fingerprint]*CrashRecord), lifted: make(map[Fingerprint]struct{}), pending: make(map[Fingerprint][]Loss),
	}
}

// Any reports whether there are records or pending losses. While there are none, no request is
// suspected and no Fingerprint is needed.
func (t *CrashTracker) Any() bool { return len(t.records)+len(t.pending) > 0 }

// RecordCrash records that a server was lost while the request ran there.
func (t *CrashTracker) RecordCrash(f Fingerprint, l Loss, untilMillis int64) {
	t.add(CrashRecord{Service: t.service, Fingerprint: f, Losses: []Loss{l}, UntilMillis: untilMillis})
}

// AddPendingLoss records that a connection to a server was lost while the request ran. Until
// ResolvePendingLoss says whether the server itself was lost, the loss counts as a crash.
func (t *CrashTracker) AddPendingLoss(f Fingerprint, l Loss) {
	t.pending[f] = append(t.pending[f], l)
}

// ResolvePendingLoss removes a pending loss. If died is true, the server itself was lost, and
// the loss is recorded as a crash.
func (t *CrashTracker) ResolvePendingLoss(f Fingerprint, l Loss, died bool, untilMillis int64) {
	if i := slices.Index(t.pending[f], l); i >= 0 {
		t.pending[f] = slices.Delete(t.pending[f], i, i+1)
	}
	if len(t.pending[f]) == 0 {
		delete(t.pending, f)
	}
	if died {
		t.RecordCrash(f, l, untilMillis)
	}
}

// Clear records that the request got a complete response.
func (t *CrashTracker) Clear(f Fingerprint, nowNanos int64) {
	r := t.records[f]
	if r == nil || len(r.Losses) == 0 {
		return
	}
	r.merge(CrashRecord{ClearedNanos: nowNanos})
}

// SuspicionOf returns the degree of suspicion of a request. It is Blocked if the request has
// crashLimit crashes or more.
func (t *CrashTracker) SuspicionOf(f Fingerprint, crashLimit int, nowMillis int64) Suspicion {
	if _, lifted := t.lifted[f]; lifted {
		return Unsuspected
	}
	// Pending losses count, because otherwise a caller who resends quickly could crash more
	// servers before the first loss is resolved.
	losses := slices.Clone(t.pending[f])
	if r := t.records[f]; r != nil && r.UntilMillis > nowMillis {
		losses = append(losses, r.Losses...)
	}
	count := countCrashes(losses)
	switch {
	case count >= crashLimit:
		return Blocked
	case count > 0:
		return Suspect
	default:
		return Unsuspected
	}
}

// countCrashes returns the number of crashes that the losses amount to. It sorts the losses.
func countCrashes(losses []Loss) int {
	slices.SortFunc(losses, func(a, b Loss) int { return cmp.Compare(a.AtNanos, b.AtNanos) })
	count := 0
	for i, l := range losses {
		sameCrash := func(o Loss) bool { return o.Server == l.Server && l.AtNanos-o.AtNanos <= crashWindow.Nanoseconds() }
		if !slices.ContainsFunc(losses[:i], sameCrash) {
			count++
		}
	}
	return count
}

// SetLifted replaces the set of requests that operators have unblocked.
func (t *CrashTracker) SetLifted(fingerprints []Fingerprint) {
	clear(t.lifted)
	for _, f := range fingerprints {
		t.lifted[f] = struct{}{}
	}
}

// BlockedUntil returns when the record of a request expires, in Unix milliseconds, or 0 if
// there is none.
func (t *CrashTracker) BlockedUntil(f Fingerprint) int64 {
	if r := t.records[f]; r != nil {
		return r.UntilMillis
	}
	return 0
}

// Merge adds the records of another instance. It ignores those of other services.
func (t *CrashTracker) Merge(records []CrashRecord) {
	for _, r := range records {
		if r.Service == t.service {
			t.add(r)
		}
	}
}

// Records drops the expired records and returns copies of the others, ordered by fingerprint.
func (t *CrashTracker) Records(nowMillis int64) []CrashRecord {
	records := make([]CrashRecord, 0, len(t.records))
	for f, r := range t.records {
		if r.UntilMillis <= nowMillis {
			delete(t.records, f)
			continue
		}
		copied := *r
		copied.Losses = slices.Clone(r.Losses)
		records = append(records, copied)
	}
	slices.SortFunc(records, func(a, b CrashRecord) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records
}

func (t *CrashTracker) add(added CrashRecord) {
	r := t.records[added.Fingerprint]
	if r == nil {
		t.evictOldest()
		r = &CrashRecord{Service: t.service, Fingerprint: added.Fingerprint}
		t.records[added.Fingerprint] = r
	}
	r.merge(added)
}

// evictOldest makes room for one record by dropping the one that expires first.
func (t *CrashTracker) evictOldest() {
	if len(t.records) < maxSuspects {
		return
	}
	var oldest *CrashRecord
	for _, r := range t.records {
		if oldest == nil || r.UntilMillis < oldest.UntilMillis {
			oldest = r
		}
	}
	delete(t.records, oldest.Fingerprint)
}
