package cmds

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// BundleStatusCmd shows the bundles in the log and the leaders of the domains.
type BundleStatusCmd struct {
	Save string `type:"path" help:"Write the bundle in force to this file."`
	bundleLogFlags
	bundleOutput
}

// Run prints the status, and saves the bundle in force if Save is set.
func (c *BundleStatusCmd) Run() error {
	return c.withLog(c.run)
}

func (c *BundleStatusCmd) run(ctx context.Context, l *bundleLog, out io.Writer) error {
	if err := l.catchUp(ctx, 0); err != nil {
		return err
	}
	if c.Save != "" {
		if l.state.InForce == nil {
			return failed("no version is in force")
		}
		if err := writeJSONFile(c.Save, l.state.InForce); err != nil {
			return err
		}
	}
	return c.show(out, statusOf(l.state))
}

// logStatus is the result of BundleStatusCmd.
type logStatus struct {
	// Next is the offset after the last record that was read. Since is the offset at which the
	// state starts. It is above zero if the first records are gone and no checkpoint covers them.
	Next    uint64        `json:"next"`
	Since   uint64        `json:"since"`
	InForce *versionState `json:"in-force"`
	// Head is the newest published version. Waiting are the published versions that are not in
	// force yet.
	Head    uint64         `json:"newest-published"`
	Waiting []versionState `json:"waiting"`
	Terms   []termState    `json:"terms"`
	// Newer describes a record that only a newer release of the program can read, if there is one.
	Newer string `json:"newer-record,omitempty"`
}

// versionState is a published version with its signers. Offset is the offset of the roll for the
// version in force, and of the publication for the others.
type versionState struct {
	Version   uint64 `json:"version"`
	Hash      string `json:"hash"`
	Publisher string `json:"publisher"`
	Approver  string `json:"approver,omitempty"`
	Roller    string `json:"roller,omitempty"`
	Offset    uint64 `json:"offset"`
}

// termState is the current term of the leader of a domain.
type termState struct {
	Domain string `json:"domain"`
	fold.Term
}

// statusOf returns the status that a state of the log describes.
func statusOf(s *fold.State) logStatus {
	status := logStatus{Next: s.Next, Since: s.StartOffset, Head: s.Head}
	if s.InForce != nil {
		v := versionOf(s.Proof.Signed.Statement, s.Proof.Approval, s.InForceOffset)
		v.Roller = s.Proof.Roll.Signer
		status.InForce = &v
	}
	for _, c := range s.Candidates {
		status.Waiting = append(status.Waiting, versionOf(c.Signed.Statement, c.Approval, c.Offset))
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Terms)) {
		status.Terms = append(status.Terms, termState{Domain: domain, Term: s.Terms[domain]})
	}
	if s.NewerRecord != nil {
		status.Newer = fmt.Sprintf("offset %d: %s", s.NewerRecord.Offset, s.NewerRecord.Reason)
	}
	return status
}

func versionOf(published, approval bundle.Statement, offset uint64) versionState {
	return versionState{
		Version:   published.Version,
		Hash:      hex.EncodeToString(published.Hash),
		Publisher: published.Signer,
		Approver:  approval.Signer,
		Offset:    offset,
	}
}

func (s logStatus) writeText(w *strings.Builder) {
	if s.InForce == nil {
		fmt.Fprintln(w, "no version is in force")
	} else {
		v := s.InForce
		fmt.Fprintf(w, "version %d (%s) is in force: published by %q, approved by %q, rolled by %q at offset %d\n",
			v.Version, v.Hash[:minHashDigits], v.Publisher, v.Approver, v.Roller, v.Offset)
	}
	for _, v := range s.Waiting {
		approved := "not approved"
		if v.Approver != "" {
			approved = fmt.Sprintf("approved by %q", v.Approver)
		}
		fmt.Fprintf(w, "version %d (%s) waits: published by %q, %s\n", v.Version, v.Hash[:minHashDigits], v.Publisher, approved)
	}
	fmt.Fprintf(w, "the next version is %d and follows %d\n", s.Head+1, s.Head)
	for _, t := range s.Terms {
		fmt.Fprintf(w, "domain %s: term %d of %s at offset %d\n", t.Domain, t.Log, t.Instance, t.Offset)
	}
	if s.Newer != "" {
		fmt.Fprintf(w, "a newer release wrote a record that this one cannot read: %s\n", s.Newer)
	}
}

// BundleHistoryCmd shows each bundle record in the log and its verdict.
type BundleHistoryCmd struct {
	bundleLogFlags
	bundleOutput
}

// Run prints the history.
func (c *BundleHistoryCmd) Run() error {
	return c.withLog(c.run)
}

func (c *BundleHistoryCmd) run(ctx context.Context, l *bundleLog, out io.Writer) error {
	if err := l.catchUp(ctx, 0); err != nil {
		return err
	}
	h := history{Since: l.state.StartOffset}
	for _, r := range l.records {
		if e, ok := newHistoryEvent(r); ok {
			h.Events = append(h.Events, e)
		}
	}
	return c.show(out, h)
}

// history is the result of BundleHistoryCmd. Since is the offset at which the state of the log
// starts.
type history struct {
	Since  uint64         `json:"since"`
	Events []historyEvent `json:"events"`
}

// historyEvent is a bundle record in the log. Reason is set if the record was refused.
type historyEvent struct {
	Offset  uint64 `json:"offset"`
	Action  string `json:"action"`
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Signer  string `json:"signer"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
}

func (h history) writeText(w *strings.Builder) {
	for _, e := range h.Events {
		fmt.Fprintf(w, "%d %s of version %d (%s) by %q: %s", e.Offset, e.Action, e.Version, e.Hash[:minHashDigits], e.Signer, e.Verdict)
		if e.Reason != "" {
			fmt.Fprintf(w, ": %s", e.Reason)
		}
		fmt.Fprintln(w)
	}
}

// newHistoryEvent describes a bundle record. It returns false for other records.
func newHistoryEvent(r foldedRecord) (historyEvent, bool) {
	st, action, ok := statementIn(r.entry.Data)
	if !ok {
		return historyEvent{}, false
	}
	hash := fmt.Sprintf("%0*x", minHashDigits, st.Hash)
	e := historyEvent{Offset: r.entry.Offset, Action: action, Version: st.Version, Hash: hash, Signer: st.Signer, Verdict: verdictAccepted}
	switch v := r.result.(type) {
	case fold.Duplicate:
		e.Verdict = verdictRepeated
	case fold.Rejected:
		e.Verdict, e.Reason = verdictRefused, v.Reason
	}
	return e, true
}

// actionReturn is the action of a record that restores the bundle in force in a log that has lost
// the bundle's records.
const actionReturn = "return"

// statementIn returns the statement of a bundle record and its action, which is the role of its
// signer or actionReturn. It returns false for other records and for malformed ones.
func statementIn(data []byte) (st bundle.Statement, action string, ok bool) {
	r, err := record.Decode(data)
	if err != nil {
		return st, "", false
	}
	switch r := r.(type) {
	case record.BundlePublished:
		return r.Signed.Statement, string(bundle.RolePublish), true
	case record.BundleApproved:
		return r.Approval, string(bundle.RoleApprove), true
	case record.BundleRolled:
		return r.Roll, string(bundle.RoleRoll), true
	case record.BundleProven:
		return r.Proof.Roll, actionReturn, true
	default:
		return st, "", false
	}
}
