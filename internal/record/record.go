// Package record defines the records that mustardring appends to the platform's log, and
// their JSON encoding. Package fold defines the effect of each record.
package record

import (
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// Record is implemented by the record types of this package only.
type Record interface {
	isRecord()
}

// BundlePublished adds a signed bundle to the log as a candidate. A bundle comes into force
// only with BundleRolled.
type BundlePublished struct {
	Signed bundle.Signed `json:"signed"`
	// Delta replaces the canonical form: if it is set, Signed.Canonical is empty. Its base is
	// the bundle in force or a candidate.
	Delta *bundle.Delta `json:"delta,omitempty"`
}

// BundleApproved is an approver's statement about one version and its hash.
type BundleApproved struct {
	Approval bundle.Statement `json:"approval"`
}

// BundleRolled puts an approved version in force.
type BundleRolled struct {
	Roll bundle.Statement `json:"roll"`
}

// TermClaimed makes an entry instance the leader of a failure domain, provided that Follows
// is still the domain's log term when the record is applied. The new log term is
// max(Follows, Floor) + 1.
type TermClaimed struct {
	Domain string `json:"domain"`
	// Follows is the domain's log term that the claimant has read.
	Follows     uint64 `json:"follows"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// Floor is the highest log term that servers have reported to the claimant. It matters
	// after the log was lost and started again at offset zero: the terms of the new log then
	// continue those of the old one.
	Floor uint64 `json:"floor,omitempty"`
}

// AssignmentMade records the ranges that servers of one failure domain own.
type AssignmentMade struct {
	Domain      string       `json:"domain"`
	Service     string       `json:"service"`
	Assignments []Assignment `json:"assignments"`
	// Provisional says that the assignments were made while the log was unavailable.
	Provisional bool `json:"provisional,omitempty"`
}

// Assignment is the set of ranges that one server owns under one epoch.
type Assignment struct {
	Server string       `json:"server"`
	Epoch  grant.Epoch  `json:"epoch"`
	Ranges []keys.Range `json:"ranges"`
}

// BundleProven restores the bundle in force in a log that has lost the records that put it
// in force: the log started again at offset zero, or no longer retains them.
type BundleProven struct {
	Proof bundle.Proof `json:"proof"`
}

// CheckpointMarked announces a checkpoint of the state after this record. Each reader keeps
// a copy of its state at the mark, to verify the checkpoint against it.
type CheckpointMarked struct {
	// Instance is the instance that writes the checkpoint.
	Instance string `json:"instance"`
}

// Checkpoint holds the complete state that results from the records before Next. It is
// appended regularly, so that the log always retains one when it drops old records.
type Checkpoint struct {
	// State is in the encoding of fold.State.Encode.
	State []byte `json:"state"`
	// Next is the offset of the first record that the state does not include: the one after
	// the mark.
	Next uint64 `json:"next"`
}

// HomesTaken states which ranges of divided services one failure domain serves from now on.
// For each service that is listed, the domain is given those of the ranges that no other
// domain has, and releases those that are left out. A domain that wants a range of another
// domain waits until that domain has released it.
type HomesTaken struct {
	Domain string `json:"domain"`
	// Version is the version of the bundle that assigns the ranges to the domain.
	Version uint64 `json:"version"`
	// Log is the log term of the leader that made the statement.
	Log uint64 `json:"log"`
	// Base is the offset plus one of the record that last changed the homes of the domain, or
	// zero if there is none. The record is rejected if they have changed since.
	Base     uint64         `json:"base"`
	Services []ServiceHomes `json:"services"`
}

// ServiceHomes is the set of ranges of one service that a failure domain serves.
type ServiceHomes struct {
	Service string       `json:"service"`
	Ranges  []keys.Range `json:"ranges"`
}

// HomesEvicted takes away the ranges of a service that an unreachable failure domain has, in
// two steps. The first record gives notice; the domain objects by appending HomesTaken again.
// The second record names the notice and frees the ranges. It is valid only for a service
// whose isolation rule is move.
type HomesEvicted struct {
	Domain  string `json:"domain"`
	Service string `json:"service"`
	// By is the failure domain that evicts, because Domain has been unreachable for long.
	By string `json:"by"`
	// Base is the offset plus one of the record that last changed the homes of Domain. The
	// record is rejected if they have changed since.
	Base uint64 `json:"base"`
	// Notice is the offset plus one of the notice, or zero in the notice itself.
	Notice uint64 `json:"notice,omitempty"`
}

func (HomesTaken) isRecord()       {}
func (HomesEvicted) isRecord()     {}
func (BundlePublished) isRecord()  {}
func (BundleApproved) isRecord()   {}
func (BundleRolled) isRecord()     {}
func (BundleProven) isRecord()     {}
func (TermClaimed) isRecord()      {}
func (AssignmentMade) isRecord()   {}
func (CheckpointMarked) isRecord() {}
func (Checkpoint) isRecord()       {}
