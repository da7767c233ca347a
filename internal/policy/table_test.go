package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

const minute = Time(time.Minute)

// newSubmission returns a submission of the request with the given id.
func newSubmission(id, submissionID string, f Fingerprint) Submission {
	return Submission{
		RequestID: HashRequestID("oddaja", "", id), ID: HashRequestID("", "", submissionID), Fingerprint: f, ExpiresAt: 10 * minute,
	}
}

func TestTableBegin(t *testing.T) {
	first := newSubmission("x", "first", 7)
	response := &StoredResponse{Status: 201, Body: []byte("stored")}
	tests := map[string]struct {
		before func(x *IdempotencyTable)
		second Submission
		want   CheckResult
	}{
		"nothing known":        {before: func(*IdempotencyTable) {}, second: newSubmission("x", "second", 7), want: Fresh{}},
		"resend while it runs": {before: func(x *IdempotencyTable) { x.Begin(0, first) }, second: newSubmission("x", "second", 7), want: MayHaveRun{}},
		"other content":        {before: func(x *IdempotencyTable) { x.Begin(0, first) }, second: newSubmission("x", "second", 8), want: IDReused{}},
		"other id":             {before: func(x *IdempotencyTable) { x.Begin(0, first) }, second: newSubmission("y", "second", 7), want: Fresh{}},
		"resend after unknown": {before: func(x *IdempotencyTable) { x.Begin(0, first); x.RecordUnknown(first) }, second: newSubmission("x", "second", 7), want: MayHaveRun{}},
		"same submission done": {before: func(x *IdempotencyTable) { x.Begin(0, first); x.RecordUnknown(first) }, second: first, want: MayHaveRun{}},
		"resend after not run": {before: func(x *IdempotencyTable) { x.Begin(0, first); x.RecordNotRun(first) }, second: newSubmission("x", "second", 7), want: Fresh{}},
		"resend after the response": {
			before: func(x *IdempotencyTable) { x.Begin(0, first); x.RecordRan(first, 201, response) },
			second: newSubmission("x", "second", 7), want: AlreadyRan{Status: 201, Response: response},
		},
		"record of another gate": {
			before: func(x *IdempotencyTable) { x.Merge(0, first, caller.Unknown, 0) },
			second: newSubmission("x", "second", 7), want: MayHaveRun{},
		},
		"forwarded by another gate": {
			before: func(x *IdempotencyTable) { x.Merge(0, first, caller.Unknown, 0) }, second: first, want: Fresh{},
		},
		"record dropped after not run": {
			before: func(x *IdempotencyTable) { x.Merge(0, first, caller.Unknown, 0); x.Merge(0, first, caller.NotRun, 0) },
			second: newSubmission("x", "second", 7), want: Fresh{},
		},
		"record kept while it runs here": {
			before: func(x *IdempotencyTable) { x.Begin(0, first); x.Merge(0, first, caller.NotRun, 0) },
			second: newSubmission("x", "second", 7), want: MayHaveRun{},
		},
		"record of a run": {
			before: func(x *IdempotencyTable) { x.Merge(0, first, caller.Ran, 201) },
			second: newSubmission("x", "second", 7), want: AlreadyRan{Status: 201},
		},
		"late record does not undo the response": {
			before: func(x *IdempotencyTable) {
				x.Begin(0, first)
				x.RecordRan(first, 201, nil)
				x.Merge(0, first, caller.Unknown, 0)
				x.RecordNotRun(first)
			},
			second: newSubmission("x", "second", 7), want: AlreadyRan{Status: 201},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := NewIdempotencyTable(TableLimits{MaxRecords: 4, MaxResponseBytes: 1 << 10})
			tt.before(x)
			is.Equal(x.Begin(1, tt.second), tt.want)
		})
	}
}

// If a full table dropped a record to make room, a resend of that request would run twice. It
// takes no new record instead until one expires, and a submission at this gate never expires.
func TestTableRejectsWhenFull(t *testing.T) {
	is := is.New(t)
	x := NewIdempotencyTable(TableLimits{MaxRecords: 2})
	one, two, three := newSubmission("1", "a", 1), newSubmission("2", "b", 1), newSubmission("3", "c", 1)
	is.Equal(x.Begin(0, one), Fresh{})
	is.Equal(x.Begin(0, two), Fresh{})
	is.Equal(x.Begin(0, three), TableFull{})
	is.Equal(x.Merge(0, three, caller.Unknown, 0), false)
	x.RecordRan(one, 200, nil)
	is.Equal(x.Begin(10*minute, three), Fresh{})
	is.Equal(x.Lookup(10*minute, two.RequestID), MayHaveRun{})
	is.Equal(x.Begin(30*minute, two), MayHaveRun{})
}

func TestTableLimitsResponseBytes(t *testing.T) {
	is := is.New(t)
	x := NewIdempotencyTable(TableLimits{MaxRecords: 10, MaxResponseBytes: 1000})
	one, two := newSubmission("1", "a", 1), newSubmission("2", "b", 1)
	x.Begin(0, one)
	x.Begin(0, two)
	x.RecordRan(one, 200, &StoredResponse{Body: make([]byte, 900)})
	x.RecordRan(two, 200, &StoredResponse{Body: make([]byte, 900)})
	is.True(x.Lookup(1, one.RequestID).(AlreadyRan).Response != nil)
	is.True(x.Lookup(1, two.RequestID).(AlreadyRan).Response == nil)
	is.Equal(x.Len(), 2)
	x.Lookup(11*minute, one.RequestID)
	is.Equal(x.Len(), 0)
	is.Equal(x.responseBytes, 0)
}

func TestTableEachInRange(t *testing.T) {
	is := is.New(t)
	x := NewIdempotencyTable(TableLimits{MaxRecords: 10})
	low, high := newSubmission("1", "a", 1), newSubmission("2", "b", 1)
	low.Hash, high.Hash = 5, 50
	x.Begin(0, low)
	x.Begin(0, high)
	x.RecordRan(high, 201, nil)
	var ids []ID
	x.Each(0, keys.Range{First: 10, Last: 60}, func(s Submission, o caller.Outcome, status int) {
		ids = append(ids, s.RequestID)
		is.Equal(o, caller.Ran)
		is.Equal(status, 201)
	})
	is.Equal(ids, []ID{high.RequestID})
}
