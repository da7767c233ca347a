package replay

// Costs is a model of how long a key cannot be served when its owner changes. All values are in
// milliseconds. The placement determines how many keys have which cost, but not the costs.
type Costs struct {
	// RoundTrip is the round-trip time between a leader and a server. It is computed from the
	// delay between failure domains, although a leader and its servers are in one domain.
	RoundTrip float64 `json:"round-trip"`
	// LeaseDuration is how long a server may serve its ranges after the last renewal.
	LeaseDuration float64 `json:"lease"`
	// ExchangeInterval is the interval between renewals.
	ExchangeInterval float64 `json:"exchange"`
	// PlacementDelay is the maximum time from a change of a server to the next placement.
	PlacementDelay float64 `json:"placing"`
	// Takeover and TakeoverLogDown are the times from the loss of a leader until a majority of
	// the voters has answered its successor, while the log is up and while it is down.
	Takeover        float64 `json:"takeover"`
	TakeoverLogDown float64 `json:"takeover-log-down"`
}

// Default times of the ownership protocol. They follow from the settings of package leader.
const (
	leaseMillis            = 1000 // leader.Config.LeaseDuration
	exchangeIntervalMillis = 150  // leader.Config.ExchangeInterval
	placementDelayMillis   = 50   // minimum time between placements in package leader

	// A leader counts as failed after 3 missed heartbeats, 300 ms. Its successor then claims the
	// term in the log, or waits leader.Config.ClaimTimeout, 300 ms, if the log is down. At last a
	// majority of the voters answers an exchange.
	takeoverMillis        = 300 + exchangeIntervalMillis
	takeoverLogDownMillis = 300 + 300 + exchangeIntervalMillis
)

// DefaultCosts returns the costs for a deployment with the given one-way delay between failure
// domains.
func DefaultCosts(oneWayMicros int64) Costs {
	return Costs{
		RoundTrip:        2 * float64(oneWayMicros) / 1000,
		LeaseDuration:    leaseMillis,
		ExchangeInterval: exchangeIntervalMillis,
		PlacementDelay:   placementDelayMillis,
		Takeover:         takeoverMillis,
		TakeoverLogDown:  takeoverLogDownMillis,
	}
}

// plannedMove returns the cost of a move between two live servers: one round trip for the
// revocation and one for the grant.
func (c Costs) plannedMove() float64 {
	return 2 * c.RoundTrip
}

// moveWithoutRevocation returns the cost of a move between two live servers in a protocol that
// waits until the old lease expires instead of revoking it.
func (c Costs) moveWithoutRevocation() float64 {
	return c.LeaseDuration + c.RoundTrip
}

// serverLost returns the cost of the loss of a server at the worst time, just after a renewal:
// the rest of the lease, an exchange with a majority of the voters after it, the placement and
// the grant.
func (c Costs) serverLost() float64 {
	return c.LeaseDuration + c.ExchangeInterval + c.PlacementDelay + 2*c.RoundTrip
}

// serverLostWithLeader returns the cost of the loss of a server together with the leader. The
// next leader does not know what the server owned. It grants ranges that no server reports as its
// own only one lease after a majority of the voters has answered it.
func (c Costs) serverLostWithLeader(logDown bool) float64 {
	return c.takeoverTime(logDown) + c.LeaseDuration + c.PlacementDelay + 2*c.RoundTrip
}

// leaderLost returns the cost of the loss of a leader for the ranges of live servers: the time
// between the end of their leases and the first exchange of the next leader. It is zero if the
// leases last longer.
func (c Costs) leaderLost(logDown bool) float64 {
	return max(0, c.takeoverTime(logDown)+c.RoundTrip-(c.LeaseDuration-c.ExchangeInterval))
}

// takeoverTime returns the takeover time for the current state of the log.
func (c Costs) takeoverTime(logDown bool) float64 {
	if logDown {
		return c.TakeoverLogDown
	}
	return c.Takeover
}
