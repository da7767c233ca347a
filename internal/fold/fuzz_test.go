package fold

import (
	"bytes"
	"testing"

	"example.org/mustardring/internal/record"
)

// FuzzRestore checks that a checkpoint that restores has one form, and that a state made from
// it can go on.
func FuzzRestore(f *testing.F) {
	j := newHistory()
	s := New(testSigners())
	j.applyTo(s)
	f.Add(must(s.Encode()))
	f.Add(must(New(testSigners()).Encode()))
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`{"format":1,"candidates":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data, testSigners())
		if err != nil {
			return
		}
		first := must(s.Encode())
		if second := must(must(Restore(first, testSigners())).Encode()); !bytes.Equal(first, second) {
			t.Fatalf("two forms: %s and %s", first, second)
		}
		s.Apply(record.Entry{Offset: s.Next, Data: must(record.Encode(claimOf(s.Terms["klet"].Log, "one")))})
	})
}

// FuzzApply checks that no bytes in the log stop a reader.
func FuzzApply(f *testing.F) {
	j := newHistory()
	for _, e := range j.entries {
		f.Add(e.Data)
	}
	f.Add([]byte(`{"format":1,"kind":"assignment-made","body":{"domain":"klet","service":"x","assignments":[{}]}}`))
	f.Add([]byte(`{"format":1,"kind":"bundle-proven","body":{"proof":{"chain":[{}]}}}`))
	f.Add([]byte(`{"format":1,"kind":"homes-taken","body":{"domain":"klet","services":[{"service":"x","ranges":["0000000000000000-0000000000000000","0000000000000000-ffffffffffffffff"]}]}}`))
	base := New(testSigners())
	j.applyTo(base)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := base.clone()
		before := s.versionInForce()
		s.Apply(record.Entry{Offset: s.Next, ID: "fuzz", Data: data})
		if s.Next != uint64(len(j.entries))+1 {
			t.Fatalf("next is %d", s.Next)
		}
		if s.versionInForce() < before {
			t.Fatalf("version %d after %d", s.versionInForce(), before)
		}
	})
}
