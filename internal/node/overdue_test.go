package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

// Guards against requests that reach a server long after its leave, from an instance that knows that it lacks news of the directory.
func TestDirectoryIsOutdatedWhileNewsAreOverdue(t *testing.T) {
	const interval, drainTime = 300 * time.Millisecond, 2250 * time.Millisecond
	type statement struct {
		after    time.Duration
		end, own logpos.Pos
	}
	tests := map[string]struct {
		statements []statement
		// after is when it is asked, age how long ago nothing was missing then.
		after, age, sendDelay time.Duration
		outdated              bool
	}{
		"nothing newer":               {statements: []statement{{0, 5, 5}}, after: 100 * time.Millisecond, age: time.Hour},
		"just stated":                 {statements: []statement{{0, 6, 5}}, after: 100 * time.Millisecond, age: 300 * time.Millisecond},
		"in force before it was late": {statements: []statement{{0, 6, 5}}, after: 100 * time.Millisecond, age: 3 * time.Second},
		"overdue": {
			statements: []statement{{0, 6, 5}, {time.Second, 7, 5}}, after: 1200 * time.Millisecond, age: 1400 * time.Millisecond, outdated: true,
		},
		"overdue, on a slow link": {
			statements: []statement{{0, 6, 5}, {500 * time.Millisecond, 6, 5}}, after: 900 * time.Millisecond, age: 1200 * time.Millisecond,
			sendDelay: 1100 * time.Millisecond, outdated: true,
		},
		"the news have come": {
			statements: []statement{{0, 6, 5}, {time.Second, 6, 6}}, after: 1500 * time.Millisecond, age: 1700 * time.Millisecond,
		},
		"a part of the news has come": {
			statements: []statement{{0, 6, 5}, {time.Second, 7, 6}}, after: 1500 * time.Millisecond, age: 700 * time.Millisecond,
		},
		"nobody states it any more": {statements: []statement{{0, 6, 5}}, after: 1500 * time.Millisecond, age: 1700 * time.Millisecond},
		"stated for long": {
			statements: []statement{{0, 6, 5}, {11 * time.Second, 6, 5}}, after: 11 * time.Second, age: 11 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var o overdueNews
			start, own := time.Now(), logpos.Pos(0)
			for _, s := range test.statements {
				o.observe(s.end, s.own, start.Add(s.after))
				own = s.own
			}
			is.Equal(o.outdated(directoryState{
				now: start.Add(test.after), end: own, age: test.age, heartbeats: interval, drainTime: drainTime, sendDelay: test.sendDelay,
			}), test.outdated)
		})
	}
}

// Guards against a tunnel to a server of a service that is not divided by key, whose leave may be among the news that are overdue.
func TestTunnelsEndWhileNewsAreOverdue(t *testing.T) {
	is := is.New(t)
	watch := &follow.Watch{}
	n := &Node{
		platform: Platform{ServersTopic: "servers"}, watches: map[string]*follow.Watch{"servers": watch}, roster: roster.New("i0", "d0"), cluster: newTestState(),
	}
	n.cluster.applyDirectory(true, "s1", "ready")
	is.True(n.accepts("s1"))
	now := time.Now()
	n.overdue.observe(1, 0, now.Add(-3*time.Second))
	n.overdue.observe(1, 0, now)
	is.True(!n.accepts("s1"))
	watch.MarkApplied(follow.Update{Batch: follow.Batch{End: 1}})
	is.True(n.accepts("s1"))
}
