package logcl_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
)

func newAppender(queue int) *logcl.Appender {
	return logcl.NewAppender(logcl.AppenderConfig{PerSecond: 10, Burst: 10, MaxQueued: queue, MaxCalls: 1, Random: seeded(1)})
}

func made(server string, sequence uint64) record.AssignmentMade {
	return record.AssignmentMade{Domain: domainName, Service: "oddaja", Assignments: []record.Assignment{assignment(server, sequence)}}
}

func writesOf(effects []logcl.AppendEffect) []string {
	var ids []string
	for _, effect := range effects {
		if w, ok := effect.(logcl.Write); ok {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// The log is down for hours while a domain goes on moving ranges of three servers. When it
// returns, the leader's term goes first and the moves stand in one record: 10,000 decisions
// cost one append, and the queue never held more than one record of them.
func TestOutageCoalesces(t *testing.T) {
	is := is.New(t)
	a := newAppender(8)
	now := second
	is.Equal(writesOf(a.Handle(now, logcl.Submitted{ID: "first", Record: made("s9", 1)})), []string{"first"})
	replaced := 0
	for n := range 10_000 {
		id := fmt.Sprint("move-", n)
		for _, effect := range a.Handle(now, logcl.Submitted{ID: id, Record: made(fmt.Sprint("s", n%3), uint64(n))}) {
			is.Equal(effect.(logcl.Dropped).Reason, logcl.DropReplaced)
			replaced++
		}
	}
	is.Equal(replaced, 9_997)
	a.Handle(now, logcl.Submitted{ID: "claim", Record: record.TermClaimed{Domain: domainName}})
	is.Equal(a.Pending(), 3)
	a.Handle(now, logcl.WriteResult{ID: "first", Err: logcl.ErrUnavailable})
	now += 3600 * second
	is.Equal(writesOf(a.Handle(now, logcl.Ticked{})), []string{"claim"})
	is.Equal(writesOf(a.Handle(now, logcl.WriteResult{ID: "claim", Offset: 0})), []string{"first"})
	effects := a.Handle(now, logcl.WriteResult{ID: "first", Offset: 1})
	write := effects[len(effects)-1].(logcl.Write)
	r, err := record.Decode(write.Data)
	is.NoErr(err)
	is.Equal(r.(record.AssignmentMade).Assignments, []record.Assignment{assignment("s0", 9_999), assignment("s1", 9_997), assignment("s2", 9_998)})
	is.Equal(a.Handle(now, logcl.WriteResult{ID: write.ID, Offset: 2}), []logcl.AppendEffect{
		logcl.Acknowledged{ID: "move-9997", Offset: 2},
		logcl.Acknowledged{ID: "move-9998", Offset: 2},
		logcl.Acknowledged{ID: "move-9999", Offset: 2},
	})
}

// Each answer of the log is lost, but it takes the appends. The reader meets the record, and
// with that the appender stops repeating it.
func TestSeenRecordIsNotRepeated(t *testing.T) {
	is := is.New(t)
	a := newAppender(8)
	a.Handle(second, logcl.Submitted{ID: "a", Record: made("s0", 1)})
	a.Handle(second, logcl.WriteResult{ID: "a", Err: logcl.ErrUncertain})
	is.Equal(a.Handle(second, logcl.EntryRead{ID: "a", Offset: 4}), []logcl.AppendEffect{logcl.Acknowledged{ID: "a", Offset: 4}})
	is.Equal(len(a.Handle(100*second, logcl.Ticked{})), 0)
}

func TestWrittenErrors(t *testing.T) {
	tests := map[string]struct {
		err     error
		dropped bool
	}{
		"unavailable": {err: logcl.ErrUnavailable},
		"limited":     {err: logcl.ErrRateLimited},
		"uncertain":   {err: fmt.Errorf("%w: %w", logcl.ErrUncertain, errors.New("reset"))},
		"refused":     {err: logcl.ErrRefused, dropped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newAppender(8)
			first := a.Handle(second, logcl.Submitted{ID: "a", Record: made("s0", 1)})[0].(logcl.Write)
			effects := a.Handle(second, logcl.WriteResult{ID: "a", Err: test.err})
			if test.dropped {
				is.Equal(effects, []logcl.AppendEffect{logcl.Dropped{ID: "a", Reason: logcl.DropRefused}})
				return
			}
			at := effects[0].(logcl.WakeAt).At
			is.True(at > second)                                                // waits
			is.Equal(len(writesOf(a.Handle(at-1, logcl.Ticked{}))), 0)          // not before
			is.Equal(a.Handle(at, logcl.Ticked{}), []logcl.AppendEffect{first}) // same ID and data
		})
	}
}

// Nothing that cannot be joined may fill the memory while the log is down.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	a := newAppender(2)
	a.Handle(second, logcl.Submitted{ID: "a", Record: record.BundleApproved{}})
	a.Handle(second, logcl.Submitted{ID: "b", Record: record.BundleApproved{}})
	is.Equal(a.Handle(second, logcl.Submitted{ID: "c", Record: record.BundleApproved{}}),
		[]logcl.AppendEffect{logcl.Dropped{ID: "c", Reason: logcl.DropFull}})
	is.Equal(a.Pending(), 2)
}
