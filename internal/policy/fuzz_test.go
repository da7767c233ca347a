package policy

import (
	"encoding/json"
	"testing"
)

// FuzzIdempotencyRecord decodes arbitrary text, as another instance may send it. A record that
// is decoded without error must not change when it is encoded and decoded again.
func FuzzIdempotencyRecord(f *testing.F) {
	f.Add([]byte(`{"service":"oddaja","name":"00112233445566778899aabbccddeeff","hash":7,` +
		`"sending":"ffeeddccbbaa99887766554433221100","print":"00000000000000ff","until-ms":1,"outcome":"ran","status":201}`))
	f.Add([]byte(`{"name":"zz"}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var r, decoded IdempotencyRecord
		if json.Unmarshal(text, &r) != nil {
			return
		}
		out, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, &decoded); err != nil || decoded != r {
			t.Fatalf("%s: %v", out, err)
		}
	})
}

// FuzzCrashRecords merges arbitrary records. The number of losses must stay within its limit,
// and any loss that remains must count.
func FuzzCrashRecords(f *testing.F) {
	f.Add([]byte(`[{"service":"pregled","print":"00000000000000ff","losses":[{"server":"a","at-ns":3}],"until-ms":9}]`))
	f.Add([]byte(`[{"service":"pregled","print":"0000000000000000","cleared-ns":-1}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var records []CrashRecord
		if json.Unmarshal(text, &records) != nil {
			return
		}
		tracker := NewCrashTracker("pregled")
		tracker.Merge(records)
		for _, r := range tracker.Records(0) {
			if len(r.Losses) > maxLosses {
				t.Fatalf("%d losses", len(r.Losses))
			}
			if tracker.SuspicionOf(r.Fingerprint, 1, 0) != Blocked && len(r.Losses) > 0 {
				t.Fatalf("%+v is not blocked", r)
			}
		}
	})
}
