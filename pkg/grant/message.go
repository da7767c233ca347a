// Package grant is the protocol by which a leader gives one backend server the exclusive
// right to a set of key ranges, and the library with which a server's author obeys it.
//
// A leader sends an Exchange and the server replies with an Answer. Each carries the term of
// the leader: the server remembers the highest term it has seen (its fence) and refuses
// lower ones. A grant names the whole set of ranges that the server may serve, an epoch that
// only grows, and a deadline on the clock of the server itself.
package grant

import (
	"cmp"
	"fmt"

	"example.org/mustardring/pkg/keys"
)

// Paths and headers of the protocol as it is spoken over HTTP. An Exchange is posted as JSON
// to ExchangePath of the server's address and the reply body is an Answer.
const (
	ExchangePath = "/.mustardring/exchange"
	LoadPath     = "/.mustardring/load"
)

// Instant is a reading of one server's monotonic clock, in nanoseconds since an arbitrary
// origin of that server's process. Readings of two processes cannot be compared.
type Instant int64

// Term orders the leaders of one failure domain: by the term of the log, then by the
// sub-term with which an instance succeeds without the log, then by the incarnation of the
// claimant, so that two terms of two instances are never equal.
type Term struct {
	Log         uint64 `json:"log"`
	Sub         uint64 `json:"sub"`
	Incarnation uint64 `json:"incarnation"`
}

// Compare returns -1, 0 or 1 when t is lower than, equal to or higher than o.
func (t Term) Compare(o Term) int {
	return cmp.Or(cmp.Compare(t.Log, o.Log), cmp.Compare(t.Sub, o.Sub), cmp.Compare(t.Incarnation, o.Incarnation))
}

// String returns the three parts joined by dots.
func (t Term) String() string {
	return fmt.Sprintf("%d.%d.%x", t.Log, t.Sub, t.Incarnation)
}

// Epoch orders the grants of one server: by term, then by the sequence within the term.
type Epoch struct {
	Term     Term   `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 when e is lower than, equal to or higher than o.
func (e Epoch) Compare(o Epoch) int {
	return cmp.Or(e.Term.Compare(o.Term), cmp.Compare(e.Sequence, o.Sequence))
}

// IsZero reports whether no grant has this epoch.
func (e Epoch) IsZero() bool {
	return e == Epoch{}
}

// Grant is the right of one server to a set of ranges until a deadline.
type Grant struct {
	Epoch Epoch `json:"epoch"`
	// Incarnation is that of the server process the grant is meant for.
	Incarnation uint64 `json:"incarnation"`
	// Deadline is on the clock of the server. The grant is void from then on.
	Deadline Instant `json:"deadline"`
	// Ranges is the whole set, sorted and disjoint. It is nil when Renewal is set.
	Ranges []keys.Range `json:"ranges,omitempty"`
	// Renewal says that the set is that of the grant which the server holds under Epoch.
	Renewal bool `json:"renewal,omitempty"`
}

// Exchange is what a leader sends to a server: its term, which fences lower ones, and
// optionally a grant. With the zero term it only asks.
type Exchange struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Term    Term   `json:"term"`
	Grant   *Grant `json:"grant,omitempty"`
	// Known is the epoch of the held set that the leader knows. The answer leaves the
	// ranges out when this is what the server holds.
	Known Epoch `json:"known"`
	// HomesFence is a number that the server remembers if it is the highest so far, and tells
	// to later leaders. It says which statements about the homes of the domain may be under way.
	HomesFence uint64 `json:"homes-fence,omitempty"`
}

// Refusal says why a server did not do what an Exchange asked.
type Refusal string

// The refusals. RefusalNone is the zero value: the exchange was obeyed.
const (
	RefusalNone        Refusal = ""
	RefusalFenced      Refusal = "fenced"
	RefusalIncarnation Refusal = "other-incarnation"
	RefusalLapsed      Refusal = "deadline-passed"
	RefusalTooLong     Refusal = "deadline-too-far"
	RefusalOldEpoch    Refusal = "old-epoch"
	RefusalUnknownSet  Refusal = "unknown-set"
	RefusalOtherName   Refusal = "other-server"
)

// Answer is the reply of a server to an Exchange.
type Answer struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Clock is the server's clock when it handled the exchange.
	Clock Instant `json:"clock"`
	// Serial counts the exchanges that the process has handled. It orders the answers of one
	// process, which the clock cannot do when it reads the same twice.
	Serial uint64 `json:"serial"`
	// Incarnation identifies the server process.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest term the server has seen, that of the exchange included.
	Fence Term `json:"fence"`
	// LedAt is when the server last obeyed an exchange under Fence, or zero.
	LedAt Instant `json:"led-at,omitempty"`
	// Voting is false while the server is so young that an earlier process at its place may
	// have voted for another leader whose grants still run.
	Voting bool `json:"voting"`
	// Epoch, Deadline and Ranges are the grant held now. Ranges is nil when the exchange
	// named Epoch as known. Deadline may have passed.
	Epoch    Epoch        `json:"epoch"`
	Deadline Instant      `json:"deadline"`
	Ranges   []keys.Range `json:"ranges,omitempty"`
	// Draining are ranges given up by the newest grant in which requests still run. Another
	// server must not be granted them yet.
	Draining []keys.Range `json:"draining,omitempty"`
	// HomesFence is the highest that the server was told.
	HomesFence uint64 `json:"homes-fence,omitempty"`
}
