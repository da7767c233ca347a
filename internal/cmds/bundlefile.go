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

// BundleCheckCmd examines a file without the log.
type BundleCheckCmd struct {
	File        string `arg:"" type:"path" help:"Bundle file."`
	Before      string `type:"path" help:"File of the version in force, to compare moves with."`
	AllowMoves  bool   `help:"Accept that more keys move than the version before allows."`
	AllowVoters bool   `help:"Accept that more than one voter of a domain changes."`
	bundleOutput
}

// Run shows the problems and returns an error if there are any.
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

type checkResult struct {
	File string `json:"file"`
	// Hash is what an approver states, in hexadecimal digits; empty if there are problems.
	Hash     string         `json:"hash,omitempty"`
	Problems check.Problems `json:"problems"`
}

func (c checkResult) writeText(w *strings.Builder) {
	for _, p := range c.Problems {
		fmt.Fprintln(w, p)
	}
	if len(c.Problems) == 0 {
		fmt.Fprintf(w, "%s: no problems, hash %s\n", c.File, c.Hash)
	}
}

// changeProblems reports what a version may not change at once, unless it was allowed.
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

// voterProblems reports domains of which more than one voter changes.
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

// movesProblems reports services of which more keys move than the version before allows.
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

func servicePointer(b *bundle.Bundle, name string) string {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return fmt.Sprintf("/services/%d", i)
		}
	}
	return "/services"
}

// BundleDiffCmd compares two files.
type BundleDiffCmd struct {
	Before string `arg:"" type:"path" help:"File of the earlier version."`
	After  string `arg:"" type:"path" help:"File of the later version."`
	bundleOutput
}

// Run shows what changes.
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

type diffResult struct {
	Before  uint64          `json:"before"`
	After   uint64          `json:"after"`
	Changes []bundle.Change `json:"changes"`
}

func (d diffResult) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "from version %d to %d, %d changes\n", d.Before, d.After, len(d.Changes))
	for _, c := range d.Changes {
		fmt.Fprintln(w, c)
	}
}
