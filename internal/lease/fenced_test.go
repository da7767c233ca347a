package lease

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

// Guards against servers that are taken for lost because they refuse outdated renewals. A plan moved keys while its
// record was still on the way to some of 295 instances. They renewed by the previous record, were refused
// twice within a millisecond because of the higher fence, and reported the servers as failing. These
// lost all their keys, and the plans for those keys made further servers refuse renewals.
func TestFencedServerIsNotFailing(t *testing.T) {
	is := is.New(t)
	now := &clock.Fake{At: clock.Instant(time.Hour)}
	lm := New(Deps{Clock: now, Events: event.New(io.Discard, log.ErrorLevel), SendHeartbeat: func() {}})
	knowAsOf := func(at clock.Instant) {
		lm.view.applyUpdate(follow.Update{StartedAt: at, CurrentAsOf: at, Snapshot: true})
	}
	r := &renewer{manager: lm, server: rules.Server{ID: "s"}, sending: make(chan struct{}, 1)}
	r.dueAt = time.Now()
	knowAsOf(now.At)
	for range 10 {
		is.True(r.recordResult(ErrFenced)) // the round continues, since the server answers
		now.At = now.At.Add(50 * time.Millisecond)
	}
	is.True(!r.failing(time.Now()))
	now.At = now.At.Add(time.Minute)
	is.True(r.recordResult(ErrFenced)) // regardless of time, as long as the view is not newer
	// The view is now newer than maxRecordDelay after the first refusal, and the server still refuses.
	knowAsOf(now.At)
	for range maxRenewalFailures {
		r.recordResult(ErrFenced)
	}
	is.True(r.failing(time.Now()))
	r.recordResult(nil)
	is.True(!r.failing(time.Now()))
	is.True(r.recordResult(ErrFenced)) // an answer in between restarts the delay
}
