// Package check examines a bundle file before it is published: by the JSON Schema of the
// format, by the rules of package bundle, and by rules that may grow from release to release
// because only operators' commands apply them.
package check

import (
	"errors"
	"fmt"
	"net/netip"

	"example.org/mustardring/pkg/bundle"
)

// ErrProblems is returned by Problems.Err.
var ErrProblems = errors.New("check: the bundle has problems")

// Problem is one fault in a bundle file.
type Problem struct {
	File string `json:"file"`
	// Pointer is the JSON pointer to the fault.
	Pointer  string `json:"pointer"`
	Found    string `json:"found"`
	Expected string `json:"expected"`
}

// String returns one line for people.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: found %s, expected %s", p.File, p.Pointer, p.Found, p.Expected)
}

// Problems is a list of faults.
type Problems []Problem

// Err returns nil for an empty list, and otherwise ErrProblems with the first of them.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d, the first is %s", ErrProblems, len(p), p[0])
}

// File parses and examines the bytes of a bundle file. The bundle is nil when they do not
// parse. A bundle with problems must not be published.
func File(name string, data []byte) (*bundle.Bundle, Problems) {
	problems := Schema(name, data)
	b, err := bundle.Parse(data)
	if err != nil {
		if len(problems) == 0 {
			problems = Problems{{File: name, Pointer: "", Found: err.Error(), Expected: "a bundle"}}
		}
		return nil, problems
	}
	if len(problems) > 0 {
		return b, problems
	}
	return b, Bundle(name, b)
}

// Bundle examines a bundle that fits the schema.
func Bundle(name string, b *bundle.Bundle) Problems {
	c := checker{file: name, bundle: b}
	c.domains()
	c.instances()
	c.services()
	if err := b.Validate(); err != nil && len(c.problems) == 0 {
		c.add("", err.Error(), "a valid bundle")
	}
	return c.problems
}

type checker struct {
	file     string
	bundle   *bundle.Bundle
	problems Problems
	known    map[string]bool
}

func (c *checker) add(pointer, found, expected string) {
	c.problems = append(c.problems, Problem{File: c.file, Pointer: pointer, Found: found, Expected: expected})
}

func (c *checker) domains() {
	c.known = make(map[string]bool)
	for i, d := range c.bundle.Domains {
		if c.known[d.Name] {
			c.add(fmt.Sprintf("/domains/%d/name", i), quote(d.Name), "a name that no domain before has")
		}
		c.known[d.Name] = true
	}
}

func (c *checker) instances() {
	names := make(map[string]string)
	for i, n := range c.bundle.Instances {
		at := fmt.Sprintf("/instances/%d", i)
		c.unique(names, at+"/name", n.Name)
		c.domain(at+"/domain", n.Domain)
		c.address(at+"/address", n.Address)
	}
}

// unique reports a name that stood before, and where.
func (c *checker) unique(seen map[string]string, at, name string) {
	if before, found := seen[name]; found {
		c.add(at, quote(name), "another name or address than that at "+before)
		return
	}
	seen[name] = at
}

func (c *checker) domain(at, name string) {
	if !c.known[name] {
		c.add(at, quote(name), "the name of one of /domains")
	}
}

func (c *checker) address(at, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.add(at, quote(address), "an IP number and a port, such as 10.0.0.1:8080")
	}
}

func quote(s string) string {
	return fmt.Sprintf("%q", s)
}
