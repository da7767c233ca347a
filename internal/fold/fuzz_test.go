package fold

import (
	"bytes"
	"testing"

	"example.org/mustardring/internal/record"
)

// FuzzRestore checks that a checkpoint that can be restored is encoded the same way each time,
// and that the restored state can apply further records.
func FuzzRestore(f *testing.F) {
	log := newHistory()
	s := New(testSigners())
	log.applyTo(s)
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
			t.Fatalf("encodings of one state differ: %s and %s", first, second)
		}
		s.Apply(record.Entry{Offset: s.Next, Data: must(record.Encode(claimOf(s.Terms["klet"].Log, "one")))})
	})
}

// FuzzApply checks that a reader continues after an entry with any data: Next advances and
// the version in force does not decrease.
func FuzzApply(f *testing.F) {
	log := newHistory()
	for _, e := range log.entries {
		f.Add(e.Data)
	}
	f.Add([]byte(`{"format":1,"kind":"assignment-made","body":{"domain":"klet","service":"x","assignments":[{}]}}`))
	f.Add([]byte(`{"format":1,"kind":"bundle-proven","body":{"proof":{"chain":[{}]}}}`))
	f.Add([]byte(`{"format":1,"kind":"homes-taken","body":{"domain":"klet","services":[{"service":"x","ranges":["0000000000000000-0000000000000000","0000000000000000-ffffffffffffffff"]}]}}`))
	base := New(testSigners())
	log.applyTo(base)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := base.clone()
		before := s.versionInForce()
		s.Apply(record.Entry{Offset: s.Next, ID: "fuzz", Data: data})
		if s.Next != uint64(len(log.entries))+1 {
			t.Fatalf("Next is %d", s.Next)
		}
		if s.versionInForce() < before {
			t.Fatalf("version %d after %d", s.versionInForce(), before)
		}
	})
}
