package node

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// evacuationOf decodes the keys of evacuations in tests.
func evacuationOf(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }

// operate gives a world one update of the operator's topic, of keys and values in turn.
func (w *world) operate(whole bool, age time.Duration, pairs ...string) bool {
	u := follow.Update{Snapshot: whole}
	for i := 0; i+1 < len(pairs); i += 2 {
		u.Records = append(u.Records, follow.Record{Key: pairs[i], Value: []byte(pairs[i+1]), Offset: int64(i)})
	}
	return w.takeEvacuations(u, age, evacuationOf)
}

// newZonedWorld returns a world with a server in each of two failure domains, named like them.
func newZonedWorld() *world {
	w := newWorld(event.New(io.Discard, log.ErrorLevel), 1500*time.Millisecond, 2500*time.Millisecond)
	w.putConfig(&rules.Config{Version: 1, Services: map[string]rules.Service{
		"books": {Name: "books", ColdTime: 3 * time.Second, ColdRate: 7},
	}})
	decode := func(id string, _ []byte, readAt time.Time) (rules.Server, error) {
		return rules.Server{ID: id, Service: "books", Domain: id, WarmAt: readAt}, nil
	}
	w.putServers(follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: "north", Value: []byte("x")}, {Key: "south", Value: []byte("x")}}}}, 0, decode)
	return w
}

// Guards against requests to a failure domain that operators evacuate, whatever order their records come in.
func TestEvacuation(t *testing.T) {
	type update struct {
		whole bool
		pairs []string
	}
	tests := map[string]struct {
		updates []update
		want    string // the evacuated servers
	}{
		"one domain":                    {[]update{{false, []string{"evacuate/north", "{}"}}}, "north"},
		"all domains":                   {[]update{{false, []string{"evacuate/north", "{}", "evacuate/south", "{}"}}}, "north south"},
		"taken back":                    {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"evacuate/north", ""}}}, ""},
		"taken back in one update":      {[]update{{false, []string{"evacuate/north", "{}", "evacuate/north", ""}}}, ""},
		"taken back and asked again":    {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"evacuate/north", "", "evacuate/north", "{}"}}}, "north"},
		"written again":                 {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"evacuate/north", "{}"}}}, "north"},
		"odd value":                     {[]update{{false, []string{"evacuate/north", "\x00"}}}, "north"},
		"unknown domain":                {[]update{{false, []string{"evacuate/east", "{}"}}}, ""},
		"of nothing":                    {[]update{{false, []string{"evacuate/north", ""}}}, ""},
		"other records":                 {[]update{{false, []string{"config", "{}"}}}, ""},
		"all there is, without it":      {[]update{{false, []string{"evacuate/north", "{}"}}, {true, []string{"config", "{}"}}}, ""},
		"all there is, with another":    {[]update{{false, []string{"evacuate/north", "{}"}}, {true, []string{"evacuate/south", "{}"}}}, "south"},
		"other records, not all of all": {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"config", "{}"}}}, "north"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newZonedWorld()
			for _, u := range test.updates {
				w.operate(u.whole, 0, u.pairs...)
			}
			var got []string
			for _, id := range []string{"north", "south"} {
				s := w.servers()[id]
				is.Equal(s.Closed(false, time.Now()), s.Evacuated) // without keys at once
				if s.Evacuated {
					got = append(got, id)
				}
			}
			is.Equal(strings.Join(got, " "), test.want)
		})
	}
}

// Guards against keys that are served in an evacuated domain beyond its time, also if its evacuation is written again or
// was heard of late.
func TestEvacuatedKeysClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newZonedWorld()
		w.operate(false, time.Second, "evacuate/north", "{}")
		time.Sleep(time.Second)
		w.operate(false, 0, "evacuate/north", "{}")
		is.True(!w.servers()["north"].Closed(true, time.Now()))
		time.Sleep(600 * time.Millisecond)
		is.True(w.servers()["north"].Closed(true, time.Now()))
		is.True(!w.servers()["south"].Closed(true, time.Now()))
	})
}

// Guards against a full load on servers that are cold as their domain is taken back, before their entries say so.
func TestDomainTakenBackIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newZonedWorld()
		w.operate(false, 0, "evacuate/north", "{}")
		time.Sleep(8 * time.Second)
		is.True(w.operate(false, 0, "evacuate/north", ""))
		s := w.servers()["north"]
		is.True(!s.Closed(true, time.Now()) && s.LeavesIn(time.Now()) == 0)
		is.True(s.Cold(time.Now()))
		is.True(!w.servers()["south"].Cold(time.Now()))
		time.Sleep(3 * time.Second)
		is.True(!w.servers()["north"].Cold(time.Now()))
	})
}

// Guards against an evacuation that instances miss since only the newest configuration was told them.
func TestConfigurationIsToldWithEvacuations(t *testing.T) {
	is := is.New(t)
	leader := &Node{around: Platform{ConfigKey: "config"}, world: newZonedWorld()}
	leader.world.operate(false, 0, "evacuate/north", "{}", "evacuate/south", "{}", "evacuate/south", "")
	told := leader.withEvacuations(follow.Update{Batch: follow.Batch{End: 9, Records: []follow.Record{{Key: "config", Value: []byte("new"), Offset: 8}}}})
	is.True(told.Snapshot)
	other := newZonedWorld()
	other.operate(false, 0, "evacuate/south", "{}")
	other.takeEvacuations(told, 0, evacuationOf)
	is.True(other.servers()["north"].Evacuated && !other.servers()["south"].Evacuated)
	is.Equal(told.Records[len(told.Records)-1].Key, "config")
	alone := follow.Update{Batch: follow.Batch{End: 10, Records: []follow.Record{{Key: "evacuate/north", Offset: 9}}}}
	is.True(!leader.withEvacuations(alone).Snapshot) // says nothing of what came before
}

// Guards against operators who take a domain for empty that still has requests or keys.
func TestEmptiedDomainIsLogged(t *testing.T) {
	is := is.New(t)
	w := newZonedWorld()
	w.operate(false, 0, "evacuate/north", "{}")
	w.noteEmptied(func(string) left { return left{keys: 1} })
	is.True(!w.evacuated.active["north"].emptied)
	w.noteEmptied(func(string) left { return left{requests: 1} })
	is.True(!w.evacuated.active["north"].emptied)
	w.noteEmptied(func(string) left { return left{} })
	is.True(w.evacuated.active["north"].emptied)
}
