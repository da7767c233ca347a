package node

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// decodeIncarnation decodes entries of the form "state start sequence".
func decodeIncarnation(name string, data []byte, _ time.Time) (rules.Server, error) {
	s := rules.Server{Service: "books"}
	var state string
	if _, err := fmt.Sscan(string(data), &state, &s.StartedAt, &s.Sequence); err != nil {
		return s, errors.New("malformed")
	}
	s.ID, s.Draining = rules.IncarnationID(name, s.StartedAt), state == "draining"
	return s, nil
}

// Guards against requests and keys for an incarnation of a server that is gone or leaving, after the server was
// restarted under the same name. In whatever order the store, peers and a new read deliver the entries, the
// incarnation that started last counts, and its entry with the highest sequence number.
func TestNewestIncarnationCounts(t *testing.T) {
	tests := map[string]struct {
		updates [][]string
		want    []string
	}{
		"restarted":                              {[][]string{{"a", "ready 10 5"}, {"a", "ready 20 1"}}, []string{"a~k ready"}},
		"restarted in one update":                {[][]string{{"a", "ready 10 5", "a", "ready 20 1"}}, []string{"a~k ready"}},
		"older incarnation late":                 {[][]string{{"a", "ready 20 1"}, {"a", "ready 10 9"}}, []string{"a~k ready"}},
		"older incarnation late, draining":       {[][]string{{"a", "ready 20 1"}, {"a", "draining 10 9"}}, []string{"a~k ready"}},
		"restarted twice":                        {[][]string{{"a", "ready 10 5"}, {"a", "ready 30 1"}, {"a", "ready 20 7"}}, []string{"a~u ready"}},
		"older incarnation after the newer left": {[][]string{{"a", "ready 20 1"}, {"a", ""}, {"a", "ready 10 9"}}, nil},
		"same incarnation comes back":            {[][]string{{"a", "ready 20 4"}, {"a", ""}, {"a", "ready 20 9"}}, []string{"a~k ready"}},
		"older entry arrives later":              {[][]string{{"a", "draining 20 9"}, {"a", "ready 20 8"}}, []string{"a~k draining"}},
		"new incarnation does not drain":         {[][]string{{"a", "draining 20 9"}, {"a", "ready 30 1"}}, []string{"a~u ready"}},
		"another writer":                         {[][]string{{"a", "ready 20 4"}, {"a", "bad"}, {"b", "bad"}}, []string{"a~k ready"}},
		"another writer, no start":               {[][]string{{"a", "ready 20 4", "c", "ready 5 1"}, {"a", "ready 0 9"}, {"b", "ready 0 1"}}, []string{"a~k ready", "c~5 ready"}},
		"no start times":                         {[][]string{{"a", "ready 0 4"}, {"b", "draining 0 4"}, {"b", "ready 0 3"}}, []string{"a ready", "b draining"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory(event.New(io.Discard, log.ErrorLevel))
			for _, update := range test.updates {
				u := follow.Update{}
				for i := 0; i+1 < len(update); i += 2 {
					u.Records = append(u.Records, follow.Record{Key: update[i], Value: []byte(update[i+1])})
				}
				d.apply(u, decodeEntries(u, time.Now(), decodeIncarnation), time.Now(), time.Now())
				d.removeMissing()
			}
			var got []string
			for id, s := range d.servers {
				state := "ready"
				if s.Draining {
					state = "draining"
				}
				got = append(got, id+" "+state)
			}
			slices.Sort(got)
			is.Equal(got, test.want)
		})
	}
}

// Guards against a server that is dropped because another writer stored an entry under its name, and a full read
// finds only that. The server still works, and writes its own entry again within a heartbeat.
func TestMalformedEntryKeepsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestState()
		apply := func(whole bool, value string) {
			u := follow.Update{Snapshot: whole, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte(value)}}}}
			c.applyServers(u, 0, decodeIncarnation)
		}
		apply(true, "ready 20 4")
		apply(true, "bad")
		is.True(c.has("a~k"))
		apply(false, "")
		is.True(!c.has("a~k")) // a removed entry ends the server at once
	})
}
