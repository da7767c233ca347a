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

func newTestState() *clusterState {
	return newClusterState(event.New(io.Discard, log.ErrorLevel), 1500*time.Millisecond, 2500*time.Millisecond)
}

// applyDirectory applies one update of the directory, given as keys and values in turn.
func (c *clusterState) applyDirectory(whole bool, pairs ...string) {
	u := follow.Update{Snapshot: whole}
	for i := 0; i+1 < len(pairs); i += 2 {
		u.Records = append(u.Records, follow.Record{Key: pairs[i], Value: []byte(pairs[i+1])})
	}
	c.applyServers(u, 0, decodeServer)
}

func (c *clusterState) has(id string) bool {
	return c.servers().Has(id)
}

func (c *clusterState) server(id string) rules.Server {
	s, _ := c.servers().Get(id)
	return s
}

func TestDirectoryUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestState()
		c.applyDirectory(true, "a", "ready", "b", "ready")
		c.applyDirectory(false, "b", "")
		is.True(c.has("a") && !c.has("b")) // a removed entry is gone at once
		c.applyDirectory(false, "a", "bad")
		is.True(c.has("a")) // a malformed entry changes nothing
		c.applyDirectory(true, "c", "ready")
		is.True(!c.has("a") && c.has("c")) // a snapshot replaces all entries
	})
}

// Guards against keys that are moved for nothing because entries of live servers expired during an outage of the
// store. The entries are back within two seconds.
func TestEntriesReappearAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestState()
		c.applyDirectory(true, "a", "ready", "b", "ready")
		c.applyServers(follow.Update{Err: errors.New("down")}, 0, decodeServer)
		c.applyDirectory(true)
		is.True(c.has("a") && c.has("b"))
		time.Sleep(time.Second)
		c.applyDirectory(false, "a", "ready")
		time.Sleep(1100 * time.Millisecond)
		is.True(c.removeMissing())
		is.True(c.has("a") && !c.has("b")) // an entry that stays missing is gone
	})
}

// Guards against requests to a server that left without stating so, beyond its time limit. An instance whose last
// read had failed waited two seconds for the entry to reappear, and sent requests until 52 ms after the limit.
func TestMissingServerClosesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestState()
		c.applyDirectory(true, "a", "ready")
		c.applyServers(follow.Update{Err: errors.New("timeout")}, 0, decodeServer)
		c.applyDirectory(false, "a", "")
		is.True(!c.server("a").Closed(false, time.Now())) // it may come back
		time.Sleep(1600 * time.Millisecond)
		is.True(c.server("a").Closed(false, time.Now()))
		c.applyDirectory(false, "a", "ready")
		is.True(!c.server("a").Closed(false, time.Now()))
	})
}

// Checks that the drain time of a server counts from its first draining entry, not from each.
func TestDrainTimeCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestState()
		c.applyDirectory(true, "a", "draining")
		time.Sleep(time.Second)
		c.applyDirectory(false, "a", "draining")
		is.True(!c.server("a").Closed(true, time.Now()))
		time.Sleep(600 * time.Millisecond)
		is.True(c.server("a").Closed(true, time.Now()))
	})
}

// Guards against requests to a draining server beyond its time limit when its entry arrives late. Four of eleven
// instances were cut off, among them the leader and all that read the directory. The others learned 2.1 seconds late
// that a server was leaving and counted its drain time from then. It must count from the earliest time at which the
// entry can have been written.
func TestDrainTimeCountsFromOldestPossibleWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestState()
		c.applyDirectory(true, "a", "ready", "b", "ready")
		u := follow.Update{Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("draining")}, {Key: "b"}}}}
		c.applyServers(follow.Update{Err: errors.New("timeout")}, 0, decodeServer)
		c.applyServers(u, 1200*time.Millisecond, decodeServer)
		for _, id := range []string{"a", "b"} {
			is.True(!c.server(id).Closed(true, time.Now()))
		}
		time.Sleep(301 * time.Millisecond)
		for _, id := range []string{"a", "b"} {
			is.True(c.server(id).Closed(true, time.Now()))
		}
	})
}

func TestConfigNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := newTestState()
	c.applyConfig(&rules.Config{Version: 5})
	c.applyConfig(&rules.Config{Version: 4})
	is.Equal(c.config.Load().Version, uint64(5))
}

// Guards against instances that take draining entries for new in their first read. While all instances were restarted
// in turn and servers left, each restarted instance gave these servers their whole drain time again, up to 2.9
// seconds too much.
func TestRecordsOfFirstReadCountAsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, n := newTestState(), &Node{}
		u := follow.Update{Snapshot: true, Batch: follow.Batch{Records: []follow.Record{
			{Key: "a", Value: []byte("draining")}, {Key: "b", Value: []byte("ready")},
		}}}
		c.applyServers(u, n.updateAge(u), decodeServer)
		is.True(c.server("a").Closed(true, time.Now()))
		is.True(!c.server("b").Closed(true, time.Now()))
	})
}
