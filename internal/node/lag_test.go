package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A route that was added was refused with 404 for four seconds at eight of eleven instances.
// The store had dropped its history; two instances read the newest configuration and said so in
// their heartbeats. Between these came the heartbeats of the eight, which knew no more, and each
// of them let the others forget that they were behind.
func TestLagShownByFewPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var b lagDetector
	read := false
	for range 4 {
		read = b.observe(4, 2, minLagTimeout, now) || read // one that knows more
		for range 8 {
			now = now.Add(28 * time.Millisecond)
			read = b.observe(2, 2, minLagTimeout, now) || read // those that do not
		}
		now = now.Add(26 * time.Millisecond)
	}
	is.True(read)
}

func TestLagDetector(t *testing.T) {
	start := time.Unix(0, 0)
	type word struct {
		after        time.Duration
		theirs, mine int64
		read         bool
	}
	tests := map[string][]word{
		"not behind":             {{0, 3, 3, false}, {time.Second, 3, 3, false}},
		"news comes in time":     {{0, 4, 3, false}, {100 * time.Millisecond, 4, 4, false}, {time.Second, 4, 4, false}},
		"news does not come":     {{0, 4, 3, false}, {200 * time.Millisecond, 4, 3, true}},
		"the next news is young": {{0, 4, 3, false}, {200 * time.Millisecond, 5, 4, false}, {400 * time.Millisecond, 5, 4, true}},
		"not at each heartbeat":  {{0, 4, 3, false}, {200 * time.Millisecond, 4, 3, true}, {210 * time.Millisecond, 4, 3, false}},
	}
	for name, words := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b lagDetector
			for _, w := range words {
				is.Equal(b.observe(w.theirs, w.mine, minLagTimeout, start.Add(w.after)), w.read)
			}
		})
	}
}
