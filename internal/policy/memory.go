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

// Memory remembers named non-idempotent requests of one service, so that none runs twice.
// It never forgets one before its time: it refuses new ones when it is full.
type Memory struct {
	bounds  TableLimits
	entries map[ID]entry
	// queue holds the names in about the order in which they expire.
	queue expiries
	kept  int
}

// entry is one remembered request.
type entry struct {
	hash    uint64
	sending ID
	print   Fingerprint
	until   Time
	kept    *StoredResponse
	status  int16
	outcome outcome
	hands   hands
}

// hands says who has a sending in hand.
type hands uint8

const (
	// handsOther is a mark of another instance. The sending itself may still come here, if
	// the other instance passes it on before it ran.
	handsOther hands = iota
	// handsOurs is a sending at this instance's gate.
	handsOurs
	// handsSpent is a sending that this gate is done with. It cannot come again.
	handsSpent
)

// outcome is a caller.Outcome in one byte.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeRan
)

// NewMemory returns an empty memory.
func NewMemory(b TableLimits) *Memory {
	return &Memory{bounds: b, entries: make(map[ID]entry)}
}

// Sent is one sending of a request, as a Memory takes it in.
type Sent struct {
	Name    ID
	Hash    uint64
	Sending ID
	Print   Fingerprint
	// Until is when it may be forgotten.
	Until Time
}

// Begin asks what is known of a request, and takes it in if nothing is.
func (m *Memory) Begin(now Time, s Sent) CheckResult {
	m.expire(now)
	e, found := m.entries[s.Name]
	passedOn := found && e.sending == s.Sending && e.hands == handsOther && e.outcome == outcomeUnknown
	if found && !passedOn {
		return e.recollect(s.Print)
	}
	if !found && len(m.entries) >= m.bounds.Entries {
		return TableFull{}
	}
	m.put(s.Name, entry{hash: s.Hash, sending: s.Sending, print: s.Print, until: s.Until, hands: handsOurs}, !found)
	return Fresh{}
}

func (e entry) recollect(p Fingerprint) CheckResult {
	if e.print != p && e.print != 0 && p != 0 {
		return IDReused{}
	}
	if e.outcome == outcomeRan {
		return AlreadyRan{Status: int(e.status), Response: e.kept}
	}
	return MayHaveRun{}
}

// Look returns what is known of a request without taking it in.
func (m *Memory) Look(now Time, n ID) CheckResult {
	m.expire(now)
	e, found := m.entries[n]
	if !found {
		return Fresh{}
	}
	return e.recollect(0)
}

// Ran says that a request ran. The answer may be nil.
func (m *Memory) Ran(s Sent, status int, k *StoredResponse) {
	e, found := m.entries[s.Name]
	if !found || e.sending != s.Sending {
		return
	}
	e.outcome, e.status, e.hands = outcomeRan, int16(status), handsSpent
	if k != nil && m.kept+k.size() <= m.bounds.KeptBytes {
		e.kept = k
		m.kept += k.size()
	}
	m.entries[s.Name] = e
}

// Doubt says that this instance is done with a request without knowing its outcome.
func (m *Memory) Doubt(s Sent) {
	if e, found := m.entries[s.Name]; found && e.sending == s.Sending {
		e.hands = handsSpent
		m.entries[s.Name] = e
	}
}

// NotRun says that a sending did not run, nor will. The next sending is a first one.
func (m *Memory) NotRun(s Sent) {
	e, found := m.entries[s.Name]
	if found && e.sending == s.Sending && e.hands != handsSpent {
		delete(m.entries, s.Name)
	}
}

// Adopt takes in what another instance told. It reports false when there is no room.
func (m *Memory) Adopt(now Time, s Sent, o caller.Outcome, status int) bool {
	m.expire(now)
	e, found := m.entries[s.Name]
	switch {
	case o == caller.NotRun:
		if e.hands == handsOther {
			m.NotRun(s)
		}
		return true
	case !found:
		if len(m.entries) >= m.bounds.Entries {
			return false
		}
		e = entry{hash: s.Hash, sending: s.Sending, print: s.Print, until: s.Until}
	case e.hands != handsOther && o != caller.Ran:
		return true
	}
	e.until = max(e.until, s.Until)
	if e.sending != s.Sending {
		// Two sendings of one request are on their way. Should one come here, the other may
		// have run already.
		e.hands = handsSpent
	}
	if o == caller.Ran {
		e.outcome, e.status, e.hands = outcomeRan, int16(status), handsSpent
	}
	m.put(s.Name, e, !found)
	return true
}

// Each calls visit for each remembered request in a range.
func (m *Memory) Each(now Time, r keys.Range, visit func(s Sent, o caller.Outcome, status int)) {
	m.expire(now)
	for n, e := range m.entries {
		if !r.Contains(e.hash) {
			continue
		}
		o := caller.Unknown
		if e.outcome == outcomeRan {
			o = caller.Ran
		}
		visit(Sent{Name: n, Hash: e.hash, Sending: e.sending, Print: e.print, Until: e.until}, o, int(e.status))
	}
}

// Len returns the number of remembered requests.
func (m *Memory) Len() int { return len(m.entries) }

func (m *Memory) put(n ID, e entry, fresh bool) {
	m.entries[n] = e
	if fresh {
		m.queue.push(expiry{name: n, at: e.until})
	}
}

// expire forgets the requests whose time is over. A request in the hands of the gate is
// never forgotten.
func (m *Memory) expire(now Time) {
	for {
		first, any := m.queue.first()
		if !any || first.at > now {
			return
		}
		m.queue.pop()
		e, found := m.entries[first.name]
		switch {
		case !found:
		case e.hands == handsOurs:
			m.queue.push(expiry{name: first.name, at: now.Add(retryFloor)})
		case e.until > now:
			m.queue.push(expiry{name: first.name, at: e.until})
		default:
			if e.kept != nil {
				m.kept -= e.kept.size()
			}
			delete(m.entries, first.name)
		}
	}
}
