package load

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/stubs"
	"example.org/mustardring/pkg/caller"
)

// profile returns a checked profile with even starts and a change applied to it.
func profile(change func(*Profile)) *Profile {
	p := &Profile{
		Entries: []string{"127.0.0.1:1", "127.0.0.1:2"}, Servers: []string{"127.0.0.1:3"},
		Rate: 100, DurationMillis: 2000, Spread: SpreadEven, Seed: 7,
		Services: []Service{{Name: "oddaja", Share: 1, Keys: 100, NonIdempotentShare: 0.5}},
	}
	if change != nil {
		change(p)
	}
	if field, _, fix := p.check(); fix != "" {
		panic(field + ": " + fix)
	}
	return p
}

func TestProfileIsChecked(t *testing.T) {
	tests := map[string]struct {
		change func(*Profile)
		field  string
	}{
		"valid":             {change: func(*Profile) {}},
		"not loopback":      {change: func(p *Profile) { p.Entries[1] = "10.0.0.1:80" }, field: "entries"},
		"host name":         {change: func(p *Profile) { p.Servers[0] = "localhost:80" }, field: "servers"},
		"too long":          {change: func(p *Profile) { p.DurationMillis = 4_000_000 }, field: "duration-ms"},
		"too many requests": {change: func(p *Profile) { p.Rate = 1e7 }, field: "rate"},
		"share above one":   {change: func(p *Profile) { p.Services[0].NonIdempotentShare = 2 }, field: "services[0].once-share"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := profile(nil)
			test.change(p)
			field, _, _ := p.check()
			is.Equal(field, test.field)
		})
	}
}

func TestPlanIsSeeded(t *testing.T) {
	is := is.New(t)
	p := profile(func(p *Profile) {
		p.Rate, p.Spread = 5000, SpreadRandom
		p.Services[0] = Service{Name: "arhiv", Share: 1, Keys: 100_000, HotKeys: 10, HotShare: 0.5, ShiftMillis: 1000, NonIdempotentShare: 0.25}
		p.Resend.TwinShare = 0.1
	})
	a, b := newPlan(p), newPlan(p)
	once, twins := 0, 0
	hot := []map[string]int{{}, {}}
	last := -1
	for {
		r, ok := a.next()
		again, _ := b.next()
		is.Equal(r, again)
		if !ok {
			break
		}
		switch {
		case r.id == last:
			twins++
		case r.nonIdempotent:
			once++
		}
		last = r.id
		hot[r.at/time.Second][r.key]++
	}
	share := func(n int) int { return (100*n + last/2) / last }
	is.Equal([]int{share(once), share(twins)}, []int{25, 10}) // fixed by the seed
	mostFrequent := func(m map[string]int) (best string) {
		for key, n := range m {
			if n > m[best] {
				best = key
			}
		}
		return best
	}
	is.True(hot[0][mostFrequent(hot[0])] > 100)
	is.True(hot[1][mostFrequent(hot[0])] < 10) // the hot set has shifted
}

// roundTrip adapts a function to an http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) {
	return f(r)
}

// response returns a response to r as a stand-in server gives it, with the given outcome.
func response(r *http.Request, outcome caller.Outcome) *http.Response {
	body := fmt.Sprintf(`{"request-id":%q}`, r.Header.Get(caller.HeaderRequestID))
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{caller.HeaderOutcome: {string(outcome)}},
		Body:       io.NopCloser(strings.NewReader(body)),
	}
}

// The only connection stalls for a second. Requests that were to start meanwhile start late, and
// their latency counts from the intended start. If it counted from when they were written, one slow
// request would show instead of a hundred.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := profile(func(p *Profile) { p.InFlight = 1 })
		s := newSender(p, "run")
		sent := 0
		s.client = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			if sent++; sent == 50 {
				time.Sleep(time.Second)
			}
			return response(r, caller.Ran), nil
		})}
		report := newReport(p, s.runAll(t.Context()), time.Since(s.started))
		is.Equal(sent, 199)
		is.Equal(report.Lanes[0].Latency.Count, int64(199))
		slow := 0
		for _, bar := range report.Lanes[0].latencies.Distribution() {
			if bar.From > 5000 {
				slow += int(bar.Count)
			}
		}
		is.Equal(slow, 100) // the stalled one and the 99 due until it ended
	})
}

// A caller resends a request, alternating between the entry instances, until the response is that it
// ran. Each submission is recorded, and net/http cannot retry one by itself because the request has
// no GetBody.
func TestResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := profile(func(p *Profile) {
			p.Rate, p.DurationMillis = 1, 1500
			p.Resend = Resend{Tries: 3, WaitMillis: 100}
		})
		s := newSender(p, "run")
		var hosts, attempts []string
		s.client = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			is.True(r.GetBody == nil)
			hosts = append(hosts, r.URL.Host)
			attempts = append(attempts, r.Header.Get(caller.HeaderAttempt))
			switch len(hosts) {
			case 1:
				return nil, &net.OpError{Op: "read", Err: errors.New("reset")}
			case 2:
				return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
			case 3:
				return response(r, caller.NotRun), nil
			default:
				return response(r, caller.Ran), nil
			}
		})}
		records := s.runAll(t.Context())
		var results []string
		for _, r := range records {
			results = append(results, r.result.String())
		}
		is.Equal(results, []string{"no-answer", "unreached", "not-run", "ran"})
		is.Equal(attempts, []string{"", "2", "3", "4"})
		is.True(hosts[0] != hosts[1])
		is.Equal(hosts[0], hosts[2])
	})
}

func TestAudit(t *testing.T) {
	submission := func(result Result, once bool) record {
		return record{planned: planned{id: 1, nonIdempotent: once}, result: result}
	}
	runAt := func(server string, start, end int64) serverRun {
		return serverRun{server: server, Run: stubs.Run{RequestID: "run-1", Key: "k", Start: start, End: end}}
	}
	one := []serverRun{runAt("a", 1, 2)}
	two := []serverRun{runAt("a", 1, 2), runAt("a", 3, 4)}
	tests := map[string]struct {
		records []record
		runs    []serverRun
		want    Audit
	}{
		"ran":              {records: []record{submission(ResultRan, true)}, runs: one, want: Audit{Ran: 1}},
		"lost":             {records: []record{submission(ResultRan, true)}, want: Audit{Ran: 1, Lost: 1}},
		"not run":          {records: []record{submission(ResultNotRun, true)}, want: Audit{NotRun: 1}},
		"not run but ran":  {records: []record{submission(ResultNotRun, true)}, runs: one, want: Audit{NotRun: 1, NotRunButRan: 1}},
		"unreached, ran":   {records: []record{submission(ResultUnreached, true)}, runs: one, want: Audit{NotRun: 1, NotRunButRan: 1}},
		"unknown, ran":     {records: []record{submission(ResultUnknown, true)}, runs: one, want: Audit{Unknown: 1, UnknownRan: 1}},
		"unknown, not run": {records: []record{submission(ResultNoAnswer, true)}, want: Audit{Unknown: 1, UnknownNotRun: 1}},
		"unknown then not run": {
			records: []record{submission(ResultUnknown, true), submission(ResultNotRun, true)}, runs: one,
			want: Audit{Unknown: 1, UnknownRan: 1},
		},
		"not run then ran": {
			records: []record{submission(ResultNotRun, true), submission(ResultRan, true)}, runs: one, want: Audit{Ran: 1},
		},
		"doubled":       {records: []record{submission(ResultRan, true)}, runs: two, want: Audit{Ran: 1, Doubled: 1}},
		"repeated":      {records: []record{submission(ResultRan, false)}, runs: two, want: Audit{Ran: 1, Repeated: 1}},
		"two owners":    {records: []record{submission(ResultRan, false)}, runs: []serverRun{runAt("a", 1, 5), runAt("b", 4, 9)}, want: Audit{Ran: 1, Repeated: 1, Overlaps: 1}},
		"owner changed": {records: []record{submission(ResultRan, false)}, runs: []serverRun{runAt("a", 1, 5), runAt("b", 5, 9)}, want: Audit{Ran: 1, Repeated: 1}},
		"crossed":       {records: []record{{planned: planned{id: 1}, crossed: true}}, runs: one, want: Audit{Ran: 1, Crossed: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := audit(test.records, test.runs, "run-")
			got.Examples = nil
			is.Equal(*got, test.want)
		})
	}
}

// Two keys are unavailable at different times and recover, and a third never does. Each counts once,
// from the start of its first failed submission to the end of the next one that ran.
func TestUnavailableTime(t *testing.T) {
	is := is.New(t)
	at := func(key string, start, end time.Duration, result Result) record {
		return record{planned: planned{key: key}, start: start * time.Millisecond, end: end * time.Millisecond, result: result}
	}
	lane := newLane("oddaja", []record{
		at("a", 0, 1, ResultRan),
		at("a", 10, 11, ResultNotRun),
		at("b", 20, 21, ResultUnknown),
		at("a", 30, 31, ResultNotRun),
		at("c", 40, 41, ResultNoAnswer),
		at("a", 50, 60, ResultRan),
		at("b", 120, 121, ResultRan),
		at("a", 1040, 1041, ResultRan),
	}, func(*record) bool { return true })
	is.Equal(lane.Unavailable.Count, int64(3))
	is.Equal(lane.Unavailable.P50, int64(101_055))   // 101 ms within the precision
	is.Equal(lane.Unavailable.Max, int64(1_000_447)) // c: 1000 ms, to the last submission
}
