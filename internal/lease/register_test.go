package lease

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// newTestView returns the view of an instance that has read the store up to an offset.
func newTestView(end logpos.Pos) *localView {
	v := newLocalView()
	v.applyUpdate(follow.Update{StartedAt: clock.Instant(time.Second), CurrentAsOf: clock.Instant(time.Second), Batch: follow.Batch{End: end}, Snapshot: true})
	return v
}

// registerRecords returns records of the register with consecutive offsets. Each is given by a name and an
// incarnation, or only by a name if the record was deleted.
func registerRecords(offset logpos.Pos, records ...string) []follow.Record {
	var out []follow.Record
	for i, record := range records {
		name, incarnation, found := strings.Cut(record, " ")
		r := follow.Record{Key: InstanceKey(name), Offset: offset + logpos.Pos(i)}
		if found {
			r.Value = fmt.Appendf(nil, `{"incarnation":%s}`, incarnation)
		}
		out = append(out, r)
	}
	return out
}

// newTestManager returns a Manager that broadcasts records of the register by the given function.
func newTestManager(broadcast func([]follow.Record)) *Manager {
	return New(Deps{Events: event.New(io.Discard, log.ErrorLevel), BroadcastRegister: broadcast})
}

// Guards against reads of the store by all instances after each registration. When 295 instances were restarted
// in a rolling upgrade and their records were not broadcast, the next record of owners did not follow the view
// of the 294 others, and each read the store: 86,000 reads.
func TestRegisterUpdateIsApplied(t *testing.T) {
	is := is.New(t)
	v := newTestView(5)
	follows, err := v.applyRegister(registerRecords(5, "i1 7", "i2 8", "i1"))
	is.NoErr(err)
	is.True(follows)
	is.Equal(v.get().End, logpos.Pos(8))
	is.Equal(len(v.get().Instances), 1)
	is.True(v.applyOwnerChange(OwnerChange{Service: "books", Offset: 8, Fence: 1, Changes: []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 1}}}))
	is.True(!v.get().registered("i1", 7))
	is.True(v.get().registered("i2", 8))
}

func TestRegisterUpdateMustBeContiguous(t *testing.T) {
	tests := map[string]struct {
		offset logpos.Pos
		taken  bool
		end    logpos.Pos
	}{
		"follows":                     {5, true, 8},
		"overlaps the view":           {3, true, 6},
		"leaves a gap":                {6, false, 5},
		"already known":               {1, true, 5},
		"ends at the end of the view": {2, true, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newTestView(5)
			follows, err := v.applyRegister(registerRecords(test.offset, "i1 1", "i2 1", "i3 1"))
			is.NoErr(err)
			is.Equal(follows, test.taken)
			is.Equal(v.get().End, test.end)
			is.Equal(len(v.get().Instances), int(test.end-5))
		})
	}
	is := is.New(t)
	follows, err := newLocalView().applyRegister(registerRecords(0, "i1 1"))
	is.NoErr(err)
	is.True(!follows) // without a read nothing shows that no record is missing
}

// The leader broadcasts the register records that it reads, up to a record of owners that another instance wrote.
// An instance that took that record for broadcast as well would act on outdated owners.
func TestLeaderBroadcastsRegister(t *testing.T) {
	entry, err := roster.Entry{Incarnation: 3}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	record := func(offset logpos.Pos, key string, value []byte) follow.Record {
		return follow.Record{Offset: offset, Key: key, Value: value}
	}
	tests := map[string]struct {
		records []follow.Record
		whole   bool
		want    string
	}{
		"instances":        {[]follow.Record{record(4, "instance/a", entry), record(5, "instance/b", nil)}, false, "4:[a b]"},
		"already known":    {[]follow.Record{record(2, "instance/a", entry), record(3, "instance/b", entry)}, false, "3:[b]"},
		"record of owners": {[]follow.Record{record(3, "instance/a", entry), record(4, "service/x", nil), record(5, "instance/b", entry)}, false, "3:[a]"},
		"malformed":        {[]follow.Record{record(3, "instance/a", []byte("{")), record(4, "instance/b", entry)}, false, ""},
		"snapshot":         {[]follow.Record{record(3, "instance/a", entry)}, true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			lm := newTestManager(func(records []follow.Record) {
				names := []string{}
				for _, r := range records {
					names = append(names, strings.TrimPrefix(r.Key, keyInstance))
				}
				got = fmt.Sprintf("%d:%v", records[0].Offset, names)
			})
			lm.broadcastRegister(3, follow.Update{Batch: follow.Batch{Records: test.records}, Snapshot: test.whole})
			is.Equal(got, test.want)
		})
	}
}

// A register update that holds any other record must change nothing. Owners from such an update would be acted
// on without the records before them.
func TestRegisterUpdateRejectsOtherRecords(t *testing.T) {
	for name, record := range map[string]follow.Record{
		"owners":    {Key: keyService + "books", Offset: 6},
		"malformed": {Key: InstanceKey("i2"), Value: []byte("{"), Offset: 6},
		"no key":    {Offset: 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newTestView(5)
			_, err := v.applyRegister(append(registerRecords(5, "i1 1"), record))
			is.True(err != nil)
			is.Equal(v.get().End, logpos.Pos(5))
			is.Equal(len(v.get().Instances), 0)
		})
	}
}

// Guards against two owners of a key, which an answer that was cut short can cause if it is taken for complete.
func TestTruncatedReadProvesNothing(t *testing.T) {
	is := is.New(t)
	const before, later = clock.Instant(time.Second), clock.Instant(5 * time.Second)
	v := newTestView(5)
	v.applyUpdate(follow.Update{StartedAt: later, Batch: follow.Batch{Records: registerRecords(5, "i1 7"), End: 6}})
	is.Equal(v.get().End, logpos.Pos(6))
	is.True(v.currentAt(before))
	is.True(!v.currentAt(later))
}

// Guards against two owners: the store carries out late the record of the end of a process, and the process of the same name that
// runs by then is no longer waited for.
func TestEndOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	ended := func(offset logpos.Pos, incarnation int) follow.Record {
		return follow.Record{Key: InstanceKey("i1"), Offset: offset, Value: fmt.Appendf(nil, `{"incarnation":%d,"ended":true}`, incarnation)}
	}
	tests := map[string]struct {
		records            []follow.Record
		listed, superseded bool
	}{
		"end of the earlier one":      {append(registerRecords(5, "i1 7", "i1 8"), ended(7, 7)), true, true},
		"end of its own":              {append(registerRecords(5, "i1 7", "i1 8"), ended(7, 8)), false, false},
		"registered again after that": {slices.Concat(registerRecords(5, "i1 7", "i1 8"), []follow.Record{ended(7, 7)}, registerRecords(8, "i1 8")), true, false},
		"removed as the earlier one": {append(registerRecords(5, "i1 7", "i1 8"),
			follow.Record{Key: InstanceKey("i1"), Offset: 7, Value: []byte(`{"incarnation":7,"removed":true}`)}), true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newTestView(5)
			_, err := v.applyRegister(test.records)
			is.NoErr(err)
			e, found := v.get().Instances["i1"]
			is.Equal(found && e.Acts() && e.Incarnation == 8, test.listed)
			is.Equal(v.get().superseded("i1"), test.superseded)
			is.Equal(v.get().registered("i1", 8), test.listed && !test.superseded)
		})
	}
}
