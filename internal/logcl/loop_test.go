package logcl_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/stand"
)

// direct calls a handler without sockets. An aborted handler is a broken connection.
type direct struct {
	handler http.Handler
}

func (d direct) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	recorder := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			resp, err = nil, errors.New("connection broken")
		}
	}()
	d.handler.ServeHTTP(recorder, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return recorder.Result(), nil
}

// The whole client against the stand-in log: an assignment is submitted while the log has a
// fault, which ends after a minute. The assignment must be acknowledged with an offset at
// which it stands, and the reader, which follows all the time, must hold it.
func TestClientOutlivesFaults(t *testing.T) {
	tests := map[string]stand.LogFault{
		"well":         {},
		"down":         {Down: true},
		"answers lost": {LoseAnswers: 1000},
		"very slow":    {SlowMillis: 60_000},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := stand.NewLogService(stand.LogSettings{})
				service.SetFault(fault)
				time.AfterFunc(time.Minute, func() { service.SetFault(stand.LogFault{}) })
				log := logcl.New("http://log", &http.Client{Transport: direct{handler: service}})
				start := time.Now()
				clock := func() logcl.Time { return logcl.Time(time.Since(start)) }
				ctx, cancel := context.WithCancel(t.Context())
				readings := make(chan logcl.Reading, 1)
				events := make(chan logcl.AppendEvent, 8)
				effects := make(chan logcl.AppendEffect, 8)
				ended := make(chan error, 2)
				go func() { ended <- logcl.Follow(ctx, log, newReader(), clock, readings) }()
				go func() { ended <- logcl.Keep(ctx, log, newAppender(8), clock, events, effects) }()
				events <- logcl.Submitted{ID: "move", Record: made("s0", 3)}
				var acknowledged *logcl.Acknowledged
				held := false
				for acknowledged == nil || !held {
					select {
					case r := <-readings:
						for _, e := range r.Effects {
							if f, ok := e.(logcl.Folded); ok {
								events <- logcl.Seen{ID: f.Entry.ID, Offset: f.Entry.Offset}
							}
						}
						held = held || r.State != nil && r.State.Assigned[domainName]["s0"].Assignment.Epoch.Sequence == 3
					case e := <-effects:
						a := e.(logcl.Acknowledged)
						acknowledged = &a
					}
				}
				is.Equal(acknowledged.ID, "move")
				is.True(acknowledged.Offset < uint64(service.Appends())) // one of its repetitions
				is.True(time.Since(start) < 70*time.Second)
				is.True(service.Appends() < 20)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
				is.True(errors.Is(<-ended, context.Canceled))
			})
		})
	}
}
