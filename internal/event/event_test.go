package event

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// writer counts what is written to it.
type writer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	calls int
	err   error
}

func (w *writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if w.err != nil {
		return 0, w.err
	}
	return w.text.Write(p)
}

func (w *writer) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.text.String(), "\n")
}

// An instance with a sixth of a core wrote a line and woke up once for each request. Lines that come
// close together are written together, and none waits for long.
func TestLinesAreGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &writer{}
		l := New(w, log.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		for range 50 {
			l.Record(Success, "request", "id", "x")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(gatherTime)
		is.Equal(w.lines(), 50)
		is.True(w.calls <= 3)
		l.Record(StateChange, "stop")
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
		is.Equal(w.lines(), 51) // the last line is written at the end
	})
}

// Under load lines are dropped and counted, those of good requests first, and nobody waits for a
// writer that fails.
func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &writer{err: errors.New("no room")}
		l := New(w, log.InfoLevel)
		began := time.Now()
		for range 5000 {
			l.Record(Success, "request")
			l.Record(Failure, "request")
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.True(l.dropped[Success].Load() > l.dropped[Failure].Load()-int64(ringSize))
		is.Equal(l.Counts().Get("request").String(), "10000") // all are counted
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		time.Sleep(time.Second)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
		is.True(l.Counts().Get("write-failed") != nil)
	})
}
