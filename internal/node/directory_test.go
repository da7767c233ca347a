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

// decodeLife decodes "state start sequence".
func decodeLife(name string, data []byte, _ time.Time) (rules.Server, error) {
	s := rules.Server{Service: "books"}
	var state string
	if _, err := fmt.Sscan(string(data), &state, &s.StartedAt, &s.Sequence); err != nil {
		return s, errors.New("malformed")
	}
	s.ID, s.Draining = rules.IncarnationID(name, s.StartedAt), state == "draining"
	return s, nil
}

// A server started again under the name that it had. Whatever order the store, the news of others
// and a new read bring its entries in, the life that started last counts, and in it what was said
// last: else requests and keys went to a life that was gone, or to one that was leaving.
func TestLives(t *testing.T) {
	tests := map[string]struct {
		updates [][]string
		want    []string
	}{
		"again":                           {[][]string{{"a", "ready 10 5"}, {"a", "ready 20 1"}}, []string{"a~k ready"}},
		"again in one update":             {[][]string{{"a", "ready 10 5", "a", "ready 20 1"}}, []string{"a~k ready"}},
		"older life late":                 {[][]string{{"a", "ready 20 1"}, {"a", "ready 10 9"}}, []string{"a~k ready"}},
		"older life late, draining":       {[][]string{{"a", "ready 20 1"}, {"a", "draining 10 9"}}, []string{"a~k ready"}},
		"twice":                           {[][]string{{"a", "ready 10 5"}, {"a", "ready 30 1"}, {"a", "ready 20 7"}}, []string{"a~u ready"}},
		"older life after the newer left": {[][]string{{"a", "ready 20 1"}, {"a", ""}, {"a", "ready 10 9"}}, nil},
		"the same life comes back":        {[][]string{{"a", "ready 20 4"}, {"a", ""}, {"a", "ready 20 9"}}, []string{"a~k ready"}},
		"said earlier, heard later":       {[][]string{{"a", "draining 20 9"}, {"a", "ready 20 8"}}, []string{"a~k draining"}},
		"a new life does not drain":       {[][]string{{"a", "draining 20 9"}, {"a", "ready 30 1"}}, []string{"a~u ready"}},
		"another writer":                  {[][]string{{"a", "ready 20 4"}, {"a", "bad"}, {"b", "bad"}}, []string{"a~k ready"}},
		"another writer, no start":        {[][]string{{"a", "ready 20 4", "c", "ready 5 1"}, {"a", "ready 0 9"}, {"b", "ready 0 1"}}, []string{"a~k ready", "c~5 ready"}},
		"names of their own":              {[][]string{{"a", "ready 0 4"}, {"b", "draining 0 4"}, {"b", "ready 0 3"}}, []string{"a ready", "b draining"}},
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
				d.take(u, time.Now(), time.Now(), decodeLife)
				d.forget()
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

// A read of everything found only what another writer had stored under the name of a server. The
// server works on, and says so itself within a heartbeat.
func TestOtherWriterDoesNotEndAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorld()
		tell := func(whole bool, value string) {
			u := follow.Update{Snapshot: whole, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte(value)}}}}
			w.putServers(u, 0, decodeLife)
		}
		tell(true, "ready 20 4")
		tell(true, "bad")
		is.True(w.has("a~k"))
		tell(false, "")
		is.True(!w.has("a~k")) // its entry is removed
	})
}
