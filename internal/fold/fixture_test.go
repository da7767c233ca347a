package fold

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"testing"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// keyOf returns a private key that depends on the name only.
func keyOf(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func signer(name string, roles ...bundle.Role) bundle.Signer {
	return bundle.Signer{Name: name, PublicKey: keyOf(name).Public().(ed25519.PublicKey), Roles: roles}
}

// testSigners returns two publishers and two approvers, who also have the role to roll.
func testSigners() []bundle.Signer {
	return []bundle.Signer{
		signer("ana", bundle.RolePublish),
		signer("boris", bundle.RolePublish),
		signer("cene", bundle.RoleApprove, bundle.RoleRoll),
		signer("dora", bundle.RoleApprove, bundle.RoleRoll),
	}
}

// testBundle returns a bundle with one server. Bundles of the same version differ by mark.
func testBundle(version uint64, mark string) *bundle.Bundle {
	return &bundle.Bundle{
		Format:  bundle.FormatVersion,
		Version: version,
		Follows: version - 1,
		Signers: testSigners(),
		Domains: []bundle.Domain{{Name: "klet"}},
		Services: []bundle.Service{{
			Name:    "pregled",
			Divided: true,
			Servers: []bundle.Server{{Name: "pregled-1", Domain: "klet", Address: "10.0.0.1:80", Slots: 2}},
			HotKeys: []string{mark},
		}},
	}
}

// must returns v. It panics on an error, which these tests do not expect.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func publish(b *bundle.Bundle, name string) bundle.Signed {
	return must(bundle.Publish(b, name, keyOf(name)))
}

func approve(s bundle.Signed, name string) bundle.Statement {
	return must(bundle.Approve(s.Statement, name, keyOf(name)))
}

func roll(s bundle.Signed, inForce uint64, name string) bundle.Statement {
	return must(bundle.Roll(s.Statement, inForce, name, keyOf(name)))
}

// release returns the records that put a bundle in force.
func release(b *bundle.Bundle, inForce uint64) []record.Record {
	s := publish(b, "ana")
	return []record.Record{
		record.BundlePublished{Signed: s},
		record.BundleApproved{Approval: approve(s, "cene")},
		record.BundleRolled{Roll: roll(s, inForce, "dora")},
	}
}

// testLog is a log whose offsets start at zero.
type testLog struct {
	entries []record.Entry
}

func (l *testLog) add(id string, r record.Record) record.Entry {
	return l.addData(id, must(record.Encode(r)))
}

func (l *testLog) addData(id string, data []byte) record.Entry {
	e := record.Entry{Offset: uint64(len(l.entries)), ID: id, Data: data}
	l.entries = append(l.entries, e)
	return e
}

func (l *testLog) addAll(records ...record.Record) {
	for _, r := range records {
		l.add(fmt.Sprintf("id-%d", len(l.entries)), r)
	}
}

// applyTo applies the entries from s.Next on and returns their results.
func (l *testLog) applyTo(s *State) []Result {
	var results []Result
	for s.Next < uint64(len(l.entries)) {
		results = append(results, s.Apply(l.entries[s.Next]))
	}
	return results
}

// requireRejected fails the test unless the result is a rejection with the cause.
func requireRejected(t *testing.T, result Result, cause Cause) Rejected {
	t.Helper()
	r, ok := result.(Rejected)
	if !ok || r.Cause != cause {
		t.Fatalf("result %#v, want a rejection with cause %s", result, cause)
	}
	return r
}
