package holder

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// endedOnce is orders of which the first is ended, as by a later record.
type endedOnce struct{ grants int }

func (o *endedOnce) Grant(context.Context, shard.Owner, Grant, GrantCheck) error {
	o.grants++
	if o.grants == 1 {
		return context.Canceled
	}
	return nil
}

func (o *endedOnce) Release(context.Context, shard.Owner, Grant) (string, error) { return "", nil }

// Plans followed one another so closely that one move in eight was ended on its way by the next record, which
// changed other keys of the same server. Its keys then waited for 150 ms until they were granted again.
func TestEndedGrantIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := rules.Server{ID: "s", Service: service, Address: "a"}
		h := New(Deps{
			LeaseClient: &endedOnce{}, Clock: fakeClock{start}, Events: event.New(io.Discard, log.ErrorLevel),
			Servers: func() map[string]rules.Server { return map[string]rules.Server{"s": s} },
		})
		h.guards = guards{}
		r := shard.Range{From: 0, To: shard.NumKeys - 1, Server: "s", Fence: 1, FormerOwners: []shard.Owner{{Server: "o"}}}
		data, err := (&shard.Map{Fence: 1, Ranges: []shard.Range{r}}).Encode()
		is.NoErr(err)
		h.know.fold(follow.Update{Batch: follow.Batch{End: 1, Records: []follow.Record{{Key: keyService + service, Value: data}}}})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.grantFirst(ctx, change{service: service, Range: r}, "", start)
		}()
		<-h.settled
		is.True(time.Since(start) < grantRetry)
		cancel()
		<-ended
	})
}
