package gram

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// A third of 604 servers fell silent. The record that gave their keys to others had 900 changes, 70 KB, more than
// a datagram holds: nobody was told, and instances that the store refused did not know of it for six seconds, for
// which all moves waited.
func TestLargeRecordFitsIntoADatagram(t *testing.T) {
	is := is.New(t)
	m := Owners{Service: "pages", Offset: 300, Fence: 5000}
	for i := range 2416 {
		m.Changes = append(m.Changes, shard.Range{
			From: uint16(27 * i), To: uint16(27*i + 26), Server: fmt.Sprintf("i-%010x", (i%604)*7919*104729), Fence: uint64(4000 + i),
			FormerOwners: []shard.Owner{{Server: fmt.Sprintf("i-%010x", (i%211)*15485863), Address: fmt.Sprintf("10.%d.64.%d:8667", i%6, i%211)}},
		})
	}
	data, err := Encode(m)
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) < largest-1024) // it also goes inside a message that is passed on
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, m)
	relayed, err := Encode(Relay{Data: data})
	is.NoErr(err)
	is.True(len(relayed) < largest)
}

// Bytes that come from anyone must not take memory without bound, nor hold one another without end.
func TestInflateIsBounded(t *testing.T) {
	is := is.New(t)
	pack := func(data []byte) []byte {
		var out bytes.Buffer
		out.WriteByte(kindDeflated)
		w, _ := flate.NewWriter(&out, flate.BestCompression)
		_, _ = w.Write(data)
		_ = w.Close()
		return out.Bytes()
	}
	for name, data := range map[string][]byte{
		"too much": pack(make([]byte, 64<<20)), "itself": pack(pack([]byte{1})), "nothing": pack(nil), "cut": {kindDeflated, 1}, "no more": {kindDeflated},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(data)
			is := is.New(t)
			is.True(err != nil)
		})
	}
	_, err := Decode(pack([]byte{Check{}.kind(), 0x91, 5}))
	is.NoErr(err)
}
