package node

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

// lateStore is a topic of a store. It carries appends out when told to while late is set, and leaves them without an answer.
type lateStore struct {
	mu   sync.Mutex
	late bool
	// crowded makes others append just before each conditional append.
	crowded bool
	pending []func()
	records []follow.Record
	appends int
}

func (s *lateStore) Append(_ context.Context, _ string, records []follow.Record, expectedEnd logpos.Pos) (logpos.Pos, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if s.crowded {
		s.records = append(s.records, follow.Record{})
	}
	if s.late {
		s.pending = append(s.pending, func() { _, _ = s.append(records, expectedEnd) })
		return 0, follow.ErrUnknown
	}
	return s.append(records, expectedEnd)
}

// append appends records if the topic ends where it should. The lock is held.
func (s *lateStore) append(records []follow.Record, expectedEnd logpos.Pos) (logpos.Pos, error) {
	end := logpos.Pos(len(s.records))
	if expectedEnd >= 0 && expectedEnd != end {
		return 0, follow.ErrConflict
	}
	s.records = append(s.records, records...)
	return end, nil
}

func (s *lateStore) Read(context.Context, string, logpos.Pos, time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return follow.Batch{End: logpos.Pos(len(s.records))}, nil
}

func (s *lateStore) Newest(context.Context, string) (follow.Batch, error) {
	return follow.Batch{}, follow.ErrNotDone
}

// Guards against two owners: the record of the end of a process that the store carries out late takes the place of the
// registration of the next process.
func TestLateEndIsNotBehindTheNextRegistration(t *testing.T) {
	for name, others := range map[string]int{"nothing else written": 0, "written to meanwhile": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &lateStore{records: make([]follow.Record, others)}
				n := newFollower(s, 0)
				n.events = event.New(io.Discard, log.InfoLevel)
				s.late = true
				n.recordEnd(t.Context(), time.Now().Add(time.Second))
				s.late = false
				next := roster.Entry{Incarnation: 2}
				value, err := next.Encode()
				is.NoErr(err)
				_, err = s.Append(t.Context(), "owners", []follow.Record{{Key: lease.InstanceKey("i0"), Value: value}}, -1)
				is.NoErr(err)
				for _, carryOut := range s.pending {
					carryOut()
				}
				newest, err := roster.Decode(s.records[len(s.records)-1].Value)
				is.NoErr(err)
				is.Equal(newest, next)
			})
		})
	}
}

// Guards against an end that is never recorded because others have written since this instance last read, and against calls
// without end while others go on writing.
func TestEndIsRecordedBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &lateStore{records: make([]follow.Record, 5)}
		n := newFollower(s, 0)
		n.events = event.New(io.Discard, log.InfoLevel)
		n.recordEnd(t.Context(), time.Now().Add(time.Second))
		ended, err := roster.Decode(s.records[len(s.records)-1].Value)
		is.NoErr(err)
		is.True(ended.Ended)
		is.Equal(s.appends, 2)
	})
}

// Guards against an end that is not recorded without a line that says so.
func TestEndThatOthersRefuseIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines strings.Builder
		s := &lateStore{crowded: true}
		n := newFollower(s, 0)
		n.events = event.New(&lines, log.InfoLevel)
		n.recordEnd(t.Context(), time.Now().Add(time.Second))
		is.Equal(s.appends, maxEndAppends)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_ = n.events.Run(ended)
		is.True(strings.Contains(lines.String(), "msg=end-not-recorded"))
	})
}
