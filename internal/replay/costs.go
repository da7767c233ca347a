package replay

// Costs is the model of how long keys cannot be served when ownership changes. All are in
// milliseconds. Placement decides how many keys pay which; it does not change the costs.
type Costs struct {
	// RoundTrip is twice the delay between failure domains of the deployment, taken for the
	// way from the leader to a server although that is within one domain.
	RoundTrip float64 `json:"round-trip"`
	// Lease is for how long a server may serve after its last renewal.
	Lease float64 `json:"lease"`
	// Exchange is the time between renewals.
	Exchange float64 `json:"exchange"`
	// Placing bounds the time from a change of servers to the placement that follows.
	Placing float64 `json:"placing"`
	// Takeover and TakeoverLogDown are from the loss of a leader to the first majority of
	// its successor, with and without the log.
	Takeover        float64 `json:"takeover"`
	TakeoverLogDown float64 `json:"takeover-log-down"`
}

// Defaults of the ownership protocol: the settings of package leader and what follows.
const (
	leaseMillis    = 1000 // leader.Config Lease
	exchangeMillis = 150  // leader.Config Exchange
	placingMillis  = 50   // least time between placements in package leader
	// A peer counts as gone after some heartbeats; then the claim goes through the log, or
	// after ClaimWait without it, and a majority of voters answers an exchange.
	takeoverMillis        = 300 + exchangeMillis
	takeoverLogDownMillis = 300 + 300 + exchangeMillis
)

// DefaultCosts returns the costs for a deployment with the given delay between domains.
func DefaultCosts(oneWayMicros int64) Costs {
	return Costs{
		RoundTrip:       2 * float64(oneWayMicros) / 1000,
		Lease:           leaseMillis,
		Exchange:        exchangeMillis,
		Placing:         placingMillis,
		Takeover:        takeoverMillis,
		TakeoverLogDown: takeoverLogDownMillis,
	}
}

// planned is the cost of a move between two live servers: the revocation and the grant, one
// round trip each.
func (c Costs) planned() float64 {
	return 2 * c.RoundTrip
}

// lapse is the cost of the same move if nobody revoked: the old lease has to run out.
func (c Costs) lapse() float64 {
	return c.Lease + c.RoundTrip
}

// lost is the cost of the loss of a server at the worst moment, right after a renewal: the
// lease, a majority asked after it, the placement, and the grant.
func (c Costs) lost() float64 {
	return c.Lease + c.Exchange + c.Placing + 2*c.RoundTrip
}

// lostWithLeader is the cost when the leader was lost with the server: the successor grants
// what nobody answers for only a lease after its own majority.
func (c Costs) lostWithLeader(logDown bool) float64 {
	return c.takeover(logDown) + c.Lease + c.Placing + 2*c.RoundTrip
}

// leaderLost is the cost for the ranges of live servers: what passes between the end of
// their leases and the first exchange of the successor.
func (c Costs) leaderLost(logDown bool) float64 {
	return max(0, c.takeover(logDown)+c.RoundTrip-(c.Lease-c.Exchange))
}

func (c Costs) takeover(logDown bool) float64 {
	if logDown {
		return c.TakeoverLogDown
	}
	return c.Takeover
}
