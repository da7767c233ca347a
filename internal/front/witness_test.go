package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// counter is a Witness that counts what it is asked to remember.
type counter struct{ begun atomic.Int32 }

func (c *counter) Begin(context.Context, policy.IdempotencyRecord) error {
	c.begun.Add(1)
	return nil
}

func (*counter) End(policy.IdempotencyRecord) {}

func (*counter) Recall(context.Context, string, keys.Range) ([]policy.IdempotencyRecord, error) {
	return nil, nil
}

// A buyer in one domain orders cheese whose gate is in another. The gate is killed after the
// order ran; the buyer, told that it is unknown, sends it again and gets two. The gate had
// taken the instance that forwarded the order as its witness, but the next gate asks only
// the instances of its own domain.
func TestWitnessIsInTheDomainOfTheGate(t *testing.T) {
	tests := map[string]struct {
		domain string
		want   int32
	}{
		"edge in the same domain": {domain: "klet", want: 0},
		"edge in another domain":  {domain: "podstresje", want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			witness := &counter{}
			gate := start(t, "gate", func(d *Deps) { d.Replicator = witness })
			gate.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {})))
			edge := start(t, "edge", func(d *Deps) { d.Domain = tt.domain })
			edge.finder.set(route.Forward{Service: testService(), Domain: "klet", Addresses: []string{address(gate.forwards)}})
			r := post(is, edge.callers.URL+"/oddaja/x", "text")
			r.Header.Set(caller.HeaderRequestID, "order-1")
			is.Equal(do(t, r).outcome(), caller.Ran)
			is.Equal(witness.begun.Load(), tt.want)
		})
	}
}

// A submission is refused because the gate cannot recall yet, and sent again. It must run
// then. The instance that forwarded it remembered the first sending as one that may have run,
// and every later one was refused as in progress.
func TestUnsentRequestIsNotRemembered(t *testing.T) {
	is := is.New(t)
	gate := start(t, "gate", func(d *Deps) { d.Replicator = &counter{} })
	target := here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {}))
	gate.finder.set(route.Unavailable{Reason: route.ReasonNoOwner})
	edge := start(t, "edge", nil)
	edge.finder.set(route.Forward{Service: testService(), Domain: "klet", Addresses: []string{address(gate.forwards)}})
	send := func() answer {
		r := post(is, edge.callers.URL+"/oddaja/x", "text")
		r.Header.Set(caller.HeaderRequestID, "submission-1")
		return do(t, r)
	}
	is.Equal(send().outcome(), caller.Unknown)
	is.Equal(len(edge.front.Records("oddaja", keys.Full)), 0)
	gate.finder.set(target)
	is.Equal(send().outcome(), caller.Ran)
}
