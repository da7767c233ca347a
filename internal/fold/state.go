// Package fold computes the replicated state of the system as a fold over the platform's log:
// it applies the records in order. It is deterministic and has no other input, so that every
// instance that reads the same records reaches the same state, with the same result for each
// record.
package fold

import (
	"maps"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// State is the result of applying the records before Next. It is not safe for concurrent
// use; Snapshot returns an immutable copy.
type State struct {
	// Next is the offset of the next record to apply.
	Next uint64
	// StartOffset is the offset from which on all records up to Next were applied. It is zero
	// for a state that includes the whole log. A state that was restored from a checkpoint has
	// the StartOffset of the checkpoint's writer.
	StartOffset uint64
	// InForce is the bundle in force, or nil.
	InForce *bundle.Bundle
	// InForceSigned is the signed form of InForce, for sending to peers.
	InForceSigned bundle.Signed
	// InForceOffset is the offset of the record that put InForce in force.
	InForceOffset uint64
	// Proof proves that InForce was released by authorized signers, starting from the trust
	// anchors.
	Proof bundle.Proof
	// Head is the newest published version, in force or not. The next published version must
	// follow it.
	Head uint64
	// Candidates are the published versions newer than the one in force, oldest first.
	Candidates []Candidate
	// Terms maps each failure domain to its newest log term.
	Terms map[string]Term
	// Assignments maps each failure domain and server to the newest recorded assignment.
	Assignments map[string]map[string]RecordedAssignment
	// Homes holds the ranges that each failure domain has of each divided service, sorted by
	// service and domain. The ranges of one service are disjoint. The slice is copied before
	// each change, because snapshots share it.
	Homes []DomainHomes
	// NewerRecord is the first record that only a newer release can read, or nil. If it is set,
	// the state may be wrong, and the instance writes no checkpoint and claims no term.
	NewerRecord *NewerRecord

	// anchors are the trust anchors, as passed to New.
	anchors []bundle.Signer
	// servers is the set of server names in InForce.
	servers map[string]bool
	// lastDigest is that of the entry before Next. It shows whether the log was replaced.
	lastDigest digest
	// recent holds the digests of the newest accepted records, to detect duplicates.
	recent recentDigests
	// marks holds the states at the newest marks, oldest first.
	marks []mark
	// shared is the set of domains whose inner map in Assignments is shared with a snapshot and
	// must be copied before a change.
	shared map[string]bool
}

// Candidate is a published version that is newer than the one in force.
type Candidate struct {
	Signed bundle.Signed `json:"signed"`
	// Offset is the offset of the record that published the version.
	Offset uint64 `json:"offset"`
	// Approval is the zero Statement until the version is approved.
	Approval bundle.Statement `json:"approval"`
	// ApprovalOffset is the offset of the record that approved the version.
	ApprovalOffset uint64 `json:"approval-offset"`

	bundle *bundle.Bundle
}

// Approved reports whether the version has a valid approval.
func (c *Candidate) Approved() bool {
	return c.Approval.Version != 0
}

// Term is the newest leadership term of a failure domain and the instance that claimed it.
type Term struct {
	// Log is the number of the term. It is one more for each accepted claim, or higher if the
	// claim has a floor.
	Log         uint64 `json:"log"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// Offset is the offset of the claim.
	Offset uint64 `json:"offset"`
}

// RecordedAssignment is an assignment that was accepted from the log.
type RecordedAssignment struct {
	Service    string            `json:"service"`
	Assignment record.Assignment `json:"assignment"`
	// Offset is the offset of the record, which confirms that the assignment is in the log.
	Offset uint64 `json:"offset"`
	// Provisional is as in record.AssignmentMade.
	Provisional bool `json:"provisional,omitempty"`
}

// NewerRecord describes a record that only a newer release can read.
type NewerRecord struct {
	Offset uint64
	// Reason is the text of the decoding error.
	Reason string
}

// New returns the state before the first record of a log. The anchors are the signers that
// may put the first bundle in force; the signers of later bundles are named by the bundle in
// force. All instances that read the same log must have the same anchors.
func New(anchors []bundle.Signer) *State {
	return NewAt(anchors, 0)
}

// NewAt returns the state of a reader that has no records before the offset start and found
// no checkpoint. It is replaced when a reader with a longer history writes a checkpoint.
func NewAt(anchors []bundle.Signer, start uint64) *State {
	return &State{
		Next:        start,
		StartOffset: start,
		Terms:       make(map[string]Term),
		Assignments: make(map[string]map[string]RecordedAssignment),
		anchors:     anchors,
		shared:      make(map[string]bool),
	}
}

// MayLead reports whether the instance may claim a term or write a checkpoint based on this
// state. It may not after a record of a newer release, which may have changed the meaning of
// terms.
func (s *State) MayLead() bool {
	return s.NewerRecord == nil
}

// Snapshot returns a read-only copy that later calls of Apply do not change. Its cost grows
// with the number of domains, not of servers, because the inner maps of Assignments are copied
// only when they next change.
func (s *State) Snapshot() *State {
	view := *s
	view.Terms = maps.Clone(s.Terms)
	view.Assignments = maps.Clone(s.Assignments)
	view.Candidates = s.Candidates[:len(s.Candidates):len(s.Candidates)]
	view.recent = recentDigests{}
	view.marks = nil
	view.shared = nil
	for domain := range s.Assignments {
		s.shared[domain] = true
	}
	return &view
}

// clone returns a copy that is independent of s: Apply may be called on both.
func (s *State) clone() *State {
	c := s.Snapshot()
	c.recent = s.recent.clone()
	c.shared = make(map[string]bool)
	for domain := range c.Assignments {
		c.shared[domain] = true
	}
	return c
}

// writableAssignments returns the assignments of a domain by server, for changes in place.
// It creates the map, or copies one that is shared with a snapshot.
func (s *State) writableAssignments(domain string) map[string]RecordedAssignment {
	byServer := s.Assignments[domain]
	switch {
	case byServer == nil:
		byServer = make(map[string]RecordedAssignment)
	case s.shared[domain]:
		byServer = maps.Clone(byServer)
	}
	s.Assignments[domain] = byServer
	s.shared[domain] = false
	return byServer
}
