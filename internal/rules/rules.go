// Package rules holds the routing configuration in force and the backend servers that requests are
// routed to. It performs no I/O: an adapter fills its types, and the request path reads them.
package rules

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind says whether the requests of a route may run more than once.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent marks requests that must not run twice.
	NonIdempotent Kind = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Bulk marks idempotent requests with large answers.
	Bulk
)

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k != NonIdempotent }

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes is the largest size of the head of a request, BodyBytes that of its body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a head to its end, IdleTimeout the time
	// between two requests on one connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WeightedService is one service of a route, with its share of the requests.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Route maps the requests below a path prefix of a host to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Priority orders requests under load; 0 goes first.
	Priority int
	// TargetLatency is the time within which an answer has its full value. Timeout is the longest
	// time that a request may take, zero if only the limit of the request itself applies.
	TargetLatency time.Duration
	Timeout       time.Duration
	// MaxAttempts is the largest number of servers that one request may be sent to.
	MaxAttempts int
	Services    []WeightedService

	// pickCount is the position in the sequence of picks.
	pickCount atomic.Uint64
}

// Service is a set of servers that handle the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all instances together.
	MaxConns int
	// Divided reports whether the service is divided by key (sharded): each key is owned by one
	// server of the service.
	Divided bool
	// KeyWarmup is how long a server is slow with keys that it took over without their state.
	KeyWarmup time.Duration
	// ColdTime is how long a server is cold, which means slow and at risk of a crash above ColdRate
	// requests per second from all instances together. ColdTime is zero if the servers are never
	// cold, ColdRate is zero if they bear any rate.
	ColdTime time.Duration
	ColdRate float64
}

// Config is one version of the routing configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Hosts holds the routes by host name, those with the longest prefix first (see Sort).
	Hosts map[string][]*Route
}

// Match returns the route with the longest prefix that matches the path, nil if there is none. The
// routes must be sorted.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.Hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Sort sorts the routes of each host by prefix length, the longest first, as Match needs them.
func (c *Config) Sort() {
	for _, routes := range c.Hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// goldenRatio is the fractional part of the golden ratio times 2^64. The fractional parts of its
// multiples are spread evenly (low discrepancy), so that the shares of services come out right
// within a few requests.
const goldenRatio = 0x9E3779B97F4A7C15

// Pick returns the service for the next request of the route. Over successive requests each service
// gets its share.
func (r *Route) Pick() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	point := float64((r.pickCount.Add(1)*goldenRatio)>>11) / (1 << 53) * float64(total)
	for _, s := range r.Services {
		point -= float64(s.Weight)
		if point < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Seed sets the start of the sequence of picks, so that instances do not all begin with the same
// service.
func (r *Route) Seed(start uint64) { r.pickCount.Store(start) }

// Leaving reports whether the server has to hand over its keys, as it is draining or evacuated.
func (s Server) Leaving() bool { return s.Draining || s.Evacuated }

// Closed reports whether the server must get no more requests. A leaving server of a divided
// service still serves its keys until they have moved, but not after LeaveBy.
func (s Server) Closed(divided bool, now time.Time) bool {
	if s.Leaving() && !divided {
		return true
	}
	return !s.LeaveBy.IsZero() && now.After(s.LeaveBy)
}

// Cold reports whether the server may get only ColdRate requests per second.
func (s Server) Cold(now time.Time) bool { return s.ColdRate > 0 && now.Before(s.WarmAt) }

// LeavesIn returns how long the server may still get requests, zero if there is no limit.
func (s Server) LeavesIn(now time.Time) time.Duration {
	if s.LeaveBy.IsZero() {
		return 0
	}
	return s.LeaveBy.Sub(now)
}

// Server is a backend server as listed in the directory.
type Server struct {
	// ID identifies one incarnation of the server (see IncarnationID). It changes with each
	// restart.
	ID string
	// StartedAt is the start time of the server in Unix milliseconds, zero if the server does not
	// state it. Sequence numbers the entries that this incarnation has published about itself.
	StartedAt int64
	Sequence  int64
	Service   string
	// Address is an IP address with a port.
	Address string
	Domain  string
	Version string
	Slots   int
	// Draining reports whether the server is about to leave, Evacuated whether its failure domain
	// gets no more requests until the evacuation ends.
	Draining  bool
	Evacuated bool
	// LeaveBy is the time after which the server must get no more requests. It is set if the
	// server is draining, is evacuated or is missing from the directory, and zero otherwise.
	LeaveBy time.Time
	// WarmAt is when the server stops being cold.
	WarmAt time.Time
	// ColdRate is the largest number of requests per second that the server may get from all
	// instances together until WarmAt, zero for no limit. It comes from the configuration of the
	// service.
	ColdRate float64
	// RateLimit is the number of requests per second that the server says it takes from all
	// instances together, zero for no limit.
	RateLimit float64
	// RestsUntil is until when the server wants no requests of any instance, as far as is known, zero if that is not so.
	RestsUntil time.Time
}
