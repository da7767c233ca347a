package policy

import (
	"encoding/json"
	"testing"
)

// FuzzMark gives what other instances send any text: a mark that is read is written the same.
func FuzzMark(f *testing.F) {
	f.Add([]byte(`{"service":"oddaja","name":"00112233445566778899aabbccddeeff","hash":7,` +
		`"sending":"ffeeddccbbaa99887766554433221100","print":"00000000000000ff","until-ms":1,"outcome":"ran","status":201}`))
	f.Add([]byte(`{"name":"zz"}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var m, again IdempotencyRecord
		if json.Unmarshal(text, &m) != nil {
			return
		}
		out, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, &again); err != nil || again != m {
			t.Fatalf("%s: %v", out, err)
		}
	})
}

// FuzzBlocks merges any blocks. What is known stays within its bounds.
func FuzzBlocks(f *testing.F) {
	f.Add([]byte(`[{"service":"pregled","print":"00000000000000ff","losses":[{"server":"a","at-ns":3}],"until-ms":9}]`))
	f.Add([]byte(`[{"service":"pregled","print":"0000000000000000","cleared-ns":-1}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var blocks []CrashRecord
		if json.Unmarshal(text, &blocks) != nil {
			return
		}
		s := NewSuspects("pregled")
		s.Merge(blocks)
		for _, b := range s.Blocks(0) {
			if len(b.Losses) > maxLosses {
				t.Fatalf("%d losses", len(b.Losses))
			}
			if s.Degree(b.Fingerprint, 1, 0) != Blocked && len(b.Losses) > 0 {
				t.Fatalf("%+v is not blocked", b)
			}
		}
	})
}
