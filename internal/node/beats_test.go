package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
)

// A process stood still while it made up a heartbeat: what it knew was told with an age of before and a
// time of sending of after, and seemed younger to the others by the time between. The age counts at the
// instant that is told as that of sending.
func TestAgeCountsAtTheTimeOfSending(t *testing.T) {
	const second = clock.Instant(time.Second)
	tests := map[string]struct {
		config, servers, at clock.Instant
		want                int64
	}{
		"the older of the two counts":   {5 * second, 6 * second, 7 * second, 2001},
		"applied after the time":        {9 * second, 8 * second, 7 * second, 0},
		"the configuration is not read": {0, 6 * second, 7 * second, -1},
		"too old for others":            {5 * second, 6 * second, 36 * second, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, servers := &follow.Watch{}, &follow.Watch{}
			n := &Node{
				around: Platform{ConfigTopic: "config", ServersTopic: "servers"},
				topics: map[string]*follow.Watch{"config": config, "servers": servers},
			}
			config.MarkApplied(follow.Update{Batch: follow.Batch{End: 3}, CurrentAsOf: test.config})
			servers.MarkApplied(follow.Update{Batch: follow.Batch{End: 9}, CurrentAsOf: test.servers})
			age, configEnd, serversEnd := n.complete(test.at)
			is.Equal(age, test.want)
			is.Equal(configEnd, int64(3))
			is.Equal(serversEnd, int64(9))
		})
	}
}
