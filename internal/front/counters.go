package front

import (
	"expvar"
	"net/http"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/caller"
)

// counters are the metrics of the request path of one instance. Their names are stable; see
// docs/notes/request-path.md.
type counters struct {
	ran, notRun, unknown                       expvar.Int
	forwarded, retried                         expvar.Int
	resendsReplayed, resendsRefused            expvar.Int
	answersCut, serversLost, silentConnections expvar.Int
	refusals                                   expvar.Map
}

// Vars returns the metrics of the request path, for expvar.Publish.
func (f *Front) Vars() *expvar.Map {
	m := &f.counters
	vars := new(expvar.Map)
	vars.Set("requests-ran", &m.ran)
	vars.Set("requests-not-run", &m.notRun)
	vars.Set("requests-unknown", &m.unknown)
	vars.Set("requests-forwarded", &m.forwarded)
	vars.Set("requests-retried", &m.retried)
	vars.Set("resends-replayed", &m.resendsReplayed)
	vars.Set("resends-refused", &m.resendsRefused)
	vars.Set("answers-cut", &m.answersCut)
	vars.Set("servers-lost", &m.serversLost)
	vars.Set("connections-silent", &m.silentConnections)
	vars.Set("refusals", &m.refusals)
	vars.Set("in-flight", expvar.Func(func() any { return f.inFlight.count.Load() }))
	vars.Set("body-bytes-held", expvar.Func(func() any { return f.bufferedBytes.Load() }))
	vars.Set("services", expvar.Func(func() any { return f.Status() }))
	return vars
}

// ServiceStatus is the state of one service at one instance.
type ServiceStatus struct {
	Service string `json:"service"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// NumRecords is the number of records in the idempotency table.
	NumRecords   int                  `json:"remembered"`
	Servers      []ServerStatus       `json:"servers"`
	CrashRecords []policy.CrashRecord `json:"blocks"`
}

// ServerStatus is the state of one server at its gate.
type ServerStatus struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
	Busy   int    `json:"busy"`
	// Connections is the number of open connections from this instance.
	Connections int `json:"connections"`
}

// Status returns the state of the services for which requests have arrived, for operators.
func (f *Front) Status() []ServiceStatus {
	var all []ServiceStatus
	for _, s := range f.allServices() {
		all = append(all, s.status())
	}
	return all
}

func (s *service) status() ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := ServiceStatus{
		Service: s.name, Waiting: s.core.Waiting(), NumRecords: s.core.NumRecords(), CrashRecords: s.core.CrashRecords(s.front.now()),
	}
	s.core.EachServer(func(p policy.Server, busy int) {
		server := ServerStatus{Server: p.Name, Slots: p.Slots, Busy: busy}
		if known := s.clients[p.Name]; known != nil {
			server.Connections = known.OpenConns()
		}
		status.Servers = append(status.Servers, server)
	})
	return status
}

// count counts a request by the outcome header of its response.
func (m *counters) count(h http.Header) {
	switch caller.Outcome(h.Get(caller.HeaderOutcome)) {
	case caller.Ran:
		m.ran.Add(1)
	case caller.NotRun:
		m.notRun.Add(1)
	case caller.Unknown:
		m.unknown.Add(1)
	}
}
