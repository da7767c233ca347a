// Package homes decides which ranges of the hash space a failure domain may serve. The bundle
// says which ranges are its homes; a range may be served only after the log has recorded it
// as taken by this domain and by no other. The core does no I/O: Handle takes the time and an
// Event, and returns Effects.
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

// Event is an input of the core. No other package can add events.
type Event interface {
	isEvent()
}

// BundleInForce says that a bundle is in force.
type BundleInForce struct {
	Bundle *bundle.Bundle
}

// LogRead is the newest state folded from the log. It must not be modified afterwards.
type LogRead struct {
	State *fold.State
}

// PeerHomes are the homes that another instance of the domain has read from the log. They
// count only until this instance has read the log itself.
type PeerHomes struct {
	Homes []fold.DomainHomes
}

// ReachableDomains lists the other failure domains that answered a heartbeat recently.
type ReachableDomains struct {
	Names []string
}

// LeaderState is the state of the leader of this domain, which runs at this instance.
type LeaderState struct {
	// LogTerm is the term, as claimed in the log, under which it leads.
	LogTerm uint64
	// Settled says that the leader knows of every grant by former leaders that may still be
	// in effect.
	Settled bool
	// Ranges holds, by divided service, the ranges that some server may act on, as far as the
	// leader knows.
	Ranges map[string][]keys.Range
	// Fence is the highest value of the homes fence that the leader knows of, and
	// MajorityFence the highest that a majority of its voters has stored. Core.fence says
	// what the homes fence is.
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

// Effect is an output of the core. No other package can add effects.
type Effect interface {
	isEffect()
}

// Allow says which ranges of each divided service the domain may serve from now on. An
// instance that does not lead is allowed none, because it knows neither the ranges that
// servers hold nor the fence.
type Allow struct {
	Bundle *bundle.Bundle
	// Ranges holds sorted, disjoint ranges by service.
	Ranges map[string][]keys.Range
}

// Append asks for a record to be appended to the log. Appends with the same ID count once.
type Append struct {
	ID     string
	Record record.Record
}

// DistributeFence asks the leader to send a value of the homes fence to its voters, which
// store it.
type DistributeFence struct {
	Fence uint64
}

func (Allow) isEffect()           {}
func (Append) isEffect()          {}
func (DistributeFence) isEffect() {}

// Config names the failure domain and sets the times of the core.
type Config struct {
	Domain string
	// IsolationTimeout is how long after its last read of the log a domain may renew the
	// grants of a service whose isolation rule is move. It must not be less than the same
	// limit of package leader.
	IsolationTimeout time.Duration
	// EvictAfter is how long a domain must have been unreachable before its ranges of a
	// service whose isolation rule is move are freed.
	EvictAfter time.Duration
	// AppendInterval is the least time before the same append is requested again.
	AppendInterval time.Duration
	// MaxPause is the longest time for which an instance may be paused between checking its
	// lease and writing a request.
	MaxPause time.Duration
	// DriftPerMille is the greatest difference between the rates of any two clocks, in
	// thousandths.
	DriftPerMille int64
}

// DefaultConfig returns times that match the defaults of package leader.
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
