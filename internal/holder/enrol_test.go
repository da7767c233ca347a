package holder

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// follower returns the knowledge of an instance that has read the store up to an offset.
func follower(end int64) *knowledge {
	k := newKnowledge()
	k.fold(follow.Update{StartedAt: clock.Instant(time.Second), CurrentAsOf: clock.Instant(time.Second), Batch: follow.Batch{End: end}, Snapshot: true})
	return k
}

// register returns records of the register from an offset on: a name and an incarnation, or only a name if the
// record was deleted.
func register(offset int64, records ...string) []follow.Record {
	var out []follow.Record
	for i, record := range records {
		name, incarnation, there := strings.Cut(record, " ")
		r := follow.Record{Key: InstanceKey(name), Offset: offset + int64(i)}
		if there {
			r.Value = fmt.Appendf(nil, `{"incarnation":%s}`, incarnation)
		}
		out = append(out, r)
	}
	return out
}

// newTestHolder returns a holder that tells of the register.
func newTestHolder(tell func([]follow.Record)) *Manager {
	return New(Deps{Events: event.New(io.Discard, log.ErrorLevel), BroadcastRegister: tell})
}

// In a roll 295 instances stopped and started. None was told of their records, so that each of 294 others read
// the store for the next record of owners, which did not follow what it knew: 86,000 reads.
func TestRegisterIsTold(t *testing.T) {
	is := is.New(t)
	k := follower(5)
	follows, err := k.enroll(register(5, "i1 7", "i2 8", "i1"))
	is.NoErr(err)
	is.True(follows)
	is.Equal(k.get().End, int64(8))
	is.Equal(len(k.get().Instances), 1)
	is.True(k.extend("books", 8, 1, []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 1}}))
	is.True(!k.get().registered("i1", 7))
	is.True(k.get().registered("i2", 8))
}

func TestRegisterMustFollow(t *testing.T) {
	tests := map[string]struct {
		offset int64
		taken  bool
		end    int64
	}{
		"follows":                     {5, true, 8},
		"overlaps what is known":      {3, true, 6},
		"a record before is missing":  {6, false, 5},
		"says nothing that is new":    {1, true, 5},
		"ends where knowledge begins": {2, true, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := follower(5)
			follows, err := k.enroll(register(test.offset, "i1 1", "i2 1", "i3 1"))
			is.NoErr(err)
			is.Equal(follows, test.taken)
			is.Equal(k.get().End, test.end)
			is.Equal(len(k.get().Instances), int(test.end-5))
		})
	}
	is := is.New(t)
	follows, err := newKnowledge().enroll(register(0, "i1 1"))
	is.NoErr(err)
	is.True(!follows) // who has read nothing cannot know that nothing is missing
}

// The leader tells of what it reads, up to a record of owners that another instance wrote: who takes that for
// told would act by owners of before.
func TestLeaderTellsRegister(t *testing.T) {
	entry, err := roster.Entry{Incarnation: 3}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	record := func(offset int64, key string, value []byte) follow.Record {
		return follow.Record{Offset: offset, Key: key, Value: value}
	}
	tests := map[string]struct {
		records []follow.Record
		whole   bool
		want    string
	}{
		"instances":             {[]follow.Record{record(4, "instance/a", entry), record(5, "instance/b", nil)}, false, "4:[a b]"},
		"what is known already": {[]follow.Record{record(2, "instance/a", entry), record(3, "instance/b", entry)}, false, "3:[b]"},
		"owners of another":     {[]follow.Record{record(3, "instance/a", entry), record(4, "service/x", nil), record(5, "instance/b", entry)}, false, "3:[a]"},
		"malformed":             {[]follow.Record{record(3, "instance/a", []byte("{")), record(4, "instance/b", entry)}, false, ""},
		"the newest of each":    {[]follow.Record{record(3, "instance/a", entry)}, true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			h := newTestHolder(func(records []follow.Record) {
				names := []string{}
				for _, r := range records {
					names = append(names, strings.TrimPrefix(r.Key, keyInstance))
				}
				got = fmt.Sprintf("%d:%v", records[0].Offset, names)
			})
			h.tellRegister(3, follow.Update{Batch: follow.Batch{Records: test.records}, Snapshot: test.whole})
			is.Equal(got, test.want)
		})
	}
}

// A message that holds anything but the register must change nothing: owners that come this way would be acted on
// without the record before them.
func TestOnlyTheRegisterIsEnrolled(t *testing.T) {
	for name, record := range map[string]follow.Record{
		"owners":    {Key: keyService + "books", Offset: 6},
		"malformed": {Key: InstanceKey("i2"), Value: []byte("{"), Offset: 6},
		"no key":    {Offset: 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := follower(5)
			_, err := k.enroll(append(register(5, "i1 1"), record))
			is.True(err != nil)
			is.Equal(k.get().End, int64(5))
			is.Equal(len(k.get().Instances), 0)
		})
	}
}

// Guards against two owners of a key: the answer to a read was cut short, and passed for all that there was.
func TestAnswerCutShortProvesNothing(t *testing.T) {
	is := is.New(t)
	const before, later = clock.Instant(time.Second), clock.Instant(5 * time.Second)
	k := follower(5)
	k.fold(follow.Update{StartedAt: later, Batch: follow.Batch{Records: register(5, "i1 7"), End: 6}})
	is.Equal(k.get().End, int64(6))
	is.True(k.provenSince(before))
	is.True(!k.provenSince(later))
}
