package fold

import (
	"fmt"

	"example.org/mustardring/pkg/bundle"
)

// Result says what State.Apply did with an entry: Accepted, Duplicate, Rejected, Gap or
// LogReplaced. Only types of this package implement it.
type Result interface {
	isResult()
}

// Accepted means that the record took effect.
type Accepted struct{}

// Duplicate means that the entry, or a record with the same effect, was applied before.
type Duplicate struct{}

// Rejected means that the record has no effect, because it is invalid or conflicts with the
// state.
type Rejected struct {
	Offset uint64
	Cause  Cause
	// Reason is an explanation for operators. It describes Winner if that is set.
	Reason string
	// Winner is the earlier record that this one conflicts with, or the zero value.
	Winner Winner
}

// Gap means that the records from Next up to Offset are missing. The state is unchanged. The
// reader searches for a checkpoint to continue from. If there is none, it continues with a
// state of NewAt.
type Gap struct {
	Next   uint64
	Offset uint64
}

// LogReplaced means that the entry at Offset differs from the one that was applied there: the
// log was replaced by a new one. The state is unchanged. The reader starts again with a state
// of New and reads the new log from its start.
type LogReplaced struct {
	Offset uint64
}

// Cause classifies rejections.
type Cause string

// The values of Cause.
const (
	// CauseMalformed means that the record cannot be decoded or lacks required fields.
	CauseMalformed Cause = "malformed"
	// CauseNewerRelease means that only a newer release can read the record.
	CauseNewerRelease Cause = "newer-release"
	// CauseInvalidBundle means that the published bundle is invalid, or that the bundle in force
	// does not permit the record.
	CauseInvalidBundle Cause = "invalid-bundle"
	// CauseSignature means that a signature or proof is invalid, or that the signer may not sign
	// the statement.
	CauseSignature Cause = "signature"
	// CauseLostRace means that an earlier record, described by Winner, excludes this one.
	CauseLostRace Cause = "lost-race"
	// CauseOutOfOrder means that the record refers to a predecessor that the state lacks.
	CauseOutOfOrder Cause = "out-of-order"
	// CauseUnknownVersion means that the version is not a candidate.
	CauseUnknownVersion Cause = "unknown-version"
	// CauseUnapproved means that the version of a roll is not approved.
	CauseUnapproved Cause = "unapproved"
	// CauseSuperseded means that the homes, the term or the assignments that the record refers
	// to have changed since.
	CauseSuperseded Cause = "superseded"
	// CauseCheckpoint means that a checkpoint is invalid, has no known mark or differs from the
	// reader's state.
	CauseCheckpoint Cause = "checkpoint"
)

// Winner describes the earlier record that a rejected record conflicts with. It is encoded as
// JSON under its field names.
type Winner struct {
	// Version, Hash and Signer are set if the record is about a bundle.
	Version uint64
	Hash    []byte
	Signer  string
	// Term and Instance are set if the record is a term claim.
	Term     uint64
	Instance string
	// Offset is the offset of the winning record.
	Offset uint64
}

// IsZero reports whether no winner is set.
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

func (Accepted) isResult()    {}
func (Duplicate) isResult()   {}
func (Rejected) isResult()    {}
func (Gap) isResult()         {}
func (LogReplaced) isResult() {}
