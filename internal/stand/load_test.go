package stand

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server is filled, but its load endpoint shows what was so a second ago.
func TestLoadLags(t *testing.T) {
	is := is.New(t)
	s := NewServer(ServerSettings{Name: "s1", Service: "oddaja", Address: "127.0.0.1:0", Slots: 2, LoadLagMillis: 1000})
	now := time.Unix(1000, 0)
	is.Equal(s.shownLoad(now), Load{Slots: 2})
	for range 3 {
		s.runs.arrive(1)
	}
	is.Equal(s.shownLoad(now.Add(time.Second-1)), Load{Slots: 2})
	is.Equal(s.shownLoad(now.Add(time.Second)), Load{Running: 2, Waiting: 1, Slots: 2})
}

func TestSettingsAreChecked(t *testing.T) {
	server := ServerSettings{Name: "s1", Service: "oddaja", Address: "127.0.0.1:9000"}
	twice := server
	nameless := server
	nameless.Name = ""
	far := server
	far.Address = "192.168.0.1:9000"
	tests := map[string]struct {
		settings Settings
		field    string
	}{
		"well":            {settings: Settings{Servers: []ServerSettings{server}}},
		"nothing":         {field: "servers"},
		"same address":    {settings: Settings{Servers: []ServerSettings{server, twice}}, field: "servers[1].address"},
		"no name":         {settings: Settings{Servers: []ServerSettings{nameless}}, field: "servers[0].name"},
		"another machine": {settings: Settings{Servers: []ServerSettings{far}}, field: "servers[0].address"},
		"log nowhere":     {settings: Settings{Log: &LogSettings{}}, field: "log.address"},
		"negative rate":   {settings: Settings{Log: &LogSettings{Address: "127.0.0.1:7000", AppendRate: -1}}, field: "log.append-rate"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			field, _, mend := test.settings.check()
			is.Equal(field, test.field)
			is.Equal(mend == "", test.field == "")
		})
	}
}
