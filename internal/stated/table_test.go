package stated_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/stated"
)

// Checks which responses and messages begin, change and end the limit of a server.
func TestLimits(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	limit := func(rate float64) stated.Limit { return stated.Limit{Known: true, Rate: rate} }
	tests := map[string]struct {
		do   func(l *stated.Table)
		want float64
	}{
		"a limit": {func(l *stated.Table) { l.ObserveLimit("s", limit(2), at(0), at(100)) }, 2},
		"another value": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.ObserveLimit("s", limit(3), at(50), at(150))
		}, 3},
		"a later end": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.ObserveLimit("s", limit(0), at(110), at(150))
		}, 0},
		"an earlier response": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.ObserveLimit("s", limit(0), at(90), at(150))
		}, 2},
		"a malformed one": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.ObserveLimit("s", stated.Limit{}, at(110), at(150))
		}, 2},
		"told":                        {func(l *stated.Table) { l.TellLimit("s", 2, at(0)) }, 2},
		"told its end":                {func(l *stated.Table) { l.TellLimit("s", 2, at(0)); l.TellLimit("s", 0, at(100)) }, 0},
		"told otherwise than seen":    {func(l *stated.Table) { l.ObserveLimit("s", limit(2), at(0), at(100)); l.TellLimit("s", 9, at(200)) }, 2},
		"told long after it was seen": {func(l *stated.Table) { l.ObserveLimit("s", limit(2), at(0), at(100)); l.TellLimit("s", 9, at(5000)) }, 9},
		"told and not repeated": {func(l *stated.Table) {
			l.TellLimit("s", 2, at(0))
			l.Expire(func(string) bool { return true }, at(6000))
		}, 0},
		"seen, and not used since": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.Expire(func(string) bool { return true }, at(60000))
		}, 2},
		"the server has ended": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.Expire(func(string) bool { return false }, at(200))
		}, 0},
		"told what has ended": {func(l *stated.Table) {
			l.ObserveLimit("s", limit(2), at(0), at(100))
			l.ObserveLimit("s", limit(0), at(110), at(150))
			l.TellLimit("s", 2, at(200))
		}, 0},
		"another server": {func(l *stated.Table) { l.ObserveLimit("r", limit(2), at(0), at(100)) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := stated.NewTable()
			test.do(l)
			is.Equal(l.RateLimit("s"), test.want)
		})
	}
}

// Checks what begins and ends the leave of a server, and what outlives its entry in the directory.
func TestLeaves(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	listed := func(string) bool { return true }
	unlisted := func(string) bool { return false }
	tests := map[string]struct {
		entry rules.Server
		do    func(l *stated.Table)
		want  rules.Server
	}{
		"nothing stated": {rules.Server{ID: "s"}, func(*stated.Table) {}, rules.Server{ID: "s"}},
		"stated, and the entry says ready": {rules.Server{ID: "s"}, func(l *stated.Table) { l.ObserveLeave("s", at(100)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100)}},
		"the entry has said so earlier": {rules.Server{ID: "s", Draining: true, LeaveBy: at(50)}, func(l *stated.Table) { l.ObserveLeave("s", at(100)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(50)}},
		"the entry says so later": {rules.Server{ID: "s", Draining: true, LeaveBy: at(150)}, func(l *stated.Table) { l.ObserveLeave("s", at(100)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100)}},
		"stated again": {rules.Server{ID: "s"}, func(l *stated.Table) { l.ObserveLeave("s", at(100)); l.ObserveLeave("s", at(200)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100)}},
		"told hardly earlier": {rules.Server{ID: "s"}, func(l *stated.Table) { l.ObserveLeave("s", at(100)); l.ObserveLeave("s", at(99)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100)}},
		"told earlier": {rules.Server{ID: "s"}, func(l *stated.Table) { l.ObserveLeave("s", at(1000)); l.ObserveLeave("s", at(500)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(500)}},
		"evacuated at the same time": {rules.Server{ID: "s", Evacuated: true, LeaveBy: at(80)}, func(l *stated.Table) { l.ObserveLeave("s", at(100)) },
			rules.Server{ID: "s", Evacuated: true, Draining: true, LeaveBy: at(80)}},
		"a limit at the same time": {rules.Server{ID: "s"}, func(l *stated.Table) {
			l.ObserveLeave("s", at(100))
			l.ObserveLimit("s", stated.NewLimit(2), at(0), at(10))
		},
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100), RateLimit: 2}},
		"long ago": {rules.Server{ID: "s"}, func(l *stated.Table) { l.ObserveLeave("s", at(100)); l.Expire(listed, at(3_600_000)) },
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100)}},
		"the entry was gone for a while": {rules.Server{ID: "s"}, func(l *stated.Table) {
			l.ObserveLeave("s", at(100))
			l.Expire(unlisted, at(200))
			l.Expire(listed, at(9000))
		},
			rules.Server{ID: "s", Draining: true, LeaveBy: at(100)}},
		"the entry is gone for good": {rules.Server{ID: "s"}, func(l *stated.Table) {
			l.ObserveLeave("s", at(100))
			l.Expire(unlisted, at(200))
			l.Expire(unlisted, at(700_000))
		},
			rules.Server{ID: "s"}},
		"another incarnation": {rules.Server{ID: "s~2"}, func(l *stated.Table) { l.ObserveLeave("s~1", at(100)) }, rules.Server{ID: "s~2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := stated.NewTable()
			test.do(l)
			is.Equal(l.Apply(test.entry), test.want)
		})
	}
}

// Checks what begins, prolongs and ends the rest that a server has asked for.
func TestRests(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		do   func(l *stated.Table)
		want time.Time
	}{
		"none":           {func(*stated.Table) {}, time.Time{}},
		"one":            {func(l *stated.Table) { l.ObserveRest("s", at(100)) }, at(100)},
		"a longer one":   {func(l *stated.Table) { l.ObserveRest("s", at(100)); l.ObserveRest("s", at(200)) }, at(200)},
		"a shorter one":  {func(l *stated.Table) { l.ObserveRest("s", at(200)); l.ObserveRest("s", at(100)) }, at(200)},
		"another server": {func(l *stated.Table) { l.ObserveRest("r", at(100)) }, time.Time{}},
		"another life":   {func(l *stated.Table) { l.ObserveRest("s~1", at(100)) }, time.Time{}},
		"not over": {func(l *stated.Table) {
			l.ObserveRest("s", at(200))
			l.Expire(func(string) bool { return true }, at(199))
		}, at(200)},
		"over": {func(l *stated.Table) {
			l.ObserveRest("s", at(200))
			l.Expire(func(string) bool { return true }, at(200))
		}, time.Time{}},
		"the entry is gone": {func(l *stated.Table) {
			l.ObserveRest("s", at(200))
			l.Expire(func(string) bool { return false }, at(100))
		}, at(200)},
		"and a leave":        {func(l *stated.Table) { l.ObserveRest("s", at(200)); l.ObserveLeave("s", at(100)) }, at(200)},
		"longer than a life": {func(l *stated.Table) { l.ObserveRest("s", at(0).AddDate(100, 0, 0)); l.ObserveRest("s", at(100)) }, at(0).AddDate(100, 0, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := stated.NewTable()
			test.do(l)
			is.Equal(l.RestUntil("s"), test.want)
		})
	}
}

// Checks for how long a rest for all instances counts, and which changes of it matter.
func TestRestsForAll(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	l := stated.NewTable()
	restsUntil := func() time.Time { return l.Apply(rules.Server{ID: "s"}).RestsUntil }
	is.True(l.ObserveRestForAll("s", at(1000), at(0)))
	is.Equal(restsUntil(), at(1000))
	is.True(!l.ObserveRestForAll("s", at(1200), at(200))) // hardly longer
	is.True(l.ObserveRestForAll("s", at(3_000_000), at(400)))
	is.Equal(restsUntil(), at(3400)) // counts only while it is told again
	is.True(!l.ObserveRestForAll("s", at(3_000_000), at(800)))
	is.True(l.ObserveRestForAll("s", at(3_000_000), at(1200)))
	is.Equal(restsUntil(), at(4200))
	l.Expire(func(string) bool { return true }, at(4200))
	is.Equal(restsUntil(), time.Time{})
}
