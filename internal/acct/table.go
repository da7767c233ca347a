package acct

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is what became of a request.
type outcome int

const (
	// answered: a server's response was passed on, with status 2xx.
	answered outcome = iota
	// faulty: a server's response was passed on, with another status.
	faulty
	// rejected: no server ran the request.
	rejected
	// inDoubt: a server may have run the request, and its caller got no response of it.
	inDoubt
	// left: the caller closed its connection.
	left
	outcomes
)

// outcomeOf returns the outcome of a request from the reason of its end and the status of the reply,
// 0 if there was none. If a retry was rejected, the reason is that of the retry and the status that of
// the attempt before: statuses 502 and 504 mean doubt whatever the reason.
func outcomeOf(reason string, status int) outcome {
	switch {
	case reason == "caller-left" || status == 0:
		return left
	case status >= 200 && status <= 299:
		return answered
	case reason == "answered":
		return faulty
	case reason == "crashes-servers":
		return rejected
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		return rejected
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return inDoubt
	default:
		return faulty
	}
}

// tally counts requests by outcome.
type tally [outcomes]int

func (t tally) requests() int {
	n := 0
	for _, count := range t {
		n += count
	}
	return n
}

// plus returns the sum of two tallies.
func (t tally) plus(o tally) tally {
	for i, n := range o {
		t[i] += n
	}
	return t
}

// counts counts requests by outcome, and by the reason of their end.
type counts struct {
	tally
	why map[string]int
}

func (c *counts) add(o outcome, reason string) {
	if c.why == nil {
		c.why = map[string]int{}
	}
	c.tally[o]++
	c.why[reason]++
}

// id names a record of a table. Service is empty for routes, services and callers.
type id struct{ service, name string }

// entry has the counts of one route, service, interval, caller, key or server. Those of a route are
// without returns.
type entry struct {
	id
	counts
	// returned is set for routes, divided for services that are divided by key.
	returned counts
	divided  bool
	// took holds the times of answered requests in microseconds. It is set for servers.
	took *hdrhistogram.Histogram
}

// table keeps an exact entry for each of a limited number of IDs. When it is full, the half with the
// fewest requests is dropped and counted together.
type table struct {
	limit   int
	entries map[id]*entry
	// dropped sums up what was dropped. Missed is how many requests of one ID may be in it.
	dropped tally
	missed  int
}

func newTable(limit int) *table { return &table{limit: limit, entries: map[id]*entry{}} }

// at returns the entry of an ID, a new one if there is none. It copies the names, which are parts of
// log lines.
func (t *table) at(k id) *entry {
	if e := t.entries[k]; e != nil {
		return e
	}
	if len(t.entries) >= t.limit {
		all := t.sorted(outcomes)
		smallest := all[len(all)/2:]
		t.missed += smallest[0].all()
		for _, e := range smallest {
			t.dropped = t.dropped.plus(e.tally).plus(e.returned.tally)
			delete(t.entries, e.id)
		}
	}
	e := &entry{id: id{strings.Clone(k.service), strings.Clone(k.name)}}
	t.entries[e.id] = e
	return e
}

// all returns the number of requests, returns included.
func (e *entry) all() int { return e.requests() + e.returned.requests() }

// of returns the number of requests with an outcome, returns included.
func (e *entry) of(o outcome) int {
	if o == outcomes {
		return e.all()
	}
	return e.tally[o] + e.returned.tally[o]
}

// sorted returns the entries by descending number of requests with an outcome, or of all requests if it
// is outcomes, then of all requests, then by service and name.
func (t *table) sorted(o outcome) []*entry {
	out := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(y.of(o), x.of(o)), cmp.Compare(y.all(), x.all()),
			cmp.Compare(x.service, y.service), cmp.Compare(x.name, y.name))
	})
	return out
}
