package dgram

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// Guards against owner changes that are too large for a datagram. When a third of 604 servers failed, the record that
// reassigned their keys had 900 changes in 70 KB and was not broadcast. Instances that could not read the store missed
// it for six seconds, and all moves waited for them.
func TestLargeRecordFitsIntoDatagram(t *testing.T) {
	is := is.New(t)
	m := OwnerChange{Service: "pages", Offset: 300, Fence: 5000}
	for i := range 2416 {
		m.Changes = append(m.Changes, shard.Range{
			From: uint16(27 * i), To: uint16(27*i + 26), Server: fmt.Sprintf("i-%010x", (i%604)*7919*104729), Fence: uint64(4000 + i),
			FormerOwners: []shard.Owner{{Server: fmt.Sprintf("i-%010x", (i%211)*15485863), Address: fmt.Sprintf("10.%d.64.%d:8667", i%6, i%211)}},
		})
	}
	data, err := Encode(m)
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) < maxDatagram-1024) // it must also fit into a Relay
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, m)
	relayed, err := Encode(Relay{Data: data})
	is.NoErr(err)
	is.True(len(relayed) < maxDatagram)
}

// Guards against datagrams of unknown senders that use unbounded memory, or nest compression endlessly.
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
		"too large": pack(make([]byte, 64<<20)), "nested": pack(pack([]byte{1})), "empty": pack(nil), "truncated": {kindDeflated, 1}, "no body": {kindDeflated},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(data)
			is := is.New(t)
			is.True(err != nil)
		})
	}
	_, err := Decode(pack([]byte{AdmissionCheck{}.kind(), 0x91, 5}))
	is.NoErr(err)
}
