// Package leader is the core that places ranges on the servers of one failure domain. It
// has no input or output: Handle takes an Event with the time and returns Effects.
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

// Event is an input of the core. The set is sealed.
type Event interface {
	isEvent()
}

// Ticked says that time has passed. The shell sends it every few tens of milliseconds.
type Ticked struct{}

// Configured says what the bundle in force asks of this domain.
type Configured struct {
	Version  uint64
	Services []Service
}

// Service is a service as the leader of one domain sees it.
type Service struct {
	Name      string
	Divided   bool
	Isolation bundle.Isolation
	Weights   bundle.Weights
	// Homes are the parts of the hash space whose home is this domain, sorted and disjoint.
	Homes     []keys.Range
	HotHashes []uint64
	// RequestMillis is the longest request deadline in milliseconds.
	RequestMillis int64
	// ColdStartMillis is for how long a new process of a server is cold, in milliseconds.
	ColdStartMillis int64
	Servers         []Server
}

// Server is a backend server of the domain, or an entry instance that only votes.
type Server struct {
	Name string
	// ChecksGrants says that the server itself obeys grants. The gate of a server that does not
	// check holds the server's grant in its place.
	ChecksGrants bool
	// Votes says that the server is one of the voters whose majority makes a leader.
	Votes bool
	// Slots is zero for an entry instance that only votes. It owns no ranges.
	Slots   int
	Leaving bool
}

// Answered is a server's answer to an exchange that was sent at AskedAt.
type Answered struct {
	Server string
	// Gate is the entry instance that holds the grant of a server that does not check, and
	// empty for one that does.
	Gate    string
	AskedAt Time
	Answer  grant.Answer
}

// LogRead is the state of the log as of a read that began at ReadAt.
type LogRead struct {
	ReadAt   Time
	Term     fold.Term
	Assigned map[string]fold.RecordedAssignment
}

// LogFailed says that the log could not be read or written just now.
type LogFailed struct{}

// Appended says that the log acknowledged an append.
type Appended struct {
	ID     string
	Offset uint64
}

// Heartbeat is a heartbeat of another instance of the domain, or of this one.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	// Leading says that the peer believes it leads, in Term.
	Leading bool
	// Term is the highest term the peer knows.
	Term grant.Term
	// Leaving says that the peer is stopping: it takes no leadership and no gate.
	Leaving bool
}

// TableReceived is the newest routing table that another leader of the domain published. A new
// leader takes it as a hint, so that gates and owners stay where they are; it trusts none
// of it.
type TableReceived struct {
	Table route.Table
}

// Listed is the platform's list: the instances and servers it calls live. What was listed
// and is so no more is gone for certain; what is listed may be dead.
type Listed struct {
	Instances []string
	Servers   []string
}

// Measured is the load of ranges, as counted by the gates.
type Measured struct {
	Service string
	Loads   []RangeLoad
	// HotHashes are the hashes of keys that are hot by measurement, sorted.
	HotHashes []uint64
}

// RangeLoad is the load of one range in requests per second.
type RangeLoad struct {
	Range keys.Range
	Load  float64
}

// Stopping says that this instance is leaving; it must hand its leadership on.
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

// Effect is an output of the core. The set is sealed.
type Effect interface {
	isEffect()
}

// Send posts an exchange to a server. The answer comes back as Answered with AskedAt. The
// shell drops the exchange if the present time is past SendBefore when it is about to write.
type Send struct {
	Server string
	// Gate is the entry instance that holds the grant of a server that does not check, and
	// empty for one that does.
	Gate       string
	Exchange   grant.Exchange
	AskedAt    Time
	SendBefore Time
}

// Append appends a record with the ID, again and again until the log acknowledges it.
type Append struct {
	ID     string
	Record record.Record
}

// Publish replaces the routing table of the domain.
type Publish struct {
	Table route.Table
}

// StartedLeading says that this instance began to lead, for the log of events.
type StartedLeading struct {
	Term grant.Term
}

// SteppedDown says that this instance ceased to lead, and why.
type SteppedDown struct {
	Term   grant.Term
	Reason string
}

func (Send) isEffect()           {}
func (Append) isEffect()         {}
func (Publish) isEffect()        {}
func (StartedLeading) isEffect() {}
func (SteppedDown) isEffect()    {}
