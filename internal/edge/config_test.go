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
