// Package replay plays recorded traces to the placer of mustardring and to naive placements
// in one run, and reports imbalance, churn and unavailable time. The same trace gives the
// same report each time.
package replay

import "example.org/mustardring/pkg/bundle"

// Time is in milliseconds since the start of a trace.
type Time int64

// Event is something that a trace recorded. The set is sealed.
type Event interface {
	isEvent()
}

// Header names a trace. It is the first event.
type Header struct {
	Deployment string `json:"deployment"`
	// Recipe and Seed say how the trace was made; empty for a recorded one.
	Recipe string `json:"recipe,omitempty"`
	Seed   uint64 `json:"seed,omitempty"`
	// OneWayMicros is the delay between failure domains in microseconds.
	OneWayMicros int64 `json:"one-way-us"`
}

// BundleInForce says that a bundle came into force.
type BundleInForce struct {
	Bundle bundle.Bundle `json:"bundle"`
}

// Requests says how many requests a service got from now on for a span. A single request is
// a count of one.
type Requests struct {
	Service    string `json:"service"`
	SpanMillis Time   `json:"span-ms"`
	// Counts is the number of requests by key, Others the rest.
	Counts  map[string]int   `json:"counts,omitempty"`
	Uniform *UniformRequests `json:"others,omitempty"`
	// RunMillis is how long one request runs on average.
	RunMillis float64 `json:"run-ms"`
}

// UniformRequests are requests spread evenly over many keys: Prefix followed by a number from zero.
type UniformRequests struct {
	Prefix   string `json:"prefix"`
	Keys     int    `json:"keys"`
	Requests int    `json:"requests"`
}

// State is what became of a server, an instance, a domain or the log.
type State string

// The states. A server is up, leaving or lost; an instance up or lost; a domain joined or
// cut; the log up or down.
const (
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateLost    State = "lost"
	StateCut     State = "cut"
	StateJoined  State = "joined"
	StateDown    State = "down"
)

// ServerChange says that a backend server changed its state.
type ServerChange struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	// WarmMillis is how long the cold start of a server that came up takes.
	WarmMillis Time `json:"warm-ms,omitempty"`
}

// InstanceChange says that an entry instance changed its state.
type InstanceChange struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	// Leading says that it led its domain.
	Leading bool `json:"leading,omitempty"`
}

// DomainChange says that a failure domain was cut off or joined again.
type DomainChange struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// LogChange says that the log went down or came up.
type LogChange struct {
	State State `json:"state"`
}

// Ended says that the trace is over.
type Ended struct{}

func (Header) isEvent()         {}
func (BundleInForce) isEvent()  {}
func (Requests) isEvent()       {}
func (ServerChange) isEvent()   {}
func (InstanceChange) isEvent() {}
func (DomainChange) isEvent()   {}
func (LogChange) isEvent()      {}
func (Ended) isEvent()          {}
