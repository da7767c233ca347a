package replay

import (
	"math/rand/v2"
	"slices"

	"example.org/mustardring/internal/naive"
	"example.org/mustardring/pkg/bundle"
)

const (
	// playedMillis is how much of each record of an undivided service is played, at the rate
	// of the record. The rest would repeat it.
	playedMillis = 5000
	// hintMillis is the age at which load hints are renewed.
	hintMillis = 1000
	// cloudSeed separates the draws of requests from those of policies.
	cloudSeed = 0x9e3779b97f4a7c15
)

// Choice is a way of choosing a server of an undivided service.
type Choice string

// The choices. Those by hints know the counts of up to a second ago, the others the present.
const (
	ChoiceRandom    Choice = "random"
	ChoiceTwo       Choice = "two-choices"
	ChoiceTwoHints  Choice = "two-choices-hints"
	ChoiceLeast     Choice = "least-loaded"
	ChoiceLeastHint Choice = "least-loaded-hints"
)

// choices lists all in the order of reports.
var choices = []Choice{ChoiceRandom, ChoiceTwo, ChoiceTwoHints, ChoiceLeast, ChoiceLeastHint}

// crowd is an undivided service under each choice.
type crowd struct {
	name    string
	servers []naive.Server
	states  []State
	seed    uint64
	records uint64
	queues  []*queues
}

func newCrowd(s *bundle.Service, seed uint64) *crowd {
	c := &crowd{name: s.Name, seed: seed}
	for _, b := range s.Servers {
		c.servers = append(c.servers, naive.Server{Name: b.Name, Slots: b.Slots})
		c.states = append(c.states, StateUp)
	}
	for _, choice := range choices {
		c.queues = append(c.queues, newQueues(choice, c.servers))
	}
	return c
}

// server applies a change of state. It reports whether the server is one of the service.
func (c *crowd) server(_ Time, ev Server) bool {
	at := slices.IndexFunc(c.servers, func(s naive.Server) bool { return s.Name == ev.Name })
	if at < 0 {
		return false
	}
	c.states[at] = ev.State
	return true
}

// play plays the start of a record under each choice, with the same requests.
func (c *crowd) play(now Time, r *Requests) {
	count := 0
	if r.Others != nil {
		count = r.Others.Requests
	}
	for _, n := range r.Counts {
		count += n
	}
	span := min(float64(r.SpanMillis), playedMillis)
	count = int(float64(count) * span / float64(r.SpanMillis))
	c.records++
	random := rand.New(rand.NewPCG(c.seed^cloudSeed, c.records))
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
	var open []int
	for i, s := range c.states {
		if s == StateUp {
			open = append(open, i)
		}
	}
	for _, q := range c.queues {
		q.play(arrivals, open, rand.New(rand.NewPCG(c.seed, c.records)))
	}
}
