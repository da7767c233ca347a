package bundle_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"example.org/mustardring/pkg/bundle"
)

// FuzzParse checks that the canonical form of a parsed bundle can be parsed and does not change
// then, and that the homes of a valid bundle cover the hash space.
func FuzzParse(f *testing.F) {
	for _, b := range []*bundle.Bundle{sample(1), largeBundle(2, 20), {}} {
		data, err := b.Canonical()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`{"format":1} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundle.Parse(data)
		if err != nil {
			if !errors.Is(err, bundle.ErrParse) && !errors.Is(err, bundle.ErrNewerFormat) {
				t.Fatal(err)
			}
			return
		}
		form, err := b.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		again, err := bundle.Parse(form)
		if err != nil {
			t.Fatalf("%v: %s", err, form)
		}
		second, err := again.Canonical()
		if err != nil || !bytes.Equal(form, second) {
			t.Fatalf("two canonical forms: %s and %s", form, second)
		}
		if b.Validate() == nil {
			checkHomes(t, b)
		}
	})
}

// checkHomes checks that the homes of each service cover the hash space exactly once.
func checkHomes(t *testing.T, b *bundle.Bundle) {
	for i := range b.Services {
		next := uint64(0)
		parts := b.HomeRanges(b.Services[i].Name)
		for _, p := range parts {
			if p.Range.First != next {
				t.Fatalf("part %v, want first %016x", p, next)
			}
			next = p.Range.Last + 1
		}
		if next != 0 {
			t.Fatalf("hash space is covered up to %016x only", next)
		}
	}
}

// FuzzStatement checks that different statements have different signed texts, and that a statement
// without a signature does not verify.
func FuzzStatement(f *testing.F) {
	signed, err := bundle.Publish(sample(1), "ana", keyOf("ana"))
	if err != nil {
		f.Fatal(err)
	}
	one, err := json.Marshal(signed.Statement)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(one, one)
	f.Add([]byte(`{"role":"roll\nversion 3","version":1}`), []byte(`{"role":"roll","version":3}`))
	f.Add([]byte(`{"signer":"a\"\nrole \"roll"}`), []byte(`{"signer":"a"}`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		var s, o bundle.Statement
		if json.Unmarshal(a, &s) != nil || json.Unmarshal(b, &o) != nil {
			return
		}
		s.Signature, o.Signature = nil, nil
		same := reflect.DeepEqual(withNonNilHashes(s), withNonNilHashes(o))
		if bytes.Equal(s.Text(), o.Text()) != same {
			t.Fatalf("%#v and %#v have the texts %q and %q", s, o, s.Text(), o.Text())
		}
		if _, err := s.Verify(sampleSigners()); err == nil {
			t.Fatal("a statement without a signature was verified")
		}
	})
}

// withNonNilHashes replaces nil hashes by empty ones, which have the same text.
func withNonNilHashes(s bundle.Statement) bundle.Statement {
	s.Hash = append([]byte{}, s.Hash...)
	s.Signers = append([]byte{}, s.Signers...)
	return s
}

// FuzzUpdate checks that whatever update can be applied results in the signed bundle.
func FuzzUpdate(f *testing.F) {
	one := openHeld(f, prove(f, sample(1), bundle.Proof{}))
	two := openHeld(f, prove(f, sample(2), one.Proof))
	u, err := bundle.NewUpdate(one, two)
	if err != nil {
		f.Fatal(err)
	}
	data, err := json.Marshal(u)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"replaces":1,"delta":{"frame":[{"count":-1}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var u bundle.Update
		if json.Unmarshal(data, &u) != nil {
			return
		}
		got, err := u.Apply(one, sampleSigners())
		if err == nil && !bytes.Equal(got.Proof.Signed.Canonical, two.Proof.Signed.Canonical) {
			t.Fatalf("%s results in %s", data, got.Proof.Signed.Canonical)
		}
	})
}
