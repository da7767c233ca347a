package gram

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := Heartbeat{Heartbeat: roster.Heartbeat{Name: "i1", Incarnation: 7, Known: 12, Failing: []string{"s1~a"}}}
	data, err := Encode(sent)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, sent)
}

// Whatever arrives on the port, it is a message or an error.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Heartbeat{Heartbeat: roster.Heartbeat{Name: "i1", Failing: []string{"s1"}}}, Ask{}, Verdict{}, Done{}, Withdraw{}, Loads{Name: "i1", Keys: []uint16{1}},
		Crash{}, Owners{Service: "s", Changes: []shard.Range{{From: 1, To: 9, Server: "a", FormerOwners: []shard.Owner{{Server: "b"}}}}},
		Settled{}, News{}, Check{}, Behind{}, Known{Maps: map[string][]byte{"s": {1}}},
	} {
		if data, err := Encode(m); err == nil {
			f.Add(data)
		}
	}
	f.Add([]byte{1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err == nil && m == nil {
			t.Errorf("%q is neither message nor error", data)
		}
	})
}
