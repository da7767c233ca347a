package fold

import (
	"fmt"

	"example.org/mustardring/pkg/bundle"
)

// Result is what became of a record: Accepted, Repeated, Refused, Gap or Changed. The set is
// sealed.
type Result interface {
	isVerdict()
}

// Accepted says that the record took effect.
type Accepted struct{}

// Duplicate says that the same record, or one that says the same, was applied before.
type Duplicate struct{}

// Rejected says that the record has no effect, and why.
type Rejected struct {
	Offset uint64
	Cause  Cause
	// Reason is a sentence for people. It names the winner if there is one.
	Reason string
	// Winner is the record that came first; its zero value means that there is none.
	Winner Winner
}

// Gap says that records before Offset are missing. The state is unchanged. The reader looks
// for a checkpoint to go on from, and without one calls NewAt.
type Gap struct {
	Next   uint64
	Offset uint64
}

// LogReplaced says that the entry before Next is another one than was applied: the log started
// anew. The state is unchanged. The reader calls New and reads from the start.
type LogReplaced struct {
	Offset uint64
}

// Cause classifies refusals.
type Cause string

// The causes.
const (
	CauseMalformed  Cause = "malformed"
	CauseNewer      Cause = "newer-release"
	CauseInvalid    Cause = "invalid-bundle"
	CauseSignature  Cause = "signature"
	CauseLost       Cause = "lost-race"
	CauseOrder      Cause = "out-of-order"
	CauseUnknown    Cause = "unknown-version"
	CauseUnapproved Cause = "unapproved"
	CauseSuperseded Cause = "superseded"
	CauseCheckpoint Cause = "checkpoint"
)

// Winner is what stands in the way of a refused record.
type Winner struct {
	// Version, Hash and Signer are set for bundles.
	Version uint64
	Hash    []byte
	Signer  string
	// Term and Instance are set for terms.
	Term     uint64
	Instance string
	// Offset is that of the winning record.
	Offset uint64
}

// IsZero reports whether there is no winner.
func (w Winner) IsZero() bool {
	return w.Version == 0 && w.Term == 0
}

// String returns a phrase such as `version 7 (1f2e3d4c) by "anka" at offset 12`.
func (w Winner) String() string {
	switch {
	case w.Version != 0:
		return fmt.Sprintf("version %d (%.4x) by %q at offset %d", w.Version, w.Hash, w.Signer, w.Offset)
	case w.Term != 0:
		return fmt.Sprintf("term %d of %q at offset %d", w.Term, w.Instance, w.Offset)
	default:
		return "nobody"
	}
}

func winnerOf(s bundle.Statement, offset uint64) Winner {
	return Winner{Version: s.Version, Hash: s.Hash, Signer: s.Signer, Offset: offset}
}

func (Accepted) isVerdict()    {}
func (Duplicate) isVerdict()   {}
func (Rejected) isVerdict()    {}
func (Gap) isVerdict()         {}
func (LogReplaced) isVerdict() {}
