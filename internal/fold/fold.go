// Package fold computes the state that the records of the platform's log agree on. The
// fold is pure: every instance that reads the same records reaches the same state.
package fold

import (
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// State is what the records up to Next say.
type State struct {
	// Next is the offset of the next record to apply.
	Next uint64
	// InForce is the bundle in force, or nil.
	InForce *bundle.Bundle
	// InForceSigned is the signed form of InForce, to be handed to peers.
	InForceSigned bundle.Signed
	// Terms has the newest log term of each failure domain.
	Terms map[string]Term
	// Assigned has, by failure domain and server, the newest recorded assignment.
	Assigned map[string]map[string]Assigned
}

// Term is the leadership of a failure domain by the log.
type Term struct {
	Log         uint64
	Instance    string
	Incarnation uint64
	Offset      uint64
}

// Assigned is a recorded assignment with the offset that acknowledges it.
type Assigned struct {
	Service     string
	Assignment  record.Assignment
	Offset      uint64
	Provisional bool
}

// Verdict is what became of a record: Accepted, Repeated or Refused. The set is sealed.
type Verdict interface {
	isVerdict()
}

// Accepted says that the record took effect.
type Accepted struct{}

// Repeated says that a record with the same ID was applied before.
type Repeated struct{}

// Refused says that the record has no effect, and why.
type Refused struct {
	Offset uint64
	Reason string
}

func (Accepted) isVerdict() {}
func (Repeated) isVerdict() {}
func (Refused) isVerdict()  {}
