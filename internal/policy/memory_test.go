package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

const minute = Time(time.Minute)

// sentAs returns a sending of the work with an id.
func sentAs(id, sending string, content Fingerprint) Sent {
	return Sent{
		Name: HashRequestID("oddaja", "", id), Sending: HashRequestID("", "", sending), Print: content, Until: 10 * minute,
	}
}

func TestMemoryRecollects(t *testing.T) {
	first := sentAs("x", "first", 7)
	kept := &StoredResponse{Status: 201, Body: []byte("stored")}
	tests := map[string]struct {
		before func(m *Memory)
		second Sent
		want   CheckResult
	}{
		"nothing known":        {before: func(*Memory) {}, second: sentAs("x", "second", 7), want: Fresh{}},
		"resend while it runs": {before: func(m *Memory) { m.Begin(0, first) }, second: sentAs("x", "second", 7), want: MayHaveRun{}},
		"other content":        {before: func(m *Memory) { m.Begin(0, first) }, second: sentAs("x", "second", 8), want: IDReused{}},
		"other id":             {before: func(m *Memory) { m.Begin(0, first) }, second: sentAs("y", "second", 7), want: Fresh{}},
		"resend after doubt":   {before: func(m *Memory) { m.Begin(0, first); m.Doubt(first) }, second: sentAs("x", "second", 7), want: MayHaveRun{}},
		"same sending spent":   {before: func(m *Memory) { m.Begin(0, first); m.Doubt(first) }, second: first, want: MayHaveRun{}},
		"resend after not run": {before: func(m *Memory) { m.Begin(0, first); m.NotRun(first) }, second: sentAs("x", "second", 7), want: Fresh{}},
		"resend after the answer": {
			before: func(m *Memory) { m.Begin(0, first); m.Ran(first, 201, kept) },
			second: sentAs("x", "second", 7), want: AlreadyRan{Status: 201, Response: kept},
		},
		"mark of another gate": {
			before: func(m *Memory) { m.Adopt(0, first, caller.Unknown, 0) },
			second: sentAs("x", "second", 7), want: MayHaveRun{},
		},
		"passed on by another gate": {
			before: func(m *Memory) { m.Adopt(0, first, caller.Unknown, 0) }, second: first, want: Fresh{},
		},
		"mark taken back": {
			before: func(m *Memory) { m.Adopt(0, first, caller.Unknown, 0); m.Adopt(0, first, caller.NotRun, 0) },
			second: sentAs("x", "second", 7), want: Fresh{},
		},
		"mark not taken back while it runs here": {
			before: func(m *Memory) { m.Begin(0, first); m.Adopt(0, first, caller.NotRun, 0) },
			second: sentAs("x", "second", 7), want: MayHaveRun{},
		},
		"mark that ran": {
			before: func(m *Memory) { m.Adopt(0, first, caller.Ran, 201) },
			second: sentAs("x", "second", 7), want: AlreadyRan{Status: 201},
		},
		"late mark does not undo the answer": {
			before: func(m *Memory) {
				m.Begin(0, first)
				m.Ran(first, 201, nil)
				m.Adopt(0, first, caller.Unknown, 0)
				m.NotRun(first)
			},
			second: sentAs("x", "second", 7), want: AlreadyRan{Status: 201},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory(TableLimits{Entries: 4, KeptBytes: 1 << 10})
			tt.before(m)
			is.Equal(m.Begin(1, tt.second), tt.want)
		})
	}
}

// A burst of submissions fills the memory. To make room by forgetting one would let its
// resend run twice; the newest is refused instead, until time makes room.
func TestMemoryRefusesWhenFull(t *testing.T) {
	is := is.New(t)
	m := NewMemory(TableLimits{Entries: 2})
	one, two, three := sentAs("1", "a", 1), sentAs("2", "b", 1), sentAs("3", "c", 1)
	is.Equal(m.Begin(0, one), Fresh{})
	is.Equal(m.Begin(0, two), Fresh{})
	is.Equal(m.Begin(0, three), TableFull{})
	is.Equal(m.Adopt(0, three, caller.Unknown, 0), false)
	m.Ran(one, 200, nil)
	is.Equal(m.Begin(10*minute, three), Fresh{})
	is.Equal(m.Look(10*minute, two.Name), MayHaveRun{})
	is.Equal(m.Begin(30*minute, two), MayHaveRun{})
}

func TestMemoryBoundsKeptAnswers(t *testing.T) {
	is := is.New(t)
	m := NewMemory(TableLimits{Entries: 10, KeptBytes: 1000})
	one, two := sentAs("1", "a", 1), sentAs("2", "b", 1)
	m.Begin(0, one)
	m.Begin(0, two)
	m.Ran(one, 200, &StoredResponse{Body: make([]byte, 900)})
	m.Ran(two, 200, &StoredResponse{Body: make([]byte, 900)})
	is.True(m.Look(1, one.Name).(AlreadyRan).Response != nil)
	is.True(m.Look(1, two.Name).(AlreadyRan).Response == nil)
	is.Equal(m.Len(), 2)
	m.Look(11*minute, one.Name)
	is.Equal(m.Len(), 0)
	is.Equal(m.kept, 0)
}

func TestMemoryTellsMarksOfARange(t *testing.T) {
	is := is.New(t)
	m := NewMemory(TableLimits{Entries: 10})
	low, high := sentAs("1", "a", 1), sentAs("2", "b", 1)
	low.Hash, high.Hash = 5, 50
	m.Begin(0, low)
	m.Begin(0, high)
	m.Ran(high, 201, nil)
	var names []ID
	m.Each(0, keys.Range{First: 10, Last: 60}, func(s Sent, o caller.Outcome, status int) {
		names = append(names, s.Name)
		is.Equal(o, caller.Ran)
		is.Equal(status, 201)
	})
	is.Equal(names, []ID{high.Name})
}
