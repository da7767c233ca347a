package stubs

import (
	"math/rand/v2"
	"time"

	"example.org/mustardring/pkg/grant"
)

// grantChecker is the part of a backend server that accepts grants and checks requests against
// them.
type grantChecker interface {
	// exchange handles an exchange from a leader.
	exchange(x grant.Exchange) grant.Answer
	// begin returns an error if a request for a key with this hash may not run.
	begin(hash uint64) (work, error)
}

// work is a request that begin has accepted.
type work interface {
	// Check repeats the check of begin. It is called right before the request takes effect.
	Check() error
	// End reports that the request no longer runs.
	End()
}

// noChecks is the grantChecker of a server that ignores grants and accepts every request.
type noChecks struct{}

type uncheckedWork struct{}

func (noChecks) exchange(grant.Exchange) grant.Answer {
	return grant.Answer{Refusal: grant.RefusalOtherName}
}

func (noChecks) begin(uint64) (work, error) {
	return uncheckedWork{}, nil
}

func (uncheckedWork) Check() error { return nil }

func (uncheckedWork) End() {}

// holderChecker is the grantChecker of a server that checks requests against its grant.
type holderChecker struct {
	holder *grant.Holder
}

func (c holderChecker) exchange(x grant.Exchange) grant.Answer {
	return c.holder.Exchange(x)
}

func (c holderChecker) begin(hash uint64) (work, error) {
	return c.holder.Begin(hash)
}

// newGrantChecker returns the grantChecker of a new server process. Its incarnation is random,
// because a process keeps nothing from the one before it, and not zero.
func newGrantChecker(s ServerSettings) grantChecker {
	if !s.ChecksGrants {
		return noChecks{}
	}
	return holderChecker{holder: grant.NewHolder(grant.HolderConfig{
		Service:     s.Service,
		Server:      s.Name,
		Incarnation: rand.Uint64() | 1,
		Clock:       grant.NewClock(),
		MaxLease:    time.Duration(s.MaxLeaseMillis) * time.Millisecond,
	})}
}
