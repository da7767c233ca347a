// Package grant defines the protocol by which a leader grants key ranges exclusively to one
// backend server, and implements the side of the server.
//
// A leader sends an Exchange and the server replies with an Answer. Each exchange carries the
// term of its leader. The server remembers the highest term it has seen, its fence, and
// refuses exchanges of lower terms. A Grant is a lease: it holds the complete set of ranges
// that the server may serve, an epoch that only grows, and a deadline on the server's clock.
package grant

import (
	"cmp"
	"fmt"

	"example.org/mustardring/pkg/keys"
)

// Paths of the protocol over HTTP, at the address of the server.
const (
	// ExchangePath accepts an Exchange as JSON by POST. The response body is an Answer.
	ExchangePath = "/.mustardring/exchange"
	// LoadPath returns the server's report of its own load by GET.
	LoadPath = "/.mustardring/load"
)

// Instant is a reading of a server's monotonic clock, in nanoseconds since an arbitrary origin
// that differs for each process. Readings of different processes cannot be compared.
type Instant int64

// Term identifies a leadership in one failure domain. Terms are ordered by Log, then Sub, then
// Incarnation. Terms of different instances are never equal.
type Term struct {
	// Log is the term that is recorded in the log.
	Log uint64 `json:"log"`
	// Sub grows when an instance becomes leader while the log is not available.
	Sub uint64 `json:"sub"`
	// Incarnation is that of the instance that claims the term.
	Incarnation uint64 `json:"incarnation"`
}

// Compare returns -1, 0 or 1 when t is lower than, equal to or higher than o.
func (t Term) Compare(o Term) int {
	return cmp.Or(cmp.Compare(t.Log, o.Log), cmp.Compare(t.Sub, o.Sub), cmp.Compare(t.Incarnation, o.Incarnation))
}

// String returns the three numbers joined by dots, the incarnation in hexadecimal.
func (t Term) String() string {
	return fmt.Sprintf("%d.%d.%x", t.Log, t.Sub, t.Incarnation)
}

// Epoch identifies a grant of one server. Epochs are ordered by Term, then by Sequence.
type Epoch struct {
	Term Term `json:"term"`
	// Sequence grows with each new set of ranges within the term. Renewals keep it.
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 when e is lower than, equal to or higher than o.
func (e Epoch) Compare(o Epoch) int {
	return cmp.Or(e.Term.Compare(o.Term), cmp.Compare(e.Sequence, o.Sequence))
}

// IsZero reports whether e is the zero value, which stands for no grant.
func (e Epoch) IsZero() bool {
	return e == Epoch{}
}

// Grant gives one server the exclusive right to a set of ranges until a deadline.
type Grant struct {
	Epoch Epoch `json:"epoch"`
	// Incarnation is that of the server process to which the ranges are granted.
	Incarnation uint64 `json:"incarnation"`
	// Deadline is the time on the server's clock from which on the grant is no longer valid.
	Deadline Instant `json:"deadline"`
	// Ranges is the complete set, sorted and disjoint. It is nil when Renewal is set.
	Ranges []keys.Range `json:"ranges,omitempty"`
	// Renewal extends the grant that the server holds under Epoch and leaves its ranges as
	// they are.
	Renewal bool `json:"renewal,omitempty"`
}

// Exchange is the message of a leader to a server. It raises the server's fence to Term and
// can carry a grant. With the zero term and no grant it changes nothing: it only queries the
// state, which the answer holds even when the server refuses the term.
type Exchange struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Term    Term   `json:"term"`
	Grant   *Grant `json:"grant,omitempty"`
	// Known is the epoch whose ranges the leader knows. If the server holds the grant of this
	// epoch, the answer omits the ranges.
	Known Epoch `json:"known"`
	// HomesFence is higher than the base of every record in which the domain gives up homes,
	// including a record that has not reached the log yet. The base is the field Base of
	// HomesTaken in package record. The server keeps the highest value and reports it to later
	// leaders, which may be cut off from the log.
	HomesFence uint64 `json:"homes-fence,omitempty"`
}

// Refusal is the reason why a server did not apply an Exchange or its grant.
type Refusal string

// The reasons for a refusal.
const (
	// RefusalNone means that the exchange was applied.
	RefusalNone Refusal = ""
	// RefusalFenced: the term is lower than the fence of the server.
	RefusalFenced Refusal = "fenced"
	// RefusalIncarnation: the grant is for another process of the server.
	RefusalIncarnation Refusal = "other-incarnation"
	// RefusalLapsed: the deadline of the grant has passed.
	RefusalLapsed Refusal = "deadline-passed"
	// RefusalTooLong: the deadline of the grant is further ahead than HolderConfig.MaxLease.
	RefusalTooLong Refusal = "deadline-too-far"
	// RefusalOldEpoch: the server holds a grant of a higher epoch.
	RefusalOldEpoch Refusal = "old-epoch"
	// RefusalUnknownSet: the grant renews an epoch that the server does not hold, or has the
	// epoch of a grant that has expired. The leader has to grant the ranges anew.
	RefusalUnknownSet Refusal = "unknown-set"
	// RefusalOtherName: the exchange is for another server or service.
	RefusalOtherName Refusal = "other-server"
)

// Answer is the reply of a server to an Exchange.
type Answer struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Clock is the time on the server's clock when it handled the exchange.
	Clock Instant `json:"clock"`
	// Serial counts the exchanges that the process has handled. It orders the answers of one
	// process, also those with the same Clock.
	Serial uint64 `json:"serial"`
	// Incarnation identifies the server process.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest term that the server has seen, including that of the exchange.
	Fence Term `json:"fence"`
	// LedAt is when the server last accepted an exchange with the term Fence, even if it
	// refused the grant in it. It is zero if there was none.
	LedAt Instant `json:"led-at,omitempty"`
	// Voting is false as long as grants of a leader that an earlier process of this server
	// voted for may still be valid: see NewHolder. The answer then does not count as a vote.
	Voting bool `json:"voting"`
	// Epoch, Deadline and Ranges are the grant that is held now. Deadline may have passed.
	// Ranges is nil if Epoch equals Exchange.Known.
	Epoch    Epoch        `json:"epoch"`
	Deadline Instant      `json:"deadline"`
	Ranges   []keys.Range `json:"ranges,omitempty"`
	// Draining holds the hashes of running requests, as ranges of one hash each, that the held
	// grant does not cover: it lacks the range, or a grant has expired since the request began.
	// These hashes must not be granted to another server yet.
	Draining []keys.Range `json:"draining,omitempty"`
	// HomesFence is the highest value that the server has received.
	HomesFence uint64 `json:"homes-fence,omitempty"`
}
