package stand

import (
	"math/rand/v2"
	"time"

	"example.org/mustardring/pkg/grant"
)

// guard is the part of a backend server that obeys grants.
type guard interface {
	// exchange answers a leader.
	exchange(x grant.Exchange) grant.Answer
	// begin asks whether a request on a hash may run.
	begin(hash uint64) (work, error)
}

// work is a request under a grant.
type work interface {
	// Check asks once more, right before the effect.
	Check() error
	// End says that the request runs no more.
	End()
}

// openGuard is that of a server which checks nothing.
type openGuard struct{}

type openWork struct{}

func (openGuard) exchange(grant.Exchange) grant.Answer {
	return grant.Answer{Refusal: grant.RefusalOtherName}
}

func (openGuard) begin(uint64) (work, error) {
	return openWork{}, nil
}

func (openWork) Check() error { return nil }

func (openWork) End() {}

// grantGuard is that of a server which obeys grants.
type grantGuard struct {
	holder *grant.Holder
}

func (g grantGuard) exchange(x grant.Exchange) grant.Answer {
	return g.holder.Exchange(x)
}

func (g grantGuard) begin(hash uint64) (work, error) {
	return g.holder.Begin(hash)
}

// newGuard returns the guard of a new process at a server's place. Its incarnation is random,
// since nothing is kept from the process before it.
func newGuard(s ServerSettings) guard {
	if !s.ChecksGrants {
		return openGuard{}
	}
	return grantGuard{holder: grant.NewHolder(grant.HolderConfig{
		Service:     s.Service,
		Server:      s.Name,
		Incarnation: rand.Uint64() | 1,
		Clock:       grant.NewClock(),
		MaxLease:    time.Duration(s.MaxLeaseMillis) * time.Millisecond,
	})}
}
