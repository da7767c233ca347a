// Package stand has small stand-ins for what the platform gives: the log service, the
// list of live instances and backend servers. Tests and examples use them in one process.
// Each has fault switches and keeps what a test needs to judge what really happened.
package stand

import (
	"cmp"
	"fmt"
	"net/netip"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/listcl"
)

// Settings says which stand-ins one process runs. Times are in milliseconds.
type Settings struct {
	Log     *LogSettings     `json:"log,omitempty"`
	List    *ListSettings    `json:"list,omitempty"`
	Servers []ServerSettings `json:"servers,omitempty"`
}

// LogSettings are those of the log service.
type LogSettings struct {
	Address string `json:"address"`
	// AppendRate is the number of appends a second that the service takes, 400 if unstated.
	AppendRate float64 `json:"append-rate,omitempty"`
	// RetainCount and RetainMillis bound what the service keeps. Zero means no bound.
	RetainCount  int   `json:"retain-count,omitempty"`
	RetainMillis int64 `json:"retain-ms,omitempty"`
}

// ListSettings are those of the instance list.
type ListSettings struct {
	Address string `json:"address"`
	// LagMillis is for how long the list goes on showing what was so before a change.
	LagMillis int64             `json:"lag-ms,omitempty"`
	Instances []listcl.Instance `json:"instances,omitempty"`
}

// ServerSettings are those of one backend server. Listed servers are those of the process.
type ServerSettings struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// ChecksGrants says that the server refuses what its grant does not cover.
	ChecksGrants bool `json:"checks-grants,omitempty"`
	// Slots is the number of requests that run at once, 2 if unstated.
	Slots int `json:"slots,omitempty"`
	// Queue is the number of requests that wait for a slot, 8 if unstated. Any more are shed.
	Queue int `json:"queue,omitempty"`
	// RunMillis is how long a request runs, and less than a millisecond may be stated.
	RunMillis float64 `json:"run-ms,omitempty"`
	// ColdMillis is for how long after the start each request takes ten times as long.
	ColdMillis int64 `json:"cold-ms,omitempty"`
	// LoadLagMillis is how old what the load endpoint shows may be.
	LoadLagMillis int64 `json:"load-lag-ms,omitempty"`
	// MaxLeaseMillis is the farthest grant deadline that the server accepts, 10000 if unstated.
	MaxLeaseMillis int64 `json:"lease-max-ms,omitempty"`
}

// The values of what is left unstated.
const (
	defaultAppendRate = 400
	defaultSlots      = 2
	defaultQueue      = 8
	defaultLeaseMax   = 10_000
)

// Check implements config.Checker and fills in what is unstated.
func (s *Settings) Check(file string) error {
	if field, found, mend := s.check(); mend != "" {
		return &config.Error{File: file, Field: field, Found: found, Fix: mend}
	}
	return nil
}

// check returns the first wrong field, what it holds and its mend.
func (s *Settings) check() (field, found, mend string) {
	if s.Log == nil && s.List == nil && len(s.Servers) == 0 {
		return "servers", "nothing", "name a log, a list or servers to run"
	}
	taken := make(map[string]string)
	if s.Log != nil {
		if s.Log.AppendRate < 0 {
			return "log.append-rate", "a negative number", "write a number above zero"
		}
		s.Log.AppendRate = cmp.Or(s.Log.AppendRate, defaultAppendRate)
		if mend := checkAddress(s.Log.Address, "log.address", taken); mend != "" {
			return "log.address", s.Log.Address, mend
		}
	}
	if s.List != nil {
		if mend := checkAddress(s.List.Address, "list.address", taken); mend != "" {
			return "list.address", s.List.Address, mend
		}
	}
	return s.checkServers(taken)
}

func (s *Settings) checkServers(taken map[string]string) (field, found, mend string) {
	for i := range s.Servers {
		server := &s.Servers[i]
		place := fmt.Sprintf("servers[%d].", i)
		if mend := checkAddress(server.Address, place+"address", taken); mend != "" {
			return place + "address", server.Address, mend
		}
		if name, found, mend := server.check(); mend != "" {
			return place + name, found, mend
		}
	}
	return "", "", ""
}

func (s *ServerSettings) check() (field, found, mend string) {
	switch {
	case s.Name == "":
		return "name", "nothing", "give a value"
	case s.Service == "":
		return "service", "nothing", "give a value"
	case s.Slots < 0:
		return "slots", "a negative number", "write a number above zero"
	case s.Queue < 0:
		return "queue", "a negative number", "write a number above zero"
	}
	s.Slots = cmp.Or(s.Slots, defaultSlots)
	s.Queue = cmp.Or(s.Queue, defaultQueue)
	s.MaxLeaseMillis = cmp.Or(s.MaxLeaseMillis, defaultLeaseMax)
	return "", "", ""
}

// checkAddress accepts only loopback addresses: a stand-in is for tests on one machine.
func checkAddress(address, field string, taken map[string]string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "give an IP number and a port, such as 127.0.0.1:7000"
	}
	if !parsed.Addr().IsLoopback() {
		return "give a loopback address"
	}
	if other, found := taken[address]; found && parsed.Port() != 0 {
		return "give another: " + other + " is the same"
	}
	taken[address] = field
	return ""
}
