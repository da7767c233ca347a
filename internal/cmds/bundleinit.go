package cmds

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"example.org/mustardring/pkg/bundle"
)

// BundleInitCmd writes a bundle file for the operator to edit: a first version, or a copy of an
// earlier version with the next number.
type BundleInitCmd struct {
	File     string   `arg:"" type:"path" help:"File to write."`
	Follow   string   `type:"path" help:"File of the version to follow. Without it, a first version is written."`
	Roots    string   `type:"path" help:"JSON file with the signers of a first version."`
	Domains  []string `name:"domain" help:"Failure domains of a first version."`
	Services []string `name:"service" help:"Services of a first version, divided by key."`
	bundleOutput
}

// Run writes the file. An existing file is kept, and must hold the expected version.
func (c *BundleInitCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BundleInitCmd) run(out io.Writer) error {
	b, err := c.bundle()
	if err != nil {
		return err
	}
	old, err := readBundle(c.File)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := writeJSONFile(c.File, b); err != nil {
			return err
		}
	case err != nil:
		return err
	case old.Version != b.Version:
		return badInput("%s holds version %d, expected no file or version %d", c.File, old.Version, b.Version)
	}
	return c.show(out, initResult{File: c.File, Version: b.Version})
}

// initResult is the result of BundleInitCmd.
type initResult struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
}

func (r initResult) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "%s holds version %d\n", r.File, r.Version)
}

// bundle returns the version to write.
func (c *BundleInitCmd) bundle() (*bundle.Bundle, error) {
	if c.Follow != "" {
		b, err := readBundle(c.Follow)
		if err != nil {
			return nil, err
		}
		b.Follows = b.Version
		b.Version++
		return b, nil
	}
	if c.Roots == "" || len(c.Domains) == 0 {
		return nil, badInput("a first version needs --roots and --domain")
	}
	signers, err := readSigners(c.Roots)
	if err != nil {
		return nil, err
	}
	b := &bundle.Bundle{Format: bundle.FormatVersion, Version: 1, Signers: signers}
	for _, d := range c.Domains {
		b.Domains = append(b.Domains, bundle.Domain{Name: d})
	}
	for _, s := range c.Services {
		b.Services = append(b.Services, defaultService(s))
	}
	return b, nil
}

// defaultService returns a service without servers and with default weights and limits.
func defaultService(name string) bundle.Service {
	return bundle.Service{
		Name:      name,
		Divided:   true,
		Isolation: bundle.IsolationHold,
		Servers:   []bundle.Server{},
		Weights:   bundle.Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
		Limits:    bundle.Limits{Queue: 64, BodyBytes: 16 << 20, RequestMillis: 10_000, CrashServers: 2, BlockMillis: 600_000},
	}
}
