package front

import (
	"expvar"
	"net/http"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/caller"
)

// meters count what becomes of requests at one instance. Their names are stable; see
// docs/notes/request-path.md.
type meters struct {
	ran, notRun, unknown expvar.Int
	forwarded, retried   expvar.Int
	replayed, resent     expvar.Int
	cut, lost, silent    expvar.Int
	refusals             expvar.Map
}

// Vars returns the meters of the request path, for expvar.Publish.
func (f *Front) Vars() *expvar.Map {
	m := &f.meters
	vars := new(expvar.Map)
	vars.Set("requests-ran", &m.ran)
	vars.Set("requests-not-run", &m.notRun)
	vars.Set("requests-unknown", &m.unknown)
	vars.Set("requests-forwarded", &m.forwarded)
	vars.Set("requests-retried", &m.retried)
	vars.Set("resends-replayed", &m.replayed)
	vars.Set("resends-refused", &m.resent)
	vars.Set("answers-cut", &m.cut)
	vars.Set("servers-lost", &m.lost)
	vars.Set("connections-silent", &m.silent)
	vars.Set("refusals", &m.refusals)
	vars.Set("in-flight", expvar.Func(func() any { return f.inFlight.count.Load() }))
	vars.Set("body-bytes-held", expvar.Func(func() any { return f.buffered.Load() }))
	vars.Set("services", expvar.Func(func() any { return f.Status() }))
	return vars
}

// ServiceStatus is the state of one service at one instance.
type ServiceStatus struct {
	Service string `json:"service"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `json:"waiting"`
	// Remembered is the number of request ids in memory.
	Remembered int                  `json:"remembered"`
	Servers    []ServerStatus       `json:"servers"`
	Blocks     []policy.CrashRecord `json:"blocks"`
}

// ServerStatus is the state of one server as its gate sees it.
type ServerStatus struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
	Busy   int    `json:"busy"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
}

// Status returns the state of all services that were seen, for operators.
func (f *Front) Status() []ServiceStatus {
	var all []ServiceStatus
	for _, s := range f.all() {
		all = append(all, s.status())
	}
	return all
}

func (s *service) status() ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := ServiceStatus{
		Service: s.name, Waiting: s.core.Waiting(), Remembered: s.core.NumRecords(), Blocks: s.core.CrashRecords(s.front.now()),
	}
	s.core.EachServer(func(p policy.Server, busy int) {
		server := ServerStatus{Server: p.Name, Slots: p.Slots, Busy: busy}
		if known := s.servers[p.Name]; known != nil {
			server.Connections = known.OpenConns()
		}
		status.Servers = append(status.Servers, server)
	})
	return status
}

// count takes in the outcome of a request.
func (m *meters) count(h http.Header) {
	switch caller.Outcome(h.Get(caller.HeaderOutcome)) {
	case caller.Ran:
		m.ran.Add(1)
	case caller.NotRun:
		m.notRun.Add(1)
	case caller.Unknown:
		m.unknown.Add(1)
	}
}
