package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
)

// Checks which responses and messages begin, change and end the limit of a server.
func TestLimits(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stated := func(rate float64) admit.StatedLimit { return admit.StatedLimit{Known: true, Rate: rate} }
	tests := map[string]struct {
		do   func(l *admit.Limits)
		want float64
	}{
		"a limit": {func(l *admit.Limits) { l.Observe("s", stated(2), at(0), at(100)) }, 2},
		"another value": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Observe("s", stated(3), at(50), at(150))
		}, 3},
		"a later end": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Observe("s", stated(0), at(110), at(150))
		}, 0},
		"an earlier response": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Observe("s", stated(0), at(90), at(150))
		}, 2},
		"a malformed one": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Observe("s", admit.StatedLimit{}, at(110), at(150))
		}, 2},
		"told":                        {func(l *admit.Limits) { l.Tell("s", 2, at(0)) }, 2},
		"told its end":                {func(l *admit.Limits) { l.Tell("s", 2, at(0)); l.Tell("s", 0, at(100)) }, 0},
		"told otherwise than seen":    {func(l *admit.Limits) { l.Observe("s", stated(2), at(0), at(100)); l.Tell("s", 9, at(200)) }, 2},
		"told long after it was seen": {func(l *admit.Limits) { l.Observe("s", stated(2), at(0), at(100)); l.Tell("s", 9, at(5000)) }, 9},
		"told and not repeated":       {func(l *admit.Limits) { l.Tell("s", 2, at(0)); l.Expire(func(string) bool { return true }, at(6000)) }, 0},
		"seen, and not used since": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Expire(func(string) bool { return true }, at(60000))
		}, 2},
		"the server has ended": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Expire(func(string) bool { return false }, at(200))
		}, 0},
		"told what has ended": {func(l *admit.Limits) {
			l.Observe("s", stated(2), at(0), at(100))
			l.Observe("s", stated(0), at(110), at(150))
			l.Tell("s", 2, at(200))
		}, 0},
		"another server": {func(l *admit.Limits) { l.Observe("r", stated(2), at(0), at(100)) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := admit.NewLimits()
			test.do(l)
			is.Equal(l.Rate("s"), test.want)
		})
	}
}
