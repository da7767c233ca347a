package stand

import "example.org/mustardring/pkg/grant"

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

func newGuard(ServerSettings) guard {
	return openGuard{}
}
