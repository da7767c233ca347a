// Package leader elects a leader among the instances of one failure domain, and lets the
// leader assign key ranges to the backend servers of the domain.
//
// It is a state machine without I/O: Core.Handle takes an Event with the time and returns
// Effects. The driver, internal/entry, supplies the events and carries out the effects.
package leader

import (
	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// Time is a reading of this instance's monotonic clock in nanoseconds.
type Time = place.Time

// Event is an input of the core. Only types of this package implement it.
type Event interface {
	isEvent()
}

// Ticked says that time has passed. The driver sends it every few tens of milliseconds.
type Ticked struct{}

// Configured is the part of the bundle in force that concerns this domain.
type Configured struct {
	Version  uint64
	Services []Service
}

// Service is the configuration of a service within this domain.
type Service struct {
	Name      string
	Divided   bool
	Isolation bundle.Isolation
	Weights   bundle.Weights
	// Homes are the parts of the hash space whose home is this domain, sorted and disjoint.
	Homes []keys.Range
	// HotHashes are the hashes of the keys that the bundle lists as hot, sorted.
	HotHashes []uint64
	// RequestMillis is the longest time a request may run, in milliseconds.
	RequestMillis int64
	// ColdStartMillis is how long a new process of a server stays cold, in milliseconds.
	ColdStartMillis int64
	Servers         []Server
}

// Server is a backend server of the domain, or an entry instance that only votes.
type Server struct {
	Name string
	// ChecksGrants says that the server itself enforces its grant. Otherwise the gate of the
	// server holds the grant in its place.
	ChecksGrants bool
	// Votes says that the server is one of the voters that elect the leader by majority.
	Votes bool
	// Slots is how many requests the server takes at a time. It is zero for an entry
	// instance that only votes, which owns no ranges.
	Slots int
	// Leaving says that the server must give up its ranges and gets no new ones.
	Leaving bool
}

// Answered is the answer to an exchange. Server, Gate and AskedAt are those of its Send.
type Answered struct {
	Server string
	// Gate is the entry instance that holds the grant of a server that does not check grants.
	// It is empty for a server that does.
	Gate    string
	AskedAt Time
	Answer  grant.Answer
}

// LogRead is the state that the records of the log add up to, as of a read that began at
// ReadAt. Assigned has the newest recorded assignment of each server, by the server's name.
type LogRead struct {
	ReadAt   Time
	Term     fold.Term
	Assigned map[string]fold.RecordedAssignment
}

// LogFailed says that an attempt to read or write the log has failed.
type LogFailed struct{}

// Appended says that the log acknowledged the Append effect with the ID.
type Appended struct {
	ID     string
	Offset uint64
}

// Heartbeat is a heartbeat of another instance of the domain, or of this one.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	// Leading says that the instance believes that it leads, in Term.
	Leading bool
	// Term is the highest term the instance knows.
	Term grant.Term
	// Leaving says that the instance is stopping: it does not become leader or gate.
	Leaving bool
}

// TableReceived is the newest routing table that another leader of the domain published. A new
// leader uses it only as a hint for keeping gates and owners where they are. It does not
// trust the table: what servers hold is learned from their answers.
type TableReceived struct {
	Table route.Table
}

// Listed has the instances and servers that the platform lists as live. One that was listed
// and no longer is has certainly ended. One that is listed may still have failed.
type Listed struct {
	Instances []string
	Servers   []string
}

// Measured is the load of the ranges of a service, as counted by the gates.
type Measured struct {
	Service string
	Loads   []RangeLoad
	// HotHashes are the hashes of the keys that were measured to be hot, sorted.
	HotHashes []uint64
}

// RangeLoad is the load of one range in requests per second.
type RangeLoad struct {
	Range keys.Range
	Load  float64
}

// Stopping says that this instance is leaving. It must give up its leadership.
type Stopping struct{}

func (Ticked) isEvent()        {}
func (Configured) isEvent()    {}
func (Answered) isEvent()      {}
func (LogRead) isEvent()       {}
func (LogFailed) isEvent()     {}
func (Appended) isEvent()      {}
func (Heartbeat) isEvent()     {}
func (TableReceived) isEvent() {}
func (Listed) isEvent()        {}
func (Measured) isEvent()      {}
func (Stopping) isEvent()      {}

// Effect is an output of the core. Only types of this package implement it.
type Effect interface {
	isEffect()
}

// Send sends an exchange to a server, or to the instance that is its gate. The answer comes
// back as Answered.
type Send struct {
	Server string
	// Gate is the entry instance that holds the grant of a server that does not check grants.
	// It is empty for a server that does.
	Gate     string
	Exchange grant.Exchange
	// AskedAt is when the core made the exchange.
	AskedAt Time
	// SendBefore is the last time at which the driver may begin to write the exchange. It
	// drops the exchange after that.
	SendBefore Time
}

// Append appends a record to the log under an ID. The driver retries until the log
// acknowledges it.
type Append struct {
	ID     string
	Record record.Record
}

// Publish replaces the routing table of the domain with a newer one.
type Publish struct {
	Table route.Table
}

// StartedLeading reports that this instance won the election of a term. It is for logs and
// metrics.
type StartedLeading struct {
	Term grant.Term
}

// SteppedDown reports that this instance ended its leadership, or its candidacy for another
// reason than a missing majority. It is for logs and metrics.
type SteppedDown struct {
	Term   grant.Term
	Reason string
}

func (Send) isEffect()           {}
func (Append) isEffect()         {}
func (Publish) isEffect()        {}
func (StartedLeading) isEffect() {}
func (SteppedDown) isEffect()    {}
