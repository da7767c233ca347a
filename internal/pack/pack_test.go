package pack

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

type part struct {
	Name  string
	Count int64
	Share float64
}

type whole struct {
	Parts []part
	Bytes []byte
	Known map[string][]byte
	Off   bool
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := whole{
		Parts: []part{{"a", -300, 0.5}, {"b", 1 << 40, 0}}, Bytes: bytes.Repeat([]byte{1}, 300),
		Known: map[string][]byte{"x": {7}}, Off: true,
	}
	for range 40 {
		sent.Parts = append(sent.Parts, part{Name: string(bytes.Repeat([]byte("n"), 70)), Count: 1 << 17})
	}
	var out bytes.Buffer
	is.NoErr(Encode(&out, sent))
	got, err := Decode[whole](out.Bytes())
	is.NoErr(err)
	is.Equal(got, sent)
}

// A datagram of seventeen bytes stated that it holds 1.5 billion changes of owners. The instance
// took memory for them before it looked at the first, and was ended.
func TestStatedLengthIsChecked(t *testing.T) {
	tests := map[string][]byte{
		"list":          {0x91, 0xdd, 0x58, 0xa5, 0xf0, 0x6a, 0xf6},
		"map":           {0x94, 0xc0, 0xc0, 0xdf, 0x7f, 0xff, 0xff, 0xff},
		"text":          {0x91, 0xdb, 0x7f, 0xff, 0xff, 0xff, 'a'},
		"bytes":         {0x92, 0xc0, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"cut length":    {0xdd, 0x00},
		"nested":        bytes.Repeat([]byte{0x91}, 5000),
		"unused byte":   {0xc1},
		"nothing":       {},
		"cut extension": {0xc9, 0xff, 0xff, 0xff, 0xff, 1},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode[whole](data)
			is.True(errors.Is(err, ErrMalformed))
		})
	}
}

// Whatever the bytes are, they are a value or an error.
func FuzzDecode(f *testing.F) {
	var out bytes.Buffer
	_ = Encode(&out, whole{Parts: []part{{Name: "a"}}, Known: map[string][]byte{"x": {1}}})
	f.Add(out.Bytes())
	f.Add([]byte{0xc7, 3, 1, 2, 3, 4})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode[whole](data) })
}
