package lease

import (
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// eraLog is a topic of owners as the store holds it, in one era.
type eraLog struct {
	era     logpos.Era
	records []follow.Record
}

// put appends records and returns their positions as an update.
func (l *eraLog) put(records ...follow.Record) follow.Update {
	from := logpos.At(l.era, int64(len(l.records)))
	for i := range records {
		records[i].Offset = from + logpos.Pos(i)
	}
	l.records = append(l.records, records...)
	return follow.Update{Batch: follow.Batch{Records: slices.Clone(records), End: l.end()}}
}

func (l *eraLog) end() logpos.Pos { return logpos.At(l.era, int64(len(l.records))) }

// snapshot returns the newest record of each key.
func (l *eraLog) snapshot() follow.Update {
	newest := map[string]follow.Record{}
	for i, r := range l.records {
		r.Offset = logpos.At(l.era, int64(i))
		newest[r.Key] = r
	}
	u := follow.Update{Snapshot: true, Batch: follow.Batch{End: l.end()}}
	for _, r := range newest {
		if len(r.Value) > 0 {
			u.Records = append(u.Records, r)
		}
	}
	return u
}

func openingRecord(o opening) follow.Record {
	r, _ := o.record()
	return r
}

func ownersRecord(key string, m *shard.Map) follow.Record {
	value, _ := m.Encode()
	return follow.Record{Key: key, Value: value}
}

func ownedBy(server string, fence uint64) *shard.Map {
	return &shard.Map{Fence: fence, Ranges: []shard.Range{{From: 0, To: shard.NumKeys - 1, Server: server, Fence: fence}}}
}

// Guards against owners of an older copy, or of an earlier era, that are acted on.
func TestOwnersAreInForceOnceTheirEraIsOpen(t *testing.T) {
	first, second := logpos.FirstFence(1)+3, logpos.FirstFence(2)+1
	newLog := func() *eraLog {
		l := &eraLog{era: 2}
		l.put(ownersRecord(ownersKeyIn(1, service), ownedBy("a", first)), openingRecord(opening{Era: 1}))
		return l
	}
	tests := map[string]struct {
		later []follow.Record
		// want is the owner in force, empty for none, wantFence its fence.
		want      string
		wantFence uint64
	}{
		"not opened":                       {nil, "", 0},
		"owners without the opening":       {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second))}, "", 0},
		"opened":                           {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second)), openingRecord(opening{Era: 2})}, "b", second},
		"opened, changed":                  {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second)), openingRecord(opening{Era: 2}), ownersRecord(ownersKeyIn(2, service), ownedBy("c", second+1))}, "c", second + 1},
		"late record of the era before":    {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second)), openingRecord(opening{Era: 2}), ownersRecord(ownersKeyIn(1, service), ownedBy("x", first+1))}, "b", second},
		"late opening of the era before":   {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second)), openingRecord(opening{Era: 2}), openingRecord(opening{Era: 1})}, "b", second},
		"late record without an era":       {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second)), openingRecord(opening{Era: 2}), ownersRecord(keyService+service, ownedBy("x", 9))}, "b", second},
		"deleted owners of the era before": {[]follow.Record{ownersRecord(ownersKeyIn(2, service), ownedBy("b", second)), openingRecord(opening{Era: 2}), {Key: ownersKeyIn(1, service)}, {Key: keyEra + "1"}}, "b", second},
		"malformed opening":                {[]follow.Record{{Key: keyEra + "2", Value: []byte("{")}, {Key: keyEra + "0", Value: []byte(`{"era":0}`)}}, "", 0},
	}
	for name, test := range tests {
		for _, whole := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				l, v := newLog(), newLocalView()
				v.applyUpdate((&eraLog{era: 1, records: l.records[:2]}).snapshot())
				v.applyUpdate(l.snapshot())
				is.Equal(v.get().Maps[service].Ranges[0].Server, "a") // what is known stays in force
				is.True(v.awaitsOpening())
				for _, r := range test.later {
					u := l.put(r)
					if whole {
						u = l.snapshot()
					}
					v.applyUpdate(u)
				}
				if whole {
					v = newLocalView() // one that starts, and gets a snapshot
					v.applyUpdate(l.snapshot())
				}
				if test.want == "" {
					is.True(v.awaitsOpening())
					return
				}
				is.True(!v.awaitsOpening())
				is.Equal(v.get().Maps[service].Ranges[0].Server, test.want)
				is.Equal(v.get().Maps[service].Fence, test.wantFence)
			})
		}
	}
}

// Guards against owners that are missing because an opening of several appends was read in between, or was passed on.
func TestOpeningOfManyOwnersIsReadWhole(t *testing.T) {
	is := is.New(t)
	owners := map[string]*shard.Map{service: manyOwners(20000, 0), "few": ownedBy("a", 1)}
	records, err := openingRecords(2, owners)
	is.NoErr(err)
	is.True(len(records) > shard.NumParts/2) // several parts
	l, v := &eraLog{era: 2}, newLocalView()
	v.applyUpdate(l.snapshot())
	half := len(records) / 2
	v.applyUpdate(l.put(records[:half]...))
	passedOn, err := v.getRead().Records()
	is.NoErr(err)
	for i := range passedOn {
		passedOn[i].Offset = l.end() - 1
	}
	other := newLocalView()
	other.applyUpdate(follow.Update{Snapshot: true, Batch: follow.Batch{Records: passedOn, End: l.end()}})
	for _, u := range []follow.Update{l.put(records[half:]...), l.put(openingRecord(opening{Era: 2}))} {
		v.applyUpdate(u)
		other.applyUpdate(u)
	}
	starting := newLocalView()
	starting.applyUpdate(l.snapshot())
	for _, got := range []*localView{v, other, starting} {
		is.True(!got.awaitsOpening())
		for name, m := range owners {
			is.True(reflect.DeepEqual(got.get().Maps[name].Ranges, m.Ranges))
		}
	}
}

// Guards against owners that are ignored, or given up, where an instance of a release that does not know eras has written them.
func TestOwnersOfReleasesWithoutErasAreInForce(t *testing.T) {
	is := is.New(t)
	l, v := &eraLog{era: 2}, newLocalView()
	l.put(ownersRecord(keyService+service, ownedBy("a", 7)))
	v.applyUpdate(l.snapshot())
	is.Equal(v.get().Maps[service].Ranges[0].Server, "a")
	v.applyUpdate(l.put(openingRecord(opening{Era: 2, ShortKeys: true})))
	is.Equal(v.get().Maps[service].Ranges[0].Server, "a")
	is.Equal(v.get().ownersKey(service), keyService+service)
	v.applyUpdate(l.put(ownersRecord(keyService+service, ownedBy("b", 8))))
	is.Equal(v.get().Maps[service].Ranges[0].Server, "b")
	returned := &eraLog{era: 3, records: slices.Clone(l.records[:2])}
	v.applyUpdate(returned.snapshot())
	is.True(v.awaitsOpening())
	is.Equal(v.get().Maps[service].Ranges[0].Server, "b")
}

// Guards against hundreds of instances that have started again and ask the one that has not for its view five times a second.
func TestViewsAreAskedForLessAndLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asked := 0
		r := roster.New("i1", "d0")
		lm := New(Deps{Name: "i1", Roster: r, FetchView: func(string) { asked++ }})
		r.Put("i0", roster.Entry{Domain: "d0", Incarnation: 1}, time.Now())
		r.Put("i1", roster.Entry{Domain: "d0", Incarnation: 1}, time.Now())
		for range 100 {
			r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1, Known: logpos.At(1, 9)}, time.Now())
			lm.catchUp(time.Now())
			time.Sleep(catchUpInterval)
		}
		is.True(asked >= 5 && asked <= 12) // in twenty seconds
	})
}

// Guards against instances that are registered again by nobody, or by many, and against ones that come back by the copy.
func TestLostRegistrationsAreWrittenOnce(t *testing.T) {
	entry := func(incarnation uint64) roster.Entry { return roster.Entry{Domain: "d0", Incarnation: incarnation} }
	removed, ended := entry(1), entry(1)
	removed.Removed, ended.Ended = true, true
	tests := map[string]struct {
		known, stored map[string]roster.Entry
		want          []string
	}{
		"nothing lost":         {map[string]roster.Entry{"i": entry(1)}, map[string]roster.Entry{"i": entry(1)}, nil},
		"lost":                 {map[string]roster.Entry{"i": entry(1), "j": entry(2)}, map[string]roster.Entry{"i": entry(1)}, []string{"instance/j"}},
		"later incarnation":    {map[string]roster.Entry{"i": entry(2)}, map[string]roster.Entry{"i": entry(1)}, []string{"instance/i"}},
		"removal lost":         {map[string]roster.Entry{"i": removed}, map[string]roster.Entry{"i": entry(1)}, []string{"instance/i"}},
		"end lost":             {map[string]roster.Entry{"i": ended}, map[string]roster.Entry{"i": entry(1)}, []string{"instance/i"}},
		"ended and not listed": {map[string]roster.Entry{"i": ended}, nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			records, err := lostRegistrations(test.known, test.stored)
			is.NoErr(err)
			var got []string
			for _, r := range records {
				got = append(got, r.Key)
			}
			is.Equal(got, test.want)
		})
	}
}
