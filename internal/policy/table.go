package policy

import (
	"net/http"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// StoredResponse is a whole answer that is kept for a resend.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that a kept answer takes.
func (k *StoredResponse) size() int {
	const perHeader = 64
	return len(k.Body) + perHeader*(len(k.Header)+1)
}

// TableLimits bound a Memory.
type TableLimits struct {
	// Entries is the number of requests that are remembered at once.
	Entries int
	// KeptBytes is the memory for kept answers.
	KeptBytes int
}

// DefaultTableLimits suit an instance of today's sizes.
var DefaultTableLimits = TableLimits{Entries: 1 << 18, KeptBytes: 32 << 20}

// CheckResult is what a Memory knows of a request: Fresh, Doubtful, Finished, Reused or
// Full. The set is sealed.
type CheckResult interface {
	isRecollection()
}

// Fresh says that no sending of the request ran. The memory now holds this one.
type Fresh struct{}

// MayHaveRun says that an earlier sending runs, or may have run.
type MayHaveRun struct{}

// AlreadyRan says that an earlier sending ran. Kept is nil if its answer is not held.
type AlreadyRan struct {
	Status   int
	Response *StoredResponse
}

// IDReused says that the id was used for a request with another content.
type IDReused struct{}

// TableFull says that the memory has no room: nothing may be forgotten yet.
type TableFull struct{}

func (Fresh) isRecollection()      {}
func (MayHaveRun) isRecollection() {}
func (AlreadyRan) isRecollection() {}
func (IDReused) isRecollection()   {}
func (TableFull) isRecollection()  {}

// IdempotencyTable remembers named non-idempotent requests of one service, so that none runs twice.
// It never forgets one before its time: it refuses new ones when it is full.
type IdempotencyTable struct {
	limits  TableLimits
	records map[ID]record
	// expiries holds the names in about the order in which they expire.
	expiries      expiryHeap
	responseBytes int
}

// record is one remembered request.
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

// custody says who has a sending in hand.
type custody uint8

const (
	// custodyOther is a mark of another instance. The sending itself may still come here, if
	// the other instance passes it on before it ran.
	custodyOther custody = iota
	// custodyOwn is a sending at this instance's gate.
	custodyOwn
	// custodyDone is a sending that this gate is done with. It cannot come again.
	custodyDone
)

// outcome is a caller.Outcome in one byte.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeRan
)

// NewIdempotencyTable returns an empty memory.
func NewIdempotencyTable(b TableLimits) *IdempotencyTable {
	return &IdempotencyTable{limits: b, records: make(map[ID]record)}
}

// Submission is one sending of a request, as a Memory takes it in.
type Submission struct {
	RequestID   ID
	Hash        uint64
	ID          ID
	Fingerprint Fingerprint
	// ExpiresAt is when it may be forgotten.
	ExpiresAt Time
}

// Begin asks what is known of a request, and takes it in if nothing is.
func (m *IdempotencyTable) Begin(now Time, s Submission) CheckResult {
	m.expire(now)
	e, found := m.records[s.RequestID]
	passedOn := found && e.submissionID == s.ID && e.custody == custodyOther && e.outcome == outcomeUnknown
	if found && !passedOn {
		return e.checkResult(s.Fingerprint)
	}
	if !found && len(m.records) >= m.limits.Entries {
		return TableFull{}
	}
	m.put(s.RequestID, record{hash: s.Hash, submissionID: s.ID, print: s.Fingerprint, expiresAt: s.ExpiresAt, custody: custodyOwn}, !found)
	return Fresh{}
}

func (e record) checkResult(p Fingerprint) CheckResult {
	if e.print != p && e.print != 0 && p != 0 {
		return IDReused{}
	}
	if e.outcome == outcomeRan {
		return AlreadyRan{Status: int(e.status), Response: e.response}
	}
	return MayHaveRun{}
}

// Lookup returns what is known of a request without taking it in.
func (m *IdempotencyTable) Lookup(now Time, n ID) CheckResult {
	m.expire(now)
	e, found := m.records[n]
	if !found {
		return Fresh{}
	}
	return e.checkResult(0)
}

// RecordRan says that a request ran. The answer may be nil.
func (m *IdempotencyTable) RecordRan(s Submission, status int, k *StoredResponse) {
	e, found := m.records[s.RequestID]
	if !found || e.submissionID != s.ID {
		return
	}
	e.outcome, e.status, e.custody = outcomeRan, int16(status), custodyDone
	if k != nil && m.responseBytes+k.size() <= m.limits.KeptBytes {
		e.response = k
		m.responseBytes += k.size()
	}
	m.records[s.RequestID] = e
}

// RecordUnknown says that this instance is done with a request without knowing its outcome.
func (m *IdempotencyTable) RecordUnknown(s Submission) {
	if e, found := m.records[s.RequestID]; found && e.submissionID == s.ID {
		e.custody = custodyDone
		m.records[s.RequestID] = e
	}
}

// RecordNotRun says that a sending did not run, nor will. The next sending is a first one.
func (m *IdempotencyTable) RecordNotRun(s Submission) {
	e, found := m.records[s.RequestID]
	if found && e.submissionID == s.ID && e.custody != custodyDone {
		delete(m.records, s.RequestID)
	}
}

// Merge takes in what another instance told. It reports false when there is no room.
func (m *IdempotencyTable) Merge(now Time, s Submission, o caller.Outcome, status int) bool {
	m.expire(now)
	e, found := m.records[s.RequestID]
	switch {
	case o == caller.NotRun:
		if e.custody == custodyOther {
			m.RecordNotRun(s)
		}
		return true
	case !found:
		if len(m.records) >= m.limits.Entries {
			return false
		}
		e = record{hash: s.Hash, submissionID: s.ID, print: s.Fingerprint, expiresAt: s.ExpiresAt}
	case e.custody != custodyOther && o != caller.Ran:
		return true
	}
	e.expiresAt = max(e.expiresAt, s.ExpiresAt)
	if e.submissionID != s.ID {
		// Two sendings of one request are on their way. Should one come here, the other may
		// have run already.
		e.custody = custodyDone
	}
	if o == caller.Ran {
		e.outcome, e.status, e.custody = outcomeRan, int16(status), custodyDone
	}
	m.put(s.RequestID, e, !found)
	return true
}

// Each calls visit for each remembered request in a range.
func (m *IdempotencyTable) Each(now Time, r keys.Range, visit func(s Submission, o caller.Outcome, status int)) {
	m.expire(now)
	for n, e := range m.records {
		if !r.Contains(e.hash) {
			continue
		}
		o := caller.Unknown
		if e.outcome == outcomeRan {
			o = caller.Ran
		}
		visit(Submission{RequestID: n, Hash: e.hash, ID: e.submissionID, Fingerprint: e.print, ExpiresAt: e.expiresAt}, o, int(e.status))
	}
}

// Len returns the number of remembered requests.
func (m *IdempotencyTable) Len() int { return len(m.records) }

func (m *IdempotencyTable) put(n ID, e record, fresh bool) {
	m.records[n] = e
	if fresh {
		m.expiries.push(expiry{id: n, at: e.expiresAt})
	}
}

// expire forgets the requests whose time is over. A request in the hands of the gate is
// never forgotten.
func (m *IdempotencyTable) expire(now Time) {
	for {
		first, any := m.expiries.first()
		if !any || first.at > now {
			return
		}
		m.expiries.pop()
		e, found := m.records[first.id]
		switch {
		case !found:
		case e.custody == custodyOwn:
			m.expiries.push(expiry{id: first.id, at: now.Add(minRetryDelay)})
		case e.expiresAt > now:
			m.expiries.push(expiry{id: first.id, at: e.expiresAt})
		default:
			if e.response != nil {
				m.responseBytes -= e.response.size()
			}
			delete(m.records, first.id)
		}
	}
}
