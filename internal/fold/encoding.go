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

// Errors of checkpoints.
var (
	// ErrNewer is returned when a record of a newer release was met, or a checkpoint of one.
	ErrNewer = errors.New("fold: written by a newer release")
	// ErrCheckpoint is returned for bytes that are not a checkpoint.
	ErrCheckpoint = errors.New("fold: malformed checkpoint")
)

// encoded is the form of a State in a checkpoint. Lists that stand for maps are sorted, so
// that one state has one form.
type encoded struct {
	Format        int             `json:"format"`
	Next          uint64          `json:"next"`
	Since         uint64          `json:"since"`
	Last          digest          `json:"last"`
	Proof         bundle.Proof    `json:"proof"`
	InForceOffset uint64          `json:"in-force-offset"`
	Head          uint64          `json:"head"`
	Candidates    []Candidate     `json:"candidates"`
	Terms         []encodedTerm   `json:"terms"`
	Assigned      []encodedDomain `json:"assigned"`
	Homes         []DomainHomes   `json:"homes"`
	Memory        []digest        `json:"memory"`
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
		return fmt.Errorf("%w: digest %q", ErrCheckpoint, text)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("%w: digest: %w", ErrCheckpoint, err)
	}
	return nil
}

// Encode returns the form of the state that goes into a checkpoint. States that folded the
// same records from the same offset have the same form.
func (s *State) Encode() ([]byte, error) {
	if s.NewerRecord != nil {
		return nil, fmt.Errorf("%w: at offset %d: %s", ErrNewer, s.NewerRecord.Offset, s.NewerRecord.Reason)
	}
	e := encoded{
		Format:        encodingFormat,
		Next:          s.Next,
		Since:         s.StartOffset,
		Last:          s.last,
		Proof:         s.Proof,
		InForceOffset: s.InForceOffset,
		Head:          s.Head,
		Candidates:    slices.Concat(s.Candidates),
		Terms:         encodeTerms(s.Terms),
		Assigned:      encodeAssigned(s.Assignments),
		Homes:         s.Homes,
		Memory:        s.memory.list(),
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

func encodeAssigned(assigned map[string]map[string]RecordedAssignment) []encodedDomain {
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

// Restore returns the state that Encode encoded. The bundle in force is proved against the
// anchors, so a forged checkpoint puts none in force.
func Restore(data []byte, anchors []bundle.Signer) (*State, error) {
	var e encoded
	if err := decodeStrictly(data, &e); err != nil {
		return nil, err
	}
	s := NewAt(anchors, e.Since)
	s.Next = e.Next
	s.last = e.Last
	s.Head = e.Head
	if e.Next < e.Since || len(e.Memory) > memorySize || len(e.Candidates) > maxCandidates {
		return nil, fmt.Errorf("%w: next %d, since %d, %d digests, %d candidates",
			ErrCheckpoint, e.Next, e.Since, len(e.Memory), len(e.Candidates))
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
	for _, d := range e.Assigned {
		inner := make(map[string]RecordedAssignment, len(d.Servers))
		for _, a := range d.Servers {
			inner[a.Assignment.Server] = a
		}
		s.Assignments[d.Domain] = inner
	}
	s.Homes = e.Homes
	for _, d := range e.Memory {
		s.memory.add(d)
	}
	return s, nil
}

func decodeStrictly(data []byte, e *encoded) error {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return fmt.Errorf("%w: %w", ErrCheckpoint, err)
	}
	if head.Format > encodingFormat {
		return fmt.Errorf("%w: checkpoint format %d", ErrNewer, head.Format)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return fmt.Errorf("%w: %w", ErrCheckpoint, err)
	}
	if e.Format != encodingFormat {
		return fmt.Errorf("%w: format %d", ErrCheckpoint, e.Format)
	}
	return nil
}

func (s *State) restoreProof(e encoded) error {
	if e.Proof.IsZero() {
		return nil
	}
	b, err := e.Proof.Verify(s.anchors)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCheckpoint, err)
	}
	if e.Head < b.Version {
		return fmt.Errorf("%w: head %d below version %d", ErrCheckpoint, e.Head, b.Version)
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
			return fmt.Errorf("%w: %w", ErrCheckpoint, err)
		}
		if _, err := c.Signed.Statement.Verify(s.signers()); err != nil {
			return fmt.Errorf("%w: %w", ErrCheckpoint, err)
		}
		c.parsed = b
		s.Candidates = append(s.Candidates, c)
	}
	return nil
}

// NewMark returns the record that announces a checkpoint.
func (s *State) NewMark(instance string) (record.Record, error) {
	if !s.MayLead() {
		return nil, fmt.Errorf("%w: at offset %d", ErrNewer, s.NewerRecord.Offset)
	}
	return record.CheckpointMarked{Instance: instance}, nil
}

// NewCheckpoint returns the checkpoint for the newest mark, once Apply accepted it.
func (s *State) NewCheckpoint() (record.Checkpoint, error) {
	if len(s.marks) == 0 {
		return record.Checkpoint{}, fmt.Errorf("%w: no mark", ErrCheckpoint)
	}
	if !s.MayLead() {
		return record.Checkpoint{}, fmt.Errorf("%w: at offset %d", ErrNewer, s.NewerRecord.Offset)
	}
	m := s.marks[len(s.marks)-1]
	data, err := m.state.Encode()
	if err != nil {
		return record.Checkpoint{}, err
	}
	return record.Checkpoint{State: data, Next: m.state.Next}, nil
}
