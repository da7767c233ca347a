// Package stubs provides stand-ins for the platform, which are the log service and the list of
// instances and servers, and for backend servers. Tests and examples run them in one process. Each
// stand-in has fault switches. The log counts the appends that took effect, and the servers record
// the requests that they really ran, so that a test can compare that with what callers saw.
package stubs

import (
	"cmp"
	"fmt"
	"net/netip"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/listcl"
)

// Settings configures the stand-ins of one process. Fields that end in Millis are in milliseconds.
type Settings struct {
	Log     *LogSettings     `json:"log,omitempty"`
	List    *ListSettings    `json:"list,omitempty"`
	Servers []ServerSettings `json:"servers,omitempty"`
}

// LogSettings configures the log service.
type LogSettings struct {
	Address string `json:"address"`
	// AppendRate is the number of appends that the service accepts per second, 400 if zero.
	AppendRate float64 `json:"append-rate,omitempty"`
	// RetainCount and RetainMillis limit the number and the age of the records that the service
	// keeps. Zero means no limit.
	RetainCount  int   `json:"retain-count,omitempty"`
	RetainMillis int64 `json:"retain-ms,omitempty"`
}

// ListSettings configures the instance list.
type ListSettings struct {
	Address string `json:"address"`
	// LagMillis is how long a change of the list takes to become visible.
	LagMillis int64             `json:"lag-ms,omitempty"`
	Instances []listcl.Instance `json:"instances,omitempty"`
}

// ServerSettings configures one backend server. The instance list of the same process starts with
// these servers.
type ServerSettings struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// ChecksGrants makes the server refuse requests that its grant does not cover.
	ChecksGrants bool `json:"checks-grants,omitempty"`
	// Slots is the greatest number of requests that run at once, 2 if zero.
	Slots int `json:"slots,omitempty"`
	// Queue is the greatest number of requests that wait for a slot, 8 if zero. Further requests
	// are rejected before they run.
	Queue int `json:"queue,omitempty"`
	// RunMillis is how long a request runs. It may be a fraction of a millisecond.
	RunMillis float64 `json:"run-ms,omitempty"`
	// ColdMillis is the duration of the cold start after Start, during which each request takes
	// ten times as long.
	ColdMillis int64 `json:"cold-ms,omitempty"`
	// LoadLagMillis is the greatest age of the load that the load endpoint reports.
	LoadLagMillis int64 `json:"load-lag-ms,omitempty"`
	// MaxLeaseMillis is how far in the future a grant deadline may be, 10000 if zero.
	MaxLeaseMillis int64 `json:"lease-max-ms,omitempty"`
}

// Defaults of fields that are zero.
const (
	defaultAppendRate     = 400
	defaultSlots          = 2
	defaultQueue          = 8
	defaultMaxLeaseMillis = 10_000
)

// Check implements config.Checker. It also sets fields that are zero to their defaults.
func (s *Settings) Check(file string) error {
	if field, found, fix := s.check(); fix != "" {
		return &config.Error{File: file, Field: field, Found: found, Fix: fix}
	}
	return nil
}

// check returns the first invalid field, the value found and how to correct it. It returns empty
// strings if there is none. It also sets defaults.
func (s *Settings) check() (field, found, fix string) {
	if s.Log == nil && s.List == nil && len(s.Servers) == 0 {
		return "servers", "nothing", "name a log, a list or servers to run"
	}
	taken := make(map[string]string)
	if s.Log != nil {
		if s.Log.AppendRate < 0 {
			return "log.append-rate", "a negative number", "write a number above zero"
		}
		s.Log.AppendRate = cmp.Or(s.Log.AppendRate, defaultAppendRate)
		if fix := checkAddress(s.Log.Address, "log.address", taken); fix != "" {
			return "log.address", s.Log.Address, fix
		}
	}
	if s.List != nil {
		if fix := checkAddress(s.List.Address, "list.address", taken); fix != "" {
			return "list.address", s.List.Address, fix
		}
	}
	return s.checkServers(taken)
}

// checkServers does the work of check for the servers.
func (s *Settings) checkServers(taken map[string]string) (field, found, fix string) {
	for i := range s.Servers {
		server := &s.Servers[i]
		prefix := fmt.Sprintf("servers[%d].", i)
		if fix := checkAddress(server.Address, prefix+"address", taken); fix != "" {
			return prefix + "address", server.Address, fix
		}
		if name, found, fix := server.check(); fix != "" {
			return prefix + name, found, fix
		}
	}
	return "", "", ""
}

func (s *ServerSettings) check() (field, found, fix string) {
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
	s.MaxLeaseMillis = cmp.Or(s.MaxLeaseMillis, defaultMaxLeaseMillis)
	return "", "", ""
}

// checkAddress returns how to correct an address, or an empty string if it is valid, and adds it to
// taken, the fields by address. It accepts only loopback addresses: a stand-in is for tests on one
// machine.
func checkAddress(address, field string, taken map[string]string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "give an IP number and a port, such as 127.0.0.1:7000"
	}
	if !parsed.Addr().IsLoopback() {
		return "give a loopback address"
	}
	if other, found := taken[address]; found && parsed.Port() != 0 {
		return "give another address: " + other + " has the same"
	}
	taken[address] = field
	return ""
}
