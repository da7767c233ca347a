// Package fold computes the state that the records of the platform's log agree on. The
// fold is pure: every instance that reads the same records reaches the same state and gives
// the same verdict on each record.
package fold

import (
	"maps"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// State is what the records before Next say. It is not safe for concurrent use; Snapshot
// gives an immutable view.
type State struct {
	// Next is the offset of the next record to apply.
	Next uint64
	// StartOffset is the offset from which on no record is missing: zero for a state folded from
	// the start of the log.
	StartOffset uint64
	// InForce is the bundle in force, or nil.
	InForce *bundle.Bundle
	// InForceSigned is the signed form of InForce, to be handed to peers.
	InForceSigned bundle.Signed
	// InForceOffset is the offset of the record that put InForce in force.
	InForceOffset uint64
	// Proof proves InForce to whoever has the trust anchors.
	Proof bundle.Proof
	// Head is the newest published version, in force or not. The next one follows it.
	Head uint64
	// Candidates are the published versions newer than the one in force, in their order.
	Candidates []Candidate
	// Terms has the newest log term of each failure domain.
	Terms map[string]Term
	// Assignments has, by failure domain and server, the newest recorded assignment.
	Assignments map[string]map[string]RecordedAssignment
	// Homes has what each failure domain has taken of each divided service, sorted by service
	// and domain. The ranges of one service are disjoint. The slice is never changed in place.
	Homes []DomainHomes
	// NewerRecord is the first record that only a newer release can read, or nil. The state may
	// then be wrong: the instance writes no checkpoint and claims no term.
	NewerRecord *NewerRecord

	anchors []bundle.Signer
	// servers names the servers of InForce.
	servers map[string]bool
	last    digest
	memory  memory
	marks   []mark
	// lent names the domains whose map in Assigned a snapshot shares.
	lent map[string]bool
}

// Candidate is a published version that is not in force.
type Candidate struct {
	Signed bundle.Signed `json:"signed"`
	// Offset is that of the record that published it.
	Offset uint64 `json:"offset"`
	// Approval is the zero Statement until the version is approved.
	Approval       bundle.Statement `json:"approval"`
	ApprovalOffset uint64           `json:"approval-offset"`

	parsed *bundle.Bundle
}

// Approved reports whether somebody approved the version.
func (c *Candidate) Approved() bool {
	return c.Approval.Version != 0
}

// Term is the leadership of a failure domain by the log.
type Term struct {
	Log         uint64 `json:"log"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Offset      uint64 `json:"offset"`
}

// RecordedAssignment is a recorded assignment with the offset that acknowledges it.
type RecordedAssignment struct {
	Service     string            `json:"service"`
	Assignment  record.Assignment `json:"assignment"`
	Offset      uint64            `json:"offset"`
	Provisional bool              `json:"provisional,omitempty"`
}

// NewerRecord says where a record stands that only a newer release can read.
type NewerRecord struct {
	Offset uint64
	Reason string
}

// New returns the state before the first record of a log. The anchors are the signers that
// may put the first bundle in force; later ones are named by the bundle in force. All
// instances that read one log have the same anchors.
func New(anchors []bundle.Signer) *State {
	return NewAt(anchors, 0)
}

// NewAt returns the state of a reader that has no records before an offset and found no
// checkpoint. It holds until a reader with a longer history writes one.
func NewAt(anchors []bundle.Signer, since uint64) *State {
	return &State{
		Next:        since,
		StartOffset: since,
		Terms:       make(map[string]Term),
		Assignments: make(map[string]map[string]RecordedAssignment),
		anchors:     anchors,
		lent:        make(map[string]bool),
	}
}

// MayLead reports whether the instance may claim a term or write a checkpoint from this
// state. A record of a newer release may have changed what a term means.
func (s *State) MayLead() bool {
	return s.NewerRecord == nil
}

// Snapshot returns a view that later calls of Apply do not change. Its cost grows with the
// number of domains, not of servers: an inner map of Assigned is copied when it next changes.
func (s *State) Snapshot() *State {
	view := *s
	view.Terms = maps.Clone(s.Terms)
	view.Assignments = maps.Clone(s.Assignments)
	view.Candidates = s.Candidates[:len(s.Candidates):len(s.Candidates)]
	view.memory = memory{}
	view.marks = nil
	view.lent = nil
	for domain := range s.Assignments {
		s.lent[domain] = true
	}
	return &view
}

// copyDeep returns a state that Apply may change without changing s, and the reverse.
func (s *State) copyDeep() *State {
	c := s.Snapshot()
	c.memory = s.memory.clone()
	c.lent = make(map[string]bool)
	for domain := range c.Assignments {
		c.lent[domain] = true
	}
	return c
}

// ownAssigned returns the inner map of a domain for writing.
func (s *State) ownAssigned(domain string) map[string]RecordedAssignment {
	inner := s.Assignments[domain]
	switch {
	case inner == nil:
		inner = make(map[string]RecordedAssignment)
	case s.lent[domain]:
		inner = maps.Clone(inner)
	}
	s.Assignments[domain] = inner
	s.lent[domain] = false
	return inner
}
