package replay

import (
	"math/rand/v2"
	"slices"

	"example.org/mustardring/internal/naive"
	"example.org/mustardring/pkg/bundle"
)

const (
	// maxPlayedMillis is the maximum length of the simulation of one record of requests. A longer
	// record is simulated at its own rate for this time only, since the rest would repeat it.
	maxPlayedMillis = 5000
	// hintIntervalMillis is the age at which load hints are updated.
	hintIntervalMillis = 1000
	// arrivalSeed is combined with the seed of the trace, so that the random numbers of the
	// arrivals are independent of those with which servers are chosen.
	arrivalSeed = 0x9e3779b97f4a7c15
)

// Choice is a load balancing policy for an undivided service: a service without key ownership, in
// which any server may run any request.
type Choice string

// The policies. Those with hints see the number of requests at each server as of up to
// hintIntervalMillis ago; the others see the current number. ChoicePowerOfTwo draws two servers
// at random and takes the one with less load.
const (
	ChoiceRandom           Choice = "random"
	ChoicePowerOfTwo       Choice = "two-choices"
	ChoicePowerOfTwoHints  Choice = "two-choices-hints"
	ChoiceLeastLoaded      Choice = "least-loaded"
	ChoiceLeastLoadedHints Choice = "least-loaded-hints"
)

// choices are all policies in the order in which reports list them.
var choices = []Choice{ChoiceRandom, ChoicePowerOfTwo, ChoicePowerOfTwoHints, ChoiceLeastLoaded, ChoiceLeastLoadedHints}

// undividedService simulates an undivided service under each policy.
type undividedService struct {
	name    string
	servers []naive.Server
	states  []State
	seed    uint64
	// recordCount is the number of records of requests so far. It varies the random numbers from
	// record to record.
	recordCount uint64
	// simulations has one simulation for each of choices.
	simulations []*simulation
}

func newUndividedService(s *bundle.Service, seed uint64) *undividedService {
	u := &undividedService{name: s.Name, seed: seed}
	for _, b := range s.Servers {
		u.servers = append(u.servers, naive.Server{Name: b.Name, Slots: b.Slots})
		u.states = append(u.states, StateUp)
	}
	for _, choice := range choices {
		u.simulations = append(u.simulations, newSimulation(choice, u.servers))
	}
	return u
}

// setServerState applies a change of state of a server. It reports whether the server belongs to
// the service.
func (u *undividedService) setServerState(_ Time, ev ServerChange) bool {
	at := slices.IndexFunc(u.servers, func(s naive.Server) bool { return s.Name == ev.Name })
	if at < 0 {
		return false
	}
	u.states[at] = ev.State
	return true
}

// play simulates a record of requests that begins now. Each policy gets the same requests: they
// arrive at times drawn evenly from the span, with exponentially distributed run times.
func (u *undividedService) play(now Time, r *Requests) {
	count := 0
	if r.Uniform != nil {
		count = r.Uniform.Requests
	}
	for _, n := range r.Counts {
		count += n
	}
	span := min(float64(r.SpanMillis), maxPlayedMillis)
	count = int(float64(count) * span / float64(r.SpanMillis))
	u.recordCount++
	random := rand.New(rand.NewPCG(u.seed^arrivalSeed, u.recordCount))
	arrivals := make([]arrival, count)
	for i := range arrivals {
		arrivals[i] = arrival{at: float64(now) + random.Float64()*span, run: random.ExpFloat64() * r.RunMillis}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	var accepting []int
	for i, s := range u.states {
		if s == StateUp {
			accepting = append(accepting, i)
		}
	}
	for _, s := range u.simulations {
		s.play(arrivals, accepting, rand.New(rand.NewPCG(u.seed, u.recordCount)))
	}
}
