package cmds

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/bundle/check"
)

// minHashDigits is the minimum number of hexadecimal digits of a hash that identify a bundle.
const minHashDigits = 8

// bundleSignFlags are the flags of commands that sign: the signer and its private key.
type bundleSignFlags struct {
	Signer string `required:"" help:"Name of the signer."`
	Key    string `required:"" type:"path" help:"File with the signer's private key, made by keygen."`
}

func (f bundleSignFlags) privateKey() (ed25519.PrivateKey, error) {
	return readKey(f.Key)
}

// submitResult is the result of publish, approve and roll. Winner is the earlier record with
// which a refused one conflicts, if any.
type submitResult struct {
	Action  string       `json:"action"`
	Version uint64       `json:"version"`
	Hash    string       `json:"hash"`
	Signer  string       `json:"signer"`
	Verdict string       `json:"verdict"`
	Offset  uint64       `json:"offset"`
	Reason  string       `json:"reason,omitempty"`
	Winner  *fold.Winner `json:"winner,omitempty"`
}

func (r submitResult) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "%s of version %d (%s) by %q: %s at offset %d\n", r.Action, r.Version, r.Hash[:minHashDigits], r.Signer, r.Verdict, r.Offset)
	if r.Reason != "" {
		fmt.Fprintf(w, "%s\n", r.Reason)
	}
}

// Verdicts on a record in the log.
const (
	verdictAccepted = "accepted"
	verdictRepeated = "accepted before"
	verdictRefused  = "refused"
)

// submitAndShow submits the record r of the statement st and prints the verdict. It returns an error
// with the code ExitFailed if the record was refused.
func submitAndShow(ctx context.Context, l *bundleLog, o bundleOutput, out io.Writer, st bundle.Statement, r record.Record) error {
	v, offset, err := l.submit(ctx, st, r)
	if err != nil {
		return err
	}
	s := submitResult{
		Action: string(st.Role), Version: st.Version, Hash: hex.EncodeToString(st.Hash),
		Signer: st.Signer, Verdict: verdictAccepted, Offset: offset,
	}
	var refusal error
	switch v := v.(type) {
	case fold.Duplicate:
		s.Verdict = verdictRepeated
	case fold.Rejected:
		s.Verdict, s.Reason = verdictRefused, v.Reason
		if !v.Winner.IsZero() {
			s.Winner = &v.Winner
		}
		refusal = failed("%s of version %d refused: %s", st.Role, st.Version, v.Reason)
	}
	if err := o.show(out, s); err != nil {
		return err
	}
	return refusal
}

// BundlePublishCmd signs a bundle as its publisher and appends it to the log.
type BundlePublishCmd struct {
	File        string `arg:"" type:"path" help:"Bundle file."`
	AllowMoves  bool   `help:"Publish even if more keys move than the bundle in force allows."`
	AllowVoters bool   `help:"Publish even if more than one voter of a domain changes."`
	bundleSignFlags
	bundleLogFlags
	bundleOutput
}

// Run publishes the bundle.
func (c *BundlePublishCmd) Run() error {
	return c.withLog(c.run)
}

func (c *BundlePublishCmd) run(ctx context.Context, l *bundleLog, out io.Writer) error {
	key, err := c.privateKey()
	if err != nil {
		return err
	}
	b, err := checkedBundle(c.File)
	if err != nil {
		return err
	}
	signed, err := bundle.Publish(b, c.Signer, key)
	if err != nil {
		return badInput("%s: %w", c.File, err)
	}
	if err := l.catchUp(ctx, 0); err != nil {
		return err
	}
	if before := l.state.InForce; before != nil && before.Version < b.Version {
		if err := changeProblems(c.File, before, b, c.AllowMoves, c.AllowVoters).Err(); err != nil {
			return badInput("%w", err)
		}
	}
	r, err := publishedRecord(l.state, b, signed)
	if err != nil {
		return failed("%w", err)
	}
	return submitAndShow(ctx, l, c.bundleOutput, out, signed.Statement, r)
}

// minDeltaBytes is the minimum size of a bundle that is published as a delta, if the log holds the
// version that it follows. Smaller bundles are published whole.
const minDeltaBytes = 16 << 10

// publishedRecord returns the record that publishes a bundle, whole or as a delta.
func publishedRecord(s *fold.State, b *bundle.Bundle, signed bundle.Signed) (record.Record, error) {
	whole := record.BundlePublished{Signed: signed}
	if len(signed.Canonical) < minDeltaBytes {
		return whole, nil
	}
	followed, err := findPublished(s, b.Follows)
	if err != nil {
		return whole, nil
	}
	base, hash := s.BundleByHash(followed.Hash)
	if base == nil {
		return whole, nil
	}
	d, err := bundle.NewDelta(base, hash, b, signed.Statement.Hash)
	if err != nil {
		return nil, err
	}
	return record.BundlePublished{Signed: bundle.Signed{Statement: signed.Statement}, Delta: &d}, nil
}

// checkedBundle reads a bundle file and returns an error if it has problems.
func checkedBundle(file string) (*bundle.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	b, problems := check.File(file, data)
	if err := problems.Err(); err != nil {
		return nil, badInput("%w", err)
	}
	return b, nil
}

// BundleApproveCmd approves a published version.
type BundleApproveCmd struct {
	Version uint64 `arg:"" help:"Version to approve."`
	Hash    string `required:"" help:"First digits of the hash of the reviewed bundle, at least eight."`
	bundleSignFlags
	bundleLogFlags
	bundleOutput
}

// Run approves the version.
func (c *BundleApproveCmd) Run() error {
	return c.withLog(c.run)
}

func (c *BundleApproveCmd) run(ctx context.Context, l *bundleLog, out io.Writer) error {
	key, err := c.privateKey()
	if err != nil {
		return err
	}
	if err := l.catchUp(ctx, 0); err != nil {
		return err
	}
	published, err := findPublished(l.state, c.Version)
	if err != nil {
		return err
	}
	if hash := hex.EncodeToString(published.Hash); len(c.Hash) < minHashDigits || !strings.HasPrefix(hash, c.Hash) {
		return badInput("version %d has hash %s, not %q: the published bundle is not the one that was reviewed", c.Version, hash, c.Hash)
	}
	approval, err := bundle.Approve(published, c.Signer, key)
	if err != nil {
		return badInput("%w", err)
	}
	return submitAndShow(ctx, l, c.bundleOutput, out, approval, record.BundleApproved{Approval: approval})
}

// findPublished returns the publisher's statement of a version that is pending or in force.
func findPublished(s *fold.State, version uint64) (bundle.Statement, error) {
	for _, c := range s.Candidates {
		if c.Signed.Statement.Version == version {
			return c.Signed.Statement, nil
		}
	}
	if s.InForce != nil && s.InForce.Version == version {
		return s.Proof.Signed.Statement, nil
	}
	if s.InForce != nil && s.InForce.Version > version {
		return bundle.Statement{}, failed("version %d is out of date: version %d, published by %q, is in force",
			version, s.InForce.Version, s.Proof.Signed.Statement.Signer)
	}
	return bundle.Statement{}, failed("version %d is not published; the newest published version is %d", version, s.Head)
}

// BundleRollCmd puts an approved version in force.
type BundleRollCmd struct {
	Version  uint64 `arg:"" help:"Version to put in force."`
	Replaces uint64 `help:"Version that must be in force before the roll; by default the current one."`
	bundleSignFlags
	bundleLogFlags
	bundleOutput
	bundleWatchFlags
}

// Run puts the version in force and, with --watch, waits until all domains serve it.
func (c *BundleRollCmd) Run() error {
	return c.withLog(func(ctx context.Context, l *bundleLog, out io.Writer) error {
		if err := c.run(ctx, l, out); err != nil {
			return err
		}
		return c.watch(ctx, os.Stderr, c.Version)
	})
}

func (c *BundleRollCmd) run(ctx context.Context, l *bundleLog, out io.Writer) error {
	key, err := c.privateKey()
	if err != nil {
		return err
	}
	if err := l.catchUp(ctx, 0); err != nil {
		return err
	}
	published, err := findPublished(l.state, c.Version)
	if err != nil {
		return err
	}
	roll, err := bundle.Roll(published, c.replaces(l.state), c.Signer, key)
	if err != nil {
		return badInput("%w", err)
	}
	return submitAndShow(ctx, l, c.bundleOutput, out, roll, record.BundleRolled{Roll: roll})
}

// replaces returns the version that the roll replaces. If the version to roll is already in force,
// the command is being repeated after a lost response, and must sign the same statement as before.
func (c *BundleRollCmd) replaces(s *fold.State) uint64 {
	switch {
	case c.Replaces != 0 || s.InForce == nil:
		return c.Replaces
	case s.InForce.Version == c.Version:
		return s.Proof.Roll.Follows
	default:
		return s.InForce.Version
	}
}
