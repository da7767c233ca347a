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

// countingReplicator is a Replicator that counts the records that are replicated.
type countingReplicator struct{ replicated atomic.Int32 }

func (c *countingReplicator) Replicate(context.Context, policy.IdempotencyRecord) error {
	c.replicated.Add(1)
	return nil
}

func (*countingReplicator) ReplicateOutcome(policy.IdempotencyRecord) {}

func (*countingReplicator) Recover(context.Context, string, keys.Range) ([]policy.IdempotencyRecord, error) {
	return nil, nil
}

// An instance that forwards a request holds a copy of its idempotency record. That suffices as the
// replica only if the instance is in the domain of the gate, because a new gate recovers records
// only from its own domain. Otherwise, if the gate is lost, a resend would run a second time.
func TestReplicaIsInDomainOfGate(t *testing.T) {
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
			replicator := &countingReplicator{}
			gate := start(t, "gate", func(d *Deps) { d.Replicator = replicator })
			gate.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {})))
			edge := start(t, "edge", func(d *Deps) { d.Domain = tt.domain })
			edge.finder.set(route.Forward{Service: testService(), Domain: "klet", Addresses: []string{address(gate.forwards)}})
			r := post(is, edge.callers.URL+"/oddaja/x", "text")
			r.Header.Set(caller.HeaderRequestID, "order-1")
			is.Equal(do(t, r).outcome(), caller.Ran)
			is.Equal(replicator.replicated.Load(), tt.want)
		})
	}
}

// A forwarded request is refused because its key has no owner, and sent again later. It must run
// then. If the forwarding instance kept a record of the first submission as one that may have run,
// every resend would be refused as in progress.
func TestUnsentRequestLeavesNoRecord(t *testing.T) {
	is := is.New(t)
	gate := start(t, "gate", func(d *Deps) { d.Replicator = &countingReplicator{} })
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
