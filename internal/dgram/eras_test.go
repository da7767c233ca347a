package dgram

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/pack"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// Guards against positions that lose their era on the way, in whichever eras they are.
func TestErasAreTransmitted(t *testing.T) {
	at := logpos.At
	records := []follow.Record{{Key: "a", Value: []byte("x"), Offset: at(3, 7)}, {Key: "b", Offset: at(3, 8)}}
	for name, m := range map[string]Message{
		"heartbeat, one era":  Heartbeat{roster.Heartbeat{Name: "i", Confirmed: at(3, 5), Known: at(3, 6), ConfigEnd: at(3, 1), ServersEnd: at(3, 2), LatestEra: 3, Failing: []string{"s"}}},
		"heartbeat, awaiting": Heartbeat{roster.Heartbeat{Name: "i", Confirmed: at(2, 95), Known: at(2, 97), ConfigEnd: at(3, 1), ServersEnd: at(3, 2), LatestEra: 3, Failing: []string{"s"}}},
		"heartbeat, no eras":  Heartbeat{roster.Heartbeat{Name: "i", Confirmed: 95, Known: 97, ConfigEnd: 1, ServersEnd: 2}},
		"change of owners":    OwnerChange{Service: "books", Offset: at(3, 9), Fence: logpos.FirstFence(3) + 4, Changes: []shard.Range{{Server: "s", Fence: logpos.FirstFence(3) + 4}}},
		"register":            RegisterUpdate{Records: records},
		"topic":               TopicUpdate{Topic: "config", PeerUpdate: follow.PeerUpdate{From: at(3, 7), Batch: follow.Batch{Records: records, End: at(3, 9)}}},
		"topic, no records":   TopicUpdate{Topic: "config", PeerUpdate: follow.PeerUpdate{From: at(3, 7), Batch: follow.Batch{Records: []follow.Record{}, End: at(3, 9)}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := Encode(m)
			is.NoErr(err)
			got, err := Decode(data)
			is.NoErr(err)
			is.Equal(got, m)
		})
	}
}

// Guards against an upgrade in turn in which instances that do not know eras compare positions with offsets: they get offsets,
// and what states the era has no effect on them.
func TestOffsetsForReleasesWithoutEras(t *testing.T) {
	is := is.New(t)
	transmitted := func(m Message) Message {
		var out bytes.Buffer
		is.NoErr(pack.Encode(&out, toWire(m)))
		got, err := decodeKind(append([]byte{m.kind()}, out.Bytes()...))
		is.NoErr(err)
		return got
	}
	h := transmitted(Heartbeat{roster.Heartbeat{Confirmed: logpos.At(3, 5), Known: logpos.At(3, 6), LatestEra: 3, Failing: []string{"s"}}}).(Heartbeat)
	is.Equal(h.Confirmed, logpos.Pos(5))
	is.Equal(h.Known, logpos.Pos(6))
	is.Equal(h.Failing[0], "s")
	r := transmitted(RegisterUpdate{Records: []follow.Record{{Key: "instance/i", Offset: logpos.At(3, 7)}}}).(RegisterUpdate)
	is.True(r.Records[0].Offset < 0) // below all offsets, so it is skipped
	is.Equal(r.Records[len(r.Records)-1].Offset, logpos.Pos(7))
	u := transmitted(TopicUpdate{PeerUpdate: follow.PeerUpdate{From: logpos.At(3, 7), Batch: follow.Batch{End: logpos.At(3, 9)}}}).(TopicUpdate)
	is.Equal(u.From, logpos.Pos(7))
	is.Equal(u.End, logpos.Pos(9))
}

// Guards against messages of other writers that state odd eras.
func TestMalformedErasCountAsNone(t *testing.T) {
	for _, tag := range []string{"@", "@x", "@-1", "@99999999999", "@1,2", "@1,2,3,4,x", "@1,2,3,4,5,6"} {
		is := is.New(t)
		h := roster.Heartbeat{Known: 6, Failing: []string{tag}}.FromWire()
		is.Equal(h.Known, logpos.Pos(6))
		is.Equal(h.LatestEra, logpos.Era(0))
		is.Equal(len(h.Failing), 0)
	}
}
