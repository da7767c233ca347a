package route

import (
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

// Destination is where a request goes next: Here, Forward or Absent. The set is sealed.
type Destination interface {
	isDestination()
}

// Local says that this instance is the gate: it sends the request to one of Servers. A
// divided service has exactly one.
type Local struct {
	Service *bundle.Service
	Servers []Target
}

// Target is a backend server that may run a request.
type Target struct {
	Server *bundle.Server
	// Epoch is that of the owner's grant; zero for a service that is not divided.
	Epoch grant.Epoch
}

// Forward says that another instance is nearer to the owner. Addresses holds its forward
// address, or those of several instances of the domain any of which will do.
type Forward struct {
	Service   *bundle.Service
	Domain    string
	Addresses []string
}

// Reason says why a request has no destination.
type Reason string

// The reasons.
const (
	ReasonUnknownService    Reason = "unknown-service"
	ReasonNoOwner           Reason = "no-owner"
	ReasonNoGate            Reason = "no-gate"
	ReasonDomainUnreachable Reason = "domain-unreachable"
	ReasonNoBundle          Reason = "no-bundle"
)

// Unavailable says that the request cannot be sent now.
type Unavailable struct {
	Reason Reason
}

func (Local) isDestination()       {}
func (Forward) isDestination()     {}
func (Unavailable) isDestination() {}

// Finder finds destinations.
type Finder interface {
	// Find returns the next destination of a request. The hash is ignored for a service that
	// is not divided.
	Find(service string, hash uint64) Destination
}
