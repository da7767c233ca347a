package roster

import "testing"

// Decode returns an error or an entry that stays the same when it is encoded and decoded again, for any input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"address":"10.0.0.1:7","domain":"d","incarnation":7,"share":0.3}`))
	f.Add([]byte(`{"share":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if d, err := Decode(again); err != nil || d != e {
			t.Errorf("%q: %+v became %+v: %v", data, e, d, err)
		}
	})
}
