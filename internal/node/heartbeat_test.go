package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

// Guards against ages that look too young. A process was throttled while it made a heartbeat: the age was from
// before, the send time from after, and its view seemed younger to its peers by the time in between. The age must be
// as of the stated send time.
func TestAgeRefersToSendTime(t *testing.T) {
	const second = clock.Instant(time.Second)
	tests := map[string]struct {
		config, servers, at clock.Instant
		want                int64
	}{
		"older one counts":         {5 * second, 6 * second, 7 * second, 2001},
		"applied after that time":  {9 * second, 8 * second, 7 * second, 0},
		"configuration never read": {0, 6 * second, 7 * second, -1},
		"too old for peers":        {5 * second, 6 * second, 36 * second, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, servers := &follow.Watch{}, &follow.Watch{}
			n := &Node{
				platform: Platform{ConfigTopic: "config", ServersTopic: "servers"},
				watches:  map[string]*follow.Watch{"config": config, "servers": servers},
			}
			config.MarkApplied(follow.Update{Batch: follow.Batch{End: 3}, CurrentAsOf: test.config})
			servers.MarkApplied(follow.Update{Batch: follow.Batch{End: 9}, CurrentAsOf: test.servers})
			age, configEnd, serversEnd := n.completeness(test.at)
			is.Equal(age, test.want)
			is.Equal(configEnd, logpos.Pos(3))
			is.Equal(serversEnd, logpos.Pos(9))
		})
	}
}

// Guards against a view that seems to be the newest for days: a peer echoes a heartbeat of an earlier process of the instance,
// which ran on a machine whose clock was ahead.
func TestEchoOfAnEarlierProcessIsIgnored(t *testing.T) {
	const startedAt, now = 1000, 2000
	tests := map[string]struct{ echoAt, want int64 }{
		"own":                   {1500, 1500},
		"of an earlier process": {999, 0},
		"of another machine":    {2001, 0},
		"none":                  {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ownEcho(test.echoAt, startedAt, now), test.want)
		})
	}
}

// Guards against an instance that takes its configuration for the newest although another instance knows more.
func TestConfigurationIsOutdatedWhileAPeerKnowsMore(t *testing.T) {
	is := is.New(t)
	watch := &follow.Watch{}
	n := &Node{platform: Platform{ConfigTopic: "config"}, watches: map[string]*follow.Watch{"config": watch}}
	watch.MarkApplied(follow.Update{Batch: follow.Batch{End: 3}})
	for _, end := range []logpos.Pos{2, 3} {
		n.noteConfigEnd(end)
		is.True(!n.ConfigOutdated())
	}
	for _, end := range []logpos.Pos{5, 4} { // heartbeats overtake each other
		n.noteConfigEnd(end)
		is.True(n.ConfigOutdated())
	}
	watch.MarkApplied(follow.Update{Batch: follow.Batch{End: 5}})
	is.True(!n.ConfigOutdated())
}
