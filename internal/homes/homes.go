// Package homes decides which ranges a failure domain may serve. The bundle says which ones
// it should; the log says which ones it has taken and no other domain has. The core has no
// input or output: Handle takes an Event with the time and returns Effects.
package homes

import (
	"time"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Time is a reading of this instance's monotonic clock in nanoseconds.
type Time = place.Time

// Event is an input of the core. The set is sealed.
type Event interface {
	isEvent()
}

// BundleInForce says which bundle is in force.
type BundleInForce struct {
	Bundle *bundle.Bundle
}

// LogRead is the newest folded state. It must not change afterwards.
type LogRead struct {
	State *fold.State
}

// PeerHomes is what another instance of the domain has read. It counts only until this one has
// read the log itself.
type PeerHomes struct {
	Homes []fold.DomainHomes
}

// ReachableDomains says which other failure domains answered a heartbeat lately.
type ReachableDomains struct {
	Names []string
}

// LeaderState says what the leader of this domain, which runs at this instance, may have granted.
type LeaderState struct {
	// LogTerm is the log term under which it leads.
	LogTerm uint64
	// Settled says that nothing granted by former leaders is left that this one has not heard
	// of.
	Settled bool
	// Ranges has, by divided service, the ranges that some server may act on, as far as the
	// leader has heard.
	Ranges map[string][]keys.Range
	// Fence is the highest value that the voters who follow the leader have seen, and Taught
	// the highest that a majority of them has.
	Fence         uint64
	MajorityFence uint64
}

// NotLeading says that this instance does not lead its domain.
type NotLeading struct{}

func (NotLeading) isEvent()       {}
func (BundleInForce) isEvent()    {}
func (LogRead) isEvent()          {}
func (PeerHomes) isEvent()        {}
func (ReachableDomains) isEvent() {}
func (LeaderState) isEvent()      {}

// Effect is an output of the core. The set is sealed.
type Effect interface {
	isEffect()
}

// Allow says which ranges of each divided service the domain may serve from now on. An
// instance that does not lead is allowed none: it knows neither what is held nor the fence.
type Allow struct {
	Bundle *bundle.Bundle
	// Ranges is sorted and disjoint for each service.
	Ranges map[string][]keys.Range
}

// Append asks for a record in the log.
type Append struct {
	ID     string
	Record record.Record
}

// DistributeFence asks the leader to tell its voters a value of the homes fence.
type DistributeFence struct {
	Fence uint64
}

func (Allow) isEffect()           {}
func (Append) isEffect()          {}
func (DistributeFence) isEffect() {}

// Config names the domain and sets the bounds of the core.
type Config struct {
	Domain string
	// IsolationTimeout is for how long after its last read of the log a domain may renew the grants
	// of a service that may move. It must not be less than that of package leader.
	IsolationTimeout time.Duration
	// EvictAfter is for how long a domain must not have been heard before its ranges of a
	// service that may move are freed.
	EvictAfter time.Duration
	// AppendInterval bounds how often the same statement is appended again.
	AppendInterval time.Duration
	// MaxPause bounds how long an instance may be paused between checking its right and writing.
	MaxPause time.Duration
	// DriftPerMille bounds by how much any two clocks diverge, in thousandths.
	DriftPerMille int64
}

// DefaultConfig returns bounds that fit those of package leader.
func DefaultConfig(domain string) Config {
	return Config{
		Domain:           domain,
		IsolationTimeout: 30 * time.Second,
		EvictAfter:       10 * time.Second,
		AppendInterval:   time.Second,
		MaxPause:         2 * time.Second,
		DriftPerMille:    10,
	}
}
