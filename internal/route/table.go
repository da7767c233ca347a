// Package route holds the routing table of one failure domain: which server owns which
// range, and which entry instance is the gate of which server.
package route

import (
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// Table is what the leader of a failure domain publishes to the instances of its domain.
type Table struct {
	Domain string     `json:"domain"`
	Term   grant.Term `json:"term"`
	// Serial grows with each change within a term.
	Serial uint64  `json:"serial"`
	Owners []Owner `json:"owners"`
	Gates  []Gate  `json:"gates"`
	// BundleVersion is the bundle that the table was made for.
	BundleVersion uint64 `json:"bundle-version"`
}

// Owner is the ownership of one range of a divided service.
type Owner struct {
	Service string      `json:"service"`
	Range   keys.Range  `json:"range"`
	Server  string      `json:"server"`
	Epoch   grant.Epoch `json:"epoch"`
	// Offset is the log offset that acknowledges the ownership; zero while provisional.
	Offset uint64 `json:"offset"`
}

// Gate names the one entry instance through which all requests to a server pass, so that
// its slots and connections are counted in one place.
type Gate struct {
	Service  string `json:"service"`
	Server   string `json:"server"`
	Instance string `json:"instance"`
	// ChecksGrants says whether the server checks grants itself.
	ChecksGrants bool `json:"checks"`
}

// Newer reports whether t replaces o.
func (t *Table) Newer(o *Table) bool {
	if o == nil {
		return true
	}
	if c := t.Term.Compare(o.Term); c != 0 {
		return c > 0
	}
	return t.Serial > o.Serial
}
