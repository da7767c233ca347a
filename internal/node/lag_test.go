package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logpos"
)

// Guards against a lag that is never detected because most peers lag as well. Two of eleven instances read the newest
// configuration after the store had dropped its history. The heartbeats of the others, which knew no more, came in
// between and restarted the timeout, and eight instances rejected a new route with 404 for four seconds.
func TestLagShownByFewPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var d lagDetector
	read := false
	for range 4 {
		read = d.observe(4, 2, minLagTimeout, now) || read // a peer that knows more
		for range 8 {
			now = now.Add(28 * time.Millisecond)
			read = d.observe(2, 2, minLagTimeout, now) || read // peers that do not
		}
		now = now.Add(26 * time.Millisecond)
	}
	is.True(read)
}

func TestLagDetector(t *testing.T) {
	start := time.Unix(0, 0)
	type heartbeat struct {
		after           time.Duration
		peerEnd, ownEnd logpos.Pos
		read            bool
	}
	tests := map[string][]heartbeat{
		"not behind":                    {{0, 3, 3, false}, {time.Second, 3, 3, false}},
		"update arrives in time":        {{0, 4, 3, false}, {100 * time.Millisecond, 4, 4, false}, {time.Second, 4, 4, false}},
		"update does not arrive":        {{0, 4, 3, false}, {200 * time.Millisecond, 4, 3, true}},
		"progress restarts the timeout": {{0, 4, 3, false}, {200 * time.Millisecond, 5, 4, false}, {400 * time.Millisecond, 5, 4, true}},
		"not on every heartbeat":        {{0, 4, 3, false}, {200 * time.Millisecond, 4, 3, true}, {210 * time.Millisecond, 4, 3, false}},
	}
	for name, heartbeats := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d lagDetector
			for _, h := range heartbeats {
				is.Equal(d.observe(h.peerEnd, h.ownEnd, minLagTimeout, start.Add(h.after)), h.read)
			}
		})
	}
}
