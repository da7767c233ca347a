package fold

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"testing"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

func keyOf(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func signer(name string, roles ...bundle.Role) bundle.Signer {
	return bundle.Signer{Name: name, PublicKey: keyOf(name).Public().(ed25519.PublicKey), Roles: roles}
}

// crew has two publishers and two approvers, who also roll.
func crew() []bundle.Signer {
	return []bundle.Signer{
		signer("ana", bundle.RolePublish),
		signer("boris", bundle.RolePublish),
		signer("cene", bundle.RoleApprove, bundle.RoleRoll),
		signer("dora", bundle.RoleApprove, bundle.RoleRoll),
	}
}

// sample returns a bundle with one server; the mark tells bundles of one version apart.
func sample(version uint64, mark string) *bundle.Bundle {
	return &bundle.Bundle{
		Format:  bundle.FormatVersion,
		Version: version,
		Follows: version - 1,
		Signers: crew(),
		Domains: []bundle.Domain{{Name: "klet"}},
		Services: []bundle.Service{{
			Name:    "pregled",
			Divided: true,
			Servers: []bundle.Server{{Name: "pregled-1", Domain: "klet", Address: "10.0.0.1:80", Slots: 2}},
			HotKeys: []string{mark},
		}},
	}
}

// must returns v. It panics on an error, which in these tests is a fault of the test.
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

// journal is a list of entries with offsets from zero.
type journal struct {
	entries []record.Entry
}

func (j *journal) add(id string, r record.Record) record.Entry {
	return j.addData(id, must(record.Encode(r)))
}

func (j *journal) addData(id string, data []byte) record.Entry {
	e := record.Entry{Offset: uint64(len(j.entries)), ID: id, Data: data}
	j.entries = append(j.entries, e)
	return e
}

func (j *journal) addAll(records ...record.Record) {
	for _, r := range records {
		j.add(fmt.Sprintf("id-%d", len(j.entries)), r)
	}
}

// fold applies the entries from the state's Next on.
func (j *journal) fold(s *State) []Result {
	var verdicts []Result
	for s.Next < uint64(len(j.entries)) {
		verdicts = append(verdicts, s.Apply(j.entries[s.Next]))
	}
	return verdicts
}

// refusal fails the test unless the verdict is a refusal with the cause.
func refusal(t *testing.T, v Result, cause Cause) Rejected {
	t.Helper()
	r, ok := v.(Rejected)
	if !ok || r.Cause != cause {
		t.Fatalf("verdict %#v, want a refusal for %s", v, cause)
	}
	return r
}
