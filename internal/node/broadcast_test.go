package node

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/worker"
)

// serverEntries returns an update of the directory with count entries.
func serverEntries(count int) follow.Update {
	u := follow.Update{Topic: "servers", From: 40, StartedAt: 1, Overdue: true}
	for i := range count {
		u.Records = append(u.Records, follow.Record{Key: fmt.Sprint(i), Value: make([]byte, 250), Offset: logpos.Pos(40 + i)})
	}
	u.End = logpos.Pos(40 + count)
	return u
}

// Guards against updates that are too large for a message. 989 servers wrote their entries within a second, and since
// no message could hold them, each of 295 instances read the directory itself, several times.
func TestUpdateIsSplit(t *testing.T) {
	is := is.New(t)
	u := serverEntries(400)
	u.End = 450 // the topic ends after what was read
	parts := splitUpdate(u)
	is.True(len(parts) > 1)
	next := u.From
	for _, part := range parts {
		is.True(maxPartSize([]follow.Batch{part}) <= maxUpdateSize)
		for _, r := range part.Records {
			is.Equal(r.Offset, next)
			next++
		}
		if next < 440 {
			is.Equal(part.End, next) // the next part starts where this one ends
		}
	}
	is.Equal(next, logpos.Pos(440))
	is.Equal(parts[len(parts)-1].End, u.End)
}

// Guards against parts of an update that are sent without a pause. When 179 servers joined, the second of two parts
// found the link full of the first and was lost to all 294 other instances, which read the directory themselves.
func TestPartsAreSentWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		port, err := dgram.Listen("127.0.0.1:0")
		is.NoErr(err)
		n := &Node{port: port, roster: roster.New("i0", "d0"), settings: config.Serve{LinkMbps: 20}}
		for i := range 5 {
			n.roster.Put(fmt.Sprintf("i%d", i), roster.Entry{Address: port.Address(), Domain: "d0", Incarnation: 1}, time.Now())
		}
		begun := time.Now()
		n.broadcastUpdate(t.Context(), serverEntries(80))
		is.Equal(time.Since(begun), time.Duration(0)) // a single part is sent without a pause
		u := serverEntries(180)
		parts := splitUpdate(u)
		is.Equal(len(parts), 2)
		n.broadcastUpdate(t.Context(), u)
		is.True(time.Since(begun) >= n.sendTime(maxPartSize(parts[:1])))
	})
}

// Guards against a configuration that comes into force late because the directory is being broadcast in parts.
func TestConfigurationDoesNotWaitForDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := config.Serve{Name: "i0", Domain: "d0", IP: "127.0.0.1", PeerPorts: []int{0}, LinkMbps: 20}
		n, err := New(settings, Platform{
			ConfigTopic: "config", ConfigKey: "config", ServersTopic: "servers", OwnersTopic: "owners", DecodeServer: decodeServer,
			DecodeConfig:     func([]byte) (*rules.Config, error) { return &rules.Config{Version: 1}, nil },
			DecodeEvacuation: func(string) (string, bool) { return "", false },
		}, event.New(io.Discard, log.InfoLevel))
		is.NoErr(err)
		for i := range 5 {
			n.roster.Put(fmt.Sprintf("i%d", i), roster.Entry{Address: n.port.Address(), Domain: "d0", Incarnation: 1}, time.Now())
		}
		group := worker.New(t.Context(), 4)
		for topic := range n.updates {
			group.Go("updates", n.updateLoop(topic))
		}
		directory := serverEntries(900)
		is.True(len(splitUpdate(directory)) > 8)
		begun := time.Now()
		n.updates["servers"] <- directory
		n.updates["config"] <- follow.Update{
			Topic: "config", StartedAt: 1, Overdue: true,
			Batch: follow.Batch{End: 1, Records: []follow.Record{{Key: "config", Value: []byte("1")}}},
		}
		for n.cluster.config.Load() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(begun) < 100*time.Millisecond)
		group.Stop()
		is.NoErr(group.Wait(0))
	})
}

// Guards against a configuration that comes into force late because an update of another topic is being applied.
func TestConfigurationDoesNotWaitForOtherTopics(t *testing.T) {
	tests := map[string]struct{ topic string }{"directory": {"servers"}, "owners": {"owners"}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, err := New(config.Serve{Name: "i0", Domain: "d0", IP: "127.0.0.1", PeerPorts: []int{0}, LinkMbps: 20}, Platform{
					ConfigTopic: "config", ConfigKey: "config", ServersTopic: "servers", OwnersTopic: "owners",
					DecodeServer: func(id string, data []byte, readAt time.Time) (rules.Server, error) {
						time.Sleep(20 * time.Millisecond)
						return decodeServer(id, data, readAt)
					},
					DecodeConfig:     func([]byte) (*rules.Config, error) { return &rules.Config{Version: 1}, nil },
					DecodeEvacuation: func(string) (string, bool) { return "", false },
				}, event.New(io.Discard, log.InfoLevel))
				is.NoErr(err)
				group := worker.New(t.Context(), 4)
				for topic := range n.updates {
					group.Go("updates", n.updateLoop(topic))
				}
				begun := time.Now()
				u := serverEntries(100) // two seconds to decode; nobody takes the updates of the owners
				u.Topic = test.topic
				for range 2 * maxQueuedUpdates {
					select {
					case n.updates[test.topic] <- u:
					case <-time.After(time.Millisecond):
					}
				}
				n.updates["config"] <- follow.Update{Topic: "config", Batch: follow.Batch{End: 1, Records: []follow.Record{{Key: "config", Value: []byte("1")}}}}
				for n.cluster.config.Load() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(time.Since(begun) < 2*time.Second)
				group.Stop()
				is.NoErr(group.Wait(0))
			})
		})
	}
}
