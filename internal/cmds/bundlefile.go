package cmds

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/bundle/check"
)

// BundleCheckCmd checks a bundle file for problems, without using the log.
type BundleCheckCmd struct {
	File        string `arg:"" type:"path" help:"Bundle file."`
	Before      string `type:"path" help:"File of the version in force, to compare moves and voters with."`
	AllowMoves  bool   `help:"Accept that more keys move than the previous version allows."`
	AllowVoters bool   `help:"Accept that more than one voter of a domain changes."`
	bundleOutput
}

// Run prints the problems, or the hash if there are none, and returns an error if there are any.
func (c *BundleCheckCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BundleCheckCmd) run(out io.Writer) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return badInput("%w", err)
	}
	b, problems := check.File(c.File, data)
	if len(problems) == 0 && c.Before != "" {
		before, err := readBundle(c.Before)
		if err != nil {
			return err
		}
		problems = changeProblems(c.File, before, b, c.AllowMoves, c.AllowVoters)
	}
	result := checkResult{File: c.File, Problems: problems}
	if len(problems) == 0 {
		canonical, err := b.Canonical()
		if err != nil {
			return badInput("%w", err)
		}
		result.Hash = hex.EncodeToString(bundle.Hash(canonical))
	}
	if err := c.show(out, result); err != nil {
		return err
	}
	if err := problems.Err(); err != nil {
		return badInput("%w", err)
	}
	return nil
}

// checkResult is the result of BundleCheckCmd.
type checkResult struct {
	File string `json:"file"`
	// Hash identifies the bundle to its approver, in hexadecimal digits. It is empty if there are
	// problems.
	Hash     string         `json:"hash,omitempty"`
	Problems check.Problems `json:"problems"`
}

func (r checkResult) writeText(w *strings.Builder) {
	for _, p := range r.Problems {
		fmt.Fprintln(w, p)
	}
	if len(r.Problems) == 0 {
		fmt.Fprintf(w, "%s: no problems, hash %s\n", r.File, r.Hash)
	}
}

// changeProblems reports changes between two versions that need a flag: more moved keys than
// allowed, unless moves is set, and more than one voter of a domain, unless voters is set.
func changeProblems(file string, before, after *bundle.Bundle, moves, voters bool) check.Problems {
	var problems check.Problems
	if !moves {
		problems = movesProblems(file, before, after)
	}
	if !voters {
		problems = append(problems, voterProblems(file, before, after)...)
	}
	return problems
}

// voterProblems reports domains in which more than one voter changes.
func voterProblems(file string, before, after *bundle.Bundle) check.Problems {
	var problems check.Problems
	for _, c := range bundle.CompareVoters(before, after) {
		problems = append(problems, check.Problem{
			File:     file,
			Pointer:  "/domains",
			Found:    fmt.Sprintf("a change of the voters of %q that adds %v and removes %v", c.Domain, c.Added, c.Removed),
			Expected: "one voter a version, or the flag --allow-voters",
		})
	}
	return problems
}

// movesProblems reports services of which a larger share of the keys moves than the earlier version
// allows.
func movesProblems(file string, before, after *bundle.Bundle) check.Problems {
	var problems check.Problems
	for _, m := range bundle.CompareMoves(before, after) {
		limit := before.Service(m.Service).MoveShare
		if limit == 0 {
			limit = bundle.DefaultMoveShare
		}
		if m.Total() > limit {
			problems = append(problems, check.Problem{
				File:     file,
				Pointer:  servicePointer(after, m.Service),
				Found:    fmt.Sprintf("a change that moves %.1f%% of the keys of %q", 100*m.Total(), m.Service),
				Expected: fmt.Sprintf("at most %.1f%%, or the flag --allow-moves", 100*limit),
			})
		}
	}
	return problems
}

// servicePointer returns the JSON pointer to a service in a bundle file.
func servicePointer(b *bundle.Bundle, name string) string {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return fmt.Sprintf("/services/%d", i)
		}
	}
	return "/services"
}

// BundleDiffCmd compares two bundle files.
type BundleDiffCmd struct {
	Before string `arg:"" type:"path" help:"File of the earlier version."`
	After  string `arg:"" type:"path" help:"File of the later version."`
	bundleOutput
}

// Run prints the changes.
func (c *BundleDiffCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BundleDiffCmd) run(out io.Writer) error {
	before, after, err := readBundles(c.Before, c.After)
	if err != nil {
		return err
	}
	return c.show(out, diffResult{Before: before.Version, After: after.Version, Changes: bundle.Diff(before, after)})
}

func readBundles(before, after string) (*bundle.Bundle, *bundle.Bundle, error) {
	b, err := readBundle(before)
	if err != nil {
		return nil, nil, err
	}
	a, err := readBundle(after)
	return b, a, err
}

// diffResult is the result of BundleDiffCmd.
type diffResult struct {
	Before  uint64          `json:"before"`
	After   uint64          `json:"after"`
	Changes []bundle.Change `json:"changes"`
}

func (r diffResult) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "from version %d to %d, %d changes\n", r.Before, r.After, len(r.Changes))
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
}
