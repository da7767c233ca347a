package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Format is the version of the record format that this release writes. It is incremented
// with each new kind or field, so that an older release can distinguish a record of a newer
// release, which it must not ignore, from malformed data.
const Format = 1

// Decoding errors.
var (
	// ErrNewerFormat is returned for a record of a format that this release does not know.
	ErrNewerFormat = errors.New("record: newer format")
	// ErrUnknownKind is returned for a kind that is not in this format or an older one.
	ErrUnknownKind = errors.New("record: unknown kind")
	// ErrMalformed is returned for data that is not a valid record.
	ErrMalformed = errors.New("record: malformed")
)

// Entry is an encoded record with its position in the log.
type Entry struct {
	// Offset is the position in the log. The offsets of consecutive entries differ by one.
	Offset uint64 `json:"offset"`
	// ID is chosen by the writer. A retried append uses the ID of the first attempt.
	ID string `json:"id"`
	// Data is the JSON form that Encode returns.
	Data []byte `json:"data"`
}

// Values of envelope.Kind.
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

// envelope is the JSON form of a record. Kind selects the type of Body.
type envelope struct {
	Format int             `json:"format"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// Encode returns the JSON form of a record. It returns ErrUnknownKind for a Record type that
// has no kind.
func Encode(r Record) ([]byte, error) {
	kind, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("record: encode body of kind %s: %w", kind, err)
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
		return "", fmt.Errorf("%w: %T", ErrUnknownKind, r)
	}
}

// Decode parses the JSON form of a record. Unknown fields of the body are an error, because
// two releases must not read the same record differently. The error wraps ErrNewerFormat,
// ErrUnknownKind or ErrMalformed.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch {
	case e.Format > Format:
		return nil, fmt.Errorf("%w: format %d, kind %q", ErrNewerFormat, e.Format, e.Kind)
	case e.Format < 1:
		return nil, fmt.Errorf("%w: format %d", ErrMalformed, e.Format)
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
		return nil, fmt.Errorf("%w: %q", ErrUnknownKind, e.Kind)
	}
}

func decodeBody[T Record](body json.RawMessage) (Record, error) {
	var r T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: data after the body", ErrMalformed)
	}
	return r, nil
}
