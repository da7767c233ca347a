package route

import (
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

// Destination is where a request goes next: Local, Forward or Unavailable.
type Destination interface {
	isDestination()
}

// Local says that this instance is the gate and sends the request to one of Servers. For a
// divided service, Servers holds only the owner.
type Local struct {
	Service *bundle.Service
	Servers []Target
}

// Target is a backend server that may run a request.
type Target struct {
	Server *bundle.Server
	// Epoch is the epoch of the owner's grant, or zero for a service that is not divided.
	Epoch grant.Epoch
}

// Forward says that the request goes to another instance: to the gate if it is in this domain,
// otherwise to any instance of Domain. Addresses holds the forward addresses to choose from.
type Forward struct {
	Service   *bundle.Service
	Domain    string
	Addresses []string
}

// Reason says why a request has no destination. Its text is the last part of the problem type
// that the caller receives.
type Reason string

// The reasons of Unavailable.
const (
	ReasonUnknownService    Reason = "unknown-service"
	ReasonNoOwner           Reason = "no-owner"
	ReasonNoGate            Reason = "no-gate"
	ReasonDomainUnreachable Reason = "domain-unreachable"
	ReasonNoBundle          Reason = "no-bundle"
)

// Unavailable says that the request cannot be sent anywhere now.
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
