package node

import (
	"io"
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

// Guards against servers that come back, or are given up, because an older copy of the store lists or lacks their entries.
func TestDirectoryKeepsWhatTheStoreHasLost(t *testing.T) {
	tests := map[string]struct {
		// before holds updates before the return, copied what the store lists then, after updates that follow. Want holds the
		// servers that get requests right after the return, wantLater those after the time for entries to come back.
		before    [][]string
		copied    []string
		after     [][]string
		want      []string
		wantLater []string
	}{
		"missing and written again":     {[][]string{{"a", "ready 1 1", "b", "ready 1 1"}}, []string{"a", "ready 1 1"}, [][]string{{"b", "ready 1 1"}}, []string{"a~1", "b~1"}, []string{"a~1", "b~1"}},
		"missing for good":              {[][]string{{"a", "ready 1 1", "b", "ready 1 1"}}, []string{"a", "ready 1 1"}, nil, []string{"a~1", "b~1"}, []string{"a~1"}},
		"gone and listed again":         {[][]string{{"a", "ready 1 1", "b", "ready 1 1"}, {"b", ""}}, []string{"a", "ready 1 1", "b", "ready 1 1"}, nil, []string{"a~1"}, []string{"a~1"}},
		"gone, and started again":       {[][]string{{"a", "ready 1 1", "b", "ready 1 1"}, {"b", ""}}, []string{"a", "ready 1 1", "b", "ready 1 1"}, [][]string{{"b", "ready 2 1"}}, []string{"a~1"}, []string{"a~1", "b~2"}},
		"draining, listed as ready":     {[][]string{{"a", "ready 1 1", "b", "ready 1 4"}, {"b", "draining 1 5"}}, []string{"a", "ready 1 1", "b", "ready 1 4"}, nil, []string{"a~1"}, []string{"a~1"}},
		"draining with the same number": {[][]string{{"a", "ready 1 1", "b", "ready 1 4"}, {"b", "draining 1 4"}}, []string{"a", "ready 1 1", "b", "ready 1 4"}, nil, []string{"a~1"}, []string{"a~1"}},
		"earlier incarnation listed":    {[][]string{{"b", "ready 1 4"}, {"b", "ready 2 1"}}, []string{"b", "ready 1 4"}, nil, []string{"b~2"}, []string{"b~2"}},
		"copy knows more":               {[][]string{{"a", "ready 1 1"}}, []string{"a", "ready 1 1", "b", "ready 1 1"}, nil, []string{"a~1", "b~1"}, []string{"a~1", "b~1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newTestState()
				apply := func(returned bool, pairs []string) {
					u := follow.Update{Snapshot: returned, Returned: returned}
					for i := 0; i+1 < len(pairs); i += 2 {
						u.Records = append(u.Records, follow.Record{Key: pairs[i], Value: []byte(pairs[i+1])})
					}
					c.applyServers(u, 0, decodeIncarnation)
				}
				for _, update := range test.before {
					apply(false, update)
				}
				apply(true, test.copied)
				is.Equal(usable(c), len(test.want))
				for _, id := range test.want {
					is.True(c.has(id) && !c.server(id).Draining)
				}
				time.Sleep(entryReturnTime / 2)
				for _, update := range test.after {
					apply(false, update)
				}
				time.Sleep(entryReturnTime)
				c.removeMissing()
				is.Equal(usable(c), len(test.wantLater))
				for _, id := range test.wantLater {
					is.True(c.has(id) && !c.server(id).Draining)
				}
			})
		})
	}
}

// usable returns the number of servers that may get requests without an end.
func usable(c *clusterState) int {
	count := 0
	for _, s := range c.servers().All() {
		if !s.Leaving() {
			count++
		}
	}
	return count
}

// Guards against an older configuration that starting instances are given because the store came back with it.
func TestOlderConfigurationIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	n := &Node{
		events: event.New(io.Discard, log.ErrorLevel),
		platform: Platform{ConfigTopic: "config", ConfigKey: "config", DecodeConfig: func(data []byte) (*rules.Config, error) {
			return &rules.Config{Version: uint64(data[0])}, nil
		}},
	}
	update := func(returned bool, end logpos.Pos, version ...byte) follow.Update {
		u := follow.Update{Topic: "config", Snapshot: returned, Returned: returned, Batch: follow.Batch{End: end}}
		for _, v := range version {
			u.Records = append(u.Records, follow.Record{Key: "config", Value: []byte{v}, Offset: end - 1})
		}
		return n.withNewestConfig(u)
	}
	is.Equal(update(false, logpos.At(1, 9), 26).Records[0].Value, []byte{26})
	older := update(true, logpos.At(2, 3), 22)
	is.Equal(older.Records[0].Value, []byte{26})
	is.Equal(older.Records[0].Offset, logpos.At(2, 2))
	is.Equal(update(true, logpos.At(3, 2)).Records[0].Value, []byte{26})       // the copy has none
	is.Equal(update(true, logpos.At(4, 0)).Records[0].Offset, logpos.At(4, 0)) // it is empty
	is.Equal(update(false, logpos.At(4, 3), 28).Records[0].Value, []byte{28})
}

// Guards against an evacuation that ends, or begins again, because an older copy of the store lacks or lists it.
func TestEvacuationsOutlastAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTwoDomainState()
		apply := func(returned bool, pairs ...string) {
			u := follow.Update{Snapshot: returned, Returned: returned}
			for i := 0; i+1 < len(pairs); i += 2 {
				u.Records = append(u.Records, follow.Record{Key: pairs[i], Value: []byte(pairs[i+1])})
			}
			c.applyEvacuations(u, 0, evacuationOf)
		}
		apply(false, "evacuate/north", "x")
		apply(true)
		is.True(c.server("north").Evacuated) // the store has lost it
		apply(false, "evacuate/north", "x")
		time.Sleep(2 * operatorReturnTime)
		c.endUnlisted()
		is.True(c.server("north").Evacuated) // it was written again
		apply(false, "evacuate/north", "")
		apply(true, "evacuate/north", "x")
		is.True(!c.server("north").Evacuated) // the store has lost that it has ended
		apply(false, "evacuate/south", "x")
		apply(true)
		time.Sleep(2 * operatorReturnTime)
		is.True(c.endUnlisted())
		is.True(!c.server("south").Evacuated) // it was not written again
	})
}
