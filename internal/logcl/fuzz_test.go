package logcl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/stand"
)

// FuzzReader passes entries with arbitrary data to the Reader, which must apply each one with
// some result. Otherwise one bad record would block all instances forever.
func FuzzReader(f *testing.F) {
	f.Add([]byte("no record"), []byte(`{"format":1,"kind":"term-claimed","body":{"domain":"klet","instance":"a"}}`))
	f.Add([]byte(`{"format":1,"kind":"checkpoint","body":{"state":"e30=","next":9}}`), []byte(`{"format":2,"kind":"checkpoint"}`))
	f.Add([]byte(`{"format":1,"kind":"checkpoint-marked","body":{"instance":"a"}}`), []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		r := newReader()
		batch := logcl.Batch{Next: 2, Identity: "i", Entries: []record.Entry{{ID: "a", Data: first}, {Offset: 1, ID: "b", Data: second}}}
		effects, _ := r.Handle(0, logcl.FetchResult{Fetch: r.Start(0), Batch: batch})
		if r.State().Next != 2 || count[logcl.EntryApplied](effects) != 2 {
			t.Fatalf("reader stopped at offset %d after applying %d entries", r.State().Next, count[logcl.EntryApplied](effects))
		}
	})
}

// FuzzResponses passes arbitrary bytes to the Client as responses of the log service. A response
// without an offset must not acknowledge an append, and one without the oldest and the next
// offset must not be accepted as a batch.
func FuzzResponses(f *testing.F) {
	f.Add([]byte(`{"offset":7,"identity":"x"}`))
	f.Add([]byte(`{"offset":-1}`))
	f.Add([]byte(`{"entries":[{"offset":1,"id":"a","data":"AA=="}],"oldest":0,"next":2}`))
	f.Add([]byte(`{"entries":[{"offset":1},{"offset":1}],"oldest":0,"next":2}`))
	f.Add([]byte(`{"entries":[{"offset":5}],"oldest":0,"next":2}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, answer []byte) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
		client := logcl.New("http://log", &http.Client{Transport: stand.HandlerTransport{Handler: handler}})
		var members map[string]any
		_ = json.NewDecoder(bytes.NewReader(answer)).Decode(&members)
		if _, err := client.Append(t.Context(), "id", nil); err == nil && len(members) == 0 {
			t.Fatal("append acknowledged by a response without an offset")
		}
		batch, err := client.Read(t.Context(), 0, 1)
		if err == nil && len(members) < 2 {
			t.Fatal("batch accepted without the oldest and the next offset")
		}
		for i, e := range batch.Entries {
			if e.Offset < batch.Oldest || e.Offset >= batch.Next || e.Offset != batch.Entries[0].Offset+uint64(i) {
				t.Fatal("batch accepted with offsets out of order or out of range")
			}
		}
	})
}
