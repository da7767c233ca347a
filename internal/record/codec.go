package record

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of decoding.
var (
	// ErrKind is returned for a record kind that this version does not know.
	ErrKind = errors.New("record: unknown kind")
	// ErrFormat is returned for bytes that are not a record.
	ErrFormat = errors.New("record: malformed")
)

// Entry is a record as it stands in the log.
type Entry struct {
	// Offset is the place in the log. Offsets grow by one.
	Offset uint64 `json:"offset"`
	// ID is chosen by the writer. A repeated append carries the ID of the first.
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// The kind names in the encoded form.
const (
	kindPublished  = "bundle-published"
	kindApproved   = "bundle-approved"
	kindRolled     = "bundle-rolled"
	kindTerm       = "term-claimed"
	kindAssignment = "assignment-made"
	kindCheckpoint = "checkpoint"
)

type envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Encode returns the JSON form of a record.
func Encode(r Record) ([]byte, error) {
	kind, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("record: encoding %s: %w", kind, err)
	}
	return json.Marshal(envelope{Kind: kind, Body: body})
}

func kindOf(r Record) (string, error) {
	switch r.(type) {
	case BundlePublished:
		return kindPublished, nil
	case BundleApproved:
		return kindApproved, nil
	case BundleRolled:
		return kindRolled, nil
	case TermClaimed:
		return kindTerm, nil
	case AssignmentMade:
		return kindAssignment, nil
	case Checkpoint:
		return kindCheckpoint, nil
	default:
		return "", fmt.Errorf("%w: %T", ErrKind, r)
	}
}

// Decode parses the JSON form of a record.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	switch e.Kind {
	case kindPublished:
		return decodeBody[BundlePublished](e.Body)
	case kindApproved:
		return decodeBody[BundleApproved](e.Body)
	case kindRolled:
		return decodeBody[BundleRolled](e.Body)
	case kindTerm:
		return decodeBody[TermClaimed](e.Body)
	case kindAssignment:
		return decodeBody[AssignmentMade](e.Body)
	case kindCheckpoint:
		return decodeBody[Checkpoint](e.Body)
	default:
		return nil, fmt.Errorf("%w: %q", ErrKind, e.Kind)
	}
}

func decodeBody[T Record](body json.RawMessage) (Record, error) {
	var r T
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return r, nil
}
