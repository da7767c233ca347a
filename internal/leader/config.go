package leader

import "time"

// Config names the instance and sets the periods of the core.
type Config struct {
	Domain string
	// Name and Incarnation are those of this instance.
	Name        string
	Incarnation uint64
	// LeaseDuration is the longest time a grant is good for after its leader's authority was asked.
	// The MaxLease of a server must exceed it by at least DriftPerMille.
	LeaseDuration time.Duration
	// ExchangeInterval is the period in which every server is asked and its grant renewed.
	ExchangeInterval time.Duration
	// HeartbeatInterval is the period in which instances hear of each other.
	HeartbeatInterval time.Duration
	// ClaimTimeout is how long a claim waits for the log before a term is begun without it.
	ClaimTimeout time.Duration
	// PlacementInterval is the period in which a placement is reconsidered.
	PlacementInterval time.Duration
	// MaxPause bounds how long an instance may be paused between checking its right and the
	// write to a server that does not check grants.
	MaxPause time.Duration
	// IsolationTimeout is how long after its last good read of the log a domain may renew the grants
	// of a service whose isolation rule is move.
	IsolationTimeout time.Duration
	// DriftPerMille bounds by how much any two clocks diverge, in thousandths.
	DriftPerMille int64

	guards mutation
}

// DefaultConfig returns the periods that the notes on ownership measure.
func DefaultConfig(domain, name string, incarnation uint64) Config {
	return Config{
		Domain:            domain,
		Name:              name,
		Incarnation:       incarnation,
		LeaseDuration:     time.Second,
		ExchangeInterval:  150 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond,
		ClaimTimeout:      300 * time.Millisecond,
		PlacementInterval: time.Second,
		MaxPause:          2 * time.Second,
		IsolationTimeout:  30 * time.Second,
		DriftPerMille:     10,
	}
}

// stretch lengthens a time on another clock to the longest it may take on this one.
func (c *Config) stretch(d Time) Time {
	if c.without(mutStretch) {
		return d
	}
	return d + d*Time(c.DriftPerMille)/1000 + 1
}
