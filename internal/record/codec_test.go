package record

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// oneOfEachKind returns one record of each kind.
func oneOfEachKind() []Record {
	st := bundle.Statement{Role: bundle.RoleRoll, Version: 2, Follows: 1, Hash: []byte{1}, Signers: []byte{2}, Signer: "ana", Signature: []byte{3}}
	signed := bundle.Signed{Canonical: []byte("{}"), Statement: st}
	return []Record{
		BundlePublished{Signed: signed, Delta: &bundle.Delta{BaseHash: []byte{4}}},
		BundleApproved{Approval: st},
		BundleRolled{Roll: st},
		BundleProven{Proof: bundle.Proof{Signed: signed, Approval: st, Roll: st}},
		TermClaimed{Domain: "klet", Follows: 1, Instance: "one", Incarnation: 7, Floor: 3},
		AssignmentMade{Domain: "klet", Service: "pregled", Provisional: true, Assignments: []Assignment{{
			Server: "a", Epoch: grant.Epoch{Term: grant.Term{Log: 1}, Sequence: 2}, Ranges: []keys.Range{keys.Full},
		}}},
		HomesTaken{Domain: "klet", Version: 1, Log: 2, Base: 3, Services: []ServiceHomes{
			{Service: "pregled", Ranges: []keys.Range{keys.Full}},
		}},
		HomesEvicted{Domain: "klet", Service: "pregled", By: "podstresje", Base: 4, Notice: 5},
		CheckpointMarked{Instance: "one"},
		Checkpoint{State: []byte("x"), Next: 9},
	}
}

func TestEncodeAndDecode(t *testing.T) {
	for _, r := range oneOfEachKind() {
		t.Run(reflect.TypeOf(r).Name(), func(t *testing.T) {
			is := is.New(t)
			data, err := Encode(r)
			is.NoErr(err)
			got, err := Decode(data)
			is.NoErr(err)
			is.Equal(got, r)
		})
	}
}

func TestDecodeErrors(t *testing.T) {
	tests := map[string]struct {
		data string
		want error
	}{
		"newer format":  {data: `{"format":2,"kind":"term-claimed","body":{}}`, want: ErrNewerFormat},
		"newer kind":    {data: `{"format":2,"kind":"server-lent","body":{}}`, want: ErrNewerFormat},
		"unknown kind":  {data: `{"format":1,"kind":"server-lent","body":{}}`, want: ErrUnknownKind},
		"no format":     {data: `{"kind":"term-claimed","body":{}}`, want: ErrMalformed},
		"unknown field": {data: `{"format":1,"kind":"term-claimed","body":{"colour":"red"}}`, want: ErrMalformed},
		"no body":       {data: `{"format":1,"kind":"term-claimed"}`, want: ErrMalformed},
		"wrong type":    {data: `{"format":1,"kind":"term-claimed","body":{"follows":-1}}`, want: ErrMalformed},
		"not JSON":      {data: `term`, want: ErrMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(tt.data))
			is.True(errors.Is(err, tt.want))
		})
	}
}

// FuzzDecode checks that a decoded record survives encoding, decoding and encoding again
// with the same bytes.
func FuzzDecode(f *testing.F) {
	for _, r := range oneOfEachKind() {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"format":1,"kind":"checkpoint","body":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		first, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatalf("%v when decoding %s", err, first)
		}
		second, err := Encode(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encodings of one record differ: %s and %s", first, second)
		}
	})
}
