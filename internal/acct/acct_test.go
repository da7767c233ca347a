package acct

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// read returns an account of the lines of two instances, of this release and of an earlier one.
func read(t *testing.T, service string) *Account {
	t.Helper()
	f, err := os.Open("testdata/instances.log")
	is.New(t).NoErr(err)
	defer f.Close()
	a := New(time.Second, service)
	is.New(t).NoErr(a.Read(f))
	return a
}

// Each figure of the account was counted by hand from the lines.
func TestWriteText(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("testdata/account.txt")
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(read(t, "").WriteText(&out))
	is.Equal(out.String(), string(want))
}

// An account without requests, or without those of the selected service, is refused before it is written.
func TestCheck(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.True(errors.Is(New(time.Second, "mail").WriteText(&out), ErrNoRequests))
	is.True(errors.Is(read(t, "mail").WriteText(&out), ErrNoService))
	is.Equal(out.Len(), 0)
}

// Guards against a 502 of a first attempt that is counted as the rejection of its retry.
func TestOutcomeOf(t *testing.T) {
	tests := map[string]struct {
		reason string
		status int
		want   outcome
	}{
		"answer":                {"answered", 200, answered},
		"other success":         {"answered", 204, answered},
		"server's own 503":      {"answered", 503, faulty},
		"fault before a retry":  {"overload", 500, faulty},
		"rejection":             {"server-full", 503, rejected},
		"no route":              {"no-route", 404, rejected},
		"quarantined":           {"crashes-servers", 502, rejected},
		"doubt":                 {"in-doubt", 502, inDoubt},
		"time-out":              {"timeout", 504, inDoubt},
		"doubt before a retry":  {"overload", 502, inDoubt},
		"caller left":           {"caller-left", 0, left},
		"caller left its queue": {"caller-left", 503, left},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(outcomeOf(test.reason, test.status), test.want)
		})
	}
}

// Guards against memory that grows with the number of names: those with many requests keep exact counts,
// the others are counted together.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	busy := newTable(100)
	for i := range 10_000 {
		busy.at(id{"", "busy"}).tally[answered]++
		busy.at(id{"", fmt.Sprint(i)}).tally[rejected]++
	}
	is.True(len(busy.entries) <= 100)
	total := busy.dropped
	for _, e := range busy.entries {
		total = total.plus(e.tally)
	}
	is.Equal(total, tally{answered: 10_000, rejected: 10_000})
	is.Equal(busy.sorted(outcomes)[0].requests(), 10_000)
	is.True(busy.missed < 1000) // one for each time that the table was full
}

// Guards against reasons and services without a limit.
func TestNamesAreBounded(t *testing.T) {
	is := is.New(t)
	var lines strings.Builder
	for i := range 1000 {
		_, _ = fmt.Fprintf(&lines, "time=2026-01-01T00:00:00Z msg=request status=503 service=s%d why=w%d\n", i, i)
	}
	a := New(time.Second, "")
	is.NoErr(a.Read(strings.NewReader(lines.String())))
	is.Equal(len(a.reasons), maxReasons)
	is.True(len(a.services.entries) <= maxServices)
	is.Equal(a.total[rejected], 1000)
}

// Guards against figures that take the names of a caller at several processes for several callers and do not say so: each
// process names callers under a key of its own.
func TestNamesOfSeveralProcesses(t *testing.T) {
	const note = "Callers are named in 2 ways"
	line := func(caller string) string {
		return "time=2026-01-01T00:00:00Z msg=request status=200 why=answered service=books caller=" + caller + "\n"
	}
	tests := map[string]struct {
		callers []string
		rows    int
		noted   bool
	}{
		"one process":         {[]string{"AAAA-01", "AAAA-02", "AAAA-01"}, 2, false},
		"two processes":       {[]string{"AAAA-01", "BBBB-01", "AAAA-01"}, 2, true},
		"an earlier release":  {[]string{"01", "02", "01"}, 2, false},
		"and one of this one": {[]string{"01", "AAAA-02", "01"}, 2, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(time.Second, "")
			for _, caller := range test.callers {
				is.NoErr(a.Read(strings.NewReader(line(caller))))
			}
			var out strings.Builder
			is.NoErr(a.WriteText(&out))
			is.Equal(strings.Contains(out.String(), note), test.noted)
			is.Equal(len(a.callers.entries), test.rows)
			is.Equal(a.callers.entries[id{"", test.callers[0]}].requests(), 2)
		})
	}
}

// Guards against memory that grows with the number of processes.
func TestNamingsAreBounded(t *testing.T) {
	is := is.New(t)
	var lines strings.Builder
	for i := range maxNamings + 10 {
		_, _ = fmt.Fprintf(&lines, "time=2026-01-01T00:00:00Z msg=request status=200 service=s caller=%d-1\n", i)
	}
	a := New(time.Second, "")
	is.NoErr(a.Read(strings.NewReader(lines.String())))
	is.Equal(len(a.namings), maxNamings)
	is.Equal(a.total[answered], maxNamings+10)
}
