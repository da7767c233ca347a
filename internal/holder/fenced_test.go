package holder

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// A plan moved keys while its record was still on its way to some of 295 instances. They renewed by the record
// before, were refused for a higher fence twice within a millisecond, and said that the servers do not answer.
// These lost all their keys, and the plans for those keys made others refuse renewals in turn.
func TestFencedServerIsNotLost(t *testing.T) {
	is := is.New(t)
	now := &clock.Fake{At: clock.Instant(time.Hour)}
	h := New(Deps{Clock: now, Events: event.New(io.Discard, log.ErrorLevel), SendHeartbeat: func() {}})
	knowAsOf := func(at clock.Instant) { h.know.fold(follow.Update{StartedAt: at, CurrentAsOf: at, Snapshot: true}) }
	r := &renewer{holder: h, server: rules.Server{ID: "s"}, sending: make(chan struct{}, 1)}
	r.dueAt = time.Now()
	knowAsOf(now.At)
	for range 10 {
		is.True(r.note(ErrFenced)) // the round goes on: the server answers
		now.At = now.At.Add(50 * time.Millisecond)
	}
	is.True(!r.failing(time.Now()))
	now.At = now.At.Add(time.Minute)
	is.True(r.note(ErrFenced)) // whatever time passes, while nothing newer is known
	// What is known now is younger by more than a record needs, and the server still refuses.
	knowAsOf(now.At)
	for range failuresMost {
		r.note(ErrFenced)
	}
	is.True(r.failing(time.Now()))
	r.note(nil)
	is.True(!r.failing(time.Now()))
	is.True(r.note(ErrFenced)) // an answer in between starts the time anew
}
