// Package check checks a bundle file before it is published: against the JSON Schema of the
// format, against the rules of package bundle, and against further rules. The further rules may
// change from release to release, because only the operators' commands apply them.
package check

import (
	"errors"
	"fmt"
	"net/netip"

	"example.org/mustardring/pkg/bundle"
)

// ErrProblems is returned by Problems.Err for a list that is not empty.
var ErrProblems = errors.New("check: the bundle has problems")

// Problem is a fault in a bundle file.
type Problem struct {
	File string `json:"file"`
	// Pointer is the JSON pointer to the fault. It is empty if the fault concerns the whole
	// bundle.
	Pointer string `json:"pointer"`
	// Found describes the value at Pointer, and Expected what should be there instead.
	Found    string `json:"found"`
	Expected string `json:"expected"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: found %s, expected %s", p.File, p.Pointer, p.Found, p.Expected)
}

// Problems is the list of faults in a bundle file.
type Problems []Problem

// Err returns nil for an empty list, and otherwise ErrProblems with the number of problems and the
// first of them.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d in total, the first is %s", ErrProblems, len(p), p[0])
}

// File parses and checks the content of a bundle file. The bundle is nil if the content can't be
// parsed. A bundle with problems must not be published. Name is used in the problems only.
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

// Bundle checks a bundle that conforms to the schema. Name is used in the problems only.
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

// checker collects the problems of a bundle. The parameter at of its methods is the JSON pointer
// to the value that they check.
type checker struct {
	file        string
	bundle      *bundle.Bundle
	problems    Problems
	domainNames map[string]bool
}

func (c *checker) add(pointer, found, expected string) {
	c.problems = append(c.problems, Problem{File: c.file, Pointer: pointer, Found: found, Expected: expected})
}

// domains reports repeated names of domains and sets c.domainNames, which the other checks need.
func (c *checker) domains() {
	c.domainNames = make(map[string]bool)
	for i, d := range c.bundle.Domains {
		if c.domainNames[d.Name] {
			c.add(fmt.Sprintf("/domains/%d/name", i), quote(d.Name), "a name that no domain before has")
		}
		c.domainNames[d.Name] = true
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

// unique reports a name or address that occurred before. Seen maps each one to the JSON pointer
// where it occurred first.
func (c *checker) unique(seen map[string]string, at, name string) {
	if before, found := seen[name]; found {
		c.add(at, quote(name), "another name or address than that at "+before)
		return
	}
	seen[name] = at
}

// domain reports a name that is not one of the domains.
func (c *checker) domain(at, name string) {
	if !c.domainNames[name] {
		c.add(at, quote(name), "the name of one of /domains")
	}
}

// address reports an address that is not an IP address with a port.
func (c *checker) address(at, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.add(at, quote(address), "an IP number and a port, such as 10.0.0.1:8080")
	}
}

func quote(s string) string {
	return fmt.Sprintf("%q", s)
}
