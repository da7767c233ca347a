package pack

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

type item struct {
	Name  string
	Count int64
	Share float64
}

type message struct {
	Items []item
	Bytes []byte
	Known map[string][]byte
	Off   bool
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := message{
		Items: []item{{"a", -300, 0.5}, {"b", 1 << 40, 0}}, Bytes: bytes.Repeat([]byte{1}, 300),
		Known: map[string][]byte{"x": {7}}, Off: true,
	}
	for range 40 {
		sent.Items = append(sent.Items, item{Name: string(bytes.Repeat([]byte("n"), 70)), Count: 1 << 17})
	}
	var out bytes.Buffer
	is.NoErr(Encode(&out, sent))
	got, err := Decode[message](out.Bytes())
	is.NoErr(err)
	is.Equal(got, sent)
}

// Guards against allocating memory for elements that are stated but not present: a datagram of 17 bytes
// that states 1.5 billion ownership changes would end the process with "out of memory".
func TestDecodeChecksStatedLengths(t *testing.T) {
	tests := map[string][]byte{
		"array":          {0x91, 0xdd, 0x58, 0xa5, 0xf0, 0x6a, 0xf6},
		"map":            {0x94, 0xc0, 0xc0, 0xdf, 0x7f, 0xff, 0xff, 0xff},
		"string":         {0x91, 0xdb, 0x7f, 0xff, 0xff, 0xff, 'a'},
		"binary":         {0x92, 0xc0, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"cut length":     {0xdd, 0x00},
		"nested":         bytes.Repeat([]byte{0x91}, 5000),
		"undefined byte": {0xc1},
		"empty":          {},
		"cut extension":  {0xc9, 0xff, 0xff, 0xff, 0xff, 1},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode[message](data)
			is.True(errors.Is(err, ErrMalformed))
		})
	}
}

// Decode returns a value or an error for any input, and never panics.
func FuzzDecode(f *testing.F) {
	var out bytes.Buffer
	_ = Encode(&out, message{Items: []item{{Name: "a"}}, Known: map[string][]byte{"x": {1}}})
	f.Add(out.Bytes())
	f.Add([]byte{0xc7, 3, 1, 2, 3, 4})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode[message](data) })
}
