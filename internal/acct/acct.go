// Package acct computes an account of overload from the event logs of instances: which requests
// were rejected and why, by route, time, caller, key and server. It reads the logs as a stream and
// keeps a limited number of records, whatever their length.
package acct

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/mustardring/internal/event"
)

// The errors of an account that cannot be written.
var (
	ErrNoRequests = errors.New("no request line in the logs")
	ErrNoService  = errors.New("no request line names the service")
)

// The numbers of records that an account keeps.
const (
	maxRoutes    = 1024
	maxServices  = 64
	maxReasons   = 32
	maxIntervals = 65_536
	maxCallers   = 131_072
	maxKeys      = 131_072
	// maxServers is above the largest deployment, which has 10,001 servers.
	maxServers = 16_384
	// maxNamings is the number of processes that are told apart by how they name callers.
	maxNamings = 16_384
)

// The range in microseconds and the precision of the times of a server.
const (
	minTookMicros    = 100
	maxTookMicros    = 60_000_000
	tookSignificance = 2
)

// unnamed stands for a missing name.
const unnamed = "-"

// timeFormat is the format of times, which are in UTC. Their order as text is that in time.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Account accumulates the counts of request lines. It is not safe for concurrent use.
type Account struct {
	interval time.Duration
	service  string
	from, to time.Time

	total tally
	// attempts and repeats count the requests sent to servers and the retries at the same server.
	attempts, repeats int
	// malformed counts request lines without a valid time, unlogged those that instances dropped,
	// and anonymous requests without a caller in their line.
	malformed, unlogged, anonymous int
	// kept, recognized and guessed count returns: to a reservation, other returns that the controller
	// recognized, and those that only the instance took for returns by their timeouts.
	kept, recognized, guessed tally

	reasons map[string]string
	// namings holds the names of the keys under which callers are named. Each process has its own, and an earlier release none.
	namings                                             map[string]struct{}
	services, routes, intervals, callers, keys, servers *table
	// fields holds the fields of the current line.
	fields map[string]string
}

// New returns an account without requests. Interval is the length of the intervals of the table over
// time, and must be positive. Service is the service of that table, empty for the one with most
// rejections.
func New(interval time.Duration, service string) *Account {
	return &Account{
		interval: interval, service: service, reasons: map[string]string{}, namings: map[string]struct{}{}, fields: map[string]string{},
		services: newTable(maxServices), routes: newTable(maxRoutes), intervals: newTable(maxIntervals),
		callers: newTable(maxCallers), keys: newTable(maxKeys), servers: newTable(maxServers),
	}
}

// Read adds the request lines of an event log.
func (a *Account) Read(r io.Reader) error {
	for line, err := range event.Lines(r) {
		if err != nil {
			return err
		}
		clear(a.fields)
		event.ParseFields(line, a.fields)
		switch a.fields["msg"] {
		case "request":
			a.addRequest()
		case "lines-dropped":
			a.unlogged += a.number("failures") + a.number("successes")
		}
	}
	return nil
}

// number returns the value of a field, 0 if it is missing or malformed.
func (a *Account) number(field string) int {
	n, err := strconv.Atoi(a.fields[field])
	if err != nil {
		return 0
	}
	return n
}

// name returns the value of a field, unnamed if it is empty or missing.
func (a *Account) name(field string) string { return cmp.Or(a.fields[field], unnamed) }

// reason returns the reason of the current line, or "other" beyond maxReasons. It is no part of the line.
func (a *Account) reason() string {
	name := a.name("why")
	if a.reasons[name] == "" && len(a.reasons) >= maxReasons-1 {
		name = "other"
	}
	if a.reasons[name] == "" {
		name = strings.Clone(name)
		a.reasons[name] = name
	}
	return a.reasons[name]
}

// addRequest adds the request of the current line.
func (a *Account) addRequest() {
	at, err := time.Parse(time.RFC3339, a.fields["time"])
	if err != nil {
		a.malformed++
		return
	}
	if a.total.requests() == 0 || at.Before(a.from) {
		a.from = at
	}
	if at.After(a.to) {
		a.to = at
	}
	reason, service := a.reason(), a.name("service")
	o := outcomeOf(reason, a.number("status"))
	a.total[o]++
	a.attempts += a.number("attempts")
	a.repeats += a.number("repeats")

	route := a.routes.at(id{"", a.name("route")})
	if a.addReturn(o) {
		route.returned.add(o, reason)
	} else {
		route.add(o, reason)
	}
	a.intervals.at(id{service, at.UTC().Truncate(a.interval).Format(timeFormat)}).add(o, reason)
	a.addKey(service, reason, o)
	a.addServer(service, o)
	a.addCaller(o)
}

// addCaller counts the request by its caller. A name is "KEY-DIGEST", that of an earlier release only a digest.
func (a *Account) addCaller(o outcome) {
	caller := a.fields["caller"]
	if caller == "" {
		a.anonymous++
		return
	}
	a.callers.at(id{"", caller}).tally[o]++
	key, _, keyed := strings.Cut(caller, "-")
	if !keyed {
		key = ""
	}
	if _, known := a.namings[key]; !known && len(a.namings) < maxNamings {
		a.namings[strings.Clone(key)] = struct{}{}
	}
}

// addReturn counts a return and reports whether the request is one. The controller recognizes only
// what reaches it, so the guess of the instance counts as well.
func (a *Account) addReturn(o outcome) bool {
	switch {
	case a.fields["kept"] == "true":
		a.kept[o]++
	case a.fields["origin-return"] == "true":
		a.recognized[o]++
	case a.fields["returning"] == "true":
		a.guessed[o]++
	default:
		return false
	}
	return true
}

// addKey counts the request by its service and key. Key 0 is also logged for requests without a key,
// which have neither a fence nor an owner to wait for.
func (a *Account) addKey(service, reason string, o outcome) {
	s := a.services.at(id{"", service})
	s.tally[o]++
	keyed := a.number("fence") != 0 || reason == "no-owner" && a.fields["server"] == ""
	s.divided = s.divided || keyed
	if key := a.fields["key"]; key != "" && (key != "0" || keyed) {
		a.keys.at(id{service, key}).tally[o]++
	}
}

// addServer counts the request by the last server that it was meant for.
func (a *Account) addServer(service string, o outcome) {
	server := a.fields["server"]
	if server == "" {
		return
	}
	e := a.servers.at(id{service, server})
	e.tally[o]++
	if took, err := time.ParseDuration(a.fields["took"]); err == nil && o == answered {
		if e.took == nil {
			e.took = hdrhistogram.New(minTookMicros, maxTookMicros, tookSignificance)
		}
		_ = e.took.RecordValue(min(max(took.Microseconds(), minTookMicros), maxTookMicros))
	}
}

// Check returns ErrNoRequests or ErrNoService if there is nothing to show.
func (a *Account) Check() error {
	_, err := a.shownService()
	return err
}

// shownService returns the service that is shown over time. Requests that no route matches have none.
func (a *Account) shownService() (*entry, error) {
	if a.total.requests() == 0 {
		return nil, ErrNoRequests
	}
	services := a.services.sorted(rejected)
	for _, s := range services {
		if a.service == s.name || a.service == "" && s.name != unnamed {
			return s, nil
		}
	}
	if a.service == "" {
		return services[0], nil
	}
	return nil, fmt.Errorf("%w %q, the first in them is %q", ErrNoService, a.service, services[0].name)
}
