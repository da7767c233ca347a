package policy

import (
	"net/http"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// StoredResponse is a complete response that is replayed when the caller resends the request.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that the response takes.
func (r *StoredResponse) size() int {
	const perHeader = 64
	return len(r.Body) + perHeader*(len(r.Header)+1)
}

// TableLimits are the limits of an IdempotencyTable.
type TableLimits struct {
	// MaxRecords is the maximum number of records.
	MaxRecords int
	// MaxResponseBytes is the maximum memory for stored responses.
	MaxResponseBytes int
}

// DefaultTableLimits are the limits per service of an instance that sets none.
var DefaultTableLimits = TableLimits{MaxRecords: 1 << 18, MaxResponseBytes: 32 << 20}

// CheckResult is what an IdempotencyTable knows of a request: Fresh, MayHaveRun, AlreadyRan,
// IDReused or TableFull.
type CheckResult interface {
	isCheckResult()
}

// Fresh says that no submission of the request ran. When Begin returns it, the table now has a
// record of this submission.
type Fresh struct{}

// MayHaveRun says that an earlier submission is in progress or may have run.
type MayHaveRun struct{}

// AlreadyRan says that an earlier submission ran. Response is nil if it is not stored.
type AlreadyRan struct {
	Status   int
	Response *StoredResponse
}

// IDReused says that the request id was used for a request with different content.
type IDReused struct{}

// TableFull says that the table has no room for a record and that none has expired.
type TableFull struct{}

func (Fresh) isCheckResult()      {}
func (MayHaveRun) isCheckResult() {}
func (AlreadyRan) isCheckResult() {}
func (IDReused) isCheckResult()   {}
func (TableFull) isCheckResult()  {}

// IdempotencyTable holds records of the non-idempotent requests with an id of one service, so
// that none of them runs twice. It never drops a record before it expires: when it is full, it
// takes no new ones.
type IdempotencyTable struct {
	limits  TableLimits
	records map[ID]record
	// expiries holds the request ids, ordered by when their records are next checked for
	// expiry.
	expiries expiryHeap
	// responseBytes is the memory that stored responses take.
	responseBytes int
}

// record is what the table holds of one request.
type record struct {
	hash         uint64
	submissionID ID
	print        Fingerprint
	expiresAt    Time
	response     *StoredResponse
	status       int16
	outcome      outcome
	custody      custody
}

// custody says which instance may still run the submission of a record.
type custody uint8

const (
	// The record came from another instance. The submission may still arrive here, if that
	// instance forwards it before it ran.
	custodyOther custody = iota
	// The submission is at the gate of this instance.
	custodyOwn
	// This instance must not run the submission any more.
	custodyDone
)

// outcome is a caller.Outcome in one byte.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeRan
)

// NewIdempotencyTable returns an empty table.
func NewIdempotencyTable(l TableLimits) *IdempotencyTable {
	return &IdempotencyTable{limits: l, records: make(map[ID]record)}
}

// Submission is one submission of a request by its caller: either the first one or a resend.
type Submission struct {
	RequestID ID
	// Hash is the position of the request in the hash space.
	Hash uint64
	// ID differs between the submissions of one request.
	ID          ID
	Fingerprint Fingerprint
	// ExpiresAt is when the record of the submission may be dropped.
	ExpiresAt Time
}

// Begin checks whether a submission may run. If the request is unknown, or if another instance
// forwarded this submission before it ran, Begin records the submission as being at this gate
// and returns Fresh.
func (t *IdempotencyTable) Begin(now Time, s Submission) CheckResult {
	t.expire(now)
	r, found := t.records[s.RequestID]
	forwarded := found && r.submissionID == s.ID && r.custody == custodyOther && r.outcome == outcomeUnknown
	if found && !forwarded {
		return r.check(s.Fingerprint)
	}
	if !found && len(t.records) >= t.limits.MaxRecords {
		return TableFull{}
	}
	t.put(s.RequestID, record{hash: s.Hash, submissionID: s.ID, print: s.Fingerprint, expiresAt: s.ExpiresAt, custody: custodyOwn}, !found)
	return Fresh{}
}

// check returns what the record says of a resend. A fingerprint of zero matches any other.
func (r record) check(f Fingerprint) CheckResult {
	if r.print != f && r.print != 0 && f != 0 {
		return IDReused{}
	}
	if r.outcome == outcomeRan {
		return AlreadyRan{Status: int(r.status), Response: r.response}
	}
	return MayHaveRun{}
}

// Lookup returns what is known of a request without recording anything.
func (t *IdempotencyTable) Lookup(now Time, id ID) CheckResult {
	t.expire(now)
	r, found := t.records[id]
	if !found {
		return Fresh{}
	}
	return r.check(0)
}

// RecordRan records that a submission ran. The response may be nil; it is not stored if it
// does not fit.
func (t *IdempotencyTable) RecordRan(s Submission, status int, response *StoredResponse) {
	r, found := t.records[s.RequestID]
	if !found || r.submissionID != s.ID {
		return
	}
	r.outcome, r.status, r.custody = outcomeRan, int16(status), custodyDone
	if response != nil && t.responseBytes+response.size() <= t.limits.MaxResponseBytes {
		r.response = response
		t.responseBytes += response.size()
	}
	t.records[s.RequestID] = r
}

// RecordUnknown records that this instance no longer handles a submission, and that it may
// have run.
func (t *IdempotencyTable) RecordUnknown(s Submission) {
	if r, found := t.records[s.RequestID]; found && r.submissionID == s.ID {
		r.custody = custodyDone
		t.records[s.RequestID] = r
	}
}

// RecordNotRun records that a submission did not run and will not. It drops the record, so
// that the next submission counts as the first.
func (t *IdempotencyTable) RecordNotRun(s Submission) {
	r, found := t.records[s.RequestID]
	if found && r.submissionID == s.ID && r.custody != custodyDone {
		delete(t.records, s.RequestID)
	}
}

// Merge adds a record of another instance, or updates the present one. The outcome NotRun drops
// the record of that submission, unless the submission reached this gate. Merge returns false
// if the table is full.
func (t *IdempotencyTable) Merge(now Time, s Submission, o caller.Outcome, status int) bool {
	t.expire(now)
	r, found := t.records[s.RequestID]
	switch {
	case o == caller.NotRun:
		if r.custody == custodyOther {
			t.RecordNotRun(s)
		}
		return true
	case !found:
		if len(t.records) >= t.limits.MaxRecords {
			return false
		}
		r = record{hash: s.Hash, submissionID: s.ID, print: s.Fingerprint, expiresAt: s.ExpiresAt}
	case r.custody != custodyOther && o != caller.Ran:
		return true
	}
	r.expiresAt = max(r.expiresAt, s.ExpiresAt)
	if r.submissionID != s.ID {
		// Two submissions of one request are in flight. If one arrives here, the other may
		// already have run.
		r.custody = custodyDone
	}
	if o == caller.Ran {
		r.outcome, r.status, r.custody = outcomeRan, int16(status), custodyDone
	}
	t.put(s.RequestID, r, !found)
	return true
}

// Each calls visit for each record whose hash is in a range.
func (t *IdempotencyTable) Each(now Time, hashes keys.Range, visit func(s Submission, o caller.Outcome, status int)) {
	t.expire(now)
	for id, r := range t.records {
		if !hashes.Contains(r.hash) {
			continue
		}
		o := caller.Unknown
		if r.outcome == outcomeRan {
			o = caller.Ran
		}
		visit(Submission{RequestID: id, Hash: r.hash, ID: r.submissionID, Fingerprint: r.print, ExpiresAt: r.expiresAt}, o, int(r.status))
	}
}

// Len returns the number of records.
func (t *IdempotencyTable) Len() int { return len(t.records) }

func (t *IdempotencyTable) put(id ID, r record, isNew bool) {
	t.records[id] = r
	if isNew {
		t.expiries.push(expiry{id: id, at: r.expiresAt})
	}
}

// expire drops expired records. The record of a submission at this gate is never dropped: it
// is checked again after minRetryDelay.
func (t *IdempotencyTable) expire(now Time) {
	for {
		first, any := t.expiries.first()
		if !any || first.at > now {
			return
		}
		t.expiries.pop()
		r, found := t.records[first.id]
		switch {
		case !found:
		case r.custody == custodyOwn:
			t.expiries.push(expiry{id: first.id, at: now.Add(minRetryDelay)})
		case r.expiresAt > now:
			t.expiries.push(expiry{id: first.id, at: r.expiresAt})
		default:
			if r.response != nil {
				t.responseBytes -= r.response.size()
			}
			delete(t.records, first.id)
		}
	}
}
