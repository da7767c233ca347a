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

// FuzzReader gives the reader entries with any data. It must pass over each with a verdict:
// one bad record may not stop all instances for good.
func FuzzReader(f *testing.F) {
	f.Add([]byte("no record"), []byte(`{"format":1,"kind":"term-claimed","body":{"domain":"klet","instance":"a"}}`))
	f.Add([]byte(`{"format":1,"kind":"checkpoint","body":{"state":"e30=","next":9}}`), []byte(`{"format":2,"kind":"checkpoint"}`))
	f.Add([]byte(`{"format":1,"kind":"checkpoint-marked","body":{"instance":"a"}}`), []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		r := newReader()
		batch := logcl.Batch{Next: 2, Identity: "i", Entries: []record.Entry{{ID: "a", Data: first}, {Offset: 1, ID: "b", Data: second}}}
		effects, _ := r.Handle(0, logcl.FetchResult{Fetch: r.Start(0), Batch: batch})
		if r.State().Next != 2 || count[logcl.EntryApplied](effects) != 2 {
			t.Fatalf("stopped at %d with %d verdicts", r.State().Next, count[logcl.EntryApplied](effects))
		}
	})
}

// FuzzAnswers gives the client any bytes in place of the answers of the log service. What does
// not state an offset acknowledges nothing, and what does not state its ends is no batch.
func FuzzAnswers(f *testing.F) {
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
			t.Fatal("acknowledged without an offset")
		}
		batch, err := client.Read(t.Context(), 0, 1)
		if err == nil && len(members) < 2 {
			t.Fatal("a batch without its ends")
		}
		for i, e := range batch.Entries {
			if e.Offset < batch.Oldest || e.Offset >= batch.Next || e.Offset != batch.Entries[0].Offset+uint64(i) {
				t.Fatal("an entry out of place")
			}
		}
	})
}
