// Package rules holds the routing configuration in force and the servers that it routes to.
// It has no input or output: an adapter fills its types, the request path reads them.
package rules

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind says what may be done with the requests of a route.
type Kind int

// The kinds.
const (
	// NonIdempotent marks requests that are not idempotent.
	NonIdempotent Kind = iota
	// Idempotent marks idempotent requests.
	Idempotent
	// Bulk marks idempotent requests with large answers.
	Bulk
)

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k != NonIdempotent }

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes is the largest head of a request, BodyBytes its largest body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the arrival of a head from its first byte on, IdleTimeout the time
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

// Route sends the requests below one path prefix of one host to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Priority is the rank under load; 0 goes first.
	Priority int
	// TargetLatency is the time within which an answer has its full value. Timeout is the longest
	// time that a request may wait, zero for no bound but its own.
	TargetLatency time.Duration
	Timeout       time.Duration
	// MaxAttempts is the number of servers to which one request may be sent.
	MaxAttempts int
	Services    []WeightedService

	turn atomic.Uint64
}

// Service is a set of servers with the same task.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all instances.
	MaxConns int
	// Divided says that each key belongs to one server of the service.
	Divided bool
	// KeyWarmup is how long a server is slow with keys that it got without their state.
	KeyWarmup time.Duration
	// ColdTime is how long a server is cold: slow, and at risk beyond ColdRate requests a second from all instances
	// together. Zero if its servers are never cold, or bear any rate.
	ColdTime time.Duration
	ColdRate float64
}

// Config is one version of the routing configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Hosts holds the routes by host, those with the longest prefix first.
	Hosts map[string][]*Route
}

// Match returns the route of a request, nil if there is none. Of the routes whose prefix
// begins the path the longest one counts.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.Hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Sort brings the routes into the order that Match needs.
func (c *Config) Sort() {
	for _, routes := range c.Hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// golden spreads successive turns evenly: the fractional part of its multiples has low
// discrepancy, so that shares come out right within a few requests.
const golden = 0x9E3779B97F4A7C15

// Pick returns the service that the next request of the route goes to. Over successive
// requests each part gets its share.
func (r *Route) Pick() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0
	for _, p := range r.Services {
		total += p.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	point := float64((r.turn.Add(1)*golden)>>11) / (1 << 53) * float64(total)
	for _, p := range r.Services {
		point -= float64(p.Weight)
		if point < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Seed sets the first turn, so that instances do not all begin with the same part.
func (r *Route) Seed(turn uint64) { r.turn.Store(turn) }

// Leaving reports whether the server is to give up what it has.
func (s Server) Leaving() bool { return s.Draining || s.Evacuated }

// Closed reports whether the server must get no more requests. One that leaves still serves its
// keys until they have moved, but no longer than its time to leave.
func (s Server) Closed(divided bool, now time.Time) bool {
	if s.Leaving() && !divided {
		return true
	}
	return !s.LeaveBy.IsZero() && now.After(s.LeaveBy)
}

// Cold reports whether the server may get only ColdRate requests a second.
func (s Server) Cold(now time.Time) bool { return s.ColdRate > 0 && now.Before(s.WarmAt) }

// LeavesIn returns how long the server may still get requests, zero if there is no end to it.
func (s Server) LeavesIn(now time.Time) time.Duration {
	if s.LeaveBy.IsZero() {
		return 0
	}
	return s.LeaveBy.Sub(now)
}

// Server is a backend server as the directory states it.
type Server struct {
	// ID is one life of the server (see LifeID): after a restart it has another.
	ID string
	// StartedAt is the Unix millisecond of its start, zero if it does not state it. Sequence counts
	// what this life has said of itself.
	StartedAt int64
	Sequence  int64
	Service   string
	// Address is an IP address with port.
	Address string
	Domain  string
	Version string
	Slots   int
	// Draining says that the server is about to leave, Evacuated that its failure domain is to get nothing more until
	// it is taken back.
	Draining  bool
	Evacuated bool
	// LeaveBy is when a server that drains, is evacuated, or whose entry is missing, must get no more requests; zero for
	// any other.
	LeaveBy time.Time
	// WarmAt is when the server is no longer cold.
	WarmAt time.Time
	// ColdRate is how many requests a second the server may get from all instances together until then, zero for no
	// bound. It comes from the configuration of its service.
	ColdRate float64
}
