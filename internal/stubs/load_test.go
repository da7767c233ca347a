package stubs

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Three requests arrive, but the load endpoint reports them only when the load that it last reported
// is a second old.
func TestLoadLags(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerSettings{Name: "s1", Service: "oddaja", Address: "127.0.0.1:0", Slots: 2, LoadLagMillis: 1000})
	now := time.Unix(1000, 0)
	is.Equal(s.reportedLoad(now), Load{Slots: 2})
	for range 3 {
		s.runs.arrive(1)
	}
	is.Equal(s.reportedLoad(now.Add(time.Second-1)), Load{Slots: 2})
	is.Equal(s.reportedLoad(now.Add(time.Second)), Load{Running: 2, Waiting: 1, Slots: 2})
}

func TestSettingsAreChecked(t *testing.T) {
	server := ServerSettings{Name: "s1", Service: "oddaja", Address: "127.0.0.1:9000"}
	duplicate := server
	nameless := server
	nameless.Name = ""
	remote := server
	remote.Address = "192.168.0.1:9000"
	tests := map[string]struct {
		settings Settings
		field    string
	}{
		"valid":          {settings: Settings{Servers: []ServerSettings{server}}},
		"empty":          {field: "servers"},
		"same address":   {settings: Settings{Servers: []ServerSettings{server, duplicate}}, field: "servers[1].address"},
		"no name":        {settings: Settings{Servers: []ServerSettings{nameless}}, field: "servers[0].name"},
		"not loopback":   {settings: Settings{Servers: []ServerSettings{remote}}, field: "servers[0].address"},
		"no log address": {settings: Settings{Log: &LogSettings{}}, field: "log.address"},
		"negative rate":  {settings: Settings{Log: &LogSettings{Address: "127.0.0.1:7000", AppendRate: -1}}, field: "log.append-rate"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			field, _, fix := test.settings.check()
			is.Equal(field, test.field)
			is.Equal(fix == "", test.field == "")
		})
	}
}
