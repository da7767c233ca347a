// Package record defines the records that mustardring keeps in the platform's log, and
// their JSON form.
package record

import (
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// Record is one of the kinds below. The set is sealed.
type Record interface {
	isRecord()
}

// BundlePublished puts a signed bundle into the log. It puts nothing in force.
type BundlePublished struct {
	Signed bundle.Signed `json:"signed"`
	// Delta stands in place of the canonical form, which is then absent. Its base is the
	// version in force or one that waits.
	Delta *bundle.Delta `json:"delta,omitempty"`
}

// BundleApproved is the statement of an approver about one version and its hash.
type BundleApproved struct {
	Approval bundle.Statement `json:"approval"`
}

// BundleRolled puts an approved version in force.
type BundleRolled struct {
	Roll bundle.Statement `json:"roll"`
}

// TermClaimed makes an entry instance the leader of a failure domain, if Follows is still
// the domain's term when the record is folded. The new log term is one more than the higher
// of Follows and Floor.
type TermClaimed struct {
	Domain      string `json:"domain"`
	Follows     uint64 `json:"follows"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// Floor is the highest log term that the claimant has met at servers. It matters when the
	// log has started anew: the terms of the new log then continue those of the old one.
	Floor uint64 `json:"floor,omitempty"`
}

// AssignmentMade records the sets that servers of one domain hold under one term.
type AssignmentMade struct {
	Domain      string       `json:"domain"`
	Service     string       `json:"service"`
	Assignments []Assignment `json:"assignments"`
	// Provisional says that the moves were made while the log was away.
	Provisional bool `json:"provisional,omitempty"`
}

// Assignment is the set of ranges of one server under one epoch.
type Assignment struct {
	Server string       `json:"server"`
	Epoch  grant.Epoch  `json:"epoch"`
	Ranges []keys.Range `json:"ranges"`
}

// BundleProven puts into the log a bundle that is in force at instances although the log
// does not say so: it started anew, or it forgot the records.
type BundleProven struct {
	Proof bundle.Proof `json:"proof"`
}

// CheckpointMarked announces a checkpoint. Each reader keeps its state as of the mark, to
// compare the checkpoint with it.
type CheckpointMarked struct {
	Instance string `json:"instance"`
}

// Checkpoint is the whole folded state in the encoding of package fold, appended again
// before the log forgets older records.
type Checkpoint struct {
	State []byte `json:"state"`
	// Next is the offset of the first record that the state does not include: the one after
	// a mark.
	Next uint64 `json:"next"`
}

// HomesTaken states which ranges of each divided service one failure domain serves from now
// on. The fold gives it those that no other domain has taken, and frees those that it leaves
// out. A domain that wants a range waits until the one that had it has left it out.
type HomesTaken struct {
	Domain string `json:"domain"`
	// Version is the bundle that asks for the ranges.
	Version uint64 `json:"version"`
	// Log is the log term of the domain under which the statement was made.
	Log uint64 `json:"log"`
	// Base is the offset plus one of the record that last changed what the domain has; zero
	// for none. The statement is void if the domain has changed since.
	Base     uint64         `json:"base"`
	Services []ServiceHomes `json:"services"`
}

// ServiceHomes is what a failure domain serves of one service.
type ServiceHomes struct {
	Service string       `json:"service"`
	Ranges  []keys.Range `json:"ranges"`
}

// HomesEvicted frees the ranges of a service that a failure domain has taken, in two steps.
// The first record gives notice; the domain objects by stating its homes again. The second
// names the notice and frees the ranges. It is valid only for a service whose isolation rule
// is move.
type HomesEvicted struct {
	Domain  string `json:"domain"`
	Service string `json:"service"`
	// By is the failure domain that has not heard from Domain for long.
	By string `json:"by"`
	// Base is the offset plus one of the record that last changed what Domain has. The
	// eviction is void if the domain has changed since.
	Base uint64 `json:"base"`
	// Notice is the offset of the notice plus one; zero in the notice itself.
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
