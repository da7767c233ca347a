package leader

import "time"

// Config names the instance and sets the periods of the core.
type Config struct {
	Domain string
	// Name and Incarnation are those of this instance.
	Name        string
	Incarnation uint64
	// Lease is the longest time a grant is good for after its leader's authority was asked.
	// The MaxLease of a server must exceed it by at least DriftPerMille.
	Lease time.Duration
	// Exchange is the period in which every server is asked and its grant renewed.
	Exchange time.Duration
	// Heartbeat is the period in which instances hear of each other.
	Heartbeat time.Duration
	// ClaimWait is how long a claim waits for the log before a term is begun without it.
	ClaimWait time.Duration
	// Placing is the period in which a placement is reconsidered.
	Placing time.Duration
	// Pause bounds how long an instance may be paused between checking its right and the
	// write to a server that does not check grants.
	Pause time.Duration
	// MoveBound is how long after its last good read of the log a domain may renew the grants
	// of a service whose isolation rule is move.
	MoveBound time.Duration
	// DriftPerMille bounds by how much any two clocks diverge, in thousandths.
	DriftPerMille int64

	mutation mutation
}

// DefaultConfig returns the periods that the notes on ownership measure.
func DefaultConfig(domain, name string, incarnation uint64) Config {
	return Config{
		Domain:        domain,
		Name:          name,
		Incarnation:   incarnation,
		Lease:         time.Second,
		Exchange:      150 * time.Millisecond,
		Heartbeat:     100 * time.Millisecond,
		ClaimWait:     300 * time.Millisecond,
		Placing:       time.Second,
		Pause:         2 * time.Second,
		MoveBound:     30 * time.Second,
		DriftPerMille: 10,
	}
}

// withDrift lengthens a time on another clock to the longest it may take on this one.
func (c *Config) withDrift(d Time) Time {
	if c.mutated(mutIgnoreDrift) {
		return d
	}
	return d + d*Time(c.DriftPerMille)/1000 + 1
}
