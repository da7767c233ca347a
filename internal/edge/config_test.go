package edge_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
)

// Guards against a 404 for a route that a newer configuration has, at an instance that knows of that one but has not got it.
func TestUnknownRouteWithAnOutdatedConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		host     string
		outdated bool
		status   int
	}{
		"known route":                  {"a.example", true, http.StatusOK},
		"unknown route":                {"b.example", true, http.StatusServiceUnavailable},
		"unknown route, nothing newer": {"b.example", false, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(rules.NonIdempotent, newFakeServer(t, respondOK))
			f.cluster.configOutdated = test.outdated
			f.host = test.host
			reply := f.send(t.Context())
			is.Equal(reply.Status, test.status)
			is.Equal(reply.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
		})
	}
}

// Guards against requests that reach a server long after its leave, from an instance that knows that it lacks news of the directory.
func TestUndividedServicesWhileNewsOfTheDirectoryAreOverdue(t *testing.T) {
	for name, test := range map[string]struct {
		divided bool
		// from is the number of the first look at which the news are overdue, from 1.
		from, status, runs int
	}{
		"before the request":   {false, 1, http.StatusServiceUnavailable, 0},
		"before it is written": {false, 2, http.StatusServiceUnavailable, 0},
		"never":                {false, 99, http.StatusOK, 1},
		"divided by key":       {true, 1, http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newFakeServer(t, respondOK)
			f := newFixture(rules.NonIdempotent, server)
			f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: test.divided}
			looks := 0
			f.cluster.directoryOutdated = func() bool { looks++; return looks >= test.from }
			reply := f.send(t.Context())
			is.Equal(reply.Status, test.status)
			is.Equal(reply.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			is.Equal(int(server.runs.Load()), test.runs)
		})
	}
}
