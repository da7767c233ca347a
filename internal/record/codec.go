package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Format is the version of the record format that this release writes. It grows with each
// new kind or member, so that an older release can tell a record that it must not ignore
// from one that is no record.
const Format = 1

// Errors of decoding.
var (
	// ErrNewer is returned for a record of a format that this release does not know.
	ErrNewer = errors.New("record: newer format")
	// ErrKind is returned for a kind that no format up to this one has.
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
	kindProven     = "bundle-proven"
	kindTerm       = "term-claimed"
	kindAssignment = "assignment-made"
	kindHomes      = "homes-taken"
	kindEvicted    = "homes-evicted"
	kindMark       = "checkpoint-marked"
	kindCheckpoint = "checkpoint"
)

type envelope struct {
	Format int             `json:"format"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
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
	return json.Marshal(envelope{Format: Format, Kind: kind, Body: body})
}

func kindOf(r Record) (string, error) {
	switch r.(type) {
	case BundlePublished:
		return kindPublished, nil
	case BundleApproved:
		return kindApproved, nil
	case BundleRolled:
		return kindRolled, nil
	case BundleProven:
		return kindProven, nil
	case TermClaimed:
		return kindTerm, nil
	case AssignmentMade:
		return kindAssignment, nil
	case HomesTaken:
		return kindHomes, nil
	case HomesEvicted:
		return kindEvicted, nil
	case CheckpointMarked:
		return kindMark, nil
	case Checkpoint:
		return kindCheckpoint, nil
	default:
		return "", fmt.Errorf("%w: %T", ErrKind, r)
	}
}

// Decode parses the JSON form of a record. Members that the format does not have are
// refused: two releases must not read different things from one record.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	switch {
	case e.Format > Format:
		return nil, fmt.Errorf("%w: format %d, kind %q", ErrNewer, e.Format, e.Kind)
	case e.Format < 1:
		return nil, fmt.Errorf("%w: format %d", ErrFormat, e.Format)
	default:
		return decodeKind(e)
	}
}

func decodeKind(e envelope) (Record, error) {
	switch e.Kind {
	case kindPublished:
		return decodeBody[BundlePublished](e.Body)
	case kindApproved:
		return decodeBody[BundleApproved](e.Body)
	case kindRolled:
		return decodeBody[BundleRolled](e.Body)
	case kindProven:
		return decodeBody[BundleProven](e.Body)
	case kindTerm:
		return decodeBody[TermClaimed](e.Body)
	case kindAssignment:
		return decodeBody[AssignmentMade](e.Body)
	case kindHomes:
		return decodeBody[HomesTaken](e.Body)
	case kindEvicted:
		return decodeBody[HomesEvicted](e.Body)
	case kindMark:
		return decodeBody[CheckpointMarked](e.Body)
	case kindCheckpoint:
		return decodeBody[Checkpoint](e.Body)
	default:
		return nil, fmt.Errorf("%w: %q", ErrKind, e.Kind)
	}
}

func decodeBody[T Record](body json.RawMessage) (Record, error) {
	var r T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: text after the body", ErrFormat)
	}
	return r, nil
}
