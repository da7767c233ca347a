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
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/rules"
)

// evacuationOf is a DecodeEvacuation for keys of the form evacuate/DOMAIN.
func evacuationOf(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }

// applyOperatorRecords applies one update of ConfigTopic, given as keys and values in turn.
func (c *clusterState) applyOperatorRecords(whole bool, age time.Duration, pairs ...string) bool {
	u := follow.Update{Snapshot: whole}
	for i := 0; i+1 < len(pairs); i += 2 {
		u.Records = append(u.Records, follow.Record{Key: pairs[i], Value: []byte(pairs[i+1]), Offset: logpos.Pos(i)})
	}
	return c.applyEvacuations(u, age, evacuationOf)
}

// newTwoDomainState returns a state with one server in each of two failure domains. Each server is named like its
// domain.
func newTwoDomainState() *clusterState {
	c := newClusterState(event.New(io.Discard, log.ErrorLevel), 1500*time.Millisecond, 2500*time.Millisecond)
	c.applyConfig(&rules.Config{Version: 1, Services: map[string]rules.Service{
		"books": {Name: "books", ColdTime: 3 * time.Second, ColdRate: 7},
	}})
	decode := func(id string, _ []byte, readAt time.Time) (rules.Server, error) {
		return rules.Server{ID: id, Service: "books", Domain: id, WarmAt: readAt}, nil
	}
	c.applyServers(follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: "north", Value: []byte("x")}, {Key: "south", Value: []byte("x")}}}}, 0, decode)
	return c
}

// Guards against requests to a failure domain that operators evacuate, in whatever order the records arrive.
func TestEvacuation(t *testing.T) {
	type update struct {
		whole bool
		pairs []string
	}
	tests := map[string]struct {
		updates []update
		want    string // the evacuated servers
	}{
		"one domain":                 {[]update{{false, []string{"evacuate/north", "{}"}}}, "north"},
		"all domains":                {[]update{{false, []string{"evacuate/north", "{}", "evacuate/south", "{}"}}}, "north south"},
		"ended":                      {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"evacuate/north", ""}}}, ""},
		"ended in one update":        {[]update{{false, []string{"evacuate/north", "{}", "evacuate/north", ""}}}, ""},
		"ended and started again":    {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"evacuate/north", "", "evacuate/north", "{}"}}}, "north"},
		"written again":              {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"evacuate/north", "{}"}}}, "north"},
		"malformed value":            {[]update{{false, []string{"evacuate/north", "\x00"}}}, "north"},
		"unknown domain":             {[]update{{false, []string{"evacuate/east", "{}"}}}, ""},
		"end without a start":        {[]update{{false, []string{"evacuate/north", ""}}}, ""},
		"other records":              {[]update{{false, []string{"config", "{}"}}}, ""},
		"snapshot without it":        {[]update{{false, []string{"evacuate/north", "{}"}}, {true, []string{"config", "{}"}}}, ""},
		"snapshot with another":      {[]update{{false, []string{"evacuate/north", "{}"}}, {true, []string{"evacuate/south", "{}"}}}, "south"},
		"other records, no snapshot": {[]update{{false, []string{"evacuate/north", "{}"}}, {false, []string{"config", "{}"}}}, "north"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTwoDomainState()
			for _, u := range test.updates {
				c.applyOperatorRecords(u.whole, 0, u.pairs...)
			}
			var got []string
			for _, id := range []string{"north", "south"} {
				s := c.server(id)
				is.Equal(s.Closed(false, time.Now()), s.Evacuated) // without keys it closes at once
				if s.Evacuated {
					got = append(got, id)
				}
			}
			is.Equal(strings.Join(got, " "), test.want)
		})
	}
}

// Guards against keys that are served in an evacuated domain beyond its time limit, also if the evacuation is written
// again or learned of late.
func TestEvacuatedKeysClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTwoDomainState()
		c.applyOperatorRecords(false, time.Second, "evacuate/north", "{}")
		time.Sleep(time.Second)
		c.applyOperatorRecords(false, 0, "evacuate/north", "{}")
		is.True(!c.server("north").Closed(true, time.Now()))
		time.Sleep(600 * time.Millisecond)
		is.True(c.server("north").Closed(true, time.Now()))
		is.True(!c.server("south").Closed(true, time.Now()))
	})
}

// Guards against full load on the servers of a domain whose evacuation has just ended: they are cold before their
// entries say so.
func TestDomainTakenBackIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTwoDomainState()
		c.applyOperatorRecords(false, 0, "evacuate/north", "{}")
		time.Sleep(8 * time.Second)
		is.True(c.applyOperatorRecords(false, 0, "evacuate/north", ""))
		s := c.server("north")
		is.True(!s.Closed(true, time.Now()) && s.LeavesIn(time.Now()) == 0)
		is.True(s.Cold(time.Now()))
		is.True(!c.server("south").Cold(time.Now()))
		time.Sleep(3 * time.Second)
		is.True(!c.server("north").Cold(time.Now()))
	})
}

// Guards against evacuations that instances miss because only the newest configuration is broadcast.
func TestConfigurationIsBroadcastWithEvacuations(t *testing.T) {
	is := is.New(t)
	leader := &Node{platform: Platform{ConfigKey: "config"}, cluster: newTwoDomainState()}
	leader.cluster.applyOperatorRecords(false, 0, "evacuate/north", "{}", "evacuate/south", "{}", "evacuate/south", "")
	update := leader.withEvacuations(follow.Update{Batch: follow.Batch{End: 9, Records: []follow.Record{{Key: "config", Value: []byte("new"), Offset: 8}}}})
	is.True(update.Snapshot)
	other := newTwoDomainState()
	other.applyOperatorRecords(false, 0, "evacuate/south", "{}")
	other.applyEvacuations(update, 0, evacuationOf)
	is.True(other.server("north").Evacuated && !other.server("south").Evacuated)
	is.Equal(update.Records[len(update.Records)-1].Key, "config")
	alone := follow.Update{Batch: follow.Batch{End: 10, Records: []follow.Record{{Key: "evacuate/north", Offset: 9}}}}
	is.True(!leader.withEvacuations(alone).Snapshot) // does not replace earlier records
}

// Guards against operators who take a domain for empty that still has requests or keys.
func TestEmptyDomainIsDetected(t *testing.T) {
	is := is.New(t)
	c := newTwoDomainState()
	c.applyOperatorRecords(false, 0, "evacuate/north", "{}")
	c.logEmptied(func(string) remaining { return remaining{keys: 1} })
	is.True(!c.evacuations.active["north"].empty)
	c.logEmptied(func(string) remaining { return remaining{requests: 1} })
	is.True(!c.evacuations.active["north"].empty)
	c.logEmptied(func(string) remaining { return remaining{} })
	is.True(c.evacuations.active["north"].empty)
}
