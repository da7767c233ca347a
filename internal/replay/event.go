// Package replay replays traces of requests and failures with the placer of the router and with
// naive placement methods in one run, and reports imbalance, moved keys and unavailable time of
// each. The same trace always gives the same report.
//
// A trace is recorded or generated from a recipe. A divided service, in which each key is owned
// by one server, is replayed with all placement methods. For an undivided service, in which any
// server may run any request, the load balancing policies are compared instead.
package replay

import "example.org/mustardring/pkg/bundle"

// Time is a time in milliseconds since the start of a trace, or a duration in milliseconds.
type Time int64

// Event is an event of a trace. It cannot be implemented outside this package.
type Event interface {
	isEvent()
}

// Header describes a trace. It is the first event.
type Header struct {
	Deployment string `json:"deployment"`
	// Recipe and Seed state how the trace was generated. They are zero for a recorded trace.
	Recipe string `json:"recipe,omitempty"`
	Seed   uint64 `json:"seed,omitempty"`
	// OneWayMicros is the one-way delay between failure domains in microseconds.
	OneWayMicros int64 `json:"one-way-us"`
}

// BundleInForce states that a bundle came into force.
type BundleInForce struct {
	Bundle bundle.Bundle `json:"bundle"`
}

// Requests states how many requests a service got in the span that begins at the time of the
// event. A single request is recorded as a count of one.
type Requests struct {
	Service    string `json:"service"`
	SpanMillis Time   `json:"span-ms"`
	// Counts is the number of requests by key. Uniform are the remaining requests.
	Counts  map[string]int   `json:"counts,omitempty"`
	Uniform *UniformRequests `json:"others,omitempty"`
	// RunMillis is the mean run time of a request in milliseconds.
	RunMillis float64 `json:"run-ms"`
}

// UniformRequests are requests spread evenly over a number of keys. The name of a key is Prefix
// followed by a number, counted from zero.
type UniformRequests struct {
	Prefix string `json:"prefix"`
	// Keys is the number of keys, Requests that of the requests to all keys together.
	Keys     int `json:"keys"`
	Requests int `json:"requests"`
}

// State is the state of a server, an instance, a failure domain or the log.
type State string

// The states. A server is up, leaving or lost; an instance is up or lost; a failure domain is
// joined, or cut off from the others; the log is up or down.
const (
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateLost    State = "lost"
	StateCut     State = "cut"
	StateJoined  State = "joined"
	StateDown    State = "down"
)

// ServerChange states the new state of a backend server.
type ServerChange struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	// WarmMillis is the duration of the cold start of a server that came up.
	WarmMillis Time `json:"warm-ms,omitempty"`
}

// InstanceChange states the new state of an entry instance.
type InstanceChange struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	// Leading says that the instance was the leader of its domain.
	Leading bool `json:"leading,omitempty"`
}

// DomainChange states that a failure domain was cut off or joined again.
type DomainChange struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// LogChange states that the log went down or came up.
type LogChange struct {
	State State `json:"state"`
}

// Ended marks the end of the trace. It is the last event.
type Ended struct{}

func (Header) isEvent()         {}
func (BundleInForce) isEvent()  {}
func (Requests) isEvent()       {}
func (ServerChange) isEvent()   {}
func (InstanceChange) isEvent() {}
func (DomainChange) isEvent()   {}
func (LogChange) isEvent()      {}
func (Ended) isEvent()          {}
