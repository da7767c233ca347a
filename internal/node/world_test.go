package node

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

func decodeServer(id string, data []byte, readAt time.Time) (rules.Server, error) {
	if string(data) == "bad" {
		return rules.Server{}, errors.New("malformed")
	}
	return rules.Server{ID: id, Service: "books", Draining: string(data) == "draining", WarmAt: readAt}, nil
}

func newTestWorld() *world {
	return newWorld(event.New(io.Discard, log.ErrorLevel), 1500*time.Millisecond, 2500*time.Millisecond)
}

// tell gives a world one update of the directory, of keys and values in turn.
func (w *world) tell(whole bool, pairs ...string) {
	u := follow.Update{Snapshot: whole}
	for i := 0; i+1 < len(pairs); i += 2 {
		u.Records = append(u.Records, follow.Record{Key: pairs[i], Value: []byte(pairs[i+1])})
	}
	w.putServers(u, 0, decodeServer)
}

func (w *world) has(id string) bool {
	_, found := w.servers()[id]
	return found
}

func TestDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorld()
		w.tell(true, "a", "ready", "b", "ready")
		w.tell(false, "b", "")
		is.True(w.has("a") && !w.has("b")) // an entry that is removed is gone at once
		w.tell(false, "a", "bad")
		is.True(w.has("a")) // one that cannot be read changes nothing
		w.tell(true, "c", "ready")
		is.True(!w.has("a") && w.has("c")) // all there is
	})
}

// The store was away, and entries of servers that live had lapsed. Taking them for gone at once
// would move their keys for nothing; they are back within two seconds.
func TestEntriesComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorld()
		w.tell(true, "a", "ready", "b", "ready")
		w.putServers(follow.Update{Err: errors.New("down")}, 0, decodeServer)
		w.tell(true)
		is.True(w.has("a") && w.has("b"))
		time.Sleep(time.Second)
		w.tell(false, "a", "ready")
		time.Sleep(1100 * time.Millisecond)
		is.True(w.expire())
		is.True(w.has("a") && !w.has("b")) // one that is still missing is gone
	})
}

// A server left without a word just after one instance had missed a read. That instance waited
// two seconds for the entry to come back, and sent requests 52 ms beyond the bound.
func TestMissingServerGetsNoLateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorld()
		w.tell(true, "a", "ready")
		w.putServers(follow.Update{Err: errors.New("timeout")}, 0, decodeServer)
		w.tell(false, "a", "")
		is.True(!w.servers()["a"].Closed(false, time.Now())) // it may come back
		time.Sleep(1600 * time.Millisecond)
		is.True(w.servers()["a"].Closed(false, time.Now()))
		w.tell(false, "a", "ready")
		is.True(!w.servers()["a"].Closed(false, time.Now()))
	})
}

// The time to leave counts from the first word of it, not from each.
func TestDrainOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorld()
		w.tell(true, "a", "draining")
		time.Sleep(time.Second)
		w.tell(false, "a", "draining")
		is.True(!w.servers()["a"].Closed(true, time.Now()))
		time.Sleep(600 * time.Millisecond)
		is.True(w.servers()["a"].Closed(true, time.Now()))
	})
}

// Four of eleven instances were cut off, the leader and all that read the directory among them.
// The others heard 2.1 seconds late that a server leaves, counted its time from then, and sent it
// requests beyond the bound. What was missed for some time counts from its earliest moment.
func TestDrainHeardLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestWorld()
		w.tell(true, "a", "ready", "b", "ready")
		u := follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("draining")}, {Key: "b"}}}}
		w.putServers(follow.Update{Err: errors.New("timeout")}, 0, decodeServer)
		w.putServers(u, 1200*time.Millisecond, decodeServer)
		for _, id := range []string{"a", "b"} {
			is.True(!w.servers()[id].Closed(true, time.Now()))
		}
		time.Sleep(301 * time.Millisecond)
		for _, id := range []string{"a", "b"} {
			is.True(w.servers()[id].Closed(true, time.Now()))
		}
	})
}

func TestConfigNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := newTestWorld()
	w.putConfig(&rules.Config{Version: 5})
	w.putConfig(&rules.Config{Version: 4})
	is.Equal(w.config.Load().Version, uint64(5))
}

// All instances were stopped and started in turn while servers left. Each that had just started took
// the word that a server leaves for new, however old it was, and gave the server its whole time once
// more: up to 2.9 seconds beyond it.
func TestFirstReadDoesNotTellTheAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, n := newTestWorld(), &Node{}
		u := follow.Update{Snapshot: true, Batch: follow.Batch{Records: []follow.Record{
			{Key: "a", Value: []byte("draining")}, {Key: "b", Value: []byte("ready")},
		}}}
		w.putServers(u, n.ageOf(u), decodeServer)
		is.True(w.servers()["a"].Closed(true, time.Now()))
		is.True(!w.servers()["b"].Closed(true, time.Now()))
	})
}
