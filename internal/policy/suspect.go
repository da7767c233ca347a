package policy

import (
	"cmp"
	"slices"
	"time"
)

// The bounds of what is kept of the suspects of one service. The oldest suspects give way, and
// of one suspect's losses the newest are kept.
const (
	maxSuspects = 1024
	maxLosses   = 16
)

// crashWindow is how far apart the ends of two connections may be seen if one crash of a server
// ended both: orders with the same content run beside one another, and one that crashes the server
// took the others, which had lost it as often as they were running, for known causes. The ends are seen
// within 0.1 seconds, and a server needs longer to start again.
const crashWindow = 200 * time.Millisecond

// Loss is the loss of a server while a request ran there.
type Loss struct {
	Server string `json:"server"`
	// AtNanos is when the gate saw the loss, in Unix nanoseconds: two losses may be less than a
	// millisecond apart.
	AtNanos int64 `json:"at-ns"`
}

// CrashRecord is what is known of a request that is suspected to crash servers. Two Blocks of one
// request merge into one that holds the losses of both.
type CrashRecord struct {
	Service     string      `json:"service"`
	Fingerprint Fingerprint `json:"print"`
	Losses      []Loss      `json:"losses,omitempty"`
	// ClearedNanos is when the request last had a whole answer. Losses up to then do not
	// count: a request that crashes servers has no answers.
	ClearedNanos int64 `json:"cleared-ns,omitempty"`
	// UntilMillis is when all this is forgotten, in Unix milliseconds.
	UntilMillis int64 `json:"until-ms"`
}

// merge takes in the losses of another block.
func (b *CrashRecord) merge(o CrashRecord) {
	b.ClearedNanos = max(b.ClearedNanos, o.ClearedNanos)
	b.UntilMillis = max(b.UntilMillis, o.UntilMillis)
	for _, l := range o.Losses {
		if !slices.Contains(b.Losses, l) {
			b.Losses = append(b.Losses, l)
		}
	}
	b.Losses = slices.DeleteFunc(b.Losses, func(l Loss) bool { return l.AtNanos <= b.ClearedNanos })
	slices.SortFunc(b.Losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(x.AtNanos, y.AtNanos), cmp.Compare(x.Server, y.Server))
	})
	if len(b.Losses) > maxLosses {
		b.Losses = slices.Delete(b.Losses, 0, len(b.Losses)-maxLosses)
	}
}

// Suspicion is the degree to which a request is suspected.
type Suspicion int

// The degrees. A Suspect may run, but not beside another suspect on one server: when both
// are there as the server is lost, neither would be known as the cause.
const (
	Unsuspected Suspicion = iota
	Suspect
	Blocked
)

// Suspects finds requests that crash the servers which run them. A request is blocked after a
// number of losses between which it never had an answer. One that merely ran beside the
// cause is cleared by its next answer.
type Suspects struct {
	service string
	blocks  map[Fingerprint]*CrashRecord
	lifted  map[Fingerprint]struct{}
	// held holds the ends of connections that are being found out about.
	held map[Fingerprint][]Loss
}

// NewSuspects returns the suspects of a service.
func NewSuspects(service string) *Suspects {
	return &Suspects{
		service: service, blocks: make(map[Fingerprint]*CrashRecord), lifted: make(map[Fingerprint]struct{}), held: make(map[Fingerprint][]Loss),
	}
}

// Any reports whether there are any suspects. While there are none, no Print is needed.
func (s *Suspects) Any() bool { return len(s.blocks)+len(s.held) > 0 }

// Lost says that a server was lost while the request ran there.
func (s *Suspects) Lost(p Fingerprint, l Loss, untilMillis int64) {
	s.take(CrashRecord{Service: s.service, Fingerprint: p, Losses: []Loss{l}, UntilMillis: untilMillis})
}

// Hold says that a connection to a server was lost while the request ran, and that it is being
// found out whether the server was. Until Settle it counts as a loss of the server.
func (s *Suspects) Hold(p Fingerprint, l Loss) {
	s.held[p] = append(s.held[p], l)
}

// Settle ends a Hold. Died says that the server was lost, not only a connection.
func (s *Suspects) Settle(p Fingerprint, l Loss, died bool, untilMillis int64) {
	if i := slices.Index(s.held[p], l); i >= 0 {
		s.held[p] = slices.Delete(s.held[p], i, i+1)
	}
	if len(s.held[p]) == 0 {
		delete(s.held, p)
	}
	if died {
		s.Lost(p, l, untilMillis)
	}
}

// Clear says that the request had a whole answer.
func (s *Suspects) Clear(p Fingerprint, nowNanos int64) {
	b := s.blocks[p]
	if b == nil || len(b.Losses) == 0 {
		return
	}
	b.merge(CrashRecord{ClearedNanos: nowNanos})
}

// Degree returns how far a request is suspected, blocked being from a number of losses on.
func (s *Suspects) Degree(p Fingerprint, losses int, nowMillis int64) Suspicion {
	if _, lifted := s.lifted[p]; lifted {
		return Unsuspected
	}
	// A loss that is still being found out counts, lest a caller who resends quickly walks
	// through more servers meanwhile.
	known := slices.Clone(s.held[p])
	if b := s.blocks[p]; b != nil && b.UntilMillis > nowMillis {
		known = append(known, b.Losses...)
	}
	count := crashes(known)
	switch {
	case count >= losses:
		return Blocked
	case count > 0:
		return Suspect
	default:
		return Unsuspected
	}
}

// crashes returns how many crashes of servers the losses tell of.
func crashes(losses []Loss) int {
	slices.SortFunc(losses, func(x, y Loss) int { return cmp.Compare(x.AtNanos, y.AtNanos) })
	count := 0
	for i, l := range losses {
		same := func(o Loss) bool { return o.Server == l.Server && l.AtNanos-o.AtNanos <= crashWindow.Nanoseconds() }
		if !slices.ContainsFunc(losses[:i], same) {
			count++
		}
	}
	return count
}

// Lift replaces the set of requests that operators let pass.
func (s *Suspects) Lift(prints []Fingerprint) {
	clear(s.lifted)
	for _, p := range prints {
		s.lifted[p] = struct{}{}
	}
}

// Until returns when a block ends, in Unix milliseconds.
func (s *Suspects) Until(p Fingerprint) int64 {
	if b := s.blocks[p]; b != nil {
		return b.UntilMillis
	}
	return 0
}

// Merge takes in what another instance knows.
func (s *Suspects) Merge(blocks []CrashRecord) {
	for _, b := range blocks {
		if b.Service == s.service {
			s.take(b)
		}
	}
}

// Blocks returns copies of what is known, in the order of prints.
func (s *Suspects) Blocks(nowMillis int64) []CrashRecord {
	blocks := make([]CrashRecord, 0, len(s.blocks))
	for p, b := range s.blocks {
		if b.UntilMillis <= nowMillis {
			delete(s.blocks, p)
			continue
		}
		known := *b
		known.Losses = slices.Clone(b.Losses)
		blocks = append(blocks, known)
	}
	slices.SortFunc(blocks, func(a, b CrashRecord) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return blocks
}

func (s *Suspects) take(o CrashRecord) {
	b := s.blocks[o.Fingerprint]
	if b == nil {
		s.makeRoom()
		b = &CrashRecord{Service: s.service, Fingerprint: o.Fingerprint}
		s.blocks[o.Fingerprint] = b
	}
	b.merge(o)
}

func (s *Suspects) makeRoom() {
	if len(s.blocks) < maxSuspects {
		return
	}
	var oldest *CrashRecord
	for _, b := range s.blocks {
		if oldest == nil || b.UntilMillis < oldest.UntilMillis {
			oldest = b
		}
	}
	delete(s.blocks, oldest.Fingerprint)
}
