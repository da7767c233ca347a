package leader

import "time"

// Config has the names of the instance and its domain, and the intervals and bounds of the
// core.
type Config struct {
	Domain string
	// Name and Incarnation identify the process of this instance.
	Name        string
	Incarnation uint64
	// LeaseDuration is the maximum time from asking a majority of the voters to the end of a
	// grant that relies on their answers. The MaxLease of a server must exceed it by at least
	// DriftPerMille.
	LeaseDuration time.Duration
	// ExchangeInterval is the interval at which the leader asks every server and renews its
	// grant.
	ExchangeInterval time.Duration
	// HeartbeatInterval is the interval at which an instance sends heartbeats to its peers.
	HeartbeatInterval time.Duration
	// ClaimTimeout is how long a candidate waits for the log to accept its claim of a term
	// before it begins a term without the log.
	ClaimTimeout time.Duration
	// PlacementInterval is the interval at which the leader asks the placer again.
	PlacementInterval time.Duration
	// MaxPause is the maximum time for which a gate may be paused between checking the grant
	// that it holds and writing the request to a server that does not check grants.
	MaxPause time.Duration
	// IsolationTimeout is how long after its last successful read of the log a domain may renew
	// the grants of a service whose isolation rule is move.
	IsolationTimeout time.Duration
	// DriftPerMille is the maximum difference in rate of any two clocks, in thousandths.
	DriftPerMille int64

	// mutation is the guard that a test switches off, if any.
	mutation mutation
}

// DefaultConfig returns the configuration of an instance with the default intervals and bounds.
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

// withDrift returns the longest time that a duration on another clock may take on this one.
func (c *Config) withDrift(d Time) Time {
	if c.mutated(mutIgnoreDrift) {
		return d
	}
	return d + d*Time(c.DriftPerMille)/1000 + 1
}
