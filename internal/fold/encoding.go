package fold

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// encodingFormat is the version of the checkpoint encoding.
const encodingFormat = 1

// Checkpoint errors.
var (
	// ErrNewerRelease is returned for a checkpoint of a newer release, and for a state that met
	// a record of a newer release.
	ErrNewerRelease = errors.New("fold: written by a newer release")
	// ErrMalformedCheckpoint is returned for data that is not a valid checkpoint.
	ErrMalformedCheckpoint = errors.New("fold: malformed checkpoint")
)

// encodedState is the form of a State in a checkpoint. Maps are encoded as sorted lists, so
// that equal states have equal encodings.
type encodedState struct {
	Format        int             `json:"format"`
	Next          uint64          `json:"next"`
	StartOffset   uint64          `json:"since"`
	LastDigest    digest          `json:"last"`
	Proof         bundle.Proof    `json:"proof"`
	InForceOffset uint64          `json:"in-force-offset"`
	Head          uint64          `json:"head"`
	Candidates    []Candidate     `json:"candidates"`
	Terms         []encodedTerm   `json:"terms"`
	Assignments   []encodedDomain `json:"assigned"`
	Homes         []DomainHomes   `json:"homes"`
	RecentDigests []digest        `json:"memory"`
}

type encodedTerm struct {
	Domain string `json:"domain"`
	Term   Term   `json:"term"`
}

type encodedDomain struct {
	Domain  string               `json:"domain"`
	Servers []RecordedAssignment `json:"servers"`
}

// MarshalText implements encoding.TextMarshaler.
func (d digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *digest) UnmarshalText(text []byte) error {
	if len(text) != 2*len(d) {
		return fmt.Errorf("%w: digest %q", ErrMalformedCheckpoint, text)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("%w: digest: %w", ErrMalformedCheckpoint, err)
	}
	return nil
}

// Encode returns the encoding of the state for a checkpoint. Two states that result from the
// same records, read from the same offset on, have equal encodings, byte for byte. It returns
// ErrNewerRelease if NewerRecord is set.
func (s *State) Encode() ([]byte, error) {
	if s.NewerRecord != nil {
		return nil, fmt.Errorf("%w: record at offset %d: %s", ErrNewerRelease, s.NewerRecord.Offset, s.NewerRecord.Reason)
	}
	e := encodedState{
		Format:        encodingFormat,
		Next:          s.Next,
		StartOffset:   s.StartOffset,
		LastDigest:    s.lastDigest,
		Proof:         s.Proof,
		InForceOffset: s.InForceOffset,
		Head:          s.Head,
		Candidates:    slices.Concat(s.Candidates),
		Terms:         encodeTerms(s.Terms),
		Assignments:   encodeAssignments(s.Assignments),
		Homes:         s.Homes,
		RecentDigests: s.recent.list(),
	}
	return json.Marshal(e)
}

func encodeTerms(terms map[string]Term) []encodedTerm {
	var list []encodedTerm
	for _, domain := range slices.Sorted(maps.Keys(terms)) {
		list = append(list, encodedTerm{Domain: domain, Term: terms[domain]})
	}
	return list
}

func encodeAssignments(assigned map[string]map[string]RecordedAssignment) []encodedDomain {
	var list []encodedDomain
	for _, domain := range slices.Sorted(maps.Keys(assigned)) {
		d := encodedDomain{Domain: domain}
		for _, server := range slices.Sorted(maps.Keys(assigned[domain])) {
			d.Servers = append(d.Servers, assigned[domain][server])
		}
		list = append(list, d)
	}
	return list
}

// Restore returns the state that Encode encoded. It verifies the proof of the bundle in force
// against the trust anchors, so a forged checkpoint cannot put a bundle in force.
func Restore(data []byte, anchors []bundle.Signer) (*State, error) {
	var e encodedState
	if err := decodeStrictly(data, &e); err != nil {
		return nil, err
	}
	s := NewAt(anchors, e.StartOffset)
	s.Next = e.Next
	s.lastDigest = e.LastDigest
	s.Head = e.Head
	if e.Next < e.StartOffset || len(e.RecentDigests) > maxRecentDigests || len(e.Candidates) > maxCandidates {
		return nil, fmt.Errorf("%w: invalid bounds: next %d, since %d, %d digests, %d candidates",
			ErrMalformedCheckpoint, e.Next, e.StartOffset, len(e.RecentDigests), len(e.Candidates))
	}
	if err := s.restoreProof(e); err != nil {
		return nil, err
	}
	if err := s.restoreCandidates(e.Candidates); err != nil {
		return nil, err
	}
	for _, t := range e.Terms {
		s.Terms[t.Domain] = t.Term
	}
	for _, d := range e.Assignments {
		byServer := make(map[string]RecordedAssignment, len(d.Servers))
		for _, a := range d.Servers {
			byServer[a.Assignment.Server] = a
		}
		s.Assignments[d.Domain] = byServer
	}
	s.Homes = e.Homes
	for _, d := range e.RecentDigests {
		s.recent.add(d)
	}
	return s, nil
}

// decodeStrictly decodes a checkpoint and rejects unknown fields. It reads the format first,
// because a checkpoint of a newer format may have fields that this release does not know.
func decodeStrictly(data []byte, e *encodedState) error {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedCheckpoint, err)
	}
	if header.Format > encodingFormat {
		return fmt.Errorf("%w: checkpoint format %d", ErrNewerRelease, header.Format)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedCheckpoint, err)
	}
	if e.Format != encodingFormat {
		return fmt.Errorf("%w: format %d", ErrMalformedCheckpoint, e.Format)
	}
	return nil
}

func (s *State) restoreProof(e encodedState) error {
	if e.Proof.IsZero() {
		return nil
	}
	b, err := e.Proof.Verify(s.anchors)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedCheckpoint, err)
	}
	if e.Head < b.Version {
		return fmt.Errorf("%w: newest published version %d is below version %d in force", ErrMalformedCheckpoint, e.Head, b.Version)
	}
	s.InForce = b
	s.servers = serverNames(b)
	s.InForceSigned = e.Proof.Signed
	s.InForceOffset = e.InForceOffset
	s.Proof = e.Proof
	return nil
}

func (s *State) restoreCandidates(candidates []Candidate) error {
	for _, c := range candidates {
		b, err := c.Signed.Open()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedCheckpoint, err)
		}
		if _, err := c.Signed.Statement.Verify(s.signers()); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedCheckpoint, err)
		}
		c.bundle = b
		s.Candidates = append(s.Candidates, c)
	}
	return nil
}

// NewMark returns a record that announces a checkpoint by an instance. It returns
// ErrNewerRelease if MayLead is false.
func (s *State) NewMark(instance string) (record.Record, error) {
	if !s.MayLead() {
		return nil, fmt.Errorf("%w: record at offset %d", ErrNewerRelease, s.NewerRecord.Offset)
	}
	return record.CheckpointMarked{Instance: instance}, nil
}

// NewCheckpoint returns the checkpoint for the newest mark that was applied.
func (s *State) NewCheckpoint() (record.Checkpoint, error) {
	if len(s.marks) == 0 {
		return record.Checkpoint{}, fmt.Errorf("%w: no mark was applied", ErrMalformedCheckpoint)
	}
	if !s.MayLead() {
		return record.Checkpoint{}, fmt.Errorf("%w: record at offset %d", ErrNewerRelease, s.NewerRecord.Offset)
	}
	m := s.marks[len(s.marks)-1]
	data, err := m.state.Encode()
	if err != nil {
		return record.Checkpoint{}, err
	}
	return record.Checkpoint{State: data, Next: m.state.Next}, nil
}
