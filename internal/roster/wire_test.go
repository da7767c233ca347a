package roster

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/logpos"
)

// Guards against statements that are lost, or pass for ids of servers, on the way between instances.
func TestStatementsInHeartbeats(t *testing.T) {
	tests := map[string]Heartbeat{
		"read end":              {LatestEra: 3, ReadEnd: logpos.At(3, 6), Failing: []string{"s1", AllServers}},
		"nothing":               {},
		"only servers":          {Failing: []string{"s1"}},
		"read end, no failures": {LatestEra: 1, ReadEnd: logpos.At(1, 1)},
	}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(h.ToWire().FromWire(), h)
		})
	}
}

// Guards against malformed statements that are taken for servers or positions.
func TestMalformedStatementsInHeartbeats(t *testing.T) {
	for _, statement := range []string{"=", "=x", "=-1", "=99999999999999999999"} {
		t.Run(statement, func(t *testing.T) {
			is := is.New(t)
			h := Heartbeat{Failing: []string{"s1", statement}}.FromWire()
			is.Equal(h, Heartbeat{Failing: []string{"s1"}})
		})
	}
}
